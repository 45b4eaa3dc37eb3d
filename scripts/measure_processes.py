"""Compares placement policies with real processes and in simulations; prints ``name=value`` lines.

    PYTHONPATH=. .venv/bin/python scripts/measure_processes.py [--seconds N]

Three regions with two figpaddled processes and two stand-in engines each run behind the
fault-injecting proxy, which delays traffic between regions. The same traffic is then simulated,
and the last lines show whether processes and simulation rank the policies alike.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import random
import tempfile
import time

import anyio
import httpx
import yaml

from figpaddle.deployment import PolicyWeights
from figpaddle.routing import LeastReportedLoadPolicy, RoundRobinPolicy, ScoredPolicy
from figpaddle.standins import (
    Arrival,
    EngineSpeed,
    RequestClass,
    Simulation,
    SimulationSettings,
    Traffic,
    TrafficProfile,
)
from tests.fault_proxy import FaultProxy
from tests.harness import Deployment

REGIONS = ("highlands", "guayaquil", "andes")
KEY = "measure-key"
ONE_WAY_S = 0.08
RATE_PER_S = 11.0
WARM_UP_S = 8.0
CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 64
SPEED = EngineSpeed(
    slots=4,
    prefill_tokens_per_s=3000.0,
    step_s=0.05,
    step_s_per_request=0.0,
    cache_tokens=300 * BLOCK_TOKENS,
)
TRAFFIC = TrafficProfile(
    member="cumbre",
    service="cumbre/chat",
    regions=REGIONS,
    workspaces=8,
    day_s=120.0,
    classes=(
        RequestClass(
            name="chat",
            priority=0,
            session_fraction=1.0,
            deadline_s=10.0,
            common_tokens=256,
            workspace_tokens=1024,
            turn_tokens=48,
            output_tokens=25,
            turns=4.0,
            think_s=3.0,
        ),
    ),
)
POLICIES = {
    "round_robin": lambda rng: RoundRobinPolicy(),
    "least_reported": lambda rng: LeastReportedLoadPolicy(rng=rng),
    "scored": lambda rng: ScoredPolicy(rng=rng),
}


def prompt_of(arrival: Arrival) -> str:
    """Return a prompt that shares with other prompts the prefixes whose digests are equal."""
    pieces = []
    preceding_tokens = 0
    for prefix in arrival.demand.prefixes:
        characters = (prefix.tokens - preceding_tokens) * CHARACTERS_PER_TOKEN
        preceding_tokens = prefix.tokens
        word = f"{prefix.digest:08x} "
        pieces.append((word * (characters // len(word) + 1))[:characters])
    return "".join(pieces)


async def send_request(
    client: httpx.AsyncClient, entry: str, arrival: Arrival, results: list[dict[str, object]]
) -> None:
    """Send one request and record its time to first token and whether another region served it."""
    body = {
        "model": "chat",
        "stream": True,
        "max_tokens": arrival.output_tokens,
        "messages": [{"role": "user", "content": prompt_of(arrival)}],
    }
    started_at = time.monotonic()
    first_s = float("inf")
    region = ""
    headers = {"authorization": f"Bearer {KEY}"}
    url = f"http://{entry}/v1/chat/completions"
    try:
        async with client.stream("POST", url, json=body, headers=headers) as response:
            async for line in response.aiter_lines():
                if response.status_code == 200 and line.startswith("data: {"):
                    first_s = min(first_s, time.monotonic() - started_at)
            region = response.headers.get("figpaddle-region", "")
    except httpx.HTTPError:
        first_s = float("inf")
    results.append(
        {"at": arrival.arrived_at, "first_s": first_s, "away": region not in ("", arrival.region)}
    )


async def send_traffic(entries: dict[str, list[str]], seconds: float) -> list[dict[str, object]]:
    """Send the traffic in real time and return the results."""
    results: list[dict[str, object]] = []
    limits = httpx.Limits(max_connections=500, max_keepalive_connections=500)
    started_at = time.monotonic()
    async with (
        httpx.AsyncClient(timeout=60.0, trust_env=False, limits=limits) as client,
        anyio.create_task_group() as tasks,
    ):
        for arrival in Traffic(profile=TRAFFIC, rate_per_s=RATE_PER_S, seed=0).arrivals(
            until=seconds
        ):
            await anyio.sleep(max(0.0, started_at + arrival.arrived_at - time.monotonic()))
            local_entries = entries[arrival.region]
            tasks.start_soon(
                send_request,
                client,
                local_entries[arrival.caller_number % len(local_entries)],
                arrival,
                results,
            )
    return results


def run_processes(policy: str, seconds: float) -> list[dict[str, object]]:
    """Run one policy with real processes."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(pathlib.Path(folder), proxy=FaultProxy()) as deployment,
    ):
        configuration = {
            "revision": 1,
            "members": [
                {
                    "name": "cumbre",
                    "services": [
                        {
                            "name": "chat",
                            "kind": "model",
                            "repeatable": True,
                            "deadline_s": 10.0,
                            "regions": list(REGIONS),
                        }
                    ],
                    "weights": {"cost": 1.0, "tail": 2.0, "sent_away": 0.5},
                }
            ],
        }
        (deployment.folder / "configuration.yaml").write_text(yaml.safe_dump(configuration))
        deployment.write_clients(("agency", "cumbre", "highlands", KEY))
        entries: dict[str, list[str]] = {}
        for region in REGIONS:
            for number in (1, 2):
                deployment.start_instance(f"{region}-{number}", region, policy=policy)
                entries.setdefault(region, []).append(
                    deployment.caller_address(f"{region}-{number}")
                )
        assert deployment.proxy is not None
        for source in deployment.instances:
            for destination in deployment.instances:
                if source.rpartition("-")[0] != destination.rpartition("-")[0]:
                    deployment.proxy.delay(source, destination, ONE_WAY_S, both=False)
        options = ["--slots", str(SPEED.slots), "--prefill", str(SPEED.prefill_tokens_per_s)]
        options += ["--decode-ms", str(SPEED.step_s * 1000)]
        options += ["--cache-blocks", str(SPEED.cache_tokens // BLOCK_TOKENS)]
        for region in REGIONS:
            for number in (1, 2):
                name = f"{region}-e{number}"
                deployment.start_backend(name, "engine", region, ("cumbre/chat",), *options)
        time.sleep(3.0)
        return anyio.run(send_traffic, entries, seconds)


def run_simulation(policy: str, seconds: float) -> list[dict[str, object]]:
    """Run one policy in a simulation."""
    settings = SimulationSettings(
        traffic=TRAFFIC,
        engines=dict.fromkeys(REGIONS, 2),
        speed=SPEED,
        instances_per_region=2,
        bytes_per_s=8_750_000.0,
        one_way_s=ONE_WAY_S,
        weights=PolicyWeights(cost=1.0, tail=2.0, sent_away=0.5),
        rate_per_s=RATE_PER_S,
        duration_s=seconds,
        seed=0,
        policy=POLICIES[policy],
    )
    return [
        {"at": result.arrived_at, "first_s": result.first_token_s, "away": result.is_remote}
        for result in Simulation(settings=settings).run()
    ]


def summarize(results: list[dict[str, object]]) -> dict[str, float]:
    """Return the figures of one run."""
    measured = [result for result in results if float(str(result["at"])) >= WARM_UP_S]
    first_token_times_s = sorted(float(str(result["first_s"])) for result in measured)
    return {
        "requests": float(len(measured)),
        "first_token_p50_s": first_token_times_s[len(first_token_times_s) // 2],
        "first_token_p95_s": first_token_times_s[int(len(first_token_times_s) * 0.95)],
        "unanswered": sum(1 for value in first_token_times_s if value == float("inf"))
        / len(first_token_times_s),
        "away": sum(1 for result in measured if result["away"]) / len(measured),
    }


def main() -> None:
    """Run every policy with processes and in a simulation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=40.0)
    options = parser.parse_args()
    random.seed(0)
    figures: dict[str, dict[str, dict[str, float]]] = {"processes": {}, "virtual": {}}
    for policy in POLICIES:
        for mode, run in (("processes", run_processes), ("virtual", run_simulation)):
            columns = summarize(run(policy, options.seconds))
            figures[mode][policy] = columns
            for name, value in columns.items():
                print(f"{mode}.{policy}.{name}={value:.4g}", flush=True)
    for column in ("first_token_p50_s", "first_token_p95_s", "away"):
        ranks = {
            mode: sorted(POLICIES, key=lambda p: by_policy[p][column])
            for mode, by_policy in figures.items()
        }
        is_same_ranking = ranks["processes"] == ranks["virtual"]
        print(f"rank.{column}.alike={is_same_ranking} {json.dumps(ranks)}")


if __name__ == "__main__":
    main()
