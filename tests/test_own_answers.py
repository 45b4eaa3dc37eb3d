"""Thousands of interleaved requests through kills and timeouts get their own answers only."""

from __future__ import annotations

import asyncio
import collections
import hashlib
import random

from tests.calls import chat, wait_until
from tests.conftest import HANBIT_KEY
from tests.harness import Deployment
from tests.raw_http import NOTHING, raw_chat

SEED = 20
REQUESTS = 6_000
CALLERS = 48
TOKENS = 3
ABANDONED_SHARE = 0.03
ENGINES = ("draft-1", "draft-2", "draft-3", "draft-4")


def start_all(deployment: Deployment) -> None:
    """Start entries of which one has no engines in its region and forwards all it gets."""
    for name in ("seoul-1", "seoul-2", "busan-1"):
        deployment.start_instance(name, name.rpartition("-")[0])
    for name in ENGINES:
        deployment.start_backend(
            name, "engine", "seoul", ("hanbit/draft",), "--decode-ms", "1", "--prefill", "1e9"
        )
    for name in deployment.instances:
        wait_until(
            lambda n=name: chat(deployment.entry(n), "draft", "x", key=HANBIT_KEY).is_success,
            what=f"{name} serves",
        )


class Callers:
    """Interleaved callers that check each answer against its own request."""

    def __init__(self, deployment: Deployment) -> None:
        self._entries = [deployment.entry(name) for name in deployment.instances]
        self._rng = random.Random(SEED)
        self._left = REQUESTS
        self.results: collections.Counter[str] = collections.Counter()

    @property
    def done(self) -> int:
        return REQUESTS - self._left

    async def run(self) -> None:
        while self._left > 0:
            self._left -= 1
            await self._one(self._left)

    async def _one(self, number: int) -> None:
        word = hashlib.sha256(f"{SEED}/{number}".encode()).hexdigest()
        entry = self._rng.choice(self._entries)
        abandoned = self._rng.random() < ABANDONED_SHARE
        timeout_s = self._rng.uniform(0.001, 0.02) if abandoned else 15.0
        stream = self._rng.random() < 0.5
        answer = await raw_chat(
            entry,
            "draft",
            word,
            key=HANBIT_KEY,
            stream=stream,
            max_tokens=TOKENS,
            timeout_s=timeout_s,
        )
        text = answer.chat_text()
        if text is not None:
            own = hashlib.sha256(f"{word} ".encode() * TOKENS).digest()
            right = hashlib.sha256(text.encode()).digest() == own
            self.results["own" if right else "another's"] += 1
        elif answer is NOTHING:
            self.results["abandoned" if abandoned else "nothing"] += 1
        elif answer.status == 200:
            self.results["broken"] += 1
        else:
            self.results[f"{answer.problem}/{answer.outcome}"] += 1


async def disturb(deployment: Deployment, callers: Callers) -> None:
    async def when(share: float) -> None:
        while callers.done < REQUESTS * share:
            await asyncio.sleep(0.01)

    await when(0.2)
    deployment.backends["draft-1"].kill()
    await when(0.4)
    deployment.backends["draft-4"].kill()
    await when(0.6)
    deployment.instances["seoul-2"].kill()


def test_each_of_thousands_of_interleaved_requests_gets_its_own_answer(
    deployment: Deployment,
) -> None:
    start_all(deployment)
    callers = Callers(deployment)

    async def run() -> None:
        running = [callers.run() for _ in range(CALLERS)]
        await asyncio.gather(disturb(deployment, callers), *running)

    asyncio.run(run())
    print(f"seed={SEED}", dict(callers.results))
    assert callers.results["another's"] == 0
    assert callers.results.total() == REQUESTS
    assert callers.results["own"] > REQUESTS * 0.8
    assert callers.results["abandoned"] > 0
