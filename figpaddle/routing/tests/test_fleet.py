"""What an instance believes of backend servers, whatever order their news come in."""

from __future__ import annotations

import dataclasses
import itertools

import pytest

from figpaddle.routing import Fleet, News
from figpaddle.wire import BackendRecord, BackendState

ZONES = frozenset({"z"})
BORN = 1000


def record(
    name: str = "i-1",
    *,
    sequence: int = 1,
    born: int = BORN,
    state: BackendState = BackendState.SERVING,
    address: str = "10.0.0.5:80",
    zone: str = "z",
) -> BackendRecord:
    return BackendRecord(
        name=name,
        born=born,
        sequence=sequence,
        service="s",
        address=address,
        zone=zone,
        state=state,
        slots=8,
        warmup_s=0.0,
        age_s=0.0,
    )


def usable(fleet: Fleet, *, now: float = 0.0, evacuated: tuple[str, ...] = ()) -> list[str]:
    found = fleet.usable("s", region_zones=ZONES, evacuated=evacuated, now=now)
    return sorted(member.name for member in found)


NEWS = [
    record(sequence=1),
    record(sequence=2),
    record(sequence=3, state=BackendState.LEAVING),
    record(sequence=3, state=BackendState.GONE),
]


@pytest.mark.parametrize("order", list(itertools.permutations(range(len(NEWS)))))
def test_a_backend_server_that_left_stays_away_in_every_order_of_news(
    order: tuple[int, ...],
) -> None:
    fleet = Fleet()
    for index in order:
        fleet.note(NEWS[index], now=0.0)
    assert usable(fleet) == []


def test_a_late_heartbeat_does_not_end_draining() -> None:
    fleet = Fleet()
    fleet.note(record(sequence=5, state=BackendState.LEAVING), now=0.0)
    assert fleet.note(record(sequence=6), now=0.1) is News.NOTHING
    assert usable(fleet) == []


def test_a_new_start_under_the_same_name_is_used_though_its_count_begins_anew() -> None:
    fleet = Fleet()
    fleet.note(record(sequence=9, state=BackendState.GONE), now=0.0)
    assert fleet.note(record(sequence=1, born=BORN + 1), now=0.1) is News.STARTED
    assert usable(fleet) == ["i-1"]


@pytest.mark.parametrize("late_first", [True, False])
def test_an_address_belongs_to_the_start_that_was_born_last(late_first: bool) -> None:
    old, new = record("old", sequence=50), record("new", born=BORN + 5)
    fleet = Fleet()
    for one in (old, new) if late_first else (new, old):
        fleet.note(one, now=0.0)
    assert usable(fleet) == ["new"]


def test_evacuated_zones_and_other_regions_are_not_used() -> None:
    fleet = Fleet()
    fleet.note(record(), now=0.0)
    fleet.note(record("far", address="10.9.0.1:80", zone="elsewhere"), now=0.0)
    assert usable(fleet) == ["i-1"]
    assert usable(fleet, evacuated=("z",)) == []


def test_an_unreachable_backend_server_rests_longer_each_time_and_returns() -> None:
    fleet = Fleet()
    fleet.note(record(), now=0.0)
    first = fleet.note_unreachable("i-1", now=0.0)
    assert usable(fleet, now=first / 2) == []
    assert usable(fleet, now=first) == ["i-1"]
    assert fleet.note_unreachable("i-1", now=first) > first
    fleet.note_reached("i-1")
    assert usable(fleet, now=first) == ["i-1"]


def test_a_server_that_answers_for_another_ends_the_other() -> None:
    fleet = Fleet()
    fleet.note(record(), now=0.0)
    fleet.note_foreign("i-1")
    assert usable(fleet) == []


def test_a_backend_server_out_of_touch_with_control_is_used_for_a_while() -> None:
    fleet = Fleet()
    fleet.note(record(), now=0.0)
    assert usable(fleet, now=30.0) == ["i-1"]
    assert usable(fleet, now=60.0) == []


def test_records_carry_their_age_to_the_next_instance() -> None:
    fleet = Fleet()
    fleet.note(dataclasses.replace(record(), age_s=1.0), now=5.0)
    assert fleet.records(now=7.0)[0].age_s == 3.0


def test_a_zone_that_returns_counts_as_cold_until_its_servers_speak() -> None:
    """Their caches may have gone cold while the zone was evacuated; a burst would crash them."""
    fleet = Fleet()
    fleet.note(record(), now=0.0)
    fleet.note_returned("z", now=5.0)
    member = fleet.get("i-1")
    assert member is not None and member.may_be_cold(now=5.1)
    fleet.note(record(sequence=2), now=5.5)
    assert not member.may_be_cold(now=5.6)


def test_a_server_that_refused_connections_counts_as_cold_until_it_speaks() -> None:
    """It may have started again under its old name, cold."""
    fleet = Fleet()
    fleet.note(record(), now=0.0)
    fleet.note_unreachable("i-1", now=1.0)
    member = fleet.get("i-1")
    assert member is not None and member.may_be_cold(now=3.0)


def test_an_address_that_accepts_and_closes_is_left_alone_for_a_while() -> None:
    fleet = Fleet()
    fleet.note(record(), now=0.0)
    assert [fleet.note_broken("i-1", now=0.0) for _ in range(2)] == [0.0, 0.0]
    assert usable(fleet) == ["i-1"]
    rest_s = fleet.note_broken("i-1", now=0.0)
    assert rest_s > 0 and usable(fleet) == []
    assert usable(fleet, now=rest_s) == ["i-1"]
    assert fleet.note_broken("i-1", now=rest_s) > rest_s


def test_a_lost_answer_now_and_then_takes_no_backend_server_out_of_use() -> None:
    fleet = Fleet()
    fleet.note(record(), now=0.0)
    for _ in range(20):
        fleet.note_broken("i-1", now=0.0)
        fleet.note_broken("i-1", now=0.0)
        fleet.note_reached("i-1")
    assert usable(fleet) == ["i-1"]
