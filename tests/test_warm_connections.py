"""The mesh keeps spare connections open for requests to other instances."""

from __future__ import annotations

import random

import anyio
import pytest

from figpaddle.http1 import ConnectionPool, HttpListener, HttpRequest, Responder
from figpaddle.regional._mesh import SPARE_CONNECTIONS
from tests.mesh_factory import make_mesh
from tests.platform_standin import WAIT_TIMEOUT_S

pytestmark = pytest.mark.anyio

OTHER, UNREACHABLE = "127.0.0.2", "127.0.0.3"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
def port() -> int:
    return random.SystemRandom().randrange(30000, 32000)


async def respond_not_found(request: HttpRequest, responder: Responder) -> None:
    await responder.answer(404, (), b"")


async def test_a_burst_of_requests_finds_open_connections(port: int) -> None:
    pool = ConnectionPool(clock=anyio.current_time, ack_timeout_s=2.0)
    mesh = make_mesh(pool, port=port)
    address = mesh.peer_address(OTHER)
    listener = HttpListener(
        address=address,
        handler=respond_not_found,
        clock=anyio.current_time,
        ack_timeout_s=2.0,
        max_connections=64,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run)
        tasks.start_soon(mesh.run)
        await anyio.sleep(0.1)
        for _ in range(2):
            mesh.warm_connections(OTHER)
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while pool.idle_count(address) < SPARE_CONNECTIONS:
                    await anyio.sleep(0.01)
            opened = pool.opened_total
            connections = [
                await pool.acquire(address, timeout_s=0.0) for _ in range(SPARE_CONNECTIONS)
            ]
            assert len(set(connections)) == SPARE_CONNECTIONS and pool.opened_total == opened
        tasks.cancel_scope.cancel()


async def test_an_unreachable_instance_is_tried_once_per_call(port: int) -> None:
    pool = ConnectionPool(clock=anyio.current_time, ack_timeout_s=2.0)
    mesh = make_mesh(pool, port=port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mesh.run)
        await anyio.sleep(0.1)
        mesh.warm_connections(UNREACHABLE)
        await anyio.sleep(0.2)
        assert pool.opened_total == 0
        tasks.cancel_scope.cancel()
