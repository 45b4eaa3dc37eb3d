"""Requests that leave a region find connections that are open."""

from __future__ import annotations

import random

import anyio
import pytest

from figpaddle.http1 import ConnectionPool, HttpListener, HttpRequest, Responder
from figpaddle.regional._mesh import SPARE_CONNECTIONS
from tests.platform_standin import PATIENCE_S
from tests.regional_parts import make_mesh

pytestmark = pytest.mark.anyio

OTHER, NOBODY = "127.0.0.2", "127.0.0.3"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
def port() -> int:
    return random.SystemRandom().randrange(30000, 32000)


async def refuse(request: HttpRequest, responder: Responder) -> None:
    await responder.answer(404, (), b"")


async def test_a_clump_of_requests_finds_open_connections(port: int) -> None:
    pool = ConnectionPool(clock=anyio.current_time, silence_s=2.0)
    mesh = make_mesh(pool, port=port)
    address = mesh.peer_address(OTHER)
    listener = HttpListener(
        address=address,
        handler=refuse,
        clock=anyio.current_time,
        silence_s=2.0,
        max_connections=64,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run)
        tasks.start_soon(mesh.run)
        await anyio.sleep(0.1)
        for _ in range(2):
            mesh.keep_warm(OTHER)
            with anyio.fail_after(PATIENCE_S):
                while pool.idle_to(address) < SPARE_CONNECTIONS:
                    await anyio.sleep(0.01)
            opened = pool.opened
            clump = [await pool.acquire(address, timeout_s=0.0) for _ in range(SPARE_CONNECTIONS)]
            assert len(set(clump)) == SPARE_CONNECTIONS and pool.opened == opened
        tasks.cancel_scope.cancel()


async def test_an_instance_that_accepts_nothing_is_tried_once_each_time(port: int) -> None:
    pool = ConnectionPool(clock=anyio.current_time, silence_s=2.0)
    mesh = make_mesh(pool, port=port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mesh.run)
        await anyio.sleep(0.1)
        mesh.keep_warm(NOBODY)
        await anyio.sleep(0.2)
        assert pool.opened == 0
        tasks.cancel_scope.cancel()
