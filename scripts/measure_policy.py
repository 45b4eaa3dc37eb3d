"""Measures the placement policies in simulations; prints ``name=value`` lines.

    PYTHONPATH=. .venv/bin/python scripts/measure_policy.py [--seeds N] [experiment ...]

Each experiment runs every policy with the same seeds; a seed gives every policy the same traffic.
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
    Placement,
    PlacementOptions,
    RoundRobinPolicy,
    ScoredPolicy,
)
from figpaddle.standins import (
    EngineSpeed,
    Job,
    RequestClass,
    RequestResult,
    SimulatedEngine,
    SimulatedFault,
    Simulation,
    SimulationSettings,
    Traffic,
    TrafficProfile,
)

#: Number of worker processes.
WORKERS = 2
#: Requests that arrive earlier are excluded from the results.
WARM_UP_S = 60.0
#: Duration of a run without a fault.
DURATION_S = 240.0
#: Duration of a run with a fault.
FAULT_DURATION_S = 290.0
#: Start and end of a fault.
FAULT_WINDOW_S = (100.0, 160.0)
#: Outstanding jobs per slot of the engine while its capacity is measured.
CAPACITY_JOBS_PER_SLOT = 2

#: Suffix of the name of a policy that runs the same seeds without the fault.
NO_FAULT = "_no_fault"

SPEED = EngineSpeed()


class UnreportedPrefillPolicy(ScoredPolicy):
    """The scored policy without the queued prefill tokens that backend servers announce."""

    def place(self, demand: Demand, options: PlacementOptions, *, now: float) -> Placement | None:
        """Return the placement, or None if there is no candidate."""
        without_prefill_load = tuple(
            dataclasses.replace(
                backend,
                info=dataclasses.replace(backend.info, prefill_tokens=0, prefill_tokens_first=0),
            )
            for backend in options.backends
        )
        return super().place(
            demand, dataclasses.replace(options, backends=without_prefill_load), now=now
        )


POLICIES: dict[str, Callable[[random.Random], object] | None] = {
    "round_robin": lambda rng: RoundRobinPolicy(),
    "least_reported": lambda rng: LeastReportedLoadPolicy(rng=rng),
    "first": lambda rng: LeastLoadPolicy(rng=rng),
    "previous": lambda rng: UnreportedPrefillPolicy(rng=rng),
    "present": lambda rng: ScoredPolicy(rng=rng),
    "oracle": None,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """Traffic and resources of one member."""

    traffic: TrafficProfile
    engines: dict[str, int]
    instances_per_region: int
    bytes_per_s: float
    weights: PolicyWeights


MEMBERS = {
    "hanbit": Member(
        traffic=TrafficProfile(
            member="hanbit",
            service="draft",
            regions=("seoul", "busan", "daejeon"),
            workspaces=40,
            classes=(
                RequestClass(
                    name="chat",
                    priority=0,
                    session_fraction=0.5,
                    deadline_s=2.0,
                    common_tokens=400,
                    workspace_tokens=1600,
                    turn_tokens=80,
                    output_tokens=100,
                    turns=3.0,
                    think_s=15.0,
                ),
                RequestClass(
                    name="draft",
                    priority=1,
                    session_fraction=0.5,
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
        instances_per_region=3,
        bytes_per_s=125_000_000.0,
        weights=PolicyWeights(cost=2.0, tail=1.0, sent_away=2.0),
    ),
    "cumbre": Member(
        traffic=TrafficProfile(
            member="cumbre",
            service="guide",
            regions=("highlands", "guayaquil", "andes"),
            workspaces=40,
            classes=(
                RequestClass(
                    name="chat",
                    priority=0,
                    session_fraction=0.7,
                    deadline_s=1.5,
                    common_tokens=800,
                    workspace_tokens=1600,
                    turn_tokens=60,
                    output_tokens=100,
                    turns=4.0,
                    think_s=15.0,
                ),
                RequestClass(
                    name="dossier",
                    priority=1,
                    session_fraction=0.3,
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
        instances_per_region=3,
        bytes_per_s=8_750_000.0,
        weights=PolicyWeights(cost=1.0, tail=2.0, sent_away=0.5),
    ),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Experiment:
    """Load, as a fraction of the capacity, and fault of one experiment."""

    load: float
    fault: str | None = None
    hot_session_fraction: float = 0.0


EXPERIMENTS = {
    "peak90": Experiment(load=0.9),
    "peak110": Experiment(load=1.1),
    "peak200": Experiment(load=2.0),
    "region_lost": Experiment(load=0.6, fault="region lost"),
    "engine_slow": Experiment(load=0.7, fault="engine slow"),
    "reports_missing": Experiment(load=0.8, fault="reports missing"),
    "calm": Experiment(load=0.3),
    "hot_prefix": Experiment(load=0.8, hot_session_fraction=0.4),
    "partition": Experiment(load=0.8, fault="partition"),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Capacity:
    """Total capacity of a member's engines with warm caches."""

    #: Requests per second in the member's mix of request classes.
    requests_per_s: float
    #: Nominal work per second, seconds of engine time.
    work_s_per_s: float


