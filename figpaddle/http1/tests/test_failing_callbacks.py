"""An error in noting what became of a request or a connection costs neither its answer nor others'."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator
from typing import Any

import anyio
import anyio.abc
import pytest

from figpaddle.http1 import FailureResponse, HandlerFailure, HttpListener, HttpRequest, Responder

pytestmark = pytest.mark.anyio

LIMIT = 2
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
FAILING_REQUEST = b"GET /fail HTTP/1.1\r\nHost: a\r\n\r\n"
#: Timeout of one step of a test, seconds.
STEP_TIMEOUT_S = 5.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def handle(request: HttpRequest, responder: Responder) -> None:
    if request.path == b"/fail":
        raise RuntimeError("the handler failed")
    await responder.answer(200, (), b"")


def fail(*arguments: Any) -> None:
    raise RuntimeError("noting it failed")


def fail_to_note(failure: HandlerFailure) -> FailureResponse | None:
    raise RuntimeError("noting it failed")


@contextlib.asynccontextmanager
async def listener_port() -> AsyncIterator[int]:
    """Yield the port of a listener whose callbacks all fail."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    listener = HttpListener(
        address=f"127.0.0.1:{port}",
        handler=handle,
        clock=anyio.current_time,
        ack_timeout_s=1.0,
        max_connections=LIMIT,
        on_failure=fail_to_note,
        on_over_limit=fail,
        on_accept_error=fail,
        on_connection_error=fail,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run)
        await anyio.sleep(0.05)
        with anyio.fail_after(STEP_TIMEOUT_S):
            yield port
        tasks.cancel_scope.cancel()


async def status_on(stream: anyio.abc.SocketStream, request: bytes = REQUEST) -> int:
    """Send a request and return the status of the answer; 0 without one."""
    try:
        await stream.send(request)
        return int((await stream.receive()).split(b" ")[1])
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return 0


async def test_a_request_whose_failure_cannot_be_noted_is_answered() -> None:
    async with listener_port() as port, await anyio.connect_tcp("127.0.0.1", port) as stream:
        assert await status_on(stream, FAILING_REQUEST) == 502
        assert await status_on(stream) == 200


async def test_a_connection_beyond_the_limit_that_cannot_be_noted_ends_no_other() -> None:
    async with listener_port() as port, contextlib.AsyncExitStack() as stack:
        streams = [
            await stack.enter_async_context(await anyio.connect_tcp("127.0.0.1", port))
            for _ in range(LIMIT)
        ]
        assert [await status_on(stream) for stream in streams] == [200] * LIMIT
        async with await anyio.connect_tcp("127.0.0.1", port) as beyond:
            assert await status_on(beyond) == 503
        assert [await status_on(stream) for stream in streams] == [200] * LIMIT
