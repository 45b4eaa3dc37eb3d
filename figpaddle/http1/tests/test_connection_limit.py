"""Connections beyond the limit of a listener are refused with an answer."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator, Callable

import anyio
import anyio.abc
import pytest

from figpaddle.http1 import HttpListener, HttpRequest, Responder, _listener
from figpaddle.http1._listener import MAX_REFUSING_CONNECTIONS

pytestmark = pytest.mark.anyio

LIMIT = 4
BURST = 200
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
#: Timeout of one step of a test, seconds.
STEP_TIMEOUT_S = 5.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def answer(request: HttpRequest, responder: Responder) -> None:
    await responder.answer(200, (), b"")


@contextlib.asynccontextmanager
async def full_listener(
    on_over_limit: Callable[[bool], None] = lambda _: None,
) -> AsyncIterator[tuple[int, list[anyio.abc.SocketStream]]]:
    """Yield the port of a listener at its limit, and the connections that are served."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    listener = HttpListener(
        address=f"127.0.0.1:{port}",
        handler=answer,
        clock=anyio.current_time,
        ack_timeout_s=1.0,
        max_connections=LIMIT,
        on_over_limit=on_over_limit,
    )
    async with anyio.create_task_group() as tasks, contextlib.AsyncExitStack() as stack:
        tasks.start_soon(listener.run)
        await anyio.sleep(0.05)
        served = [
            await stack.enter_async_context(await anyio.connect_tcp("127.0.0.1", port))
            for _ in range(LIMIT)
        ]
        for stream in served:
            assert await status_on(stream) == 200
        yield port, served
        tasks.cancel_scope.cancel()


async def status_on(stream: anyio.abc.SocketStream) -> int:
    """Send a request and return the status of the answer; 0 without one."""
    with anyio.fail_after(STEP_TIMEOUT_S):
        try:
            await stream.send(REQUEST)
            return int((await stream.receive()).split(b" ")[1])
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return 0


async def test_a_request_on_a_connection_beyond_the_limit_is_refused() -> None:
    async with full_listener() as (port, served):
        for _ in range(3):
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(REQUEST)
                data = b""
                with anyio.fail_after(STEP_TIMEOUT_S), contextlib.suppress(anyio.EndOfStream):
                    while True:
                        data += await stream.receive()
                assert data.startswith(b"HTTP/1.1 503 ") and data.endswith(b"\r\n\r\n")
                assert b"retry-after: " in data.lower() and b"connection: close" in data.lower()
        for stream in served:
            assert await status_on(stream) == 200
        await served.pop().aclose()
        await anyio.sleep(0.1)
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            assert await status_on(stream) == 200


async def test_a_burst_beyond_the_limit_is_refused_or_closed_and_harms_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Otherwise those that this test hasn't got to by then are closed before it asks.
    monkeypatch.setattr(_listener, "REFUSING_IDLE_TIMEOUT_S", STEP_TIMEOUT_S)
    async with full_listener() as (port, served):
        burst = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(200)]
        statuses = [await status_on(stream) for stream in burst]
        assert set(statuses) <= {0, 503} and 8 <= statuses.count(503) <= 64
        for stream in served:
            assert await status_on(stream) == 200
        for stream in burst:
            await stream.aclose()


async def test_each_request_of_a_burst_that_is_read_gets_a_whole_refusal() -> None:
    """Connections for which there is no room are closed unread."""
    answers: list[bytes] = []
    reads: list[bool] = []

    async def call(port: int) -> None:
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            data = b""
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.send(REQUEST)
                while True:
                    data += await stream.receive()
            answers.append(data)

    async with full_listener(reads.append) as (port, served):
        with anyio.fail_after(STEP_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for _ in range(BURST):
                    tasks.start_soon(call, port)
        refusals = [data for data in answers if data]
        assert len(reads) == len(answers) == BURST
        assert len(refusals) == reads.count(True) >= MAX_REFUSING_CONNECTIONS
        for data in refusals:
            assert data.startswith(b"HTTP/1.1 503 ") and data.endswith(b"\r\n\r\n")
        for stream in served:
            assert await status_on(stream) == 200


async def test_a_silent_connection_beyond_the_limit_is_closed_soon() -> None:
    async with (
        full_listener() as (port, _),
        await anyio.connect_tcp("127.0.0.1", port) as stream,
    ):
        with anyio.fail_after(3.0), pytest.raises(anyio.EndOfStream):
            await stream.receive()
