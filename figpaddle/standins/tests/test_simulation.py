"""The fake engine and the load generator under a virtual clock."""

from __future__ import annotations

from figpaddle.deployment import PolicyWeights
from figpaddle.routing import Demand, RoundRobinPolicy, ScoredPolicy
from figpaddle.standins import (
    ClassShape,
    EngineSpeed,
    Job,
    RunFault,
    RunSettings,
    Traffic,
    TrafficShape,
    VirtualEngine,
    VirtualRun,
)
from figpaddle.wire import Prefix

SHAPE = TrafficShape(
    member="m",
    service="s",
    regions=("a", "b"),
    workspaces=4,
    classes=(
        ClassShape(
            name="chat",
            priority=0,
            part=1.0,
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


def settings(**changes: object) -> RunSettings:
    fields: dict[str, object] = {
        "shape": SHAPE,
        "engines": {"a": 1, "b": 1},
        "speed": EngineSpeed(),
        "deciders": 2,
        "bytes_per_s": 1e7,
        "one_way_s": 0.08,
        "weights": PolicyWeights(),
        "rate_per_s": 4.0,
        "duration_s": 40.0,
        "seed": 3,
        "policy": lambda rng: ScoredPolicy(rng=rng),
    }
    return RunSettings(**{**fields, **changes})  # type: ignore[arg-type]


def engine(**speed: float) -> VirtualEngine:
    return VirtualEngine(name="e", region="a", speed=EngineSpeed(**speed))  # type: ignore[arg-type]


def job(events: list[str], name: str, *, priority: int = 0, tokens: int = 800) -> Job:
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
        on_first=lambda at, cached: events.append(f"{name} {at:.1f} {cached}"),
        on_done=lambda at: events.append(f"{name} done"),
    )


def test_earlier_class_is_prefilled_first_but_interrupts_nothing() -> None:
    events: list[str] = []
    served = engine()
    for name, priority in (("late", 1), ("later", 1), ("chat", 0)):
        served.submit(job(events, name, priority=priority), now=0.0)
    served.advance(now=5.0)
    first = [event.split()[0] for event in events if "done" not in event]
    assert first == ["late", "chat", "later"]


def test_prefix_cache_is_limited() -> None:
    events: list[str] = []
    served = engine(cache_tokens=1000)
    for number, name in enumerate(("x", "x", "y", "x")):
        served.submit(job(events, name), now=float(number * 5))
    served.advance(now=30.0)
    assert [event.split()[2] for event in events if "done" not in event] == ["0", "800", "0", "0"]


def test_cancelled_prefill_frees_its_slot_at_once() -> None:
    events: list[str] = []
    served = engine()
    long = job(events, "long", tokens=80_000)
    served.submit(long, now=0.0)
    served.submit(job(events, "short"), now=0.0)
    served.cancel(long, now=1.0)
    served.advance(now=2.0)
    assert events[0].startswith("short 1.1")


def test_traffic_is_the_same_for_every_policy() -> None:
    runs = [
        VirtualRun(settings=settings(policy=policy)).run()
        for policy in (lambda rng: RoundRobinPolicy(), lambda rng: ScoredPolicy(rng=rng), None)
    ]
    arrivals = [sorted((one.at, one.class_name, one.nominal_work_s) for one in run) for run in runs]
    assert arrivals[0] == arrivals[1] == arrivals[2]
    assert len(arrivals[0]) == len(
        list(Traffic(shape=SHAPE, rate_per_s=4.0, seed=3).arrivals(until=40.0))
    )


def test_run_repeats_exactly() -> None:
    assert VirtualRun(settings=settings()).run() == VirtualRun(settings=settings()).run()


def test_lost_region_is_served_by_the_other() -> None:
    fault = RunFault(kind="region lost", target="a", begins=10.0, ends=30.0)
    results = VirtualRun(settings=settings(faults=(fault,))).run()
    during = [one for one in results if 12.0 < one.at < 30.0]
    assert sum(1 for one in during if one.away) > len(during) / 4
    assert sum(1 for one in during if one.outcome == "answered") > 0.9 * len(during)


def test_partition_lets_nothing_cross() -> None:
    fault = RunFault(kind="partition", target="a", begins=0.0, ends=99.0)
    busy = {"engines": {"a": 1, "b": 2}, "rate_per_s": 16.0}
    whole = VirtualRun(settings=settings(**busy)).run()
    cut = VirtualRun(settings=settings(faults=(fault,), **busy)).run()
    assert any(one.away for one in whole)
    assert not any(one.away for one in cut)
