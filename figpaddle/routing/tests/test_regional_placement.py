"""Placement and refusal within and between regions under simulated load."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random

import pytest

from figpaddle.routing import (
    REMOTE_REPORT_DELAY_S,
    BackendLoadTracker,
    BackendSubset,
    Candidate,
    Choice,
    Correction,
    Demand,
    Fleet,
    PeerLoad,
    RemoteRegion,
    choose,
    estimate,
    jittered_retry_after,
    refuse_late,
    summarize_load,
)
from figpaddle.wire import BackendRecord, BackendState, Prefix

MEMORY = 589_629
#: Digests of the prompt blocks that belong to one request alone.
_unique_digests = itertools.count(1 << 40)
SLOTS = 128


def candidates(count: int, *, slots: int = SLOTS, memory: int = MEMORY) -> list[Candidate]:
    fleet = Fleet()
    for number in range(count):
        record = BackendRecord(
            name=f"i-{number}",
            born=1,
            sequence=1,
            service="s",
            address=f"10.0.0.{number}:80",
            zone="z",
            state=BackendState.SERVING,
            slots=slots,
            warmup_s=0.0,
            age_s=0.0,
        )
        fleet.apply(record, now=0.0)
    return [
        Candidate(
            backend=backend, tracker=BackendLoadTracker(now=0.0), slots=slots, memory_tokens=memory
        )
        for backend in fleet.backends()
    ]


def demand(
    prompt: int = 3000,
    output: int = 300,
    *,
    shared: int = 0,
    prefix_digest: int = 0,
    priority: int = 1,
) -> Demand:
    prefixes: tuple[Prefix, ...] = ()
    if shared:
        prefixes = (
            Prefix(digest=prefix_digest, tokens=shared),
            Prefix(digest=next(_unique_digests), tokens=prompt),
        )
    return Demand(
        request_id="r",
        member="",
        service="s",
        priority=priority,
        deadline_s=10.0,
        prefixes=prefixes,
        prompt_tokens=prompt,
        output_tokens=output,
    )


def short_request() -> Demand:
    return Demand(
        request_id="r", member="", service="s", priority=2, deadline_s=3.0, streamed=False
    )


def send(candidate: Candidate, request: Demand, choice: Choice, key: str, *, now: float) -> None:
    candidate.tracker.note_sent(
        key,
        request,
        prefill=choice.prefill,
        memory=request.prompt_tokens + request.output_tokens,
        expected_s=choice.expected_s,
        now=now,
    )


def remote_region(
    *, room: int = 50, expected_s: float = 0.1, recently_sent: int = 0
) -> RemoteRegion:
    return RemoteRegion(
        region="far",
        expected_s=expected_s,
        room=room,
        backends=3,
        round_trip_s=0.17,
        recently_sent=recently_sent,
    )


def test_entries_concentrate_prompts_with_the_same_prefix_on_one_engine() -> None:
    """Three entries place prompts with 270 shared prefixes and don't see each other's load."""
    rng = random.Random(1)
    entries = [candidates(4) for _ in range(3)]
    engines_by_prefix: dict[int, set[str]] = collections.defaultdict(set)
    count: collections.Counter[str] = collections.Counter()
    running: list[tuple[float, Candidate, str]] = []
    for number in range(1500):
        now = number * 0.05
        for ends_at, candidate, key in [entry for entry in running if entry[0] <= now]:
            candidate.tracker.note_first_byte(key, now=now)
            candidate.tracker.note_ended(key, failed=False, now=now)
            running.remove((ends_at, candidate, key))
        request = demand(12000, shared=5382, prefix_digest=rng.randrange(270))
        local_candidates = entries[number % 3]
        choice = choose(request, local_candidates, [], rng=rng, now=now)
        assert choice is not None and choice.backend is not None
        engine = next(
            candidate
            for candidate in local_candidates
            if candidate.backend.name == choice.backend.name
        )
        send(engine, request, choice, str(number), now=now)
        running.append((now + 0.2, engine, str(number)))
        engines_by_prefix[request.prefixes[0].digest].add(choice.backend.name)
        count[choice.backend.name] += 1
    mean_engines = sum(len(engines) for engines in engines_by_prefix.values()) / len(
        engines_by_prefix
    )
    assert mean_engines <= 1.5
    assert max(count.values()) <= 1.5 * 1500 / 4


def test_prompts_spread_when_their_preferred_engine_is_busy() -> None:
    """Many requests with one shared prefix arrive at once and must not all use one engine."""
    rng = random.Random(1)
    engines = candidates(4)
    count: collections.Counter[str] = collections.Counter()
    for number in range(60):
        request = demand(12000, shared=5382, prefix_digest=7)
        choice = choose(request, engines, [], rng=rng, now=0.0)
        assert choice is not None and choice.backend is not None
        engine = next(
            candidate for candidate in engines if candidate.backend.name == choice.backend.name
        )
        send(engine, request, choice, str(number), now=0.0)
        count[choice.backend.name] += 1
    assert max(count.values()) <= 60 / 2


def test_requests_leave_an_overloaded_region_and_stay_in_a_quiet_one() -> None:
    """The load of one region exceeds its engines while another, 170 ms away, is quiet."""
    rng = random.Random(1)
    engines = candidates(1)
    local_count = remote_count = 0
    for number in range(100):
        choice = choose(
            demand(), engines, [remote_region(recently_sent=remote_count)], rng=rng, now=0.0
        )
        assert choice is not None
        if choice.backend is None:
            remote_count += 1
            continue
        local_count += 1
        send(engines[0], demand(), choice, str(number), now=0.0)
        if number == 0:
            assert remote_count == 0
    assert local_count >= 10 and remote_count >= 10


def test_requests_leave_only_within_the_capacity_of_the_other_region() -> None:
    assert (
        choose(
            demand(), [], [remote_region(room=3, recently_sent=3)], rng=random.Random(1), now=0.0
        )
        is None
    )


def test_an_engine_is_not_filled_beyond_its_memory() -> None:
    engines = candidates(1, memory=50_000)
    rng = random.Random(1)
    placed = 0
    while (choice := choose(demand(9000), engines, [], rng=rng, now=0.0)) is not None:
        send(engines[0], demand(9000), choice, str(placed), now=0.0)
        placed += 1
    assert 4 <= placed <= 5


def test_a_request_over_the_memory_limit_may_still_use_an_empty_engine() -> None:
    engines = candidates(1, memory=50_000)
    assert choose(demand(49_000), engines, [], rng=random.Random(1), now=0.0) is not None


def test_load_reports_of_other_entries_count_until_they_expire() -> None:
    engine = candidates(1)[0]
    engine.tracker.note_peer_load(
        "e",
        PeerLoad(requests=100, memory=400_000, unanswered=(0, 30), prefill=(0, 90_000)),
        now=0.0,
    )
    busy_estimate, later_estimate = (estimate(engine, demand(), now=now) for now in (0.1, 5.0))
    assert busy_estimate is not None and later_estimate is not None
    assert busy_estimate.expected_s > 1.0 > later_estimate.expected_s


def test_urgent_requests_do_not_wait_behind_lower_priority_prompts() -> None:
    engine = candidates(1)[0]
    for number in range(10):
        request = demand(12000, priority=2)
        choice = estimate(engine, request, now=0.0)
        assert choice is not None
        send(engine, request, choice, str(number), now=0.0)
    urgent = estimate(engine, demand(priority=0), now=0.0)
    patient = estimate(engine, demand(priority=2), now=0.0)
    assert urgent is not None and patient is not None
    assert urgent.expected_s < 0.2 < patient.expected_s


def test_urgent_requests_do_not_wait_for_queued_requests_that_other_entries_report() -> None:
    engine = candidates(1, slots=32)[0]
    queued = PeerLoad(requests=45, memory=300_000, unanswered=(0, 0, 20), prefill=(0, 0, 240_000))
    engine.tracker.note_peer_load("e", queued, now=0.0)
    urgent = estimate(engine, demand(priority=0), now=0.0)
    patient = estimate(engine, demand(priority=2), now=0.0)
    assert urgent is not None and patient is not None
    assert urgent.expected_s < 0.3 and patient.expected_s > 3.0
    urgent_load = summarize_load([engine], priority=0, now=0.0)
    patient_load = summarize_load([engine], priority=2, now=0.0)
    assert urgent_load.expected_s < 0.3 and patient_load.expected_s > 3.0


def test_late_answers_to_less_urgent_requests_do_not_make_an_engine_slow_for_urgent_ones() -> None:
    engine = candidates(1)[0]
    for number in range(20):
        request = demand(12000, priority=2)
        engine.tracker.note_sent(str(number), request, prefill=0, memory=0, expected_s=0.2, now=0.0)
    for number in range(10):
        engine.tracker.note_first_byte(str(number), now=2.0)
    assert engine.tracker.slowness(2, now=2.0) > 3.0
    assert engine.tracker.slowness(0, now=2.0) == 1.0


def test_a_failing_engine_is_avoided_and_used_again_later() -> None:
    good, faulty = candidates(2)
    for number in range(5):
        faulty.tracker.note_sent(
            str(number), demand(), prefill=0, memory=0, expected_s=0.1, now=0.0
        )
        faulty.tracker.note_ended(str(number), failed=True, now=0.0)
    rng = random.Random(1)
    early_choice = choose(demand(), [good, faulty], [], rng=rng, now=0.1)
    assert early_choice is not None and early_choice.backend is good.backend
    used_names = {
        choice.backend.name
        for _ in range(50)
        if (choice := choose(demand(), [good, faulty], [], rng=rng, now=60.0)) and choice.backend
    }
    assert faulty.backend.name in used_names


def test_a_silent_engine_is_avoided_before_its_requests_time_out() -> None:
    silent, good = candidates(2)
    silent.tracker.note_sent("one", demand(), prefill=0, memory=0, expected_s=0.1, now=0.0)
    choice = choose(demand(), [silent, good], [], rng=random.Random(1), now=1.5)
    assert choice is not None and choice.backend is good.backend


@pytest.mark.parametrize(("expected_s", "refused"), [(0.5, False), (2.0, False), (9.0, True)])
def test_requests_expected_far_too_late_are_refused_at_once(
    expected_s: float, refused: bool
) -> None:
    choice = Choice(
        backend=None,
        region="far",
        expected_s=expected_s,
        wait_s=expected_s,
        prefill=0.0,
        score=0.0,
    )
    refusal = refuse_late(demand(), choice, max_wait_s=4.0, rng=random.Random(1))
    assert (refusal is not None) is refused
    if refusal is not None:
        assert refusal.retry_after_s > 0


def test_long_prompts_are_refused_no_sooner_than_short_ones() -> None:
    engine = candidates(1)[0]
    for prompt in (500, 60_000):
        choice = estimate(engine, demand(prompt), now=0.0)
        assert choice is not None
        assert refuse_late(demand(prompt), choice, max_wait_s=0.1, rng=random.Random(1)) is None


def test_a_slow_engine_without_other_requests_refuses_nothing() -> None:
    """Its region may have no other engine, and a late answer is better than none."""
    engine = dataclasses.replace(candidates(1)[0], correction=Correction(factor=3.0))
    for number in range(40):
        engine.tracker.note_sent(
            str(number), demand(priority=0), prefill=0, memory=0, expected_s=0.1, now=0.0
        )
        engine.tracker.note_first_byte(str(number), now=0.8)
        engine.tracker.note_ended(str(number), failed=False, now=0.9)
    choice = estimate(engine, demand(), now=1.0)
    assert choice is not None and choice.expected_s > 0.9
    assert refuse_late(demand(), choice, max_wait_s=0.3, rng=random.Random(1)) is None


def test_a_region_is_searched_for_an_engine_with_a_short_wait_before_a_request_is_refused() -> None:
    engines = candidates(12, slots=32)
    queued = PeerLoad(requests=50, memory=0, unanswered=(20,), prefill=(200_000,))
    for engine in engines[1:]:
        engine.tracker.note_peer_load("e", queued, now=0.0)
    rng = random.Random(1)
    for _ in range(20):
        choice = choose(
            demand(priority=0), engines, [], rng=rng, now=0.0, entries=12, max_wait_s=0.3
        )
        assert choice is not None and choice.backend is engines[0].backend


def test_an_entry_leaves_its_subset_only_without_an_engine_with_room_there() -> None:
    engines = candidates(6, slots=32)
    names = [engine.backend.name for engine in engines]
    subset = BackendSubset(order=tuple(names), size=3)

    def chosen(available: list[Candidate] = engines) -> set[str]:
        rng = random.Random(1)
        choices = [
            choose(demand(), available, [], rng=rng, now=0.0, entries=4, subset=subset)
            for _ in range(30)
        ]
        return {choice.backend.name for choice in choices if choice and choice.backend}

    busy = PeerLoad(requests=40, memory=200_000, unanswered=(0, 8), prefill=(0, 60_000))
    for engine in engines[:3]:
        engine.tracker.note_peer_load("e", busy, now=0.0)
    assert chosen() == set(names[:3])
    assert chosen(engines[1:]) == {names[3]}
    for engine in engines[:3]:
        engine.tracker.note_peer_load("e", PeerLoad(requests=40, memory=MEMORY), now=0.0)
    assert chosen() == set(names[3:])


def test_a_short_wait_in_another_region_is_preferred_to_a_refusal() -> None:
    """The quiet region scores worse, because leaving the region is penalized for short prompts."""
    engine = candidates(1, slots=32)[0]
    queued = PeerLoad(requests=20, memory=0, unanswered=(10,), prefill=(28_000,))
    engine.tracker.note_peer_load("e", queued, now=0.0)
    request = demand(500, priority=0)
    arguments = {"rng": random.Random(1), "now": 0.0}
    local_choice = choose(request, [engine], [remote_region()], **arguments)  # type: ignore[arg-type]
    assert local_choice is not None and local_choice.backend is engine.backend
    remote_choice = choose(
        request, [engine], [remote_region()], max_wait_s=0.3, **arguments  # type: ignore[arg-type]
    )
    assert remote_choice is not None and remote_choice.region == "far"


def test_less_urgent_requests_leave_slots_free_for_urgent_ones() -> None:
    engine = dataclasses.replace(candidates(1, slots=32)[0], classes_above=2)
    busy = PeerLoad(requests=26, memory=100_000)
    engine.tracker.note_peer_load("e", busy, now=0.0)
    patient = estimate(engine, demand(priority=2), now=0.0)
    urgent = estimate(dataclasses.replace(engine, classes_above=0), demand(priority=0), now=0.0)
    assert patient is not None and urgent is not None
    assert patient.wait_s > 0.05 and urgent.wait_s < 0.01


def test_retry_delays_of_refused_callers_are_spread() -> None:
    rng = random.Random(1)
    times = sorted(jittered_retry_after(0.6, rng=rng) for _ in range(100))
    assert times[0] >= 0.6 and times[-1] - times[0] >= 0.5


def test_requests_are_forwarded_when_the_only_plain_server_of_a_region_leaves() -> None:
    """The only server of a service leaves its region, which gets 40 short requests a second."""
    rng = random.Random(1)
    request = short_request()
    sent: list[float] = []
    refused = 0
    for number in range(400):
        now = number * 0.025
        recent_count = sum(now - sent_at <= REMOTE_REPORT_DELAY_S for sent_at in sent)
        option = remote_region(room=8, expected_s=0.06, recently_sent=recent_count)
        if choose(request, [], [option], rng=rng, now=now) is None:
            refused += 1
        else:
            sent.append(now)
    assert refused <= 400 / 20


def test_occasional_failures_of_a_service_do_not_send_requests_away() -> None:
    """One request in seven of a third of the callers fails, at each backend server alike."""
    rng = random.Random(1)
    servers = candidates(2, slots=6, memory=0)
    request = short_request()
    running: list[tuple[float, Candidate, str]] = []
    remote_count = 0
    for number in range(400):
        now = number / 8
        for ends_at, server, key in [entry for entry in running if entry[0] <= now]:
            server.tracker.note_first_byte(key, now=ends_at)
            server.tracker.note_ended(key, failed=rng.random() < 0.14 / 3, now=ends_at)
            running.remove((ends_at, server, key))
        choice = choose(
            request, servers, [remote_region(room=8, expected_s=0.06)], rng=rng, now=now
        )
        assert choice is not None
        if choice.backend is None:
            remote_count += 1
            continue
        server = next(candidate for candidate in servers if candidate.backend is choice.backend)
        send(server, request, choice, str(number), now=now)
        running.append((now + 0.045, server, str(number)))
    assert remote_count <= 400 / 50


def test_a_healthy_server_is_preferred_over_one_that_fails_half_of_its_requests() -> None:
    rng = random.Random(1)
    healthy, faulty = servers = candidates(2, slots=6, memory=0)
    request = short_request()
    failed = 0
    for number in range(400):
        now = number / 8
        choice = choose(request, servers, [], rng=rng, now=now)
        assert choice is not None
        server = next(candidate for candidate in servers if candidate.backend is choice.backend)
        fails = server is faulty and rng.random() < 0.5
        failed += fails
        send(server, request, choice, str(number), now=now)
        server.tracker.note_ended(str(number), failed=fails, now=now)
    assert failed <= 400 / 20


def test_short_requests_queue_locally_instead_of_leaving() -> None:
    """All twelve slots hold short requests and a few more wait, while the other region is idle."""
    rng = random.Random(1)
    servers = candidates(2, slots=6, memory=0)
    request = short_request()
    for server in servers:
        for number in range(9):
            server.tracker.note_sent(
                str(number), request, prefill=0, memory=0, expected_s=0.05, now=-number * 0.005
            )
    choices = [
        choose(request, servers, [remote_region(expected_s=0.06)], rng=rng, now=0.0)
        for _ in range(50)
    ]
    assert all(choice is not None and choice.backend is not None for choice in choices)
    for server in servers:
        for number in range(9, 40):
            server.tracker.note_sent(
                str(number), request, prefill=0, memory=0, expected_s=0.05, now=0.0
            )
    choice = choose(request, servers, [remote_region(expected_s=0.06)], rng=rng, now=0.0)
    assert choice is not None and choice.backend is None


def test_prefixes_leave_an_overloaded_region_one_by_one() -> None:
    """Half of the prompts must leave; a prefix computed in both regions stays cached in neither."""
    rng = random.Random(1)
    remote_by_prefix: collections.Counter[int] = collections.Counter()
    requests_by_prefix: collections.Counter[int] = collections.Counter()
    for _ in range(3000):
        busy_engines = candidates(4)
        for engine in busy_engines:
            queue = demand(int(rng.uniform(22_000, 38_000)), priority=0)
            engine.tracker.note_sent(
                "q", queue, prefill=queue.prompt_tokens, memory=0, expected_s=0.1, now=0.0
            )
        request = demand(12_000, shared=5382, prefix_digest=rng.randrange(100))
        prefix_digest = request.prefixes[0].digest
        choice = choose(
            request, busy_engines, [remote_region(expected_s=0.22)], rng=rng, now=0.0, entries=20
        )
        assert choice is not None
        requests_by_prefix[prefix_digest] += 1
        remote_by_prefix[prefix_digest] += choice.backend is None
    assert 0.3 < remote_by_prefix.total() / 3000 < 0.7
    majority_count = sum(
        max(
            remote_by_prefix[prefix_digest],
            requests_by_prefix[prefix_digest] - remote_by_prefix[prefix_digest],
        )
        for prefix_digest in requests_by_prefix
    )
    assert majority_count / 3000 >= 0.8


def test_a_long_prompt_leaves_a_busy_region_before_short_ones() -> None:
    """Requests of all sizes arrive at once, and the engines of the region have a queue."""
    rng = random.Random(1)
    remote_by_prompt: dict[int, int] = {}
    for prompt in (800, 2400, 16_000):
        choices = []
        for _ in range(100):
            busy_engines = candidates(4)
            for engine in busy_engines:
                queue = demand(int(rng.uniform(20_000, 30_000)), priority=0)
                engine.tracker.note_sent(
                    "q", queue, prefill=queue.prompt_tokens, memory=0, expected_s=0.1, now=0.0
                )
            choices.append(
                choose(
                    demand(prompt), busy_engines, [remote_region()], rng=rng, now=0.0, entries=20
                )
            )
        remote_by_prompt[prompt] = sum(
            choice is not None and choice.backend is None for choice in choices
        )
    assert (
        remote_by_prompt[800] <= 10
        and remote_by_prompt[2400] <= 10
        and remote_by_prompt[16_000] >= 90
    )


def test_an_engine_with_a_short_queue_is_preferred_over_one_with_few_free_slots() -> None:
    """Queued prompts take a fraction of a second, while streams occupy slots longer."""
    rng = random.Random(1)
    full, queued = candidates(2, slots=32)
    for number in range(31):
        full.tracker.note_sent(
            str(number), demand(), prefill=0, memory=1000, expected_s=0.1, now=0.0
        )
        full.tracker.note_first_byte(str(number), now=0.1)
    queue = demand(16_000, priority=0)
    queued.tracker.note_sent("q", queue, prefill=16_000, memory=16_000, expected_s=0.1, now=0.1)
    choices = [choose(demand(800), [full, queued], [], rng=rng, now=0.1) for _ in range(20)]
    assert all(choice is not None and choice.backend is queued.backend for choice in choices)
