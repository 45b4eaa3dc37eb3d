"""Callers are named entries that may see their requests and take them."""

from __future__ import annotations

from figpaddle.routing import KnownEntry, entries_for

OPEN = frozenset({"north", "coast"})


def entry(address: str, region: str, *, ready: bool = True, stopping: bool = False) -> KnownEntry:
    return KnownEntry(address=address, region=region, ready=ready, stopping=stopping)


def named(region: str, *entries: KnownEntry, settled: bool = True) -> list[str]:
    return entries_for(region, list(entries), open_to_all=OPEN, settled=settled)


def test_a_region_with_ready_entries_names_only_them() -> None:
    assert named("north", entry("a", "north"), entry("b", "coast")) == ["a"]


def test_while_a_regions_entries_stop_in_turn_callers_go_where_all_data_may_go() -> None:
    stopping = entry("a", "south", ready=False, stopping=True)
    away = (entry("b", "north"), entry("c", "south2"))
    assert named("south", stopping, *away) == ["b"]


def test_without_a_region_open_to_all_entries_that_stop_go_on() -> None:
    stopping = entry("a", "south", ready=False, stopping=True)
    assert named("south", stopping, entry("c", "south2")) == ["a"]


def test_a_lost_region_without_open_ones_uses_any() -> None:
    assert named("south", entry("c", "south2")) == ["c"]


def test_an_entry_that_has_just_started_names_no_other_region() -> None:
    assert named("south", entry("b", "north"), settled=False) == []


def test_a_region_whose_entries_start_is_not_sent_where_its_data_may_not_go() -> None:
    starting = entry("a", "south", ready=False)
    assert named("south", starting, entry("c", "south2")) == []
