"""Answers that begin before their request is read, and status codes that aren't any."""

from __future__ import annotations

import socket

import anyio
import anyio.abc
import pytest

from figpaddle.errors import ConnectionLostError, MalformedAnswerError
from figpaddle.http1 import Channel, HttpClientConnection
from figpaddle.http1._channel import RESET_ON_CLOSE
from figpaddle.http1.tests.test_http1 import STEP_TIMEOUT_S, exchange, pool, respond_with, server

pytestmark = pytest.mark.anyio

#: A body that the kernel's buffers don't take.
LONG_BODY = bytes(32 * 1024 * 1024)
PART = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_an_answer_that_is_reset_while_its_upload_is_written_is_incomplete() -> None:
    async def answer_early(stream: anyio.abc.SocketStream) -> None:
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        async with stream:
            await stream.receive()
            await stream.send(PART)
            await anyio.sleep(0.1)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    async with server(answer_early) as address, pool() as connections:
        connection = await connections.acquire(address, timeout_s=STEP_TIMEOUT_S)
        headers = ((b"Host", b"x"), (b"Content-Length", str(len(LONG_BODY)).encode()))
        with anyio.fail_after(STEP_TIMEOUT_S), pytest.raises(ConnectionLostError):
            await connection.send(method=b"POST", target=b"/", headers=headers, body=LONG_BODY)
            await connection.read_head(lambda head: True)
            _ = [piece async for piece in connection.read_body()]


async def test_a_reset_that_follows_the_end_of_an_answer_without_length_is_noticed() -> None:
    ours, theirs = socket.create_server(("127.0.0.1", 0)), socket.socket()
    theirs.connect(ours.getsockname())
    raw, _ = ours.accept()
    raw.setblocking(False)
    with ours:
        connection = HttpClientConnection(channel=Channel(raw=raw), opened_at=0.0)
        headers = ((b"Host", b"x"), (b"Content-Length", b"1"))
        await connection.send(method=b"POST", target=b"/", headers=headers, body=b"x")
        theirs.sendall(PART)
        theirs.shutdown(socket.SHUT_WR)
        await connection.read_head(lambda head: True)
        await anyio.sleep(0.05)
        # The request is unread, so that closing resets the connection.
        theirs.close()
        await anyio.sleep(0.05)
        with anyio.fail_after(STEP_TIMEOUT_S), pytest.raises(ConnectionLostError):
            _ = [piece async for piece in connection.read_body()]
        connection.close()


@pytest.mark.parametrize("status", ["000", "099", "101", "600", "999"])
async def test_a_status_outside_the_protocol_is_no_answer(status: str) -> None:
    data = f"HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\nno".encode()
    async with server(respond_with(data, close=True)) as address, pool() as connections:
        connection = await connections.acquire(address, timeout_s=STEP_TIMEOUT_S)
        with pytest.raises(MalformedAnswerError):
            await exchange(connection)
