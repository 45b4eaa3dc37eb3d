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


class Channel:
    """One forward connection: whole messages in both directions."""

    def __init__(self, *, socket: ClientConnection | ServerConnection, peer: str) -> None:
        self._socket = socket
        #: Name of the instance at the other end.
        self.peer = peer
        #: When it was put aside for reuse, seconds.
        self.idle_since = 0.0
        # A slow caller holds up the pongs; each exchange watches for silence by itself.
        socket.ping_timeout = None

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed the connection, as far as is known."""
        return self._socket.state is State.OPEN

    async def send(self, message: Message) -> None:
        """Send ``item``; raises PeerUnreachableError if the connection is closed."""
        try:
            await self._socket.send(encode(message))
        except ConnectionClosed as error:
            raise PeerUnreachableError(what="the connection closed", where=self.peer) from error

    async def receive(self) -> Message:
        """Return the next message; raises PeerUnreachableError or another WireError."""
        try:
            data = await self._socket.recv(decode=False)
        except ConnectionClosed as error:
            raise PeerUnreachableError(what="the connection closed", where=self.peer) from error
        return decode(data)

    async def receive_within(self, timeout_s: float) -> Message:
        """Return the next message; raises PeerUnreachableError also after ``timeout_s``."""
        try:
            with anyio.fail_after(timeout_s):
                return await self.receive()
        except TimeoutError as error:
            raise PeerUnreachableError(
                what=f"silent for {timeout_s:g} s", where=self.peer
            ) from error

    async def wait_delivered(self, timeout_s: float) -> None:
        """Wait until the other end has read all that was sent, or for ``timeout_s``."""
        with contextlib.suppress(ConnectionClosed), anyio.move_on_after(timeout_s):
            await (await self._socket.ping())

    async def wait_closed(self) -> None:
        """Wait until the connection is closed by either end."""
        await self._socket.wait_closed()

    def abort(self) -> None:
        """Close the connection without waiting for the other end."""
        self._socket.transport.abort()