def capacity_of(member: Member) -> Capacity:
    """Return the capacity of all engines of ``member``, which counts as a load of 1.0.

    Simulates one engine and multiplies its rate by the number of engines. It gets the requests of
    its share of the workspaces, which gives the best cache hit rate that placement can reach, and
    always has more jobs than slots.
    """
    count = sum(member.engines.values())
    engine = SimulatedEngine(name="one", region="", speed=SPEED)
    traffic = Traffic(profile=member.traffic, rate_per_s=60.0, seed=0)
    finished_at: list[float] = []
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
            on_first_token=lambda at, cached: None,
            on_done=finished_at.append,
        )
        engine.submit(job, now=now)
        work.append(
            SPEED.work_s(uncached_tokens=arrival.new_tokens, output_tokens=arrival.output_tokens)
        )
        while outstanding - len(finished_at) >= CAPACITY_JOBS_PER_SLOT * SPEED.slots:
            now = engine.next_event_at() or now
            engine.advance(now=now + 1e-9)
    # The first half of the jobs only warms the cache.
    half = len(finished_at) // 2
    rate = count * (len(finished_at) - half) / (finished_at[-1] - finished_at[half - 1])
    return Capacity(requests_per_s=rate, work_s_per_s=rate * statistics.fmean(work))


def fault_of(experiment: Experiment, member: Member) -> tuple[SimulatedFault, ...]:
    """Return the fault of an experiment.

    A partition separates the first region, which is at its peak load and forwards requests; other
    faults affect the second region.
    """
    if experiment.fault is None:
        return ()
    region = member.traffic.regions[0 if experiment.fault == "partition" else 1]
    target = f"{region}-e0" if experiment.fault == "engine slow" else region
    if experiment.fault == "reports missing":
        target = "*"
    starts_at, ends_at = FAULT_WINDOW_S
    return (
        SimulatedFault(kind=experiment.fault, target=target, starts_at=starts_at, ends_at=ends_at),
    )


def run_simulation(task: tuple[str, str, str, int, Capacity]) -> list[RequestResult]:
    """Run one policy with one seed."""
    member_name, experiment_name, run_name, seed, capacity = task
    policy = run_name.removesuffix(NO_FAULT)
    member = MEMBERS[member_name]
    experiment = EXPERIMENTS[experiment_name]
    settings = SimulationSettings(
        traffic=member.traffic,
        engines=member.engines,
        speed=SPEED,
        instances_per_region=member.instances_per_region,
        bytes_per_s=member.bytes_per_s,
        one_way_s=0.08,
        weights=member.weights,
        rate_per_s=experiment.load * capacity.requests_per_s,
        duration_s=DURATION_S if experiment.fault is None else FAULT_DURATION_S,
        seed=seed,
        policy=POLICIES[policy],  # type: ignore[arg-type]
        faults=() if run_name.endswith(NO_FAULT) else fault_of(experiment, member),
        hot_session_fraction=experiment.hot_session_fraction,
    )
    return Simulation(settings=settings).run()


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which the ``fraction`` of ``values`` lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else float("nan")


