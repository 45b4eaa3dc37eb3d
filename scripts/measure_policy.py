"""Measures the placement policies under a virtual clock; prints ``name=value`` lines.

    PYTHONPATH=. .venv/bin/python scripts/measure_policy.py [--seeds N] [--table] [experiment ...]

Each experiment runs every policy over the same seeds: one seed gives the same traffic to all.
"""

from __future__ import annotations

import argparse
import dataclasses
import multiprocessing
import random
import statistics
import time
from collections.abc import Callable

from figpaddle.deployment import PolicyWeights
from figpaddle.routing import (
    Demand,
    LeastLoadPolicy,
    LeastReportedLoadPolicy,
    Options,
    Placement,
    RoundRobinPolicy,
    ScoredPolicy,
)
from figpaddle.standins import (
    ClassShape,
    EngineSpeed,
    Job,
    RunFault,
    RunResult,
    RunSettings,
    Traffic,
    TrafficShape,
    VirtualEngine,
    VirtualRun,
)

#: Processes at once.
WORKERS = 2
#: Results before this are left out, seconds.
WARM_UP_S = 60.0
#: Length of a run, seconds.
DURATION_S = 240.0
#: Length of a run with a fault, seconds.
FAULT_DURATION_S = 290.0
#: Begin and end of a fault, seconds.
FAULT_S = (100.0, 160.0)
#: Jobs kept at the engine while its capacity is measured, for each slot.
CAPACITY_JOBS_PER_SLOT = 2

#: Ends the name of a policy that runs the same seeds without the fault.
NO_FAULT = "_no_fault"

SPEED = EngineSpeed()


class PreviousPolicy(ScoredPolicy):
    """The policy before announcements told the prompt tokens still to process."""

    def place(self, demand: Demand, options: Options, *, now: float) -> Placement | None:
        """Return the choice, or None if there is nothing to choose from."""
        blind = tuple(
            dataclasses.replace(
                known,
                info=dataclasses.replace(known.info, prefill_tokens=0, prefill_tokens_first=0),
            )
            for known in options.backends
        )
        return super().place(demand, dataclasses.replace(options, backends=blind), now=now)


