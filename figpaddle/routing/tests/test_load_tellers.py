"""A few entries tell other regions the load of their own, whichever of them stop."""

from __future__ import annotations

from figpaddle.routing import tells_load

ENTRIES = [f"10.1.0.{number}" for number in range(28)]


def tellers(entries: list[str]) -> set[str]:
    others = {name: [one for one in entries if one != name] for name in entries}
    return {name for name in entries if tells_load(name, "north", others[name])}


def test_three_of_many_entries_tell() -> None:
    assert len(tellers(ENTRIES)) == 3


def test_another_one_takes_over_from_each_that_stops() -> None:
    told = tellers(ENTRIES)
    for stopped in told:
        after = tellers([name for name in ENTRIES if name != stopped])
        assert len(after) == 3 and told - {stopped} < after


def test_all_entries_of_a_small_region_tell() -> None:
    assert tellers(ENTRIES[:2]) == set(ENTRIES[:2])
