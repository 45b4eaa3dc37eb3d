"""Placement of streams among servers where some streams pause longer than their callers accept."""

from __future__ import annotations

import heapq
import itertools
import random

from figpaddle.routing import Candidate, Demand, PauseRisk, RemoteRegion, choose
from figpaddle.routing.tests.test_uneven_engines import engines

ACCEPTED_S, USUAL_S, SLOW_S = 0.4, 0.06, 0.5
EVENTS = 29


def stream(*, events: int = EVENTS) -> Demand:
    return Demand(
        request_id="r",
        member="",
        service="s",
        priority=1,
        deadline_s=10.0,
        prompt_tokens=700,
        output_tokens=10 * events,
        longest_pause_s=ACCEPTED_S,
        events=events,
    )


def remote(risk: PauseRisk | None = None) -> RemoteRegion:
    return RemoteRegion(
        region="other",
        expected_s=0.1,
        room=40,
        backends=3,
        round_trip_s=0.17,
        recently_sent=0,
        pause_risk=risk,
    )


def run_streams(candidate: Candidate, *, count: int, paused: int) -> None:
    """Run streams one after the other from time 0, some with one long pause, in one second."""
    for number in range(count):
        candidate.tracker.note_sent(
            f"{number}", stream(), prefill=0, memory=900, expected_s=0.1, now=0.0
        )
        candidate.tracker.note_first_byte(f"{number}", now=0.1)
        at = 0.1
        for event in range(EVENTS):
            at += SLOW_S if event == 9 and number < paused else 0.02
            candidate.tracker.note_events(f"{number}", now=at)
        candidate.tracker.note_ended(f"{number}", failed=False, now=at)


def region_of(demand: Demand, candidate: Candidate, option: RemoteRegion, *, now: float) -> str:
    choice = choose(demand, [candidate], [option], rng=random.Random(1), now=now)
    assert choice is not None
    return choice.region


def test_long_streams_leave_a_region_whose_only_engine_pauses_and_short_ones_stay() -> None:
    (engine,) = engines("a")
    run_streams(engine, count=12, paused=8)
    assert region_of(stream(), engine, remote(), now=2.0) == "other"
    assert region_of(stream(events=2), engine, remote(), now=2.0) == ""
    # It is tried again once what was seen is old.
    assert region_of(stream(), engine, remote(), now=40.0) == ""


def test_a_region_whose_streams_pause_as_well_is_no_refuge() -> None:
    (engine,) = engines("a")
    run_streams(engine, count=12, paused=8)
    risk = PauseRisk()
    for _ in range(12):
        risk.note(events=EVENTS, late=1, now=1.0)
    assert region_of(stream(), engine, remote(risk), now=2.0) == ""


def test_one_pause_among_many_streams_sends_none_away() -> None:
    (engine,) = engines("a")
    run_streams(engine, count=12, paused=1)
    assert region_of(stream(), engine, remote(), now=2.0) == ""


def test_few_streams_pause_where_one_engine_of_three_is_slow_for_moments() -> None:
    """An engine pauses once in 25 events; with equal shares of the load a quarter of all streams would."""
    candidates = engines("slow", "b", "c")
    trackers = {item.backend.name: item.tracker for item in candidates}
    rng = random.Random(5)
    ends: list[tuple[float, int, str, str, float, int, bool]] = []
    order, outcomes = itertools.count(), []
    for number in range(600):
        heapq.heappush(ends, (number * 0.05, next(order), f"{number}", "", 0.0, EVENTS, False))
    while ends:
        now, _, key, name, _, left, has_paused = heapq.heappop(ends)
        if not name:
            choice = choose(stream(), candidates, [], rng=rng, now=now)
            assert choice is not None and choice.backend is not None
            name = choice.backend.name
            trackers[name].note_sent(
                key, stream(), prefill=700, memory=1000, expected_s=choice.expected_s, now=now
            )
        else:
            trackers[name].note_first_byte(key, now=now)
            trackers[name].note_events(key, now=now)
        if not left:
            trackers[name].note_ended(key, failed=False, now=now)
            outcomes.append(has_paused)
            continue
        pauses = name == "slow" and rng.random() < 1 / 25
        gap_s = SLOW_S if pauses else USUAL_S
        item = (now + gap_s, next(order), key, name, gap_s, left - 1, has_paused or pauses)
        heapq.heappush(ends, item)
    assert sum(outcomes) <= 0.05 * len(outcomes), sum(outcomes)


def test_time_in_which_events_were_read_late_or_their_caller_held_them_up_is_no_pause() -> None:
    (candidate,) = engines("a")
    tracker = candidate.tracker
    tracker.note_sent("k", stream(), prefill=0, memory=0, expected_s=0.1, now=0.0)
    tracker.note_events("k", now=0.1)
    # The process stood still from 0.15 s on.
    tracker.note_events("k", now=0.9, arrived_after=0.15)
    tracker.note_relayed("k", now=3.0)
    tracker.note_events("k", now=3.1)
    assert tracker.pause_risk.of_stream(EVENTS, now=3.1) == 0.0
    tracker.note_events("k", now=3.1 + SLOW_S, arrived_after=3.05 + SLOW_S)
    assert tracker.pause_risk.of_stream(EVENTS, now=3.1 + SLOW_S) > 0.0