POLICIES: dict[str, Callable[[random.Random], object] | None] = {
    "round_robin": lambda rng: RoundRobinPolicy(),
    "least_reported": lambda rng: LeastReportedLoadPolicy(rng=rng),
    "first": lambda rng: LeastLoadPolicy(rng=rng),
    "previous": lambda rng: PreviousPolicy(rng=rng),
    "present": lambda rng: ScoredPolicy(rng=rng),
    "oracle": None,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """One member at its size."""

    shape: TrafficShape
    engines: dict[str, int]
    deciders: int
    bytes_per_s: float
    weights: PolicyWeights


MEMBERS = {
    "hanbit": Member(
        shape=TrafficShape(
            member="hanbit",
            service="draft",
            regions=("seoul", "busan", "daejeon"),
            workspaces=40,
            classes=(
                ClassShape(
                    name="chat",
                    priority=0,
                    part=0.5,
                    deadline_s=2.0,
                    common_tokens=400,
                    workspace_tokens=1600,
                    turn_tokens=80,
                    output_tokens=100,
                    turns=3.0,
                    think_s=15.0,
                ),
                ClassShape(
                    name="draft",
                    priority=1,
                    part=0.5,
                    deadline_s=5.0,
                    common_tokens=800,
                    workspace_tokens=3000,
                    turn_tokens=1500,
                    output_tokens=300,
                    turns=1.5,
                    think_s=30.0,
                    document_bytes=200_000,
                ),
            ),
        ),
        engines={"seoul": 2, "busan": 2, "daejeon": 1},
        deciders=3,
        bytes_per_s=125_000_000.0,
        weights=PolicyWeights(cost=2.0, tail=1.0, sent_away=2.0),
    ),
    "cumbre": Member(
        shape=TrafficShape(
            member="cumbre",
            service="guide",
            regions=("highlands", "guayaquil", "andes"),
            workspaces=40,
            classes=(
                ClassShape(
                    name="chat",
                    priority=0,
                    part=0.7,
                    deadline_s=1.5,
                    common_tokens=800,
                    workspace_tokens=1600,
                    turn_tokens=60,
                    output_tokens=100,
                    turns=4.0,
                    think_s=15.0,
                ),
                ClassShape(
                    name="dossier",
                    priority=1,
                    part=0.3,
                    deadline_s=30.0,
                    common_tokens=800,
                    workspace_tokens=3000,
                    turn_tokens=1500,
                    output_tokens=400,
                    turns=1.5,
                    think_s=30.0,
                    document_bytes=50_000,
                ),
            ),
        ),
        engines={"highlands": 3, "guayaquil": 3, "andes": 3},
        deciders=3,
        bytes_per_s=8_750_000.0,
        weights=PolicyWeights(cost=1.0, tail=2.0, sent_away=0.5),
    ),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Experiment:
    """Load and faults of one experiment."""

    load: float
    fault: str | None = None
    hot_part: float = 0.0


EXPERIMENTS = {
    "peak90": Experiment(load=0.9),
    "peak110": Experiment(load=1.1),
    "peak200": Experiment(load=2.0),
    "region_lost": Experiment(load=0.6, fault="region lost"),
    "engine_slow": Experiment(load=0.7, fault="engine slow"),
    "reports_missing": Experiment(load=0.8, fault="reports missing"),
    "calm": Experiment(load=0.3),
    "hot_prefix": Experiment(load=0.8, hot_part=0.4),
    "partition": Experiment(load=0.8, fault="partition"),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Capacity:
    """What all engines of a member can serve together with warm caches."""

    #: Requests a second in the usual mix.
    requests_per_s: float
    #: Nominal work, seconds of an engine a second.
    work: float


def capacity_of(member: Member) -> Capacity:
    """Return what all engines of ``member`` can serve: load 100%.

    One engine gets, in the order of arrival, the requests of its part of the sessions, so that its
    cache is as warm as placement can make it, and always has more jobs than slots.
    """
    count = sum(member.engines.values())
    engine = VirtualEngine(name="one", region="", speed=SPEED)
    traffic = Traffic(shape=member.shape, rate_per_s=60.0, seed=0)
    done: list[float] = []
    work: list[float] = []
    arrivals = (
        arrival
        for arrival in traffic.arrivals(until=600.0)
        if arrival.demand.prefixes[1].digest % count == 0
    )
    now = 0.0
    for outstanding, arrival in enumerate(arrivals, start=1):
        job = Job(
            demand=dataclasses.replace(arrival.demand, priority=0),
            output_tokens=arrival.output_tokens,
            on_first=lambda at, cached: None,
            on_done=done.append,
        )
        engine.submit(job, now=now)
        work.append(
            SPEED.work_s(uncached_tokens=arrival.new_tokens, output_tokens=arrival.output_tokens)
        )
        while outstanding - len(done) >= CAPACITY_JOBS_PER_SLOT * SPEED.slots:
            now = engine.next_at() or now
            engine.advance(now=now + 1e-9)
    half = len(done) // 2
    rate = count * (len(done) - half) / (done[-1] - done[half - 1])
    return Capacity(requests_per_s=rate, work=rate * statistics.fmean(work))


def fault_of(experiment: Experiment, member: Member) -> tuple[RunFault, ...]:
    """Return the fault of an experiment.

    A partition cuts off the first region, which is at its peak and sends work away; other faults
    befall the second.
    """
    if experiment.fault is None:
        return ()
    region = member.shape.regions[0 if experiment.fault == "partition" else 1]
    target = f"{region}-e0" if experiment.fault == "engine slow" else region
    if experiment.fault == "reports missing":
        target = "*"
    begins, ends = FAULT_S
    return (RunFault(kind=experiment.fault, target=target, begins=begins, ends=ends),)


def run_one(task: tuple[str, str, str, int, Capacity]) -> list[RunResult]:
    """Run one policy on one seed."""
    member_name, experiment_name, name, seed, capacity = task
    policy = name.removesuffix(NO_FAULT)
    member = MEMBERS[member_name]
    experiment = EXPERIMENTS[experiment_name]
    settings = RunSettings(
        shape=member.shape,
        engines=member.engines,
        speed=SPEED,
        deciders=member.deciders,
        bytes_per_s=member.bytes_per_s,
        one_way_s=0.08,
        weights=member.weights,
        rate_per_s=experiment.load * capacity.requests_per_s,
        duration_s=DURATION_S if experiment.fault is None else FAULT_DURATION_S,
        seed=seed,
        policy=POLICIES[policy],  # type: ignore[arg-type]
        faults=() if name.endswith(NO_FAULT) else fault_of(experiment, member),
        hot_part=experiment.hot_part,
    )
    return VirtualRun(settings=settings).run()


def percentile(values: list[float], part: float) -> float:
    """Return the value below which ``part`` of ``values`` lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else float("nan")


def summarize(results: list[RunResult], capacity: Capacity, begins: float, ends: float) -> dict:
    """Return the columns of one run between two moments."""
    chosen = [one for one in results if begins <= one.at < ends]
    found: dict[str, float] = {}
    for name in sorted({one.class_name for one in chosen}):
        part = [one for one in chosen if one.class_name == name]
        answered = [one for one in part if one.outcome == "answered"]
        for point in (50, 95, 99):
            first = percentile([one.first_s for one in answered], point / 100)
            token = percentile([one.token_s for one in answered], point / 100)
            found[f"{name}.first_token_p{point}_s"] = first
            found[f"{name}.between_tokens_p{point}_s"] = token
        found[f"{name}.in_time"] = share(part, lambda one: one.first_s <= one.deadline_s)
        found[f"{name}.refused"] = share(part, lambda one: one.outcome == "refused")
        found[f"{name}.late"] = share(part, lambda one: one.outcome == "late")
        found[f"{name}.away"] = share(answered, lambda one: one.away)
        found[f"{name}.cached"] = statistics.fmean([one.cached_part for one in answered] or [0.0])
    answered = [one for one in chosen if one.outcome == "answered"]
    in_time = [one for one in answered if one.first_s <= one.deadline_s]
    found["all.cost_s"] = statistics.fmean([one.cost_s for one in answered] or [0.0])
    found["all.away"] = share(answered, lambda one: one.away)
    found["all.in_time"] = len(in_time) / max(1, len(chosen))
    done = sum(one.nominal_work_s for one in in_time)
    found["all.goodput_of_capacity"] = done / (ends - begins) / capacity.work
    found["all.offered_of_capacity"] = (
        sum(one.nominal_work_s for one in chosen) / (ends - begins) / capacity.work
    )
    found["all.requests"] = float(len(chosen))
    return found


def share(results: list[RunResult], holds: Callable[[RunResult], bool]) -> float:
    """Return the part of ``results`` for which ``holds``."""
    return sum(1 for one in results if holds(one)) / max(1, len(results))


def windows(experiment: Experiment) -> dict[str, tuple[float, float]]:
    """Return the windows of time that are reported."""
    if experiment.fault is None:
        return {"": (WARM_UP_S, DURATION_S)}
    begins, ends = FAULT_S
    return {
        "before.": (WARM_UP_S, begins),
        "during.": (begins, ends),
        "after.": (ends, ends + 60.0),
        "recovered.": (ends + 60.0, ends + 120.0),
    }


def main() -> None:
    """Run the experiments named on the command line, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--members", default="hanbit,cumbre")
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("experiments", nargs="*", default=list(EXPERIMENTS))
    options = parser.parse_args()
    begun = time.monotonic()
    names = options.experiments or list(EXPERIMENTS)
    with multiprocessing.Pool(WORKERS) as pool:
        for member_name in options.members.split(","):
            capacity = capacity_of(MEMBERS[member_name])
            print(f"{member_name}.capacity_per_s={capacity.requests_per_s:.2f}", flush=True)
            for name in names:
                measure(pool, member_name, name, options, capacity)
    print(f"run.seconds={time.monotonic() - begun:.0f}")


def measure(pool, member_name: str, name: str, options, capacity: Capacity) -> None:  # type: ignore
    """Run one experiment and print its figures."""
    policies = options.policies.split(",")
    if EXPERIMENTS[name].fault is not None and "present" in policies:
        policies.append(f"present{NO_FAULT}")
    tasks = [
        (member_name, name, policy, seed, capacity)
        for policy in policies
        for seed in range(options.seeds)
    ]
    outcomes = pool.map(run_one, tasks, chunksize=1)
    for policy in policies:
        mine = [out for task, out in zip(tasks, outcomes, strict=True) if task[2] == policy]
        for label, (begins, ends) in windows(EXPERIMENTS[name]).items():
            runs = [summarize(results, capacity, begins, ends) for results in mine]
            for key in runs[0]:
                values = [run.get(key, float("nan")) for run in runs]
                print(
                    f"{member_name}.{name}.{policy}.{label}{key}={statistics.median(values):.4g}"
                    f" spread={min(values):.4g}..{max(values):.4g}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
