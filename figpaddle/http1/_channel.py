"""A TCP connection that reads ahead, so that a close by the peer is detected at once."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import enum
import errno
import ipaddress
import math
import os
import socket
import struct
from collections.abc import Callable

import anyio

from figpaddle.errors import ConnectFailedError, ConnectionLostError

#: Size of the unread input above which reading pauses, so that TCP flow control stops the sender.
MAX_READ_AHEAD_BYTES = 256 * 1024
#: Size of the unread input from which a listener to ``on_read_ahead`` decides about further reading, bytes.
READ_AHEAD_STEP_BYTES = 16 * 1024
#: Size of the read buffer, which all connections share, bytes.
READ_BUFFER_BYTES = 64 * 1024
#: Idle time before the first TCP keep-alive probe, seconds; the shortest that the kernel allows.
KEEPALIVE_IDLE_S = 1
#: Interval between keep-alive probes, seconds; the shortest that the kernel allows.
KEEPALIVE_INTERVAL_S = 1
#: Number of unanswered probes after which the kernel resets a connection.
KEEPALIVE_PROBES = 3

#: Value of SO_LINGER with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_READ_BUFFER = memoryview(bytearray(READ_BUFFER_BYTES))


class PeerClose(enum.Enum):
    """How the peer closed its side of a connection."""

    CLOSED = "closed"
    RESET = "reset"


class Channel:
    """A connection whose input the event loop reads without a task.

    Streamed responses arrive in small pieces, a few hundred per second at an entry instance. A
    reading task, with its checkpoints and changes to the poll set for each piece, takes more
    processor time than all routing decisions. Readers wait with ``wait_for_input`` and take bytes with
    ``read_buffered``. ``peer_close`` tells how the peer closed its side, and the callback set with
    ``on_peer_close`` is called at that moment.

    A busy event loop polls late. ``read_now`` reads what the kernel has at the moment, and ``close``
    ends the connection before it returns; a transport of ``asyncio`` needs further turns for both.

    ``raw`` is a connected, non-blocking socket. ``arrived_after`` returns a time since when the bytes
    that are read now have come.
    """

    def __init__(
        self, *, raw: socket.socket, arrived_after: Callable[[], float] = lambda: 0.0
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._raw = raw
        self._arrived_after = arrived_after
        self._peer = _peer_address(raw)
        self._buffer = bytearray()
        self._unread_since = 0.0
        self._unsent: collections.deque[memoryview] = collections.deque()
        self._unsent_bytes = 0
        self._peer_close: PeerClose | None = None
        self._peer_closed_since: float | None = None
        self._input_event: asyncio.Event | None = None
        self._peer_close_event: asyncio.Event | None = None
        self._sent_event: asyncio.Event | None = None
        self._on_peer_close: Callable[[], None] | None = None
        self._on_read_ahead: Callable[[int], bool] | None = None
        self._on_unsent: Callable[[int], None] | None = None
        self._received_bytes = 0
        self._closed = False
        #: Whether reading or sending has failed.
        self._failed = False
        self._sending_finished = False
        self._reads = False
        self._resume_reading()

    @property
    def peer(self) -> str:
        """Address of the peer, ``HOST:PORT``."""
        return self._peer

    @property
    def peer_close(self) -> PeerClose | None:
        """How the peer closed its side, or None while it is open."""
        return self._peer_close

    @property
    def peer_closed_since(self) -> float | None:
        """Time that ``arrived_after`` returned as the peer's close was read; None before that."""
        return self._peer_closed_since

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

    @property
    def unread_since(self) -> float:
        """Time that ``arrived_after`` returned for the first of the bytes not yet read."""
        return self._unread_since

    def was_reset(self) -> bool:
        """Return whether the connection was reset, also after an orderly close by the peer."""
        if self._failed or self._peer_close is PeerClose.RESET:
            return True
        return not self._closed and self._raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def on_peer_close(self, callback: Callable[[], None] | None) -> None:
        """Call ``callback`` when the peer closes its side, at once if it already has."""
        self._on_peer_close = callback
        if callback is not None and self._peer_close is not None:
            callback()

    def on_read_ahead(self, callback: Callable[[int], bool]) -> None:
        """Call ``callback`` with the size of a long unread input; it returns whether to read more."""
        self._on_read_ahead = callback

    def on_unsent(self, callback: Callable[[int], None]) -> None:
        """Call ``callback`` each time that the number of bytes that the kernel hasn't accepted changes."""
        self._on_unsent = callback

    def read_buffered(self) -> bytes:
        """Return and remove all bytes received."""
        data = bytes(self._buffer)
        self._buffer.clear()
        self._resume_reading()
        return data

    def read_now(self, arrived_after: float | None = None) -> None:
        """Read what has come since the event loop polled, a close by the peer included.

        ``arrived_after`` is an earlier time since when bytes may have come on a new connection.
        """
        while self._reads and self._read_available():
            pass
        if arrived_after is not None:
            self._unread_since = min(self._unread_since, arrived_after)

    async def wait_for_input(self) -> None:
        """Return once bytes can be read or the peer has closed its side."""
        while not self._buffer and self._peer_close is None:
            if self._input_event is None:
                self._input_event = asyncio.Event()
            await self._input_event.wait()

    async def wait_for_peer_close(self) -> None:
        """Return once the peer has closed its side, even if unread bytes remain."""
        if self._peer_close is None:
            self._peer_close_event = self._peer_close_event or asyncio.Event()
            await self._peer_close_event.wait()

    async def send(self, data: bytes) -> None:
        """Return once the kernel has accepted ``data``; raises ConnectionLostError."""
        if self._closed or self._sending_finished:
            raise self._lost_error()
        view = memoryview(data)
        if not self._unsent:
            view = view[self._try_send(view) :]
            if view and not self._closed:
                self._loop.add_writer(self._raw, self._send_unsent)
        if view and not self._closed:
            self._unsent.append(view)
            self._note_unsent(self._unsent_bytes + len(view))
        while self._unsent and not self._closed:
            self._sent_event = self._sent_event or asyncio.Event()
            await self._sent_event.wait()
        if self._closed:
            raise self._lost_error()

    def send_last(self, data: bytes) -> None:
        """Send what the kernel accepts at once of ``data``, and close the connection."""
        if not self._closed and not self._sending_finished and not self._unsent:
            self._try_send(data)
        self.close()

    def finish_sending(self) -> None:
        """Half-close the connection; the peer may still send."""
        if not self._closed and not self._unsent:
            self._sending_finished = True
            with contextlib.suppress(OSError):
                self._raw.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection; bytes that the kernel has accepted are still delivered."""
        if self._closed:
            return
        self._closed = True
        self._pause_reading()
        if self._unsent:
            self._loop.remove_writer(self._raw)
            self._unsent.clear()
            self._unsent_bytes = 0
        self._raw.close()
        self._notify_sent()
        self._record_peer_close(PeerClose.RESET)

    def abort(self) -> None:
        """Reset the connection, so that the peer can't mistake a partial message for a whole one."""
        if not self._closed:
            with contextlib.suppress(OSError):
                self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def _read_polled(self) -> None:
        """Read once; called by the event loop."""
        self._read_available()

    def _read_available(self) -> bool:
        """Read once; return whether bytes came."""
        try:
            size = self._raw.recv_into(_READ_BUFFER)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            self._failed = True
            self.close()
            return False
        if not size:
            # The connection stays open, since a response to the peer may still be in progress.
            self._pause_reading()
            self._record_peer_close(PeerClose.CLOSED)
            return False
        if not self._buffer:
            self._unread_since = self._arrived_after()
        self._buffer += _READ_BUFFER[:size]
        self._received_bytes += size
        if len(self._buffer) > MAX_READ_AHEAD_BYTES or not self._may_read_ahead():
            self._pause_reading()
        self._notify_input()
        return True

    def _may_read_ahead(self) -> bool:
        if self._on_read_ahead is None or len(self._buffer) < READ_AHEAD_STEP_BYTES:
            return True
        return self._on_read_ahead(len(self._buffer))

    def _try_send(self, data: bytes | memoryview) -> int:
        """Send what the kernel accepts; return its size."""
        try:
            return self._raw.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            self._failed = True
            self.close()
            return 0

    def _send_unsent(self) -> None:
        view = self._unsent[0]
        sent = self._try_send(view)
        if self._closed:
            return
        if sent < len(view):
            self._unsent[0] = view[sent:]
        else:
            self._unsent.popleft()
        if not self._unsent:
            self._loop.remove_writer(self._raw)
        self._note_unsent(self._unsent_bytes - sent)
        if not self._unsent:
            self._notify_sent()

    def _note_unsent(self, unsent_bytes: int) -> None:
        self._unsent_bytes = unsent_bytes
        if self._on_unsent is not None:
            self._on_unsent(unsent_bytes)

    def _pause_reading(self) -> None:
        if self._reads:
            self._reads = False
            self._loop.remove_reader(self._raw)

    def _resume_reading(self) -> None:
        if not self._reads and not self._closed and self._peer_close is None:
            self._reads = True
            self._loop.add_reader(self._raw, self._read_polled)

    def _record_peer_close(self, peer_close: PeerClose) -> None:
        if self._peer_close is not None:
            return
        self._peer_close = peer_close
        self._peer_closed_since = self._arrived_after()
        self._notify_input()
        if self._peer_close_event is not None:
            self._peer_close_event.set()
        if self._on_peer_close is not None:
            self._on_peer_close()

    def _notify_input(self) -> None:
        if self._input_event is not None:
            self._input_event.set()
            self._input_event = None

    def _notify_sent(self) -> None:
        if self._sent_event is not None:
            self._sent_event.set()
            self._sent_event = None

    def _lost_error(self) -> ConnectionLostError:
        return ConnectionLostError(where=self._peer, reset=True, received=self._received_bytes > 0)


