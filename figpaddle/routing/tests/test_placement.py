"""Choices of the scored policy and the events that it learns from."""

from __future__ import annotations

import dataclasses
import random

import pytest

from figpaddle.deployment import PolicyWeights
from figpaddle.routing import (
    Demand,
    Finished,
    FirstToken,
    KnownBackend,
    Placement,
    PlacementOptions,
    RegionOption,
    Reported,
    RoundRobinPolicy,
    ScoredPolicy,
    Sent,
)
from figpaddle.routing._scored import MAX_PENDING_ESTIMATES
from figpaddle.wire import BackendInfo, CacheEvent, Prefix

PROMPT = (Prefix(digest=1, tokens=2000), Prefix(digest=2, tokens=4000))


def backend(
    name: str, *, running: int = 0, received_at: float = 0.0, **fields: int
) -> KnownBackend:
    info = BackendInfo(
        name=name,
        address="",
        region="seoul",
        zone="",
        services=("hanbit/draft",),
        incarnation=fields.pop("incarnation", 1),
        sequence=1,
        slots=16,
        running=running,
        **fields,
    )
    return KnownBackend(info=info, received_at=received_at)


def demand(number: int = 0, *, prompt: bool = False, **fields: object) -> Demand:
    default = Demand(
        request_id=f"r{number}",
        member="hanbit",
        service="hanbit/draft",
        priority=0,
        deadline_s=10.0,
        prefixes=PROMPT if prompt else (),
        prompt_tokens=4000 if prompt else 100,
        body_bytes=16_000,
    )
    return dataclasses.replace(default, **fields)  # type: ignore[arg-type]


def region(**fields: float) -> RegionOption:
    default = RegionOption(region="busan", backends=2, slots=32, load=0, room=27)
    return dataclasses.replace(default, **fields)  # type: ignore[arg-type]


def place(
    policy: ScoredPolicy, request: Demand, options: PlacementOptions, *, now: float
) -> Placement:
    placement = policy.place(request, options, now=now)
    assert placement is not None
    policy.observe(Sent(demand=request, target=placement.target), now=now)
    return placement


def observe_response(
    policy: ScoredPolicy, request: Demand, target: str, *, at: float, token_s: float
) -> None:
    policy.observe(FirstToken(demand=request, target=target), now=at)
    policy.observe(Finished(demand=request, target=target, tokens=11), now=at + 10 * token_s)


def new_policy() -> ScoredPolicy:
    return ScoredPolicy(rng=random.Random(7))


def policy_with_duration() -> ScoredPolicy:
    """Return a policy that has seen a request occupy its slot for three seconds."""
    policy = new_policy()
    request = demand(-1)
    target = place(policy, request, PlacementOptions(backends=(backend("a"),)), now=-10.0).target
    policy.observe(FirstToken(demand=request, target=target), now=-9.9)
    policy.observe(Finished(demand=request, target=target, tokens=1), now=-6.9)
    return policy


def test_session_returns_to_its_cached_prefix_until_the_engine_is_overloaded() -> None:
    policy = new_policy()
    idle = PlacementOptions(backends=(backend("a"), backend("b")))
    first_target = place(policy, demand(prompt=True), idle, now=0.0).target
    observe_response(policy, demand(prompt=True), first_target, at=0.5, token_s=0.02)
    later_targets = [
        place(policy, demand(n, prompt=True), idle, now=1.0).target for n in range(1, 4)
    ]
    assert later_targets == [first_target] * 3
    full = PlacementOptions(
        backends=tuple(
            backend(n, running=60 if n == first_target else 0, received_at=2.0) for n in "ab"
        )
    )
    assert place(policy, demand(9, prompt=True), full, now=2.0).target != first_target


@pytest.mark.parametrize(("evicted", "is_cached"), [(False, True), (True, False)])
def test_cache_events_decide_where_a_prompt_is_cached(evicted: bool, is_cached: bool) -> None:
    policy = new_policy()
    stored = tuple(CacheEvent(digest=prefix.digest, stored=True) for prefix in PROMPT)
    dropped = tuple(dataclasses.replace(event, stored=False) for event in stored)
    known = backend("b")
    info = dataclasses.replace(known.info, cache_events=stored + (dropped if evicted else ()))
    policy.observe(Reported(info=info), now=0.0)
    options = PlacementOptions(backends=(backend("a"), known))
    chosen = [policy.place(demand(n, prompt=True), options, now=0.1) for n in range(20)]
    assert (
        all(placement is not None and placement.target == "b" for placement in chosen) is is_cached
    )


