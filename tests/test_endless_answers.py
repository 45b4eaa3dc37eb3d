"""Backend servers that send bytes without end harm no other request."""

from __future__ import annotations

import itertools

import anyio
import pytest

from tests.platform_standin import MODEL_SERVICE, PLAIN_SERVICE, platform_deployment

pytestmark = pytest.mark.anyio

ENDLESS_ENGINES = 10
#: Largest growth of an entry's memory beside ten answers without end, bytes.
MAX_GROWTH_BYTES = 100 * 1024 * 1024


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.parametrize(
    ("service", "path", "sound_path"),
    [(MODEL_SERVICE, "/plan/1", "/read/1"), (PLAIN_SERVICE, "/read/1", "/plan/1")],
    ids=["stream", "whole"],
)
async def test_answers_without_end_are_given_up_and_harm_no_other_request(
    service: str, path: str, sound_path: str
) -> None:
    async with platform_deployment(engines=False) as platform, anyio.create_task_group() as tasks:
        for _ in range(ENDLESS_ENGINES):
            await platform.add_engine(service, "n-a", failure="endless")
        other = PLAIN_SERVICE if service == MODEL_SERVICE else MODEL_SERVICE
        await platform.add_engine(other, "n-a")
        await anyio.sleep(1.0)
        before = platform.memory_bytes("m-4")
        statuses: list[int] = []
        for _ in range(ENDLESS_ENGINES):

            async def send() -> None:
                _, reply = await platform.send_request("m-4", path)
                statuses.append(reply.status)

            tasks.start_soon(send)
        peak, slowest_s = before, 0.0
        deadline = anyio.current_time() + 4.0
        while len(statuses) < ENDLESS_ENGINES and anyio.current_time() < deadline:
            sent_at = anyio.current_time()
            _, reply = await platform.send_request("m-4", sound_path)
            assert reply.status == 200
            slowest_s = max(slowest_s, anyio.current_time() - sent_at)
            peak = max(peak, platform.memory_bytes("m-4"))
            await anyio.sleep(0.05)
        assert len(statuses) == ENDLESS_ENGINES and 200 not in statuses
        assert peak - before < MAX_GROWTH_BYTES
        assert slowest_s < 1.0
        endless = [engine for engine in platform.engines if engine.failure]
        started = sum(len(engine.executed) for engine in endless)
        with anyio.fail_after(5.0):
            while sum(len(engine.cancelled) for engine in endless) < started:
                await anyio.sleep(0.05)


async def test_a_server_that_answers_without_end_is_not_asked_again_and_again() -> None:
    async with platform_deployment(engines=False) as platform:
        endless = await platform.add_engine(MODEL_SERVICE, "n-a", failure="endless")
        await platform.add_engine(MODEL_SERVICE, "n-a")
        await anyio.sleep(1.0)
        for _, entry in zip(range(40), itertools.cycle(("m-4", "m-5")), strict=False):
            await platform.send_request(entry, "/plan/1")
            await anyio.sleep(0.05)
        assert len(endless.executed) <= 15
