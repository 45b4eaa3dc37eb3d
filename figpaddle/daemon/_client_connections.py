"""Bounds the open connections of all clients at an HTTP port."""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import re
import socket
import struct
import termios
from collections.abc import Callable
from typing import Any, NoReturn

import anyio

from figpaddle.daemon._http import Scope
from figpaddle.http1 import ClientAccount, ClientPhase, HeldClient

#: Bytes of earlier answers that a client may have left unread when its next request begins. A client that doesn't
#: send requests ahead has read them all.
MAX_UNREAD_BYTES = 1024
#: Shortest and longest interval at which they are looked at, seconds; it doubles each time, so that a crowd
#: that doesn't read doesn't keep the process busy.
MIN_UNREAD_POLL_S, MAX_UNREAD_POLL_S = 0.02, 1.0
#: Turns of the event loop in which a request that came before its client closed its side has begun, and a
#: short one has ended.
END_TURNS = 16
#: Longest wait for a client to read them, seconds.
UNREAD_TIMEOUT_S = 30.0
#: Connections that are refused in one turn of the event loop.
MAX_REFUSALS_PER_TURN = 64
#: Size from which a head is long, bytes, and how much of long heads is read in one turn of the event loop. A head
#: of thousands of fields takes many milliseconds to parse, and many may come at once.
LONG_HEAD_BYTES, LONG_HEAD_BYTES_PER_TURN = 4096, 16 * 1024
#: Memory that a header field takes beside its name and value, bytes; the server keeps each several times.
FIELD_OVERHEAD_BYTES = 300
#: The end of a head, and the bytes of it that may have come before the others.
HEAD_END, HEAD_END_PART = re.compile(rb"\n\r?\n"), 2
#: Value of SO_LINGER with which a close resets the connection, so that a part of an answer can't look whole.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class HeadTurns:
    """Spreads the reading of long heads of many connections over the turns of the event loop."""

    def __init__(self) -> None:
        self._read_bytes = 0

    def take(self, size: int) -> int:
        """Return how much of a long head may be read in this turn, at most ``size`` bytes."""
        if not self._read_bytes:
            asyncio.get_running_loop().call_soon(self._begin_turn)
        granted = min(size, LONG_HEAD_BYTES_PER_TURN - self._read_bytes)
        self._read_bytes += granted
        return granted

    def give_back(self, size: int) -> None:
        """Return what was granted in this turn and hadn't come."""
        self._read_bytes -= size

    def _begin_turn(self) -> None:
        self._read_bytes = 0


