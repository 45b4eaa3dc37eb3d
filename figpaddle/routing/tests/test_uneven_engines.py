"""Placement among engines that differ in speed, pace and load, and the order in which requests start."""

from __future__ import annotations

import collections
import dataclasses
import random

import pytest

from figpaddle.routing import (
    BackendLoadTracker,
    BackendReport,
    Candidate,
    Demand,
    Fleet,
    UrgencyOrder,
    choose,
    estimate,
    refuse_late,
)
from figpaddle.wire import BackendRecord, BackendState


def engines(*names: str, fleet: Fleet | None = None) -> list[Candidate]:
    fleet = Fleet() if fleet is None else fleet
    for number, name in enumerate(names):
        record = BackendRecord(
            name=name,
            born=1,
            sequence=1,
            service="s",
            address=f"10.0.0.{number}:80",
            zone="z",
            state=BackendState.SERVING,
            slots=64,
            warmup_s=0.0,
            age_s=0.0,
        )
        fleet.apply(record, now=0.0)
    return [
        Candidate(
            backend=backend,
            tracker=BackendLoadTracker(now=0.0),
            slots=64,
            memory_tokens=450_000,
        )
        for backend in fleet.backends()
    ]


def demand(*, prompt: int = 6000, longest_pause_s: float = 0.0) -> Demand:
    return Demand(
        request_id="r",
        member="",
        service="s",
        priority=1,
        deadline_s=10.0,
        prompt_tokens=prompt,
        output_tokens=300,
        longest_pause_s=longest_pause_s,
    )


def serve(candidate: Candidate, *, takes: float, count: int) -> None:
    """Have an engine serve requests one by one, each in ``takes`` times its estimate."""
    now = 0.0
    for number in range(count):
        choice = estimate(candidate, demand(), now=now)
        assert choice is not None
        candidate.tracker.note_sent(
            f"{number}",
            demand(),
            prefill=choice.prefill,
            memory=6300,
            expected_s=choice.expected_s,
            usual_s=choice.usual_s,
            now=now,
        )
        now += choice.usual_s * takes
        candidate.tracker.note_first_byte(f"{number}", now=now)
        candidate.tracker.note_ended(f"{number}", failed=False, now=now)


def serve_at_once(candidate: Candidate, *, count: int, now: float) -> None:
    """Send an engine streams that stay in progress."""
    for number in range(count):
        candidate.tracker.note_sent(
            f"{number}", demand(), prefill=100, memory=400, expected_s=0.1, now=now
        )


def used(candidates: list[Candidate], wanted: Demand, *, now: float) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    for seed in range(60):
        choice = choose(wanted, candidates, [], rng=random.Random(seed), now=now)
        assert choice is not None and choice.backend is not None
        counts[choice.backend.name] += 1
    return counts


def test_an_engine_with_few_answers_is_tried_beside_one_that_is_known_to_be_fast() -> None:
    known, unknown = candidates = engines("known", "unknown")
    serve(known, takes=0.5, count=80)
    serve(unknown, takes=0.5, count=4)
    counts = used(candidates, demand(prompt=3000), now=60.0)
    assert min(counts["known"], counts["unknown"]) >= 15, counts


def test_the_expected_time_at_a_slow_engine_follows_its_answers() -> None:
    slow, fast = engines("slow", "fast")
    serve(slow, takes=1.7, count=80)
    serve(fast, takes=0.7, count=80)
    at_slow, at_fast = (estimate(engine, demand(), now=60.0) for engine in (slow, fast))
    assert at_slow is not None and at_fast is not None
    assert at_slow.expected_s / at_fast.expected_s == pytest.approx(1.7 / 0.7, rel=0.15)


def test_long_streams_avoid_an_engine_whose_events_come_slowly_and_short_ones_do_not() -> None:
    slow, quick = engines("slow", "quick")
    for number in range(100):
        for engine, gap_s in ((slow, 0.3), (quick, 0.05)):
            engine.tracker.stream_pace.note(gap_s, now=number * gap_s)
    assert used([slow, quick], demand(longest_pause_s=0.4), now=30.0)["slow"] == 0
    assert used([slow, quick], demand(), now=30.0)["slow"] > 10


def test_requests_that_the_engine_reports_beyond_the_known_ones_delay_the_next() -> None:
    (engine,) = engines("a")
    idle = estimate(engine, demand(), now=0.0)
    report = BackendReport(running=10, waiting=20, slots=64)
    engine.tracker.note_backend_report(report, now=0.0)
    at_once, later = (estimate(engine, demand(), now=now) for now in (0.0, 2.0))
    assert idle is not None and at_once is not None and later is not None
    assert at_once.wait_s > 0.2
    assert later.expected_s == idle.expected_s


def test_a_moment_in_which_work_takes_longer_counts_and_passes() -> None:
    (engine,) = engines("a")
    idle = estimate(engine, demand(), now=0.0)
    report = BackendReport(running=0, waiting=0, slots=64, pace=2.5)
    engine.tracker.note_backend_report(report, now=0.0)
    at_once, later = (estimate(engine, demand(), now=now) for now in (0.0, 3.0))
    assert idle is not None and at_once is not None and later is not None
    assert at_once.expected_s == pytest.approx(2.5 * idle.expected_s)
    assert later.expected_s == pytest.approx(idle.expected_s, rel=0.01)


