"""Callers get entry instances that may handle their data and accept requests."""

from __future__ import annotations

from figpaddle.routing import KnownEntry, entries_for

UNRESTRICTED_REGIONS = frozenset({"north", "coast"})


def entry(address: str, region: str, *, ready: bool = True, stopping: bool = False) -> KnownEntry:
    return KnownEntry(address=address, region=region, ready=ready, stopping=stopping)


def addresses_for(region: str, *entries: KnownEntry, view_is_complete: bool = True) -> list[str]:
    return entries_for(
        region, list(entries), unrestricted=UNRESTRICTED_REGIONS, view_is_complete=view_is_complete
    )


def test_a_region_with_ready_entries_offers_only_its_own() -> None:
    assert addresses_for("north", entry("a", "north"), entry("b", "coast")) == ["a"]


def test_callers_of_a_stopping_region_get_entries_of_open_regions() -> None:
    stopping = entry("a", "south", ready=False, stopping=True)
    remote_entries = (entry("b", "north"), entry("c", "south2"))
    assert addresses_for("south", stopping, *remote_entries) == ["b"]


def test_stopping_entries_are_offered_when_no_open_region_has_entries() -> None:
    stopping = entry("a", "south", ready=False, stopping=True)
    assert addresses_for("south", stopping, entry("c", "south2")) == ["a"]


def test_callers_of_a_lost_region_get_any_entry_when_no_region_is_open() -> None:
    assert addresses_for("south", entry("c", "south2")) == ["c"]


def test_entries_of_other_regions_are_not_offered_before_the_view_has_settled() -> None:
    assert addresses_for("south", entry("b", "north"), view_is_complete=False) == []


def test_callers_of_a_starting_region_get_no_entry_that_may_not_handle_their_data() -> None:
    starting = entry("a", "south", ready=False)
    assert addresses_for("south", starting, entry("c", "south2")) == []
