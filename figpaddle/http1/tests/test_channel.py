"""What a connection does with bytes that nobody takes, and how it tells of its end."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator

import anyio
import pytest

from figpaddle.errors import ConnectionLostError
from figpaddle.http1 import Channel, End, connect

pytestmark = pytest.mark.anyio

#: Longest time that a step of a test may take, seconds.
STEP_S = 5.0
#: Far more than the system's buffers of a connection hold, bytes.
FLOOD_BYTES = 32 * 1024 * 1024


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@contextlib.asynccontextmanager
async def pair() -> AsyncIterator[tuple[Channel, socket.socket]]:
    """Yield a channel and the socket at its other end."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
        channel = await connect(address, timeout_s=STEP_S, silence_s=STEP_S)
        peer, _ = listener.accept()
        peer.setblocking(False)
        with peer:
            yield channel, peer
        channel.close()


async def test_a_sender_is_held_back_while_its_bytes_are_not_taken() -> None:
    async with pair() as (channel, peer):
        sent = 0
        piece = bytes(1024 * 1024)
        for _ in range(200):
            with contextlib.suppress(BlockingIOError):
                sent += peer.send(piece)
            await anyio.sleep(0)
        assert sent < FLOOD_BYTES and channel.unread < 1024 * 1024

        taken = 0
        with anyio.fail_after(STEP_S):
            while taken < sent:
                await channel.wait_for_input()
                taken += len(channel.take())
        assert taken == sent


async def test_sending_waits_for_a_reader_that_is_slow() -> None:
    async with pair() as (channel, _):
        with anyio.move_on_after(0.2) as scope:
            await channel.send(bytes(FLOOD_BYTES))
        assert scope.cancelled_caught


async def test_the_end_is_told_at_once_with_bytes_still_unread() -> None:
    async with pair() as (channel, peer):
        ended = anyio.Event()
        channel.on_end(ended.set)
        peer.send(b"the rest")
        peer.shutdown(socket.SHUT_WR)
        with anyio.fail_after(STEP_S):
            await ended.wait()
        assert channel.end is End.CLOSED and channel.take() == b"the rest"


async def test_a_connection_that_was_closed_takes_nothing() -> None:
    async with pair() as (channel, _):
        channel.close()
        with pytest.raises(ConnectionLostError):
            await channel.send(b"late")
