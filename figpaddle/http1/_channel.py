"""One TCP connection whose bytes are read ahead, so that its end is noticed at once."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import math
import socket
import struct
from collections.abc import Callable
from typing import cast

import anyio

from figpaddle.errors import ConnectFailedError, ConnectionLostError

#: Bytes read ahead before the sender is held back by the window.
MAX_READ_AHEAD = 256 * 1024
#: Most bytes taken from the system at once; the buffer is shared by all connections.
READ_BYTES = 64 * 1024
#: Idle time before the system probes a connection, seconds; the shortest it allows.
KEEPALIVE_IDLE_S = 1
#: Interval between probes, seconds; the shortest it allows.
KEEPALIVE_INTERVAL_S = 1
#: Unanswered probes after which a connection counts as dead.
KEEPALIVE_PROBES = 3

_READ_BUFFER = memoryview(bytearray(READ_BYTES))


class End(enum.Enum):
    """How the other side ended its half of a connection."""

    CLOSED = "closed"
    RESET = "reset"


class Channel(asyncio.BufferedProtocol):
    """A connection that the event loop reads by itself, without a task.

    Streams come in small pieces, a few hundred a second at an entry: a task that reads, with its
    checkpoints and its changes to the poll set for each piece, took more processor time than all
    decisions. Whoever reads takes bytes with ``take`` and waits with ``wait_for_input``; ``end``
    tells how the other side finished, and ``on_end`` is called at that moment.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._peer = ""
        self._buffer = bytearray()
        self._end: End | None = None
        self._arrived: anyio.Event | None = None
        self._ended: anyio.Event | None = None
        self._writable: anyio.Event | None = None
        self._on_end: Callable[[], None] | None = None
        self._received = 0
        self._closed = False
        self._paused = False

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

    def on_end(self, callback: Callable[[], None] | None) -> None:
        """Call ``callback`` when the other side ends, at once where it has already ended."""
        self._on_end = callback
        if callback is not None and self._end is not None:
            callback()

    def take(self) -> bytes:
        """Return and remove all bytes received."""
        data = bytes(self._buffer)
        self._buffer.clear()
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        return data

    async def wait_for_input(self) -> None:
        """Return when bytes are there or the other side has ended."""
        while not self._buffer and self._end is None:
            if self._arrived is None:
                self._arrived = anyio.Event()
            await self._arrived.wait()

    async def wait_for_end(self) -> None:
        """Return when the other side has ended, whatever bytes come before."""
        if self._end is None:
            self._ended = self._ended or anyio.Event()
            await self._ended.wait()

    async def send(self, data: bytes) -> None:
        """Hand ``data`` to the system; raises ConnectionLostError."""
        if self._transport is None or self._transport.is_closing():
            raise self._lost()
        self._transport.write(data)
        while self._writable is not None:
            await self._writable.wait()
        if self._transport.is_closing():
            raise self._lost()

    def finish_sending(self) -> None:
        """Close this side's half; the other side may still send."""
        if self._transport is not None and not self._transport.is_closing():
            with contextlib.suppress(OSError):
                self._transport.write_eof()

    def close(self) -> None:
        """Close the connection; bytes that the system has taken still arrive."""
        self._closed = True
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that the other side can't take it for complete."""
        self._closed = True
        if self._transport is None or self._transport.is_closing():
            return
        with contextlib.suppress(OSError):
            raw = self._transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a new connection; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        # Nothing waits in the process, so that what ``send`` returned from is with the system.
        self._transport.set_write_buffer_limits(0)
        remote = transport.get_extra_info("peername")
        if remote:
            self._peer = f"{remote[0]}:{remote[1]}"

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes go; called by the event loop right before they come."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take in bytes; called by the event loop."""
        self._buffer += _READ_BUFFER[:nbytes]
        self._received += nbytes
        if len(self._buffer) > MAX_READ_AHEAD and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note that the other side sends no more; called by the event loop.

        The connection stays open, since the answer may still be on its way to the other side.
        """
        self._finish(End.CLOSED)
        return True

    def pause_writing(self) -> None:
        """Let senders wait; called by the event loop."""
        self._writable = anyio.Event()

    def resume_writing(self) -> None:
        """Let senders go on; called by the event loop."""
        if self._writable is not None:
            self._writable.set()
            self._writable = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone; called by the event loop."""
        self.resume_writing()
        self._finish(End.RESET)

    def _finish(self, end: End) -> None:
        if self._end is not None:
            return
        self._end = end
        self._wake()
        if self._ended is not None:
            self._ended.set()
        if self._on_end is not None:
            self._on_end()

    def _wake(self) -> None:
        if self._arrived is not None:
            self._arrived.set()
            self._arrived = None

    def _lost(self) -> ConnectionLostError:
        return ConnectionLostError(where=self._peer, reset=True, received=self._received > 0)


def tune(raw: socket.socket, *, silence_s: float) -> None:
    """Let the system end a connection on which nothing is acknowledged for ``silence_s``."""
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, math.ceil(silence_s * 1000))


async def connect(address: str, *, timeout_s: float, silence_s: float) -> Channel:
    """Open a connection to ``HOST:PORT``; raises ConnectFailedError."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(timeout_s):
            transport, channel = await loop.create_connection(Channel, host, int(port))
    except (OSError, TimeoutError, ValueError) as error:
        raise ConnectFailedError(what=str(error) or "timeout", where=address) from error
    try:
        tune(transport.get_extra_info("socket"), silence_s=silence_s)
    except OSError as error:
        channel.close()
        raise ConnectFailedError(what=str(error), where=address) from error
    return channel
