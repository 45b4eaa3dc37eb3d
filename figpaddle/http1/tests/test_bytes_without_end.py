"""Bytes that are no answer and never end are given up before they fill the memory."""

from __future__ import annotations

import anyio
import anyio.abc
import pytest

from figpaddle.errors import TransportError
from figpaddle.http1 import HttpClientConnection
from figpaddle.http1.tests.test_http1 import pool, server

pytestmark = pytest.mark.anyio

#: Most bytes that a client may take of an answer that is none: what it reads at once, and the buffers of
#: the connection.
MAX_TAKEN_BYTES = 8 * 1024 * 1024
#: Largest body that the client asks for, bytes.
MAX_BODY_BYTES = 1024 * 1024
#: Time within which it has given up, seconds.
GIVE_UP_S = 10.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

#: What comes first and what follows without end.
ENDLESS = {
    "a status line": (b"HTTP/1.1 200 ", b"x" * 1000),
    "a field of the head": (b"HTTP/1.1 200 OK\r\nname: ", b"x" * 1000),
    "fields of the head": (b"HTTP/1.1 200 OK\r\n", b"name: value\r\n" * 50),
    "a head in pieces of a byte": (b"HTTP/1.1 200 OK\r\nname: ", b"x"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" * 20),
    "an interim answer": (b"HTTP/1.1 103 Early Hints\r\nlink: ", b"x" * 1000),
    "a chunk extension": (HEAD + b"5;name=", b"x" * 1000),
    "the size of a chunk": (HEAD, b"0" * 1000),
    "trailers": (HEAD + b"0\r\n", b"name: value\r\n" * 50),
    "a trailer": (HEAD + b"0\r\nname: ", b"x" * 1000),
    "a chunk": (HEAD + b"ffffffffff\r\n", b"x" * 1000),
    "chunks": (HEAD, b"5\r\nhello\r\n" * 100),
    "a body until the close": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 1000),
}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.parametrize("what", ENDLESS)
async def test_an_answer_without_end_is_given_up(what: str) -> None:
    # Guards against a process that keeps what a faulty backend server sends until it runs out of memory.
    first, rest = ENDLESS[what]
    taken = 0

    async def send_without_end(stream: anyio.abc.SocketStream) -> None:
        nonlocal taken
        try:
            await stream.receive()
            await stream.send(first)
            while taken < 2 * MAX_TAKEN_BYTES:
                await stream.send(rest)
                taken += len(rest)
        except (anyio.BrokenResourceError, anyio.EndOfStream):
            pass

    async def read(connection: HttpClientConnection) -> None:
        headers = ((b"Host", b"x"), (b"Content-Length", b"0"))
        await connection.send(method=b"POST", target=b"/", headers=headers, body=b"")
        await connection.read_head(lambda _: True)
        await connection.read_whole_body(max_bytes=MAX_BODY_BYTES)

    async with server(send_without_end) as address, pool() as connections:
        connection = await connections.open(address, timeout_s=1.0)
        with anyio.fail_after(GIVE_UP_S), pytest.raises(TransportError):
            await read(connection)
        connection.close()
        assert taken <= MAX_TAKEN_BYTES
