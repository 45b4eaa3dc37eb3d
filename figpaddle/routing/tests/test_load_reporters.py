"""A few entries report the load of their region, whichever of them stop."""

from __future__ import annotations

from figpaddle.routing import reports_load

ENTRIES = [f"10.1.0.{number}" for number in range(28)]


def reporters_of(entries: list[str]) -> set[str]:
    others = {name: [other for other in entries if other != name] for name in entries}
    return {name for name in entries if reports_load(name, "north", others[name])}


def test_three_of_many_entries_report_load() -> None:
    assert len(reporters_of(ENTRIES)) == 3


def test_each_stopped_reporter_is_replaced_by_one_other_entry() -> None:
    reporters = reporters_of(ENTRIES)
    for stopped in reporters:
        reporters_after = reporters_of([name for name in ENTRIES if name != stopped])
        assert len(reporters_after) == 3 and reporters - {stopped} < reporters_after


def test_all_entries_of_a_small_region_report_load() -> None:
    assert reporters_of(ENTRIES[:2]) == set(ENTRIES[:2])
