"""A backend server that names a limit in its answers gets no more from all entries together."""

from __future__ import annotations

import itertools
import signal

import anyio
import pytest

from tests.platform_standin import (
    MODEL_SERVICE,
    Engine,
    PlatformDeployment,
    platform_deployment,
)

pytestmark = pytest.mark.anyio

#: Span in which requests are counted, seconds.
SPAN_S = 4.0
#: Requests beyond the limit that may arrive within a span: those in transit, and one at each end.
SLACK = 2


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def call(platform: PlatformDeployment, *entries: str, for_s: float, path: str) -> list[int]:
    """Send requests through the entries in turn, 20 a second; return the statuses."""
    statuses: list[int] = []

    async def send(entry: str) -> None:
        _, reply = await platform.send_request(entry, path)
        statuses.append(reply.status)

    async with anyio.create_task_group() as tasks:
        until = anyio.current_time() + for_s
        for entry in itertools.cycle(entries):
            if anyio.current_time() >= until:
                break
            tasks.start_soon(send, entry)
            await anyio.sleep(0.05)
    return statuses


def most_in_a_span(engine: Engine, since: float) -> int:
    """Return the most requests that arrived in any span after ``since``."""
    times = [arrived_at for arrived_at, _ in engine.arrivals if arrived_at >= since]
    return max(
        (sum(start <= other < start + SPAN_S for other in times) for start in times), default=0
    )


@pytest.mark.parametrize("limit", [0.3, 1.2, 4.0])
async def test_the_entries_of_a_region_keep_a_named_limit_together(limit: float) -> None:
    async with platform_deployment(engines=False) as platform:
        limited = await platform.add_engine(MODEL_SERVICE, "n-a", limit=str(limit))
        await platform.add_engine(MODEL_SERVICE, "n-a")
        await anyio.sleep(1.0)
        told_at = anyio.current_time() + 1.0
        statuses = await call(platform, "m-4", "m-5", for_s=9.0, path="/chat/1")
        assert set(statuses) == {200}
        assert most_in_a_span(limited, told_at) <= limit * SPAN_S + SLACK
        limited.limit = ""
        await call(platform, "m-4", "m-5", for_s=1.5 / limit + 4.0, path="/chat/1")
        ended_at = anyio.current_time() - 2.0
        assert sum(arrived_at >= ended_at for arrived_at, _ in limited.arrivals) > 2 * limit + SLACK


async def test_requests_are_refused_at_once_if_all_servers_name_limits() -> None:
    async with platform_deployment(engines=False) as platform:
        engines = [
            await platform.add_engine(MODEL_SERVICE, zone, limit="1") for zone in ("n-a", "s-a")
        ]
        await anyio.sleep(1.0)
        told_at = anyio.current_time() + 1.0
        statuses = await call(platform, "m-4", "m-5", "m-6", for_s=6.0, path="/chat/1")
        assert set(statuses) == {200, 503}
        for engine in engines:
            assert most_in_a_span(engine, told_at) <= SPAN_S + SLACK
            assert len(engine.arrivals) >= 4


async def test_an_entry_that_restarts_learns_the_limit_from_the_others() -> None:
    async with platform_deployment(engines=False) as platform:
        limited = await platform.add_engine(MODEL_SERVICE, "n-a", limit="1")
        await platform.add_engine(MODEL_SERVICE, "n-a")
        await anyio.sleep(1.0)
        await call(platform, "m-4", "m-5", for_s=2.0, path="/chat/1")
        platform.signal("m-5", signal.SIGKILL)
        await platform.restart("m-5")
        await platform.wait_until_ready("m-5")
        await anyio.sleep(1.0)
        since = anyio.current_time()
        await call(platform, "m-4", "m-5", for_s=6.0, path="/chat/1")
        assert 1 <= most_in_a_span(limited, since) <= SPAN_S + SLACK