class ClientConnection(HeldClient):
    """An open connection, the head that it receives and the requests that are in progress on it.

    ``account`` counts the connection, and ``held`` the memory that a head will take once it is parsed.
    """

    def __init__(
        self,
        *,
        account: ClientAccount,
        held: ClientAccount,
        turns: HeadTurns,
        clock: Callable[[], float],
    ) -> None:
        self._account = account
        self._held = held
        self._turns = turns
        self._clock = clock
        self._requests: dict[HeldClient, ClientPhase] = {}
        #: Requests that wait until the answers to earlier ones are read.
        self._waiting = 0
        self._socket: _ClientSocket | None = None
        #: Bytes of the present head that were read, and the memory that it will take.
        self._read_head_bytes = self._head_bytes = 0
        self._head_tail = b""
        self._has_head = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or waits for its turn."""
        return bool(self._requests or self._waiting)

    def attach(self, accepted: _ClientSocket) -> None:
        """Set the socket of the connection."""
        self._socket = accepted

    def read(self, size: int, receive: Callable[[int], bytes]) -> bytes:
        """Return up to ``size`` bytes of ``receive``, as many as may be read in this turn of the event loop.

        Raises BlockingIOError if none may, and the errors of ``receive``.
        """
        if self._requests or self._has_head:
            return receive(size)
        short_bytes = LONG_HEAD_BYTES - self._read_head_bytes
        if short_bytes > 0:
            return receive(min(size, short_bytes))
        granted, data = self._turns.take(size), b""
        if not granted:
            raise BlockingIOError
        try:
            data = receive(granted)
        finally:
            self._turns.give_back(granted - len(data))
        return data

    def receive(self, data: bytes) -> bool:
        """Count the head of a request in received bytes; return whether there is room for it."""
        if self._requests or self._has_head:
            return True
        self._read_head_bytes += len(data)
        if not self._head_bytes:
            self._held.enter(self, ClientPhase.RECEIVING, now=self._clock())
        end = HEAD_END.search(self._head_tail + data)
        size = len(data) if end is None else max(0, end.end() - len(self._head_tail))
        self._has_head, self._head_tail = end is not None, data[-HEAD_END_PART:]
        fields = data.count(b"\n", 0, size)
        return self._hold_head(self._head_bytes + size + fields * FIELD_OVERHEAD_BYTES)

    async def wait_until_read(self) -> bool:
        """Wait until the client has read earlier answers; return whether it has."""
        if self._socket is None:
            return False
        if self._socket.unread_bytes > MAX_UNREAD_BYTES:
            self._account.enter(self, ClientPhase.SENDING, now=self._clock())
            self._waiting += 1
            try:
                with anyio.move_on_after(UNREAD_TIMEOUT_S):
                    poll_s = MIN_UNREAD_POLL_S
                    while self._socket.is_open and self._socket.unread_bytes > MAX_UNREAD_BYTES:
                        await anyio.sleep(poll_s)
                        poll_s = min(2 * poll_s, MAX_UNREAD_POLL_S)
            finally:
                self._waiting -= 1
            if self._socket.unread_bytes > MAX_UNREAD_BYTES:
                self._socket.abort()
        return self._socket.is_open

    def refuse_head(self) -> None:
        """Record that the connection is closed as there is no room for its head."""
        self._hold_head(0)
        self._held.note_refused()

    def begin(self, request: HeldClient) -> None:
        """Record that the head of a request was parsed; who serves it counts it from now on."""
        self._hold_head(0)
        self._enter(request, ClientPhase.RECEIVING)

    def note_passed(self, size: int) -> None:
        """Record that bytes of a request have been received."""
        self._account.note_passed(self, size, now=self._clock())

    def note_received(self, request: HeldClient) -> None:
        """Record that a request was read as a whole."""
        self._enter(request, ClientPhase.SERVING)

    def end(self, request: HeldClient) -> None:
        """Record that a request is no longer in progress."""
        self._requests.pop(request, None)
        if not self._requests:
            self._has_head, self._head_tail, self._read_head_bytes = False, b"", 0
            if self._socket is not None:
                self._socket.await_next_request()
        phase = max(self._requests.values(), default=ClientPhase.IDLE)
        self._account.enter(self, phase, now=self._clock())

    def end_for_others(self) -> None:
        """Refuse the requests that are being received; without any, close the connection."""
        for request in tuple(self._requests):
            request.end_for_others()
        if not self._requests and self._socket is not None:
            self._socket.abort()

    def _hold_head(self, size: int) -> bool:
        self._head_bytes = size
        return self._held.hold(self, size, now=self._clock())

    def _enter(self, request: HeldClient, phase: ClientPhase) -> None:
        self._requests[request] = phase
        # Several requests share a connection in HTTP/2; none that was read as a whole is given up.
        self._account.enter(self, max(self._requests.values()), now=self._clock())


class ClientConnections:
    """The connections of clients at an HTTP port.

    ``account`` decides which connection is closed for a new one. ``port_socket`` returns the socket from which
    an HTTP server accepts; the server needs to know nothing of the limit.
    """

    def __init__(
        self,
        *,
        account: ClientAccount,
        held: ClientAccount,
        clock: Callable[[], float],
    ) -> None:
        self._account = account
        self._held = held
        self._clock = clock
        self._turns = HeadTurns()
        self._open: dict[tuple[Any, Any], ClientConnection] = {}

    def port_socket(self, listening: socket.socket) -> socket.socket:
        """Return a socket that takes over ``listening`` and accepts within the limit."""
        return _PortSocket(connections=self, listening=listening)

    def find(self, scope: Scope) -> ClientConnection:
        """Return the connection of a request; one that is closed already isn't counted."""
        connection = self._open.get((scope["client"], scope["server"]))
        return connection or self._make_connection()

    def admit(self, accepted: socket.socket) -> socket.socket | None:
        """Return the socket of a new connection, or None if it is refused."""
        now = self._clock()
        try:
            ends = (accepted.getpeername(), accepted.getsockname())
        except OSError:
            # The client has reset it already.
            accepted.close()
            return None
        if not self._account.has_room(now=now):
            self._account.note_refused("connections")
            accepted.close()
            return None
        connection = self._make_connection()
        client_socket = _ClientSocket(
            accepted=accepted,
            connection=connection,
            on_close=lambda: self._remove(ends, connection),
        )
        connection.attach(client_socket)
        self._open[ends] = connection
        self._account.add(connection, now=now)
        self._held.add(connection, now=now)
        return client_socket

    def _make_connection(self) -> ClientConnection:
        return ClientConnection(
            account=self._account, held=self._held, turns=self._turns, clock=self._clock
        )

    def _remove(self, ends: tuple[Any, Any], connection: ClientConnection) -> None:
        self._account.remove(connection)
        self._held.remove(connection)
        # A client that has reset a connection may use its port again before the socket is closed.
        if self._open.get(ends) is connection:
            del self._open[ends]