def test_restarted_engine_counts_as_cold() -> None:
    policy = new_policy()
    place(policy, demand(prompt=True), PlacementOptions(backends=(backend("a"),)), now=0.0)
    observe_response(policy, demand(prompt=True), "a", at=0.5, token_s=0.02)
    options = PlacementOptions(backends=(backend("a", incarnation=2), backend("b")))
    warm = policy.place(demand(1, prompt=True), PlacementOptions(backends=(backend("a"),)), now=1.0)
    cold = policy.place(
        demand(2, prompt=True), dataclasses.replace(options, backends=options.backends[:1]), now=1.0
    )
    assert warm is not None and cold is not None
    assert warm.expected_s is not None and cold.expected_s is not None
    assert cold.expected_s > warm.expected_s + 0.1


def test_tenfold_slow_engine_gets_less_than_a_fifteenth_of_the_requests() -> None:
    policy = new_policy()
    options = PlacementOptions(backends=tuple(backend(name) for name in "abcde"))
    now, counts = 0.0, dict.fromkeys("abcde", 0)
    for number in range(2000):
        now += 0.05
        target = place(policy, demand(number), options, now=now).target
        slow = 10.0 if target == "c" else 1.0
        observe_response(policy, demand(number), target, at=now + 0.1 * slow, token_s=0.02 * slow)
        counts[target] += number >= 200
    assert 0 < counts["c"] < 1800 / 15


def test_overdue_first_tokens_reveal_a_slow_engine_before_any_response() -> None:
    policy = new_policy()
    options = PlacementOptions(backends=(backend("a"), backend("b", running=12)))
    for number in range(2):
        policy.place(demand(number), options, now=0.0)
        policy.observe(Sent(demand=demand(number), target="a"), now=0.0)
    later = [policy.place(demand(n), options, now=6.0) for n in range(10, 30)]
    assert all(placement is not None and placement.target == "b" for placement in later)


def test_waiting_requests_of_low_priority_do_not_make_an_engine_slow_for_urgent_ones() -> None:
    policy = ScoredPolicy(rng=random.Random(1))
    options = PlacementOptions(backends=(backend("a"),))
    for number in range(4):
        waiting = demand(number, priority=2)
        policy.place(waiting, options, now=0.0)
        policy.observe(Sent(demand=waiting, target="a"), now=0.0)
    urgent = policy.place(demand(9), options, now=9.0)
    patient = policy.place(demand(10, priority=2), options, now=9.0)
    assert urgent is not None and urgent.expected_s is not None
    assert patient is not None and patient.expected_s is not None
    assert urgent.expected_s < 0.1 < patient.expected_s


def test_requests_sent_since_the_report_are_added_to_it() -> None:
    policy = new_policy()
    options = PlacementOptions(backends=(backend("a", running=10), backend("b", running=13)))
    targets = []
    for number in range(12):
        targets.append(place(policy, demand(number), options, now=0.1).target)
        policy.observe(FirstToken(demand=demand(number), target=targets[-1]), now=0.15)
    assert 3 <= targets.count("b") <= 7


def test_stale_report_counts_less_than_local_requests() -> None:
    policy = new_policy()
    options = PlacementOptions(backends=(backend("a", running=40), backend("b")))
    with_fresh_report = [policy.place(demand(n), options, now=0.1) for n in range(20)]
    assert {placement.target for placement in with_fresh_report if placement is not None} == {"b"}
    with_stale_report = [policy.place(demand(n), options, now=60.0) for n in range(40)]
    assert {placement.target for placement in with_stale_report if placement is not None} == {
        "a",
        "b",
    }


def test_independent_instances_spread_over_equal_engines() -> None:
    options = PlacementOptions(
        backends=tuple(backend(name) for name in "abcd"), placing_instances=8
    )
    chosen = [
        ScoredPolicy(rng=random.Random(seed)).place(demand(), options, now=0.0)
        for seed in range(200)
    ]
    targets = [placement.target for placement in chosen if placement is not None]
    assert max(targets.count(name) for name in "abcd") < 80