def summarize(
    results: list[RequestResult], capacity: Capacity, starts_at: float, ends_at: float
) -> dict:
    """Return the figures of one run for the requests that arrive in a time window."""
    in_window = [result for result in results if starts_at <= result.arrived_at < ends_at]
    figures: dict[str, float] = {}
    for name in sorted({result.class_name for result in in_window}):
        of_class = [result for result in in_window if result.class_name == name]
        answered = [result for result in of_class if result.outcome == "answered"]
        for percent in (50, 95, 99):
            first_token_percentile_s = percentile(
                [result.first_token_s for result in answered], percent / 100
            )
            token_interval_percentile_s = percentile(
                [result.token_interval_s for result in answered], percent / 100
            )
            figures[f"{name}.first_token_p{percent}_s"] = first_token_percentile_s
            figures[f"{name}.between_tokens_p{percent}_s"] = token_interval_percentile_s
        figures[f"{name}.in_time"] = fraction_of(
            of_class, lambda result: result.first_token_s <= result.deadline_s
        )
        figures[f"{name}.refused"] = fraction_of(
            of_class, lambda result: result.outcome == "refused"
        )
        figures[f"{name}.late"] = fraction_of(of_class, lambda result: result.outcome == "late")
        figures[f"{name}.away"] = fraction_of(answered, lambda result: result.is_remote)
        figures[f"{name}.cached"] = statistics.fmean(
            [result.cached_fraction for result in answered] or [0.0]
        )
    answered = [result for result in in_window if result.outcome == "answered"]
    in_time = [result for result in answered if result.first_token_s <= result.deadline_s]
    figures["all.cost_s"] = statistics.fmean([result.cost_s for result in answered] or [0.0])
    figures["all.away"] = fraction_of(answered, lambda result: result.is_remote)
    figures["all.in_time"] = len(in_time) / max(1, len(in_window))
    timely_work_s = sum(result.nominal_work_s for result in in_time)
    figures["all.goodput_of_capacity"] = (
        timely_work_s / (ends_at - starts_at) / capacity.work_s_per_s
    )
    figures["all.offered_of_capacity"] = (
        sum(result.nominal_work_s for result in in_window)
        / (ends_at - starts_at)
        / capacity.work_s_per_s
    )
    figures["all.requests"] = float(len(in_window))
    return figures


def fraction_of(results: list[RequestResult], condition: Callable[[RequestResult], bool]) -> float:
    """Return the fraction of ``results`` for which ``condition`` holds."""
    return sum(1 for result in results if condition(result)) / max(1, len(results))


def report_windows(experiment: Experiment) -> dict[str, tuple[float, float]]:
    """Return the time windows to report by their label."""
    if experiment.fault is None:
        return {"": (WARM_UP_S, DURATION_S)}
    starts_at, ends_at = FAULT_WINDOW_S
    return {
        "before.": (WARM_UP_S, starts_at),
        "during.": (starts_at, ends_at),
        "after.": (ends_at, ends_at + 60.0),
        "recovered.": (ends_at + 60.0, ends_at + 120.0),
    }


def main() -> None:
    """Run the experiments named on the command line, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--members", default="hanbit,cumbre")
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("experiments", nargs="*", default=list(EXPERIMENTS))
    options = parser.parse_args()
    started_at = time.monotonic()
    experiments = options.experiments or list(EXPERIMENTS)
    with multiprocessing.Pool(WORKERS) as pool:
        for member_name in options.members.split(","):
            capacity = capacity_of(MEMBERS[member_name])
            print(f"{member_name}.capacity_per_s={capacity.requests_per_s:.2f}", flush=True)
            for name in experiments:
                run_experiment(pool, member_name, name, options, capacity)
    print(f"run.seconds={time.monotonic() - started_at:.0f}")


def run_experiment(pool, member_name: str, name: str, options, capacity: Capacity) -> None:  # type: ignore
    """Run one experiment and print its figures."""
    policies = options.policies.split(",")
    if EXPERIMENTS[name].fault is not None and "present" in policies:
        policies.append(f"present{NO_FAULT}")
    tasks = [
        (member_name, name, policy, seed, capacity)
        for policy in policies
        for seed in range(options.seeds)
    ]
    outcomes = pool.map(run_simulation, tasks, chunksize=1)
    for policy in policies:
        policy_results = [
            results for task, results in zip(tasks, outcomes, strict=True) if task[2] == policy
        ]
        for label, (starts_at, ends_at) in report_windows(EXPERIMENTS[name]).items():
            runs = [summarize(results, capacity, starts_at, ends_at) for results in policy_results]
            for key in runs[0]:
                values = [run.get(key, float("nan")) for run in runs]
                print(
                    f"{member_name}.{name}.{policy}.{label}{key}={statistics.median(values):.4g}"
                    f" spread={min(values):.4g}..{max(values):.4g}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
