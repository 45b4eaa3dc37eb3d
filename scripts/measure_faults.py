"""Measures the success rate of requests during faults; prints ``name=value`` lines.

Runs real processes behind the fault-injecting proxy of the tests, with stand-in engines.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
import tempfile
import time
from collections.abc import Callable

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from tests.calls import chat, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.fault_proxy import FaultProxy
from tests.harness import Deployment
from tests.raw_http import RawConnection, chat_bytes, raw_chat

SEED = 7
#: Service that the load calls, and its deadline.
SERVICE = "desk-chat"
DEADLINE_S = 2.0
CALLERS = 12
#: Duration of the load before and after the start of the fault.
BEFORE_S = 1.0
DURING_S = 6.0
#: Prompt text at which the stand-in engines crash.
CRASH_TEXT = "crash-this-engine"
ENTRIES = ("seoul-1", "seoul-2", "busan-1")
ENGINES = {"seoul": 4, "busan": 2}

Fault = Callable[[Deployment, FaultProxy], object]

FAULTS: dict[str, Fault] = {
    "none": lambda deployment, proxy: None,
    "engine_killed": lambda deployment, proxy: deployment.backends["seoul-engine-0"].kill(),
    "engine_cut": lambda deployment, proxy: proxy.cut("*", "seoul-engine-0"),
    "engine_connections_silent": lambda deployment, proxy: proxy.silence_connections(
        "*", "seoul-engine-0"
    ),
    "entry_killed": lambda deployment, proxy: deployment.instances["seoul-2"].kill(),
    "regions_cut": lambda deployment, proxy: [
        proxy.cut("busan-1", name) for name in ("seoul-1", "seoul-2")
    ],
    "links_silent": lambda deployment, proxy: proxy.silence_connections("*", "busan-1"),
    "crashing_request": lambda deployment, proxy: None,
}


def start_deployment(folder: pathlib.Path) -> Deployment:
    """Start a deployment of two regions and wait until every entry instance serves requests."""
    deployment = Deployment(folder, proxy=FaultProxy())
    write_examples(deployment)
    for name in ENTRIES:
        deployment.start_instance(name, name.rpartition("-")[0])
    for region, count in ENGINES.items():
        for index in range(count):
            deployment.start_backend(
                f"{region}-engine-{index}",
                "engine",
                region,
                (SERVICE,),
                *("--decode-ms", "5", "--crash-on", CRASH_TEXT),
            )
    for name in ENTRIES:
        wait_until(
            lambda n=name: chat(
                deployment.caller_address(n), SERVICE, "x", key=HANBIT_KEY
            ).is_success,
            description=f"{name} serves",
        )
    return deployment


class ClosedLoopLoad:
    """Closed-loop callers that try the next entry instance if one refuses the connection."""

    def __init__(self, deployment: Deployment) -> None:
        self._entries = [deployment.caller_address(name) for name in ENTRIES]
        self._rng = random.Random(SEED)
        self._end_at = time.monotonic() + BEFORE_S + DURING_S
        #: Number of requests sent, and of complete responses within the deadline.
        self.sent = 0
        self.in_time = 0

    async def call(self) -> None:
        """Send requests one after another until the end of the measurement."""
        while time.monotonic() < self._end_at:
            text = f"text-{self._rng.random()}"
            entries = self._rng.sample(self._entries, k=len(self._entries))
            started_at = time.monotonic()
            for entry in entries:
                response = await raw_chat(
                    entry, SERVICE, text, key=HANBIT_KEY, max_tokens=8, timeout_s=DEADLINE_S + 1
                )
                if response.status:
                    break
            self.sent += 1
            is_complete = response.chat_text() == f"{text} " * 8
            self.in_time += is_complete and time.monotonic() - started_at <= DEADLINE_S


async def run_fault(deployment: Deployment, name: str) -> float:
    """Return the fraction of requests answered within the deadline before and during a fault."""
    load = ClosedLoopLoad(deployment)
    callers = [asyncio.create_task(load.call()) for _ in range(CALLERS)]
    await asyncio.sleep(BEFORE_S)
    assert deployment.proxy is not None
    FAULTS[name](deployment, deployment.proxy)
    if name == "crashing_request":
        for entry in ENTRIES:
            await raw_chat(deployment.caller_address(entry), SERVICE, CRASH_TEXT, key=HANBIT_KEY)
    await asyncio.gather(*callers)
    return load.in_time / max(1, load.sent)


async def time_to_detect(deployment: Deployment, *endpoints: str) -> float:
    """Return the time from silencing open connections to the end of a stream, seconds."""
    assert deployment.proxy is not None
    connection = await RawConnection.open(deployment.caller_address("busan-1"))
    data = chat_bytes(SERVICE, "x", HANBIT_KEY, stream=True, max_tokens=4000)
    stream = asyncio.create_task(connection.exchange(data, timeout_s=60.0))
    await connection.head_received.wait()
    started_at = time.monotonic()
    deployment.proxy.silence_connections(*endpoints)
    await stream
    return time.monotonic() - started_at


def main() -> None:
    """Run every measurement, each fault in its own deployment; arguments select faults."""
    print(f"seed={SEED}")
    for name in sys.argv[1:] or FAULTS:
        with (
            tempfile.TemporaryDirectory() as folder,
            start_deployment(pathlib.Path(folder)) as deployment,
        ):
            success_rate = asyncio.run(run_fault(deployment, name))
            print(f"answered_within_deadline.{name}={success_rate:.4f}", flush=True)
            if name == "crashing_request":
                lost_engines = sum(
                    backend.popen.poll() is not None for backend in deployment.backends.values()
                )
                print(f"engines_lost_per_crashing_request={lost_engines}", flush=True)
    with (
        tempfile.TemporaryDirectory() as folder,
        start_deployment(pathlib.Path(folder)) as deployment,
    ):
        backend_detection_s = asyncio.run(time_to_detect(deployment, "busan-1", "*"))
        print(f"silent_backend_noticed_s={backend_detection_s:.2f}", flush=True)
        for index in range(ENGINES["busan"]):
            deployment.backends[f"busan-engine-{index}"].kill()
        wait_until(
            lambda: chat(
                deployment.caller_address("busan-1"), SERVICE, "x", key=HANBIT_KEY
            ).headers.get("figpaddle-region")
            == "seoul",
            description="requests are forwarded to the other region",
        )
        link_detection_s = asyncio.run(time_to_detect(deployment, "busan-1", "*"))
        print(f"silent_link_noticed_s={link_detection_s:.2f}", flush=True)


if __name__ == "__main__":
    main()