def _peer_address(raw: socket.socket) -> str:
    """Return the address of a socket's peer; empty if the connection has already been reset."""
    try:
        host, port = raw.getpeername()[:2]
    except OSError:
        return ""
    return f"{host}:{port}"


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
    try:
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        # No descriptor is left.
        raise ConnectFailedError(what=str(error), where=address) from error
    try:
        raw.setblocking(False)
        set_socket_options(raw, ack_timeout_s=ack_timeout_s)
        await _connect(raw, address, timeout_s=timeout_s)
        return Channel(raw=raw)
    except (OSError, ValueError, OverflowError) as error:
        raw.close()
        raise ConnectFailedError(what=str(error) or "timeout", where=address) from error
    except BaseException:
        raw.close()
        raise


async def _connect(raw: socket.socket, address: str, *, timeout_s: float) -> None:
    """Connect a socket; raises OSError, TimeoutError included, or the errors of a bad address."""
    host, _, port = address.rpartition(":")
    # A name would be looked up in DNS, which blocks the event loop.
    code = raw.connect_ex((str(ipaddress.IPv4Address(host)), int(port)))
    if code == errno.EINPROGRESS:
        with anyio.move_on_after(timeout_s):
            await anyio.wait_writable(raw)
        code = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if not code and not _is_connected(raw):
            raise TimeoutError
    if code:
        raise OSError(code, os.strerror(code))


def _is_connected(raw: socket.socket) -> bool:
    """Return whether a connection is established, also if the event loop hasn't noticed it yet."""
    try:
        raw.getpeername()
    except OSError:
        return False
    return True
