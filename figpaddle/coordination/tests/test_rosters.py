"""Copies of a roster equal it after any losses, or say that changes are missing."""

from __future__ import annotations

import dataclasses
import random

import pytest

from figpaddle.coordination import RosterCopy, RosterMaker
from figpaddle.coordination._rosters import OFFSET_STEP_S
from figpaddle.coordination.tests.test_zone_relays import heartbeat
from figpaddle.errors import MalformedMessageError
from figpaddle.wire import InstanceHeartbeat, Readiness

#: Number of random histories.
HISTORIES = 40
#: Truth values of a heartbeat that a roster carries.
CAPABILITIES = ("keeps_stream_versions", "relays", "cut_off", "states_offers", "states_workspaces")


def make_maker(incarnation: int = 1) -> RosterMaker:
    return RosterMaker(relay="r", incarnation=incarnation, region="north", zone="n-a")


def names(copy: RosterCopy) -> set[str]:
    return {item.name for item in copy.heartbeats}


@pytest.mark.parametrize("seed", range(HISTORIES))
def test_a_copy_is_right_or_says_that_changes_are_missing(seed: int) -> None:
    rng = random.Random(seed)
    maker, copy = make_maker(), RosterCopy()
    live: dict[str, InstanceHeartbeat] = {}
    clocks: dict[str, float] = {}
    for step in range(200):
        now = step * 0.2
        for _ in range(rng.choice([0, 0, 0, 1, 3])):
            name = f"e{rng.randrange(12)}"
            if name in live and rng.random() < 0.5:
                del live[name]
            else:
                readiness = rng.choice(list(Readiness))
                live[name] = dataclasses.replace(
                    heartbeat(name), sequence=step, readiness=readiness, revision=step
                )
        for name in live:
            clocks[name] = clocks.get(name, 100.0) - rng.choice([0.0, 0.0, 0.02, 0.3])
        maker.update(live.values(), now=now, clock_offsets_s=clocks)
        message = maker.changes(now=now)
        if rng.random() < 0.7:
            continue
        if not copy.apply(message, now=now):
            assert copy.apply(maker.snapshot(), now=now)
        assert names(copy) == set(live)
        for item in copy.heartbeats:
            assert item.readiness is live[item.name].readiness
            assert item.revision <= live[item.name].revision
            incarnation, offset_s = copy.clock_offsets_s[item.name]
            assert incarnation == item.incarnation
            assert abs(offset_s - clocks[item.name]) < OFFSET_STEP_S


@pytest.mark.parametrize("name", CAPABILITIES)
def test_what_a_build_can_do_goes_through_relays(name: str) -> None:
    # Guards against capabilities that count as missing wherever heartbeats come through relays.
    for value in (True, False):
        maker, copy = make_maker(), RosterCopy()
        fields = dict.fromkeys(CAPABILITIES, not value) | {name: value}
        maker.update([dataclasses.replace(heartbeat("a"), **fields)], now=0.0)
        assert copy.apply(maker.changes(now=0.0), now=0.0)
        assert [getattr(item, name) for item in copy.heartbeats] == [value]


def test_a_gap_is_noticed() -> None:
    maker, copy = make_maker(), RosterCopy()
    maker.update([heartbeat("a")], now=0.0)
    assert copy.apply(maker.changes(now=0.0), now=0.0)
    maker.update([heartbeat("a"), heartbeat("b")], now=1.0)
    maker.update([heartbeat("b")], now=5.0)
    assert not copy.apply(maker.changes(now=5.0), now=5.0)
    assert names(copy) == {"a"}


def test_late_and_repeated_messages_change_nothing() -> None:
    maker, copy = make_maker(), RosterCopy()
    maker.update([heartbeat("a")], now=0.0)
    early = maker.changes(now=0.0)
    maker.update([], now=0.5)
    late = maker.changes(now=0.5)
    for message in (late, early, late):
        assert copy.apply(message, now=1.0)
    assert names(copy) == set()


def test_a_relay_that_has_restarted_begins_anew() -> None:
    before, after, copy = make_maker(), make_maker(incarnation=2), RosterCopy()
    before.update([heartbeat("a"), heartbeat("b")], now=0.0)
    copy.apply(before.changes(now=0.0), now=0.0)
    after.update([heartbeat("b")], now=9.0)
    assert copy.apply(after.changes(now=9.0), now=9.0)
    assert names(copy) == {"b"}


def test_steady_members_take_no_bytes() -> None:
    maker = make_maker()
    members = [heartbeat(f"e{number}") for number in range(300)]
    for step in range(30):
        beats = [dataclasses.replace(item, sequence=step + 2) for item in members]
        maker.update(beats, now=step * 0.2)
    assert maker.changes(now=6.0).members == ()


def test_rows_with_an_unknown_role_change_nothing() -> None:
    maker, copy = make_maker(), RosterCopy()
    maker.update([heartbeat("a")], now=0.0)
    message = maker.changes(now=0.0)
    row = message.members[0]
    damaged = dataclasses.replace(message, members=((*row[:3], "king", *row[4:]),))
    with pytest.raises(MalformedMessageError):
        copy.apply(damaged, now=0.0)
    assert names(copy) == set()
    assert copy.apply(message, now=0.0)


def test_the_clock_of_an_earlier_run_is_not_taken_for_that_of_the_present_one() -> None:
    # Guards against a machine that starts again with a build that doesn't state when it sends.
    maker, copy, late_copy = make_maker(), RosterCopy(), RosterCopy()
    maker.update([heartbeat("e1")], now=0.0, clock_offsets_s={"e1": 40.0})
    assert copy.apply(maker.changes(now=0.0), now=0.0)
    assert copy.clock_offsets_s == {"e1": (heartbeat("e1").incarnation, 40.0)}
    restarted = dataclasses.replace(heartbeat("e1"), incarnation=99)
    maker.update([restarted], now=0.2, clock_offsets_s={})
    assert copy.apply(maker.changes(now=0.2), now=0.2)
    snapshot = copy.snapshot()
    assert snapshot is not None and late_copy.apply(snapshot, now=0.3)
    assert not copy.clock_offsets_s and not late_copy.clock_offsets_s