def test_new_engine_gets_a_slow_start() -> None:
    policy = new_policy()
    initial_options = PlacementOptions(backends=(backend("a"),))
    observe_response(
        policy,
        demand(),
        place(policy, demand(), initial_options, now=0.0).target,
        at=0.1,
        token_s=0.02,
    )
    busy = tuple(backend(name, running=6, received_at=100.0) for name in ("a", "new"))
    during_ramp = [
        policy.place(demand(n), PlacementOptions(backends=busy), now=100.0) for n in range(40)
    ]
    assert {placement.target for placement in during_ramp if placement is not None} == {"a"}
    busy = tuple(backend(name, running=6, received_at=130.0) for name in ("a", "new"))
    after_ramp = [
        policy.place(demand(n), PlacementOptions(backends=busy), now=130.0) for n in range(40)
    ]
    assert {placement.target for placement in after_ramp if placement is not None} == {"a", "new"}


@pytest.mark.parametrize(
    ("running", "room", "weights", "leaves"),
    [
        (2, 27, PolicyWeights(), False),
        (60, 27, PolicyWeights(), True),
        (60, 0, PolicyWeights(), False),
        (18, 27, PolicyWeights(tail=2.0, sent_away=0.1), True),
        (18, 27, PolicyWeights(tail=0.5, cost=1.0, sent_away=4.0), False),
    ],
)
def test_leaving_the_region_depends_on_load_capacity_and_weights(
    running: int, room: int, weights: PolicyWeights, leaves: bool
) -> None:
    options = PlacementOptions(
        backends=(backend("a", running=running),), regions=(region(room=room),), weights=weights
    )
    placement = policy_with_duration().place(demand(), options, now=0.0)
    assert placement is not None
    assert (placement.region is not None) is leaves


def test_forwarding_stops_when_the_reported_capacity_is_used_up() -> None:
    policy = new_policy()
    options = PlacementOptions(
        backends=(backend("a", running=90),), regions=(region(room=6),), placing_instances=2
    )
    regions = [place(policy, demand(n), options, now=0.1).region for n in range(20)]
    assert regions.count("busan") == 3


def test_service_without_local_backend_servers_is_forwarded_despite_little_capacity() -> None:
    policy = new_policy()
    options = PlacementOptions(backends=(), regions=(region(room=2),))
    regions = [place(policy, demand(n), options, now=0.1).region for n in range(10)]
    assert regions == ["busan"] * 10


def test_no_slot_wait_is_expected_before_a_request_was_seen_to_end() -> None:
    overloaded = PlacementOptions(backends=(backend("a", running=200),))
    without_duration = new_policy().place(demand(), overloaded, now=0.0)
    with_duration = policy_with_duration().place(demand(), overloaded, now=0.0)
    assert without_duration is not None and with_duration is not None
    assert (without_duration.expected_s or 0.0) < 1.0 < 10.0 < (with_duration.expected_s or 0.0)


def test_estimates_of_refused_choices_are_bounded() -> None:
    policy = new_policy()
    for number in range(MAX_PENDING_ESTIMATES + 50):
        policy.place(demand(number), PlacementOptions(backends=(backend("a"),)), now=0.0)
    assert len(policy._estimates) == MAX_PENDING_ESTIMATES


def test_low_bandwidth_keeps_large_requests_in_the_region() -> None:
    options = PlacementOptions(
        backends=(backend("a", running=24),), regions=(region(bytes_per_s=100_000.0),)
    )
    small = policy_with_duration().place(demand(), options, now=0.0)
    large = policy_with_duration().place(demand(body_bytes=2_000_000), options, now=0.0)
    assert small is not None and large is not None
    assert (small.region, large.region) == ("busan", None)


def test_round_robin_gives_a_region_a_turn_for_each_of_its_backend_servers() -> None:
    policy = RoundRobinPolicy()
    options = PlacementOptions(backends=(backend("a"), backend("b")), regions=(region(),))
    chosen = [policy.place(demand(n), options, now=0.0) for n in range(8)]
    targets = [placement.target for placement in chosen if placement is not None]
    assert targets == ["a", "b", "busan", "busan"] * 2
