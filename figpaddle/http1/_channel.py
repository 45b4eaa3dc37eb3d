"""A TCP connection that reads ahead, so that a close by the peer is detected at once."""

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

#: Size of the unread input above which reading pauses, so that TCP flow control stops the sender.
MAX_READ_AHEAD_BYTES = 256 * 1024
#: Size of the read buffer, which all connections share, bytes.
READ_BUFFER_BYTES = 64 * 1024
#: Idle time before the first TCP keep-alive probe, seconds; the shortest that the kernel allows.
KEEPALIVE_IDLE_S = 1
#: Interval between keep-alive probes, seconds; the shortest that the kernel allows.
KEEPALIVE_INTERVAL_S = 1
#: Number of unanswered probes after which the kernel resets a connection.
KEEPALIVE_PROBES = 3

_READ_BUFFER = memoryview(bytearray(READ_BUFFER_BYTES))


class PeerClose(enum.Enum):
    """How the peer closed its side of a connection."""

    CLOSED = "closed"
    RESET = "reset"


class Channel(asyncio.BufferedProtocol):
    """A connection whose input the event loop reads without a task.

    Streamed responses arrive in small pieces, a few hundred per second at an entry instance. A
    reading task, with its checkpoints and changes to the poll set for each piece, takes more
    processor time than all routing decisions. Readers wait with ``wait_for_input`` and take bytes with
    ``read_buffered``. ``peer_close`` tells how the peer closed its side, and the callback set with
    ``on_peer_close`` is called at that moment.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._peer = ""
        self._buffer = bytearray()
        self._peer_close: PeerClose | None = None
        self._input_event: anyio.Event | None = None
        self._peer_close_event: anyio.Event | None = None
        self._writable_event: anyio.Event | None = None
        self._on_peer_close: Callable[[], None] | None = None
        self._received_bytes = 0
        self._closed = False
        self._reading_paused = False

    @property
    def peer(self) -> str:
        """Address of the peer, ``HOST:PORT``."""
        return self._peer

    @property
    def peer_close(self) -> PeerClose | None:
        """How the peer closed its side, or None while it is open."""
        return self._peer_close

    @property
    def closed(self) -> bool:
        """Whether this side has closed or aborted the connection."""
        return self._closed

    @property
    def received_bytes(self) -> int:
        """Number of bytes received so far."""
        return self._received_bytes

    @property
    def unread_bytes(self) -> int:
        """Number of bytes received and not yet read."""
        return len(self._buffer)

    def on_peer_close(self, callback: Callable[[], None] | None) -> None:
        """Call ``callback`` when the peer closes its side, at once if it already has."""
        self._on_peer_close = callback
        if callback is not None and self._peer_close is not None:
            callback()

    def read_buffered(self) -> bytes:
        """Return and remove all bytes received."""
        data = bytes(self._buffer)
        self._buffer.clear()
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()
        return data

    async def wait_for_input(self) -> None:
        """Return once bytes can be read or the peer has closed its side."""
        while not self._buffer and self._peer_close is None:
            if self._input_event is None:
                self._input_event = anyio.Event()
            await self._input_event.wait()

    async def wait_for_peer_close(self) -> None:
        """Return once the peer has closed its side, even if unread bytes remain."""
        if self._peer_close is None:
            self._peer_close_event = self._peer_close_event or anyio.Event()
            await self._peer_close_event.wait()

    async def send(self, data: bytes) -> None:
        """Return once the kernel has accepted ``data``; raises ConnectionLostError."""
        if self._transport is None or self._transport.is_closing():
            raise self._lost_error()
        self._transport.write(data)
        while self._writable_event is not None:
            await self._writable_event.wait()
        if self._transport.is_closing():
            raise self._lost_error()

    def finish_sending(self) -> None:
        """Half-close the connection; the peer may still send."""
        if self._transport is not None and not self._transport.is_closing():
            with contextlib.suppress(OSError):
                self._transport.write_eof()

    def close(self) -> None:
        """Close the connection; bytes that the kernel has accepted are still delivered."""
        self._closed = True
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that the peer can't mistake a partial message for a whole one."""
        self._closed = True
        if self._transport is None or self._transport.is_closing():
            return
        with contextlib.suppress(OSError):
            raw = self._transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Initialize a new connection; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        # With this limit, ``send`` returns only once the kernel has accepted all data.
        self._transport.set_write_buffer_limits(0)
        peer_address = transport.get_extra_info("peername")
        if peer_address:
            self._peer = f"{peer_address[0]}:{peer_address[1]}"

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes; called by the event loop just before a read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Append received bytes to the unread input; called by the event loop."""
        self._buffer += _READ_BUFFER[:nbytes]
        self._received_bytes += nbytes
        if len(self._buffer) > MAX_READ_AHEAD_BYTES and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()
        self._notify_input()

    def eof_received(self) -> bool:
        """Record that the peer has closed its side; called by the event loop.

        The connection stays open, since a response to the peer may still be in progress.
        """
        self._record_peer_close(PeerClose.CLOSED)
        return True

    def pause_writing(self) -> None:
        """Make senders wait; called by the event loop."""
        self._writable_event = anyio.Event()

    def resume_writing(self) -> None:
        """Let senders continue; called by the event loop."""
        if self._writable_event is not None:
            self._writable_event.set()
            self._writable_event = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss of the connection; called by the event loop."""
        self.resume_writing()
        self._record_peer_close(PeerClose.RESET)

    def _record_peer_close(self, peer_close: PeerClose) -> None:
        if self._peer_close is not None:
            return
        self._peer_close = peer_close
        self._notify_input()
        if self._peer_close_event is not None:
            self._peer_close_event.set()
        if self._on_peer_close is not None:
            self._on_peer_close()

    def _notify_input(self) -> None:
        if self._input_event is not None:
            self._input_event.set()
            self._input_event = None

    def _lost_error(self) -> ConnectionLostError:
        return ConnectionLostError(where=self._peer, reset=True, received=self._received_bytes > 0)


def set_socket_options(raw: socket.socket, *, ack_timeout_s: float) -> None:
    """Set TCP options; the kernel resets a connection if data stays unacknowledged too long.

    ``ack_timeout_s`` is that time, seconds.
    """
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, math.ceil(ack_timeout_s * 1000))


async def connect(address: str, *, timeout_s: float, ack_timeout_s: float) -> Channel:
    """Open a connection to ``HOST:PORT``; raises ConnectFailedError."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(timeout_s):
            transport, channel = await loop.create_connection(Channel, host, int(port))
    except (OSError, TimeoutError, ValueError) as error:
        raise ConnectFailedError(what=str(error) or "timeout", where=address) from error
    try:
        set_socket_options(transport.get_extra_info("socket"), ack_timeout_s=ack_timeout_s)
    except OSError as error:
        channel.close()
        raise ConnectFailedError(what=str(error), where=address) from error
    return channel
