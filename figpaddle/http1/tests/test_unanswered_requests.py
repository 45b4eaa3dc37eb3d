"""A request that was read whole is answered, whatever its handler does."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator

import anyio
import anyio.abc
import pytest

from figpaddle.errors import MalformedAnswerError
from figpaddle.http1 import (
    ConnectionPool,
    FailureResponse,
    Handler,
    HandlerFailure,
    HttpListener,
    HttpRequest,
    Responder,
    UnansweredRequest,
)

pytestmark = pytest.mark.anyio

#: Timeout of one step of a test, seconds.
STEP_TIMEOUT_S = 5.0
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@contextlib.asynccontextmanager
async def serve(
    handler: Handler,
    failures: list[HandlerFailure],
    *,
    resets: bool = False,
    unanswered: list[UnansweredRequest] | None = None,
) -> AsyncIterator[anyio.abc.SocketStream]:
    """Serve with ``handler`` and yield a caller's connection."""

    def note_failure(failure: HandlerFailure) -> FailureResponse | None:
        failures.append(failure)
        return None if resets else FailureResponse(headers=((b"Noted", b"yes"),))

    noted: list[UnansweredRequest] = [] if unanswered is None else unanswered
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    listener = HttpListener(
        address=f"127.0.0.1:{port}",
        handler=handler,
        clock=anyio.current_time,
        ack_timeout_s=2.0,
        max_connections=8,
        on_failure=note_failure,
        on_unanswered=noted.append,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run)
        await anyio.sleep(0.05)
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            with anyio.fail_after(STEP_TIMEOUT_S):
                yield stream
                tasks.cancel_scope.cancel()


async def read_to_end(stream: anyio.abc.SocketStream) -> bytes:
    """Return all bytes until the connection is closed in order."""
    data = b""
    with contextlib.suppress(anyio.EndOfStream):
        while True:
            data += await stream.receive()
    return data


async def test_a_handler_that_returns_without_an_answer_ends_no_connection() -> None:
    failures: list[HandlerFailure] = []

    async def do_nothing(request: HttpRequest, responder: Responder) -> None:
        pass

    async with serve(do_nothing, failures) as stream:
        for _ in range(2):
            await stream.send(REQUEST)
            answer = await stream.receive()
            assert answer.startswith(b"HTTP/1.1 502 ") and b"Noted: yes" in answer
    assert [failure.error for failure in failures] == [None, None]


async def test_an_error_after_the_answer_ends_no_connection() -> None:
    failures: list[HandlerFailure] = []

    async def answer_and_fail(request: HttpRequest, responder: Responder) -> None:
        await responder.answer(200, (), b"")
        raise KeyError("odd")

    async with serve(answer_and_fail, failures) as stream:
        for _ in range(2):
            await stream.send(REQUEST)
            assert (await stream.receive()).startswith(b"HTTP/1.1 200 ")
    assert [failure.started for failure in failures] == [True, True]


@pytest.mark.parametrize(
    ("sent", "status", "body"),
    [
        (b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n", 200, b"body"),
        (REQUEST, 204, b"body"),
        (b"CONNECT / HTTP/1.1\r\nHost: a\r\n\r\n", 200, b"body"),
    ],
    ids=["HEAD", "204", "CONNECT"],
)
async def test_nothing_is_sent_of_an_answer_whose_body_is_refused(
    sent: bytes, status: int, body: bytes
) -> None:
    failures: list[HandlerFailure] = []

    async def answer(request: HttpRequest, responder: Responder) -> None:
        await responder.answer(status, (), body)

    async with serve(answer, failures) as stream:
        await stream.send(sent)
        data = await read_to_end(stream)
    assert data.startswith(b"HTTP/1.1 502 ") and data.count(b"HTTP/1.1") == 1
    assert b"connection: close" in data.lower() and data.endswith(b"\r\n\r\n")
    assert len(failures) == 1


async def test_an_error_after_the_caller_has_left_is_noted() -> None:
    failures: list[HandlerFailure] = []
    started = anyio.Event()

    async def fail_when_cancelled(request: HttpRequest, responder: Responder) -> None:
        started.set()
        try:
            await anyio.sleep_forever()
        finally:
            raise KeyError("odd")

    async with serve(fail_when_cancelled, failures) as stream:
        await stream.send(REQUEST)
        await started.wait()
        await stream.aclose()
        while not failures:
            await anyio.sleep(0.01)
    assert failures[0].caller_left


async def test_a_listener_may_reset_connections_instead() -> None:
    async def do_nothing(request: HttpRequest, responder: Responder) -> None:
        pass

    async with serve(do_nothing, [], resets=True) as stream:
        await stream.send(REQUEST)
        with pytest.raises(anyio.BrokenResourceError):
            await stream.receive()


@pytest.mark.parametrize("resets", [True, False])
async def test_only_a_request_without_an_answer_is_noted_as_unanswered(resets: bool) -> None:
    unanswered: list[UnansweredRequest] = []

    async def do_nothing(request: HttpRequest, responder: Responder) -> None:
        pass

    async with serve(do_nothing, [], resets=resets, unanswered=unanswered) as stream:
        await stream.send(REQUEST)
        if resets:
            with pytest.raises(anyio.BrokenResourceError):
                await stream.receive()
        else:
            assert (await stream.receive()).startswith(b"HTTP/1.1 502 ")
    assert [noted.reason for noted in unanswered] == (["not answered"] if resets else [])
    assert all(noted.request.target == b"/" for noted in unanswered)


@pytest.mark.parametrize("state", ["waits", "has left", "is being answered"])
async def test_a_request_that_ends_with_its_server_is_noted_if_its_caller_waits(state: str) -> None:
    unanswered: list[UnansweredRequest] = []
    started = anyio.Event()

    async def never_finish(request: HttpRequest, responder: Responder) -> None:
        if state == "is being answered":
            await responder.start(200, (), length=None)
        started.set()
        await anyio.sleep_forever()

    async with serve(never_finish, [], unanswered=unanswered) as stream:
        await stream.send(REQUEST)
        await started.wait()
        if state == "has left":
            # The close and the end of the server come in the same turn of the event loop.
            stream.extra(anyio.abc.SocketAttribute.raw_socket).shutdown(socket.SHUT_RDWR)
    assert [noted.reason for noted in unanswered] == (["cancelled"] if state == "waits" else [])


LONG_LENGTH = b"Content-Length: " + b"1" * 5000 + b"\r\n\r\n"


async def test_a_request_with_a_length_of_thousands_of_digits_is_refused() -> None:
    async def answer(request: HttpRequest, responder: Responder) -> None:
        await responder.answer(200, (), b"")

    async with serve(answer, []) as stream:
        await stream.send(b"POST / HTTP/1.1\r\nHost: a\r\n" + LONG_LENGTH)
        assert (await read_to_end(stream)).startswith(b"HTTP/1.1 400 ")


async def test_an_answer_with_a_length_of_thousands_of_digits_is_malformed() -> None:
    async def answer(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\n" + LONG_LENGTH)
            await stream.receive()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    pool = ConnectionPool(clock=anyio.current_time, ack_timeout_s=2.0)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, answer)
        connection = await pool.open(f"127.0.0.1:{port}", timeout_s=STEP_TIMEOUT_S)
        await connection.send(method=b"GET", target=b"/", headers=((b"Host", b"a"),), body=b"")
        with anyio.fail_after(STEP_TIMEOUT_S), pytest.raises(MalformedAnswerError):
            await connection.read_head(lambda _: True)
        connection.close()
        tasks.cancel_scope.cancel()
