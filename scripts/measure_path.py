"""Measures the overhead of one instance on streamed responses, compared to direct requests.

Prints ``name=value`` lines: the time to first byte and per chunk at several concurrencies, the
requests and chunks per CPU second of the instance, and its resident memory.
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

CONCURRENCIES = tuple(int(argument) for argument in sys.argv[1:]) or (1, 16, 64)
REQUESTS_PER_WORKER = 12
TOKENS = 32
#: Workers start at random times in this interval, so that they don't send simultaneously.
START_SPREAD_S = 1.0
DECODE_MS = 10
#: Together with the prefill speed, results in a time to first token of 100 ms.
PROMPT_BLOCKS = 10
PREFILL_TOKENS_PER_S = 6400
#: A block has 64 tokens of 4 characters.
PROMPT_CHARACTERS = PROMPT_BLOCKS * 64 * 4
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PERCENTILES = (50, 95, 99)


class Sample:
    """Durations of the requests of one run, seconds, and the number of chunks received."""

    def __init__(self) -> None:
        self.first_byte_s: list[float] = []
        self.total_s: list[float] = []
        self.chunks = 0


async def send_requests(client: httpx.AsyncClient, url: str, sample: Sample, number: int) -> None:
    """Send requests one after another, starting at a random time specific to the worker."""
    await anyio.sleep(random.Random(number).uniform(0, START_SPREAD_S))
    for index in range(REQUESTS_PER_WORKER):
        prompt = f"{number}/{index}/{time.monotonic_ns()} ".ljust(PROMPT_CHARACTERS, "x")
        body = {
            "model": "draft",
            "stream": True,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": prompt}],
        }
        started_at = time.perf_counter()
        async with client.stream("POST", url, json=body) as response:
            response.raise_for_status()
            has_first_byte = False
            async for _ in response.aiter_raw():
                if not has_first_byte:
                    sample.first_byte_s.append(time.perf_counter() - started_at)
                    has_first_byte = True
                sample.chunks += 1
        sample.total_s.append(time.perf_counter() - started_at)


async def run_sample(url: str, concurrency: int) -> Sample:
    """Return the sample of one run with ``concurrency`` concurrent requests."""
    sample = Sample()
    headers = {"authorization": f"Bearer {HANBIT_KEY}"}
    limits = httpx.Limits(max_connections=concurrency, max_keepalive_connections=concurrency)
    async with (
        httpx.AsyncClient(headers=headers, limits=limits, timeout=60, trust_env=False) as client,
        anyio.create_task_group() as tasks,
    ):
        for number in range(concurrency):
            tasks.start_soon(send_requests, client, url, sample, number)
    return sample


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile of ``values``."""
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


def cpu_seconds(process: Process) -> float:
    """Return the CPU time of a process, seconds."""
    stat = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(stat[11]) + int(stat[12])) / TICKS_PER_S


def resident_mb(process: Process) -> float:
    """Return the resident memory of a process, MB."""
    status = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def report(name: str, sample: Sample) -> None:
    """Print the percentiles of one run."""
    per_chunk = [total_s / TOKENS for total_s in sample.total_s]
    for percent in PERCENTILES:
        print(
            f"{name}_first_byte_p{percent}_ms={percentile(sample.first_byte_s, percent) * 1000:.2f}"
        )
        print(f"{name}_per_piece_p{percent}_ms={percentile(per_chunk, percent) * 1000:.3f}")


def measure(deployment: Deployment) -> None:
    """Measure each concurrency, directly at the engine and through the instance."""
    instance = deployment.start_instance("seoul-1", "seoul")
    options = ("--slots", "64", "--decode-ms", str(DECODE_MS), "--prefill")
    engine = deployment.start_backend(
        "engine-1", "engine", "seoul", ("draft",), *options, str(PREFILL_TOKENS_PER_S)
    )
    entry = instance.ready_fields["callers"]
    wait_until(lambda: chat(entry, "draft", "x", key=HANBIT_KEY).is_success, description="answers")
    print(f"idle_resident_mb={resident_mb(instance):.1f}")
    path = "/v1/chat/completions"
    for concurrency in CONCURRENCIES:
        direct = anyio.run(
            run_sample, f"http://{engine.ready_fields['address']}{path}", concurrency
        )
        cpu_before_s = cpu_seconds(instance)
        via_instance = anyio.run(run_sample, f"http://{entry}{path}", concurrency)
        cpu_used_s = cpu_seconds(instance) - cpu_before_s
        report(f"direct_{concurrency}", direct)
        report(f"through_{concurrency}", via_instance)
        for percent in PERCENTILES:
            added_s = percentile(via_instance.first_byte_s, percent) - percentile(
                direct.first_byte_s, percent
            )
            print(f"added_first_byte_{concurrency}_p{percent}_ms={added_s * 1000:.2f}")
        print(f"requests_per_core_s_{concurrency}={len(via_instance.total_s) / cpu_used_s:.0f}")
        print(f"pieces_per_core_s_{concurrency}={via_instance.chunks / cpu_used_s:.0f}")
    print(f"loaded_resident_mb={resident_mb(instance):.1f}")


def main() -> None:
    """Start one instance and one engine and run the measurement."""
    with tempfile.TemporaryDirectory() as folder, Deployment(pathlib.Path(folder)) as deployment:
        write_examples(deployment)
        measure(deployment)


if __name__ == "__main__":
    main()
