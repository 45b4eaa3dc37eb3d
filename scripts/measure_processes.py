"""Compares placement policies by real processes; prints ``name=value`` lines.

    PYTHONPATH=. .venv/bin/python scripts/measure_processes.py [--seconds N]

Three regions of two figpaddled and two engine stand-ins each run behind the proxy, which delays
what crosses between regions. The same traffic then goes through the virtual run, and the lines at
the end say whether both rank the policies alike.
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
    ClassShape,
    EngineSpeed,
    RunSettings,
    Traffic,
    TrafficShape,
    VirtualRun,
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
SHAPE = TrafficShape(
    member="cumbre",
    service="cumbre/chat",
    regions=REGIONS,
    workspaces=8,
    day_s=120.0,
    classes=(
        ClassShape(
            name="chat",
            priority=0,
            part=1.0,
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
    """Return a text whose prefixes repeat as those of the arrival do."""
    pieces = []
    before = 0
    for prefix in arrival.demand.prefixes:
        size = (prefix.tokens - before) * CHARACTERS_PER_TOKEN
        before = prefix.tokens
        words = f"{prefix.digest:08x} "
        pieces.append((words * (size // len(words) + 1))[:size])
    return "".join(pieces)


async def ask(
    client: httpx.AsyncClient, entry: str, arrival: Arrival, results: list[dict[str, object]]
) -> None:
    """Send one request and note its first token and where it was served."""
    body = {
        "model": "chat",
        "stream": True,
        "max_tokens": arrival.output_tokens,
        "messages": [{"role": "user", "content": prompt_of(arrival)}],
    }
    begun = time.monotonic()
    first_s = float("inf")
    region = ""
    headers = {"authorization": f"Bearer {KEY}"}
    url = f"http://{entry}/v1/chat/completions"
    try:
        async with client.stream("POST", url, json=body, headers=headers) as response:
            async for line in response.aiter_lines():
                if response.status_code == 200 and line.startswith("data: {"):
                    first_s = min(first_s, time.monotonic() - begun)
            region = response.headers.get("figpaddle-region", "")
    except httpx.HTTPError:
        first_s = float("inf")
    results.append(
        {"at": arrival.at, "first_s": first_s, "away": region not in ("", arrival.region)}
    )


async def load(entries: dict[str, list[str]], seconds: float) -> list[dict[str, object]]:
    """Send the traffic in real time."""
    results: list[dict[str, object]] = []
    limits = httpx.Limits(max_connections=500, max_keepalive_connections=500)
    begun = time.monotonic()
    async with (
        httpx.AsyncClient(timeout=60.0, trust_env=False, limits=limits) as client,
        anyio.create_task_group() as tasks,
    ):
        for arrival in Traffic(shape=SHAPE, rate_per_s=RATE_PER_S, seed=0).arrivals(until=seconds):
            await anyio.sleep(max(0.0, begun + arrival.at - time.monotonic()))
            own = entries[arrival.region]
            tasks.start_soon(ask, client, own[arrival.caller % len(own)], arrival, results)
    return results


def run_processes(policy: str, seconds: float) -> list[dict[str, object]]:
    """Run one policy behind real processes."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(pathlib.Path(folder), proxy=FaultProxy()) as deployment,
    ):
        plain = {
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
        (deployment.folder / "configuration.yaml").write_text(yaml.safe_dump(plain))
        deployment.write_clients(("agency", "cumbre", "highlands", KEY))
        entries: dict[str, list[str]] = {}
        for region in REGIONS:
            for number in (1, 2):
                deployment.start_instance(f"{region}-{number}", region, policy=policy)
                entries.setdefault(region, []).append(deployment.entry(f"{region}-{number}"))
        assert deployment.proxy is not None
        for one in deployment.instances:
            for other in deployment.instances:
                if one.rpartition("-")[0] != other.rpartition("-")[0]:
                    deployment.proxy.delay(one, other, ONE_WAY_S, both=False)
        options = ["--slots", str(SPEED.slots), "--prefill", str(SPEED.prefill_tokens_per_s)]
        options += ["--decode-ms", str(SPEED.step_s * 1000)]
        options += ["--cache-blocks", str(SPEED.cache_tokens // BLOCK_TOKENS)]
        for region in REGIONS:
            for number in (1, 2):
                name = f"{region}-e{number}"
                deployment.start_backend(name, "engine", region, ("cumbre/chat",), *options)
        time.sleep(3.0)
        return anyio.run(load, entries, seconds)


def run_virtual(policy: str, seconds: float) -> list[dict[str, object]]:
    """Run one policy under the virtual clock."""
    settings = RunSettings(
        shape=SHAPE,
        engines=dict.fromkeys(REGIONS, 2),
        speed=SPEED,
        deciders=2,
        bytes_per_s=8_750_000.0,
        one_way_s=ONE_WAY_S,
        weights=PolicyWeights(cost=1.0, tail=2.0, sent_away=0.5),
        rate_per_s=RATE_PER_S,
        duration_s=seconds,
        seed=0,
        policy=POLICIES[policy],
    )
    return [
        {"at": one.at, "first_s": one.first_s, "away": one.away}
        for one in VirtualRun(settings=settings).run()
    ]


def summarize(results: list[dict[str, object]]) -> dict[str, float]:
    """Return the columns of one run."""
    kept = [one for one in results if float(str(one["at"])) >= WARM_UP_S]
    first = sorted(float(str(one["first_s"])) for one in kept)
    return {
        "requests": float(len(kept)),
        "first_token_p50_s": first[len(first) // 2],
        "first_token_p95_s": first[int(len(first) * 0.95)],
        "unanswered": sum(1 for value in first if value == float("inf")) / len(first),
        "away": sum(1 for one in kept if one["away"]) / len(kept),
    }


def main() -> None:
    """Run every policy in both ways."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=40.0)
    options = parser.parse_args()
    random.seed(0)
    found: dict[str, dict[str, dict[str, float]]] = {"processes": {}, "virtual": {}}
    for policy in POLICIES:
        for way, run in (("processes", run_processes), ("virtual", run_virtual)):
            columns = summarize(run(policy, options.seconds))
            found[way][policy] = columns
            for name, value in columns.items():
                print(f"{way}.{policy}.{name}={value:.4g}", flush=True)
    for column in ("first_token_p50_s", "first_token_p95_s", "away"):
        ranks = {way: sorted(POLICIES, key=lambda p: by[p][column]) for way, by in found.items()}
        alike = ranks["processes"] == ranks["virtual"]
        print(f"rank.{column}.alike={alike} {json.dumps(ranks)}")


if __name__ == "__main__":
    main()
