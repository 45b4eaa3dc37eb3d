"""No response reaches another request while processes are killed and callers time out."""

from __future__ import annotations

import asyncio
import collections
import hashlib
import random

from tests.calls import chat, wait_until
from tests.conftest import HANBIT_KEY
from tests.harness import Deployment
from tests.raw_http import NO_RESPONSE, raw_chat

SEED = 20
REQUESTS = 6_000
CALLER_COUNT = 48
TOKENS = 3
ABANDONED_SHARE = 0.03
ENGINES = ("draft-1", "draft-2", "draft-3", "draft-4")


def start_deployment(deployment: Deployment) -> None:
    """Start three entries; the one in Busan has no engines there and forwards every request."""
    for name in ("seoul-1", "seoul-2", "busan-1"):
        deployment.start_instance(name, name.rpartition("-")[0])
    for name in ENGINES:
        deployment.start_backend(
            name, "engine", "seoul", ("hanbit/draft",), "--decode-ms", "1", "--prefill", "1e9"
        )
    for name in deployment.instances:
        wait_until(
            lambda n=name: chat(
                deployment.caller_address(n), "draft", "x", key=HANBIT_KEY
            ).is_success,
            description=f"{name} serves",
        )


class CheckingCallers:
    """Interleaved callers that check each response against its own request."""

    def __init__(self, deployment: Deployment) -> None:
        self._entries = [deployment.caller_address(name) for name in deployment.instances]
        self._rng = random.Random(SEED)
        self._remaining = REQUESTS
        self.results: collections.Counter[str] = collections.Counter()

    @property
    def completed(self) -> int:
        return REQUESTS - self._remaining

    async def run(self) -> None:
        while self._remaining > 0:
            self._remaining -= 1
            await self._send_and_check(self._remaining)

    async def _send_and_check(self, number: int) -> None:
        request_text = hashlib.sha256(f"{SEED}/{number}".encode()).hexdigest()
        entry = self._rng.choice(self._entries)
        abandoned = self._rng.random() < ABANDONED_SHARE
        timeout_s = self._rng.uniform(0.001, 0.02) if abandoned else 15.0
        stream = self._rng.random() < 0.5
        response = await raw_chat(
            entry,
            "draft",
            request_text,
            key=HANBIT_KEY,
            stream=stream,
            max_tokens=TOKENS,
            timeout_s=timeout_s,
        )
        text = response.chat_text()
        if text is not None:
            expected_digest = hashlib.sha256(f"{request_text} ".encode() * TOKENS).digest()
            matches = hashlib.sha256(text.encode()).digest() == expected_digest
            self.results["own" if matches else "another's"] += 1
        elif response is NO_RESPONSE:
            self.results["abandoned" if abandoned else "nothing"] += 1
        elif response.status == 200:
            self.results["broken"] += 1
        else:
            self.results[f"{response.problem}/{response.outcome}"] += 1


async def kill_processes(deployment: Deployment, callers: CheckingCallers) -> None:
    async def wait_for_progress(share: float) -> None:
        while callers.completed < REQUESTS * share:
            await asyncio.sleep(0.01)

    await wait_for_progress(0.2)
    deployment.backends["draft-1"].kill()
    await wait_for_progress(0.4)
    deployment.backends["draft-4"].kill()
    await wait_for_progress(0.6)
    deployment.instances["seoul-2"].kill()


def test_each_of_thousands_of_interleaved_requests_gets_its_own_response(
    deployment: Deployment,
) -> None:
    start_deployment(deployment)
    callers = CheckingCallers(deployment)

    async def run() -> None:
        running = [callers.run() for _ in range(CALLER_COUNT)]
        await asyncio.gather(kill_processes(deployment, callers), *running)

    asyncio.run(run())
    print(f"seed={SEED}", dict(callers.results))
    assert callers.results["another's"] == 0
    assert callers.results.total() == REQUESTS
    assert callers.results["own"] > REQUESTS * 0.8
    assert callers.results["abandoned"] > 0