def place_burst(
    candidates: list[Candidate], *, count: int, now: float = 0.0
) -> collections.Counter[str]:
    """Place requests that come at once, before any is answered."""
    counts: collections.Counter[str] = collections.Counter()
    rng = random.Random(3)
    for number in range(count):
        paced = [
            dataclasses.replace(item, paced_slots=item.tracker.slots_in_use(64, now=now))
            for item in candidates
        ]
        choice = choose(demand(prompt=100), paced, [], rng=rng, now=now)
        assert choice is not None and choice.backend is not None
        counts[choice.backend.name] += 1
        tracker = next(item.tracker for item in candidates if item.backend is choice.backend)
        tracker.note_sent(
            f"b{number}", demand(prompt=100), prefill=100, memory=400, expected_s=0.1, now=now
        )
    return counts


def test_a_burst_does_not_flood_an_engine_that_has_just_started() -> None:
    old, new = engines("old", "new")
    new = dataclasses.replace(new, tracker=BackendLoadTracker(now=0.0, has_just_started=True))
    for number in range(12):
        old.tracker.note_sent(
            f"{number}", demand(prompt=100), prefill=0, memory=400, expected_s=0.1, now=0.0
        )
    counts = place_burst([old, new], count=30)
    assert 0 < counts["new"] <= 10


def test_no_request_is_refused_for_the_pace_of_the_only_engine() -> None:
    (engine,) = engines("new")
    tracker = BackendLoadTracker(now=0.0, has_just_started=True)
    engine = dataclasses.replace(engine, tracker=tracker)
    assert place_burst([engine], count=40) == {"new": 40}
    paced = dataclasses.replace(engine, paced_slots=tracker.slots_in_use(64, now=0.0))
    choice = estimate(paced, demand(prompt=100), now=0.0)
    assert choice is not None
    assert refuse_late(demand(prompt=100), choice, max_wait_s=0.4, rng=random.Random(1)) is None


def test_an_engine_that_has_just_started_is_used_wholly_once_it_answers_in_time() -> None:
    (engine,) = engines("new")
    tracker = BackendLoadTracker(now=0.0, has_just_started=True)
    engine = dataclasses.replace(engine, tracker=tracker)
    first = tracker.slots_in_use(64, now=0.0)
    serve(engine, takes=5.0, count=10)
    assert tracker.slots_in_use(64, now=0.0) == first
    tracker = BackendLoadTracker(now=0.0, has_just_started=True)
    engine = dataclasses.replace(engine, tracker=tracker)
    tracker.slots_in_use(64, now=0.0)
    serve(engine, takes=1.0, count=60)
    assert tracker.slots_in_use(64, now=0.0) == 64


def test_a_burst_does_not_flood_an_engine_that_is_reached_again() -> None:
    fleet = Fleet()
    old, back = engines("old", "back", fleet=fleet)
    for number in range(12):
        old.tracker.note_sent(
            f"{number}", demand(prompt=100), prefill=0, memory=400, expected_s=0.1, now=9.8
        )
    fleet.note_unreachable("back", now=8.5)
    assert back.backend.recovers_at(now=8.5) is None
    backoff_s = fleet.note_unreachable("back", now=9.0)
    recovers_at = back.backend.recovers_at(now=9.0)
    assert recovers_at == 9.0 + backoff_s
    back.tracker.begin_pace(at=recovers_at)
    assert 0 < place_burst([old, back], count=30, now=9.8)["back"] <= 10


def test_answers_from_before_a_pause_do_not_speed_up_the_time_after_it() -> None:
    fleet = Fleet()
    (engine,) = engines("back", fleet=fleet)
    first = BackendLoadTracker(now=0.0, has_just_started=True).slots_in_use(64, now=0.0)
    engine.tracker.slots_in_use(64, now=0.0)
    serve_at_once(engine, count=40, now=0.0)
    assert fleet.note_pause("back", 3.0, born=1, now=0.1)
    recovers_at = engine.backend.recovers_at(now=0.1)
    assert recovers_at == pytest.approx(3.1)
    engine.tracker.begin_pace(at=recovers_at)
    for number in range(40):
        engine.tracker.note_first_byte(f"{number}", now=0.2)
    assert engine.tracker.slots_in_use(64, now=recovers_at) == first
    assert engine.tracker.slots_in_use(64, now=recovers_at + 9.0) == 64


def test_requests_with_a_long_target_start_after_those_that_cannot_wait() -> None:
    order = UrgencyOrder(routes=[(0, 2.5), (1, 1.5), (2, 1.2), (0, 2.4)])
    urgencies = [
        order.urgency(priority=priority, target_s=target_s)
        for priority, target_s in ((1, 1.5), (2, 1.2), (0, 2.5))
    ]
    assert urgencies == [0, 1, 2]


@pytest.mark.parametrize(
    "routes",
    [
        [(0, 0.8), (1, 0.6), (2, 1.0)],
        [(0, 0.8), (1, 0.8), (2, 2.5)],
        [(2, 0.4)],
        [(5, 1.0), (7, 2.0)],
    ],
)
def test_the_order_of_starts_is_that_of_the_priorities_where_targets_do_not_differ_much(
    routes: list[tuple[int, float]],
) -> None:
    order = UrgencyOrder(routes=routes)
    for priority, target_s in routes:
        assert order.urgency(priority=priority, target_s=target_s) == priority
