"""Accepts connections from peers and dispatches their messages to handlers."""

from __future__ import annotations

import contextlib
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed
from websockets.http11 import Request, Response

from figpaddle.daemon._channel import AcceptedChannel, CountingConnection
from figpaddle.daemon._dialler import (
    CLOSE_TIMEOUT_S,
    OPEN_TIMEOUT_S,
    PING_INTERVAL_S,
    PING_TIMEOUT_S,
)
from figpaddle.daemon._sockets import Listener
from figpaddle.errors import (
    FigpaddleError,
    HandshakeError,
    MalformedMessageError,
    PeerUnreachableError,
    UnknownMessageError,
)
from figpaddle.telemetry import Log
from figpaddle.wire import (
    MAX_FRAME_BYTES,
    NONCE_BYTES,
    Challenge,
    Frame,
    Handshake,
    Hello,
    LinkPurpose,
    Message,
    Refused,
    decode,
    decode_frame,
    encode,
)

Handler = Callable[[str, Any], Awaitable[Message | None]]
ProcessRequest = Callable[[ServerConnection, Request], Awaitable[Response | None]]
ForwardHandler = Callable[[str, AcceptedChannel], Awaitable[None]]


class LinkServer:
    """The accepting end of the connections between instances."""

    def __init__(self, *, name: str, handshake: Handshake, listener: Listener, log: Log) -> None:
        self._name = name
        self._handshake = handshake
        self._listener = listener
        self._log = log
        self._handlers: dict[type[Message], Handler] = {}
        #: Serves one forwarded request of a connection; None if the instance accepts none.
        self.forward_handler: ForwardHandler | None = None
        #: Answers HTTP requests that don't open a WebSocket connection.
        self.process_request: ProcessRequest | None = None

    def register(self, message_type: type[Message], handler: Handler) -> None:
        """Pass received messages of ``message_type`` to ``handler``, which returns the reply."""
        self._handlers[message_type] = handler

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Accept connections until cancelled."""
        async with serve(
            self._accept,
            sock=self._listener.socket,
            max_size=MAX_FRAME_BYTES,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            compression=None,
            close_timeout=CLOSE_TIMEOUT_S,
            process_request=self.process_request,
            create_connection=CountingConnection,
        ):
            task_status.started()
            await anyio.sleep_forever()

    async def _accept(self, socket: ServerConnection) -> None:
        try:
            with anyio.fail_after(OPEN_TIMEOUT_S):
                hello = await self._accept_handshake(socket)
            if hello.purpose is LinkPurpose.FORWARD:
                await self._serve_forwards(socket, hello.sender)
            else:
                await self._serve_control(socket, hello.sender)
        except (FigpaddleError, TimeoutError) as error:
            self._log.warning("link_refused", error=type(error).__name__, what=str(error))
        except ConnectionClosed:
            pass

    async def _accept_handshake(self, socket: ServerConnection) -> Hello:
        challenge = Challenge(nonce=secrets.token_bytes(NONCE_BYTES))
        await socket.send(encode(challenge))
        hello = decode(await socket.recv(decode=False))
        if not isinstance(hello, Hello):
            raise HandshakeError(what="expected a hello", where="handshake")
        welcome = self._handshake.welcome(challenge, hello, sender=self._name)
        await socket.send(encode(welcome))
        return hello

    async def _serve_control(self, socket: ServerConnection, peer: str) -> None:
        malformed: MalformedMessageError | None = None
        async with anyio.create_task_group() as tasks:
            try:
                await self._receive_frames(socket, peer, tasks)
            except MalformedMessageError as error:
                malformed = error
            tasks.cancel_scope.cancel()
        if malformed is not None:
            raise malformed

    async def _receive_frames(
        self, socket: ServerConnection, peer: str, tasks: anyio.abc.TaskGroup
    ) -> None:
        with contextlib.suppress(ConnectionClosed):
            async for data in socket:
                try:
                    frame = decode_frame(as_bytes(data))
                except UnknownMessageError as error:
                    refusal = Refused(error=type(error).__name__, what=error.what)
                    await socket.send(encode(refusal, correlation=error.correlation))
                    continue
                tasks.start_soon(self._handle, socket, peer, frame)

    async def _handle(self, socket: ServerConnection, peer: str, frame: Frame) -> None:
        handler = self._handlers.get(type(frame.item))
        reply: Message | None
        if handler is None:
            reply = Refused(error="UnknownMessageError", what=frame.item.wire_name)
        else:
            try:
                reply = await handler(peer, frame.item)
            except FigpaddleError as error:
                reply = Refused(error=type(error).__name__, what=str(error))
            except Exception as error:  # noqa: BLE001
                self._log.error(
                    "internal_fault",
                    peer=peer,
                    message=frame.item.wire_name,
                    error=type(error).__name__,
                    what=str(error),
                    exc_info=error,
                )
                reply = Refused(error="InternalError", what="internal error")
        if reply is not None and frame.correlation:
            with contextlib.suppress(ConnectionClosed):
                await socket.send(encode(reply, correlation=frame.correlation))

    async def _serve_forwards(self, socket: ServerConnection, peer: str) -> None:
        assert isinstance(socket, CountingConnection)
        channel = AcceptedChannel(socket=socket, peer=peer)
        if self.forward_handler is None:
            raise UnknownMessageError(what="this instance serves no forwarded requests")
        with contextlib.suppress(PeerUnreachableError):
            while True:
                await self.forward_handler(peer, channel)


def as_bytes(data: str | bytes) -> bytes:
    """Return the bytes of a frame; raises MalformedMessageError for a text frame."""
    if isinstance(data, str):
        raise MalformedMessageError(what="expected a binary frame", where="link")
    return data
