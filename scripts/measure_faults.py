"""Measures how requests fare during faults; prints ``name=value`` a line.

Real processes behind the fault-injecting proxy of the tests; small stand-ins for engines.
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
#: Service of the load and its deadline, seconds.
SERVICE = "desk-chat"
DEADLINE_S = 2.0
CALLERS = 12
#: Load before and after the fault begins, seconds.
BEFORE_S = 1.0
DURING_S = 6.0
CRASHER = "crash-this-engine"
ENTRIES = ("seoul-1", "seoul-2", "busan-1")
ENGINES = {"seoul": 4, "busan": 2}

Fault = Callable[[Deployment, FaultProxy], object]

FAULTS: dict[str, Fault] = {
    "none": lambda deployment, proxy: None,
    "engine_killed": lambda deployment, proxy: deployment.backends["seoul-engine-0"].kill(),
    "engine_cut": lambda deployment, proxy: proxy.cut("*", "seoul-engine-0"),
    "engine_connections_silent": lambda deployment, proxy: proxy.silence_open(
        "*", "seoul-engine-0"
    ),
    "entry_killed": lambda deployment, proxy: deployment.instances["seoul-2"].kill(),
    "regions_cut": lambda deployment, proxy: [
        proxy.cut("busan-1", name) for name in ("seoul-1", "seoul-2")
    ],
    "links_silent": lambda deployment, proxy: proxy.silence_open("*", "busan-1"),
    "crashing_request": lambda deployment, proxy: None,
}


def start(folder: pathlib.Path) -> Deployment:
    """Return a running deployment of two regions whose entries all serve."""
    deployment = Deployment(folder, proxy=FaultProxy())
    write_examples(deployment)
    for name in ENTRIES:
        deployment.start_instance(name, name.rpartition("-")[0])
    for region, number in ENGINES.items():
        for index in range(number):
            deployment.start_backend(
                f"{region}-engine-{index}",
                "engine",
                region,
                (SERVICE,),
                *("--decode-ms", "5", "--crash-on", CRASHER),
            )
    for name in ENTRIES:
        wait_until(
            lambda n=name: chat(deployment.entry(n), SERVICE, "x", key=HANBIT_KEY).is_success,
            what=f"{name} serves",
        )
    return deployment


class Load:
    """Callers in a closed loop that try the next entry if one refuses the connection."""

    def __init__(self, deployment: Deployment) -> None:
        self._entries = [deployment.entry(name) for name in ENTRIES]
        self._rng = random.Random(SEED)
        self._until = time.monotonic() + BEFORE_S + DURING_S
        #: Requests sent, and those answered whole within the deadline.
        self.sent = 0
        self.in_time = 0

    async def call(self) -> None:
        """Send one request after the other until the time is over."""
        while time.monotonic() < self._until:
            text = f"text-{self._rng.random()}"
            entries = self._rng.sample(self._entries, k=len(self._entries))
            begun = time.monotonic()
            for entry in entries:
                answer = await raw_chat(
                    entry, SERVICE, text, key=HANBIT_KEY, max_tokens=8, timeout_s=DEADLINE_S + 1
                )
                if answer.status:
                    break
            self.sent += 1
            right = answer.chat_text() == f"{text} " * 8
            self.in_time += right and time.monotonic() - begun <= DEADLINE_S


async def run_fault(deployment: Deployment, name: str) -> float:
    """Return the share of requests answered within the deadline, from before the fault on."""
    load = Load(deployment)
    callers = [asyncio.create_task(load.call()) for _ in range(CALLERS)]
    await asyncio.sleep(BEFORE_S)
    assert deployment.proxy is not None
    FAULTS[name](deployment, deployment.proxy)
    if name == "crashing_request":
        for entry in ENTRIES:
            await raw_chat(deployment.entry(entry), SERVICE, CRASHER, key=HANBIT_KEY)
    await asyncio.gather(*callers)
    return load.in_time / max(1, load.sent)


async def time_to_notice(deployment: Deployment, *ends: str) -> float:
    """Return the seconds from the silence of open connections to the error of a stream."""
    assert deployment.proxy is not None
    connection = await RawConnection.open(deployment.entry("busan-1"))
    data = chat_bytes(SERVICE, "x", HANBIT_KEY, stream=True, max_tokens=4000)
    stream = asyncio.create_task(connection.exchange(data, timeout_s=60.0))
    await connection.began.wait()
    begun = time.monotonic()
    deployment.proxy.silence_open(*ends)
    await stream
    return time.monotonic() - begun


def main() -> None:
    """Run every measurement, each fault in a deployment of its own; arguments choose faults."""
    print(f"seed={SEED}")
    for name in sys.argv[1:] or FAULTS:
        with tempfile.TemporaryDirectory() as folder, start(pathlib.Path(folder)) as deployment:
            share = asyncio.run(run_fault(deployment, name))
            print(f"answered_within_deadline.{name}={share:.4f}", flush=True)
            if name == "crashing_request":
                lost = sum(one.popen.poll() is not None for one in deployment.backends.values())
                print(f"engines_lost_per_crashing_request={lost}", flush=True)
    with tempfile.TemporaryDirectory() as folder, start(pathlib.Path(folder)) as deployment:
        engine_s = asyncio.run(time_to_notice(deployment, "busan-1", "*"))
        print(f"silent_backend_noticed_s={engine_s:.2f}", flush=True)
        for index in range(ENGINES["busan"]):
            deployment.backends[f"busan-engine-{index}"].kill()
        wait_until(
            lambda: chat(deployment.entry("busan-1"), SERVICE, "x", key=HANBIT_KEY).headers.get(
                "figpaddle-region"
            )
            == "seoul",
            what="requests are forwarded",
        )
        link_s = asyncio.run(time_to_notice(deployment, "busan-1", "*"))
        print(f"silent_link_noticed_s={link_s:.2f}", flush=True)


if __name__ == "__main__":
    main()
