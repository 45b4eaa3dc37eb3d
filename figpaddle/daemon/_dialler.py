"""Opens connections to peers and authenticates both ends with the deployment key."""

from __future__ import annotations

import contextlib
import secrets
from collections.abc import AsyncIterator

import anyio
from websockets.asyncio.client import ClientConnection, connect

from figpaddle.daemon._sockets import split_address
from figpaddle.errors import HandshakeError
from figpaddle.wire import (
    MAX_FRAME_BYTES,
    NONCE_BYTES,
    Challenge,
    Handshake,
    LinkPurpose,
    Welcome,
    decode,
    encode,
)

#: Interval of pings on an open connection, seconds.
PING_INTERVAL_S = 1.0
#: A connection without a pong for this long is closed, seconds.
PING_TIMEOUT_S = 3.0
#: Timeout for opening a connection and, separately, for its handshake, seconds.
OPEN_TIMEOUT_S = 3.0
#: Timeout for the closing handshake, seconds.
CLOSE_TIMEOUT_S = 1.0


class Dialler:
    """Opens connections from the instance's own IP address."""

    def __init__(self, *, name: str, handshake: Handshake, own_address: str) -> None:
        self._name = name
        self._handshake = handshake
        self._own_ip, _ = split_address(own_address)

    @contextlib.asynccontextmanager
    async def dial(
        self, address: str, purpose: LinkPurpose
    ) -> AsyncIterator[tuple[ClientConnection, str]]:
        """Yield an open connection and the name of the authenticated peer.

        A control link is closed at the end of the block; a forward connection stays open.
        """
        socket = await connect(
            f"ws://{address}",
            max_size=MAX_FRAME_BYTES,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            compression=None,
            proxy=None,
            local_addr=(self._own_ip, 0),
        )
        keep_open = False
        try:
            peer = await self._perform_handshake(socket, purpose)
            keep_open = purpose is LinkPurpose.FORWARD
            yield socket, peer
        finally:
            if not keep_open:
                socket.transport.abort()

    async def _perform_handshake(self, socket: ClientConnection, purpose: LinkPurpose) -> str:
        with anyio.fail_after(OPEN_TIMEOUT_S):
            challenge = decode(await socket.recv(decode=False))
            if not isinstance(challenge, Challenge):
                raise HandshakeError(what="expected a challenge", where="handshake")
            nonce = secrets.token_bytes(NONCE_BYTES)
            hello = self._handshake.hello(
                challenge, sender=self._name, purpose=purpose, nonce=nonce
            )
            await socket.send(encode(hello))
            welcome = decode(await socket.recv(decode=False))
        if not isinstance(welcome, Welcome):
            raise HandshakeError(what="expected a welcome", where="handshake")
        self._handshake.check_welcome(challenge, hello, welcome)
        return welcome.sender