class _PortSocket(socket.socket):
    """A listening socket that accepts connections within the limit."""

    def __init__(self, *, connections: ClientConnections, listening: socket.socket) -> None:
        family, kind, protocol = listening.family, listening.type, listening.proto
        super().__init__(family, kind, protocol, fileno=listening.detach())
        self._connections = connections

    def accept(self) -> tuple[socket.socket, Any]:
        """Return the next connection that is within the limit; raises BlockingIOError if none waits."""
        for _ in range(MAX_REFUSALS_PER_TURN):
            accepted, address = super().accept()
            admitted = self._connections.admit(accepted)
            if admitted is not None:
                return admitted, address
        raise BlockingIOError


class _ClientSocket(socket.socket):
    """The socket of a connection, which reports its close."""

    def __init__(
        self,
        *,
        accepted: socket.socket,
        connection: ClientConnection,
        on_close: Callable[[], None],
    ) -> None:
        family, kind, protocol = accepted.family, accepted.type, accepted.proto
        super().__init__(family, kind, protocol, fileno=accepted.detach())
        self._connection = connection
        self._on_close = on_close
        self._is_aborted = False
        #: Turns since the client has closed its side, and whether the server was told so.
        self._turns_since_end = 0
        self._is_client_done = False
        #: Whether the kernel hasn't taken all that the server sends.
        self._has_unsent = False

    @property
    def is_open(self) -> bool:
        """Whether the connection is neither closed nor about to be."""
        return not self._is_aborted and self.fileno() >= 0

    @property
    def unread_bytes(self) -> int:
        """Bytes that the client's side hasn't acknowledged."""
        if self.fileno() < 0:
            return 0
        count = array.array("i", [0])
        fcntl.ioctl(self, termios.TIOCOUTQ, count)
        return count[0]

    def abort(self) -> None:
        """Have the server reset the connection at its next turn of reading."""
        self._is_aborted = True
        # The client may have reset the connection.
        with contextlib.suppress(OSError):
            self.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            # A socket that is shut down is readable.
            self.shutdown(socket.SHUT_RDWR)

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Return received bytes; raises ConnectionResetError once the connection isn't needed any more.

        Raises BlockingIOError if the bytes, or the end, are left for a later turn of the event loop.
        """
        if self._is_aborted:
            raise ConnectionResetError
        receive = super().recv
        data = self._connection.read(size, lambda readable: receive(readable, flags))
        if data and not self._connection.receive(data):
            self._connection.refuse_head()
            self._raise_reset()
        if not data:
            self._note_end()
        return data

    def send(self, data: bytes, flags: int = 0, /) -> int:  # type: ignore[override]
        """Send what the kernel takes.

        Raises ConnectionResetError after the last of what a client gets that has closed its side.
        """
        self._has_unsent = True
        sent = super().send(data, flags)
        self._has_unsent = sent < len(data)
        self._check_needed()
        return sent

    def await_next_request(self) -> None:
        """Leave time for a request that was sent ahead to begin before the end is told."""
        if not self._is_client_done:
            self._turns_since_end = 0

    def _note_end(self) -> None:
        """Record that the client has closed its side; raises the errors of ``recv``."""
        self._turns_since_end += 1
        if self._turns_since_end <= END_TURNS:
            raise BlockingIOError
        self._is_client_done = True
        self._check_needed()

    def _check_needed(self) -> None:
        """Have the server close a connection whose client has closed its side and gets nothing more.

        It would keep it until the idle timeout. What the kernel has taken is still delivered.
        """
        if self._is_client_done and not self._connection.is_busy and not self._has_unsent:
            raise ConnectionResetError

    def _raise_reset(self) -> NoReturn:
        """Have the server close the connection with a reset."""
        self.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        raise ConnectionResetError

    def close(self) -> None:
        """Close the socket."""
        super().close()
        self._on_close()
