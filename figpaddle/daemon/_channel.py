"""One connection between two instances that carries forwarded requests."""

from __future__ import annotations

import contextlib

import anyio
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed
from websockets.protocol import State

from figpaddle.errors import PeerUnreachableError
from figpaddle.wire import Message, decode, encode

#: Interval at which an accepted channel checks whether bytes have come, seconds.
SILENCE_POLL_S = 0.5


class Channel:
    """Sends and receives messages on one connection for forwarded requests."""

    def __init__(self, *, socket: ClientConnection | ServerConnection, peer: str) -> None:
        self._socket = socket
        #: Name of the instance at the other end.
        self.peer = peer
        #: Time since which the connection is idle, seconds on the instance's clock.
        self.idle_since = 0.0
        #: Whether it carried a request before.
        self.was_idle = False
        # Backpressure from a slow caller delays pongs too, so a ping timeout would close a working
        # connection. Each exchange has a timeout of its own for a silent peer.
        socket.ping_timeout = None

    @property
    def is_open(self) -> bool:
        """Whether the connection is open as far as this end knows."""
        return self._socket.state is State.OPEN

    async def send(self, message: Message) -> None:
        """Send ``message``; raises PeerUnreachableError if the connection is closed."""
        try:
            await self._socket.send(encode(message))
        except ConnectionClosed as error:
            raise PeerUnreachableError(what="the connection was closed", where=self.peer) from error

    async def receive(self) -> Message:
        """Return the next message; raises PeerUnreachableError or another WireError."""
        try:
            data = await self._socket.recv(decode=False)
        except ConnectionClosed as error:
            raise PeerUnreachableError(what="the connection was closed", where=self.peer) from error
        return decode(data)

    async def receive_within(self, timeout_s: float) -> Message:
        """Return the next message; raises PeerUnreachableError also if none comes in time."""
        try:
            with anyio.fail_after(timeout_s):
                return await self.receive()
        except TimeoutError as error:
            raise PeerUnreachableError(
                what=f"no message within {timeout_s:g} s", where=self.peer
            ) from error

    async def wait_delivered(self, timeout_s: float) -> None:
        """Wait until the peer has read everything sent, for ``timeout_s`` at most."""
        with contextlib.suppress(ConnectionClosed), anyio.move_on_after(timeout_s):
            await (await self._socket.ping())

    async def wait_closed(self) -> None:
        """Wait until either end closes the connection."""
        await self._socket.wait_closed()

    def abort(self) -> None:
        """Close the connection without a closing handshake."""
        self._socket.transport.abort()


class CountingConnection(ServerConnection):
    """An accepted connection that counts the bytes received, those of pings and pongs included."""

    #: Number of bytes received.
    received_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Count the bytes and process them."""
        self.received_bytes += len(data)
        super().data_received(data)


class AcceptedChannel(Channel):
    """A channel at the instance that accepted its connection."""

    def __init__(self, *, socket: CountingConnection, peer: str) -> None:
        super().__init__(socket=socket, peer=peer)
        self._counting_socket = socket

    async def wait_silent(self, timeout_s: float) -> None:
        """Wait until nothing has come from the peer for ``timeout_s``.

        The peer pings at a shorter interval, also while a slow caller holds back its pongs. Time for
        which this end doesn't read, or its event loop stands still, tells nothing and doesn't count.
        """
        silent_s = 0.0
        while silent_s < timeout_s:
            received_bytes = self._counting_socket.received_bytes
            await anyio.sleep(SILENCE_POLL_S)
            heard = self._counting_socket.received_bytes != received_bytes
            if heard or not self._counting_socket.transport.is_reading():
                silent_s = 0.0
            else:
                silent_s += SILENCE_POLL_S
