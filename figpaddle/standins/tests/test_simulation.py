"""The simulated engine, the generated traffic and the simulation of placement policies."""

from __future__ import annotations

from figpaddle.deployment import PolicyWeights
from figpaddle.routing import Demand, RoundRobinPolicy, ScoredPolicy
from figpaddle.standins import (
    EngineSpeed,
    Job,
    RequestClass,
    SimulatedEngine,
    SimulatedFault,
    Simulation,
    SimulationSettings,
    Traffic,
    TrafficProfile,
)
from figpaddle.wire import Prefix

TRAFFIC = TrafficProfile(
    member="m",
    service="s",
    regions=("a", "b"),
    workspaces=4,
    classes=(
        RequestClass(
            name="chat",
            priority=0,
            session_fraction=1.0,
            deadline_s=2.0,
            common_tokens=400,
            workspace_tokens=800,
            turn_tokens=60,
            output_tokens=40,
            turns=3.0,
            think_s=2.0,
        ),
    ),
)


def settings(**changes: object) -> SimulationSettings:
    fields: dict[str, object] = {
        "traffic": TRAFFIC,
        "engines": {"a": 1, "b": 1},
        "speed": EngineSpeed(),
        "instances_per_region": 2,
        "bytes_per_s": 1e7,
        "one_way_s": 0.08,
        "weights": PolicyWeights(),
        "rate_per_s": 4.0,
        "duration_s": 40.0,
        "seed": 3,
        "policy": lambda rng: ScoredPolicy(rng=rng),
    }
    return SimulationSettings(**{**fields, **changes})  # type: ignore[arg-type]


def make_engine(**speed: float) -> SimulatedEngine:
    return SimulatedEngine(name="e", region="a", speed=EngineSpeed(**speed))  # type: ignore[arg-type]


def make_job(events: list[str], name: str, *, priority: int = 0, tokens: int = 800) -> Job:
    demand = Demand(
        request_id=name,
        member="m",
        service="s",
        priority=priority,
        deadline_s=9.0,
        prefixes=(Prefix(digest=hash(name), tokens=tokens),),
        prompt_tokens=tokens,
    )
    return Job(
        demand=demand,
        output_tokens=20,
        on_first_token=lambda at, cached: events.append(f"{name} {at:.1f} {cached}"),
        on_done=lambda at: events.append(f"{name} done"),
    )


def test_higher_priority_is_prefilled_first_without_preemption() -> None:
    events: list[str] = []
    engine = make_engine()
    for name, priority in (("late", 1), ("later", 1), ("chat", 0)):
        engine.submit(make_job(events, name, priority=priority), now=0.0)
    engine.advance(now=5.0)
    first_token_order = [event.split()[0] for event in events if "done" not in event]
    assert first_token_order == ["late", "chat", "later"]


def test_prefix_cache_evicts_beyond_its_capacity() -> None:
    events: list[str] = []
    engine = make_engine(cache_tokens=1000)
    for number, name in enumerate(("x", "x", "y", "x")):
        engine.submit(make_job(events, name), now=float(number * 5))
    engine.advance(now=30.0)
    assert [event.split()[2] for event in events if "done" not in event] == ["0", "800", "0", "0"]


def test_cancelled_prefill_frees_its_slot_at_once() -> None:
    events: list[str] = []
    engine = make_engine()
    long_job = make_job(events, "long", tokens=80_000)
    engine.submit(long_job, now=0.0)
    engine.submit(make_job(events, "short"), now=0.0)
    engine.cancel(long_job, now=1.0)
    engine.advance(now=2.0)
    assert events[0].startswith("short 1.1")


def test_traffic_is_the_same_for_every_policy() -> None:
    runs = [
        Simulation(settings=settings(policy=policy)).run()
        for policy in (lambda rng: RoundRobinPolicy(), lambda rng: ScoredPolicy(rng=rng), None)
    ]
    arrivals = [
        sorted((result.arrived_at, result.class_name, result.nominal_work_s) for result in run)
        for run in runs
    ]
    assert arrivals[0] == arrivals[1] == arrivals[2]
    assert len(arrivals[0]) == len(
        list(Traffic(profile=TRAFFIC, rate_per_s=4.0, seed=3).arrivals(until=40.0))
    )


def test_simulation_is_deterministic() -> None:
    assert Simulation(settings=settings()).run() == Simulation(settings=settings()).run()


def test_requests_of_a_lost_region_are_served_by_the_other() -> None:
    fault = SimulatedFault(kind="region lost", target="a", starts_at=10.0, ends_at=30.0)
    results = Simulation(settings=settings(faults=(fault,))).run()
    during_fault = [result for result in results if 12.0 < result.arrived_at < 30.0]
    assert sum(1 for result in during_fault if result.is_remote) > len(during_fault) / 4
    assert sum(1 for result in during_fault if result.outcome == "answered") > 0.9 * len(
        during_fault
    )


def test_partition_prevents_forwarding() -> None:
    fault = SimulatedFault(kind="partition", target="a", starts_at=0.0, ends_at=99.0)
    high_load = {"engines": {"a": 1, "b": 2}, "rate_per_s": 16.0}
    connected = Simulation(settings=settings(**high_load)).run()
    partitioned = Simulation(settings=settings(faults=(fault,), **high_load)).run()
    assert any(result.is_remote for result in connected)
    assert not any(result.is_remote for result in partitioned)
