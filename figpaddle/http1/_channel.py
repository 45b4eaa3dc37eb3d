"""One TCP connection whose bytes are read ahead, so that its end is noticed at once."""

from __future__ import annotations

import contextlib
import enum
import math
import socket
import struct
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from figpaddle.errors import ConnectFailedError, ConnectionLostError

#: Bytes read ahead before the sender is held back by the window.
MAX_READ_AHEAD = 256 * 1024
#: Idle time before the system probes a connection, seconds; the shortest it allows.
KEEPALIVE_IDLE_S = 1
#: Interval between probes, seconds; the shortest it allows.
KEEPALIVE_INTERVAL_S = 1
#: Unanswered probes after which a connection counts as dead.
KEEPALIVE_PROBES = 3


class End(enum.Enum):
    """How the other side ended its half of a connection."""

    CLOSED = "closed"
    RESET = "reset"


class Channel:
    """A connection with a task of its own that reads.

    ``pump`` runs for as long as the connection lives. Whoever reads takes bytes with ``take`` and
    waits with ``wait_for_input``; ``end`` tells how the other side finished.
    """

    def __init__(self, *, stream: anyio.abc.SocketStream, peer: str) -> None:
        self._stream = stream
        self._peer = peer
        self._buffer = bytearray()
        self._end: End | None = None
        self._changed = anyio.Event()
        self._drained = anyio.Event()
        self._received = 0
        self._closed = False

    @property
    def peer(self) -> str:
        """Address of the other side."""
        return self._peer

    @property
    def end(self) -> End | None:
        """How the other side ended, or None while it hasn't."""
        return self._end

    @property
    def closed(self) -> bool:
        """Whether this side has closed."""
        return self._closed

    @property
    def received(self) -> int:
        """Bytes received so far."""
        return self._received

    @property
    def unread(self) -> int:
        """Bytes received and not yet taken."""
        return len(self._buffer)

    async def pump(self) -> None:
        """Read until the connection ends."""
        try:
            while True:
                data = await self._stream.receive()
                self._buffer += data
                self._received += len(data)
                self._notify()
                while len(self._buffer) > MAX_READ_AHEAD:
                    self._drained = anyio.Event()
                    await self._drained.wait()
        except anyio.EndOfStream:
            self._finish(End.CLOSED)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            self._finish(End.RESET)

    def take(self) -> bytes:
        """Return and remove all bytes received."""
        data = bytes(self._buffer)
        self._buffer.clear()
        self._drained.set()
        return data

    async def wait_for_input(self) -> None:
        """Return when bytes are there or the other side has ended."""
        while not self._buffer and self._end is None:
            await self._changed.wait()

    async def wait_for_end(self) -> None:
        """Return when the other side has ended, whatever bytes come before."""
        while self._end is None:
            await self._changed.wait()

    async def send(self, data: bytes) -> None:
        """Hand ``data`` to the system; raises ConnectionLostError."""
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            received = self._received > 0
            raise ConnectionLostError(where=self._peer, reset=True, received=received) from error

    async def finish_sending(self) -> None:
        """Close this side's half; the other side may still send."""
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            await self._stream.send_eof()

    async def close(self) -> None:
        """Close the connection; bytes that were sent still arrive."""
        self._closed = True
        self._drained.set()
        with (
            contextlib.suppress(anyio.BrokenResourceError, OSError),
            anyio.CancelScope(shield=True),
        ):
            await self._stream.aclose()

    async def abort(self) -> None:
        """Reset the connection, so that the other side can't take it for complete."""
        with contextlib.suppress(OSError, anyio.ClosedResourceError):
            raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await self.close()

    def _finish(self, end: End) -> None:
        self._end = end
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def tune(stream: anyio.abc.SocketStream, *, silence_s: float) -> None:
    """Let the system end a connection on which nothing is acknowledged for ``silence_s``."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, math.ceil(silence_s * 1000))


async def connect(address: str, *, timeout_s: float, silence_s: float) -> Channel:
    """Open a connection to ``HOST:PORT``; raises ConnectFailedError."""
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError, ValueError) as error:
        raise ConnectFailedError(what=str(error) or "timeout", where=address) from error
    tune(stream, silence_s=silence_s)
    return Channel(stream=stream, peer=address)


@contextlib.asynccontextmanager
async def pumped(channel: Channel) -> AsyncIterator[Channel]:
    """Run the channel's reader while the block lasts, then close the connection."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(channel.pump)
        try:
            yield channel
        finally:
            await channel.close()
            tasks.cancel_scope.cancel()
