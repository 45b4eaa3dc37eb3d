"""Measures what one instance adds to a streamed answer, against the same engine reached directly.

Prints ``name=value`` lines: first byte and time per piece at several numbers of requests at once,
requests and pieces a second per core of the instance, and its resident memory.
"""

from __future__ import annotations

import os
import pathlib
import random
import statistics
import sys
import tempfile
import time

import anyio
import httpx

from tests.calls import chat, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.harness import Deployment, Process

CONCURRENCY = tuple(int(word) for word in sys.argv[1:]) or (1, 16, 64)
REQUESTS_PER_WORKER = 12
TOKENS = 32
#: Workers begin within this time, so that they don't all send at the same moment, seconds.
START_SPREAD_S = 1.0
DECODE_MS = 10
#: Prompt tokens and prefill speed that together make a first token of 100 ms.
PROMPT_BLOCKS = 10
PREFILL_TOKENS_PER_S = 6400
PROMPT_CHARACTERS = PROMPT_BLOCKS * 64 * 4
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PERCENTILES = (50, 95, 99)


class Sample:
    """Times of the requests of one run, seconds."""

    def __init__(self) -> None:
        self.first: list[float] = []
        self.whole: list[float] = []
        self.pieces = 0


async def worker(client: httpx.AsyncClient, url: str, sample: Sample, number: int) -> None:
    """Send requests one after another, beginning at a time of the worker's own."""
    await anyio.sleep(random.Random(number).uniform(0, START_SPREAD_S))
    for index in range(REQUESTS_PER_WORKER):
        prompt = f"{number}/{index}/{time.monotonic_ns()} ".ljust(PROMPT_CHARACTERS, "x")
        body = {
            "model": "draft",
            "stream": True,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": prompt}],
        }
        begun = time.perf_counter()
        async with client.stream("POST", url, json=body) as answer:
            answer.raise_for_status()
            seen = False
            async for _ in answer.aiter_raw():
                if not seen:
                    sample.first.append(time.perf_counter() - begun)
                    seen = True
                sample.pieces += 1
        sample.whole.append(time.perf_counter() - begun)


async def run(url: str, at_once: int) -> Sample:
    """Return the sample of one run with ``at_once`` requests at once."""
    sample = Sample()
    headers = {"authorization": f"Bearer {HANBIT_KEY}"}
    limits = httpx.Limits(max_connections=at_once, max_keepalive_connections=at_once)
    async with (
        httpx.AsyncClient(headers=headers, limits=limits, timeout=60, trust_env=False) as client,
        anyio.create_task_group() as tasks,
    ):
        for number in range(at_once):
            tasks.start_soon(worker, client, url, sample, number)
    return sample


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile of ``values``."""
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


def cpu_seconds(process: Process) -> float:
    """Return the CPU time that a process has used, seconds."""
    stat = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(stat[11]) + int(stat[12])) / TICKS_PER_S


def resident_mb(process: Process) -> float:
    """Return the resident memory of a process, MB."""
    status = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def report(name: str, sample: Sample) -> None:
    """Print the percentiles of one run."""
    per_piece = [whole / TOKENS for whole in sample.whole]
    for percent in PERCENTILES:
        print(f"{name}_first_byte_p{percent}_ms={percentile(sample.first, percent) * 1000:.2f}")
        print(f"{name}_per_piece_p{percent}_ms={percentile(per_piece, percent) * 1000:.3f}")


def measure(deployment: Deployment) -> None:
    """Run each number of requests at once, directly and through the instance."""
    instance = deployment.start_instance("seoul-1", "seoul")
    options = ("--slots", "64", "--decode-ms", str(DECODE_MS), "--prefill")
    engine = deployment.start_backend(
        "engine-1", "engine", "seoul", ("draft",), *options, str(PREFILL_TOKENS_PER_S)
    )
    entry = instance.fields["callers"]
    wait_until(lambda: chat(entry, "draft", "x", key=HANBIT_KEY).is_success, what="answers")
    print(f"idle_resident_mb={resident_mb(instance):.1f}")
    path = "/v1/chat/completions"
    for at_once in CONCURRENCY:
        direct = anyio.run(run, f"http://{engine.fields['address']}{path}", at_once)
        before = cpu_seconds(instance)
        through = anyio.run(run, f"http://{entry}{path}", at_once)
        used = cpu_seconds(instance) - before
        report(f"direct_{at_once}", direct)
        report(f"through_{at_once}", through)
        for percent in PERCENTILES:
            added = percentile(through.first, percent) - percentile(direct.first, percent)
            print(f"added_first_byte_{at_once}_p{percent}_ms={added * 1000:.2f}")
        print(f"requests_per_core_s_{at_once}={len(through.whole) / used:.0f}")
        print(f"pieces_per_core_s_{at_once}={through.pieces / used:.0f}")
    print(f"loaded_resident_mb={resident_mb(instance):.1f}")


def main() -> None:
    """Start one instance and one engine and measure."""
    with tempfile.TemporaryDirectory() as folder, Deployment(pathlib.Path(folder)) as deployment:
        write_examples(deployment)
        measure(deployment)


if __name__ == "__main__":
    main()
