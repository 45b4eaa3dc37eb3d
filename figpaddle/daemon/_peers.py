"""Links between instances: websockets that carry CBOR frames.

Each instance dials every peer that it talks to and uses that connection for its own messages and
their replies; a one-way cut thus silences one direction only. A forwarded request has a
connection for itself, so that a slow body never delays small messages, and a connection whose
exchange did not end cleanly is closed and never used again.
"""

from __future__ import annotations

import contextlib
import dataclasses
import random
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any

import anyio
import anyio.abc
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.http11 import Request, Response

from figpaddle.daemon._channel import Channel
from figpaddle.daemon._logs import Log
from figpaddle.daemon._sockets import Listener, split_address
from figpaddle.errors import (
    FigpaddleError,
    HandshakeError,
    MalformedMessageError,
    PeerUnreachableError,
    UnknownMessageError,
)
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
    Welcome,
    decode,
    decode_frame,
    encode,
)

#: Interval of pings on an open link, seconds.
PING_INTERVAL_S = 1.0
#: A link whose ping is not answered within this is closed, seconds.
PING_TIMEOUT_S = 3.0
#: Longest time to open a link, seconds.
OPEN_TIMEOUT_S = 3.0
#: Messages that may wait for a link; further ones are dropped.
QUEUE_LENGTH = 1024
#: First and longest pause between attempts to dial, seconds.
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 3.0
#: An idle forward connection is closed after this, seconds.
IDLE_FORWARD_S = 10.0

Handler = Callable[[str, Any], Awaitable[Message | None]]
ProcessRequest = Callable[[ServerConnection, Request], Awaitable[Response | None]]
ForwardHandler = Callable[[str, Channel], Awaitable[None]]


@dataclasses.dataclass(kw_only=True)
class _Link:
    """State of the dialled control link to one peer, owned by its task."""

    #: Frames to send.
    queue: MemoryObjectSendStream[bytes]
    #: Receiving end of the queue.
    source: MemoryObjectReceiveStream[bytes]
    #: Whether the link is open.
    open: bool = False
    #: Ends the task.
    scope: anyio.CancelScope = dataclasses.field(default_factory=anyio.CancelScope)


class PeerNetwork:
    """Sends messages to peers by name and hands received ones to their handlers."""

    def __init__(
        self,
        *,
        name: str,
        handshake: Handshake,
        listener: Listener,
        rng: random.Random,
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._handshake = handshake
        self._listener = listener
        self._rng = rng
        self._log = log
        self._clock = clock
        self._handlers: dict[type[Message], Handler] = {}
        self._forward_handler: ForwardHandler | None = None
        self._links: dict[str, _Link] = {}
        self._addresses: dict[str, str] = {}
        self._replies: dict[int, MemoryObjectSendStream[Message]] = {}
        self._next_correlation = 1
        self._idle: dict[str, list[Channel]] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._process_request: ProcessRequest | None = None
        self._link_watcher: Callable[[str], None] | None = None

    @property
    def open_links(self) -> tuple[str, ...]:
        """Peers whose dialled control link is open."""
        return tuple(sorted(name for name, link in self._links.items() if link.open))

    def register(self, message_type: type[Message], handler: Handler) -> None:
        """Hand received messages of ``message_type`` to ``handler``; what it returns is the reply."""
        self._handlers[message_type] = handler

    def register_forward(self, handler: ForwardHandler) -> None:
        """Hand each forwarded request to ``handler``."""
        self._forward_handler = handler

    def serve_exchanges(self, process_request: ProcessRequest) -> None:
        """Let ``process_request`` answer HTTP requests that open no link."""
        self._process_request = process_request

    def watch_broken_links(self, watcher: Callable[[str], None]) -> None:
        """Tell ``watcher`` the name of a peer whose link has broken."""
        self._link_watcher = watcher

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Keep control links to exactly these peers, given as name and ``ip:port``."""
        for name in set(self._links):
            if self._addresses.get(name) != addresses.get(name):
                self._links.pop(name).scope.cancel()
        self._addresses = dict(addresses)
        for name in sorted(set(addresses) - set(self._links)):
            self._start_link(name, addresses[name])

    def post(self, peer: str, item: Message) -> bool:
        """Send ``item`` without reply; return False where it could not even be queued."""
        return self._enqueue(peer, encode(item))

    async def request(self, peer: str, item: Message, *, timeout_s: float) -> Message:
        """Send ``item`` and return the reply.

        Raises PeerUnreachableError after ``timeout_s``, also where the link is not open.
        """
        correlation = self._next_correlation
        self._next_correlation += 1
        sender, receiver = anyio.create_memory_object_stream[Message](1)
        self._replies[correlation] = sender
        try:
            if not self._enqueue(peer, encode(item, correlation=correlation)):
                raise PeerUnreachableError(what="no link is open", where=peer)
            with anyio.fail_after(timeout_s):
                reply = await receiver.receive()
        except TimeoutError as error:
            raise PeerUnreachableError(
                what=f"no reply within {timeout_s:g} s", where=peer
            ) from error
        finally:
            del self._replies[correlation]
            sender.close()
            receiver.close()
        if isinstance(reply, Refused):
            raise PeerUnreachableError(what=f"refused: {reply.error}: {reply.what}", where=peer)
        return reply

    @contextlib.asynccontextmanager
    async def forward_channel(self, peer: str) -> AsyncIterator[Channel]:
        """Yield a connection for one forwarded request.

        The connection is kept for reuse if the block ends without an exception, and closed
        otherwise. Raises PeerUnreachableError if none can be opened.
        """
        channel = self._idle_channel(peer)
        if channel is None:
            channel = await self._open_channel(peer)
        clean = False
        try:
            yield channel
            clean = True
        finally:
            if clean:
                channel.idle_since = self._clock()
                self._idle.setdefault(peer, []).append(channel)
            else:
                channel.abort()

    def drop_idle_channels(self, peer: str) -> None:
        """Close the connections to ``peer`` that wait for reuse."""
        for channel in self._idle.pop(peer, []):
            channel.abort()

    def _idle_channel(self, peer: str) -> Channel | None:
        waiting = self._idle.get(peer, [])
        while waiting:
            channel = waiting.pop()
            fresh = self._clock() - channel.idle_since < IDLE_FORWARD_S
            if fresh and channel.is_open:
                return channel
            channel.abort()
        return None

    async def _open_channel(self, peer: str) -> Channel:
        address = self._addresses.get(peer)
        if address is None:
            raise PeerUnreachableError(what="its address is not known", where=peer)
        try:
            with anyio.fail_after(OPEN_TIMEOUT_S):
                context = self._dial(address, LinkPurpose.FORWARD)
                socket, _ = await context.__aenter__()
        except (OSError, TimeoutError, WebSocketException) as error:
            raise PeerUnreachableError(what=type(error).__name__, where=peer) from error
        return Channel(socket=socket, peer=peer)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Accept and dial links until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            async with serve(
                self._accept,
                sock=self._listener.socket,
                max_size=MAX_FRAME_BYTES,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_TIMEOUT_S,
                compression=None,
                close_timeout=1.0,
                process_request=self._process_request,
            ):
                task_status.started()
                await anyio.sleep_forever()

    def _enqueue(self, peer: str, data: bytes) -> bool:
        link = self._links.get(peer)
        if link is None or not link.open:
            return False
        try:
            link.queue.send_nowait(data)
        except anyio.WouldBlock:
            return False
        return True

    def _start_link(self, name: str, address: str) -> None:
        assert self._tasks is not None
        queue, source = anyio.create_memory_object_stream[bytes](QUEUE_LENGTH)
        link = _Link(queue=queue, source=source)
        self._links[name] = link
        self._tasks.start_soon(self._keep_link, name, address, link)

    async def _keep_link(self, name: str, address: str, link: _Link) -> None:
        pause = BACKOFF_FIRST_S
        with link.scope:
            while True:
                try:
                    async with self._dial(address, LinkPurpose.CONTROL) as (socket, peer):
                        if peer != name:
                            raise HandshakeError(what=f"{peer} answered", where=name)
                        pause = BACKOFF_FIRST_S
                        link.open = True
                        self._log.info("link_open", peer=name)
                        await self._use_link(socket, link)
                        self._report_broken(name)
                except (OSError, TimeoutError, WebSocketException, FigpaddleError) as error:
                    if link.open:
                        self._log.info("link_closed", peer=name, error=type(error).__name__)
                finally:
                    link.open = False
                await anyio.sleep(pause * self._rng.uniform(0.5, 1.0))
                pause = min(BACKOFF_MAX_S, pause * 2)

    def _report_broken(self, name: str) -> None:
        if self._link_watcher is not None:
            self._link_watcher(name)

    async def _use_link(self, socket: ClientConnection, link: _Link) -> None:
        while True:
            try:
                link.source.receive_nowait()
            except anyio.WouldBlock:
                break
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_queue, socket, link, tasks.cancel_scope)
            with contextlib.suppress(ConnectionClosed):
                async for data in socket:
                    self._deliver_reply(decode_frame(_as_bytes(data)))
            tasks.cancel_scope.cancel()

    async def _send_queue(
        self, socket: ClientConnection, link: _Link, scope: anyio.CancelScope
    ) -> None:
        with contextlib.suppress(ConnectionClosed):
            async for data in link.source:
                await socket.send(data)
        scope.cancel()

    def _deliver_reply(self, frame: Frame) -> None:
        waiting = self._replies.get(frame.correlation)
        if waiting is not None:
            with contextlib.suppress(anyio.WouldBlock):
                waiting.send_nowait(frame.item)

    @contextlib.asynccontextmanager
    async def _dial(
        self, address: str, purpose: LinkPurpose
    ) -> AsyncIterator[tuple[ClientConnection, str]]:
        own_ip, _ = split_address(self._listener.address)
        socket = await connect(
            f"ws://{address}",
            max_size=MAX_FRAME_BYTES,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=1.0,
            compression=None,
            proxy=None,
            local_addr=(own_ip, 0),
        )
        kept = False
        try:
            peer = await self._prove(socket, purpose)
            kept = purpose is LinkPurpose.FORWARD
            yield socket, peer
        finally:
            if not kept:
                socket.transport.abort()

    async def _prove(self, socket: ClientConnection, purpose: LinkPurpose) -> str:
        with anyio.fail_after(OPEN_TIMEOUT_S):
            challenge = decode(await socket.recv(decode=False))
            if not isinstance(challenge, Challenge):
                raise HandshakeError(what="no challenge", where="handshake")
            nonce = secrets.token_bytes(NONCE_BYTES)
            hello = self._handshake.hello(
                challenge, sender=self._name, purpose=purpose, nonce=nonce
            )
            await socket.send(encode(hello))
            welcome = decode(await socket.recv(decode=False))
        if not isinstance(welcome, Welcome):
            raise HandshakeError(what="not welcome", where="handshake")
        self._handshake.check_welcome(challenge, hello, welcome)
        return welcome.sender

    async def _accept(self, socket: ServerConnection) -> None:
        try:
            with anyio.fail_after(OPEN_TIMEOUT_S):
                hello = await self._admit(socket)
            if hello.purpose is LinkPurpose.FORWARD:
                await self._serve_forwards(socket, hello.sender)
            else:
                await self._serve_control(socket, hello.sender)
        except (FigpaddleError, TimeoutError) as error:
            self._log.warning("link_refused", error=type(error).__name__, what=str(error))
        except ConnectionClosed:
            pass

    async def _admit(self, socket: ServerConnection) -> Hello:
        challenge = Challenge(nonce=secrets.token_bytes(NONCE_BYTES))
        await socket.send(encode(challenge))
        hello = decode(await socket.recv(decode=False))
        if not isinstance(hello, Hello):
            raise HandshakeError(what="no hello", where="handshake")
        welcome = self._handshake.welcome(challenge, hello, sender=self._name)
        await socket.send(encode(welcome))
        return hello

    async def _serve_control(self, socket: ServerConnection, peer: str) -> None:
        async with anyio.create_task_group() as tasks:
            with contextlib.suppress(ConnectionClosed):
                async for data in socket:
                    try:
                        frame = decode_frame(_as_bytes(data))
                    except UnknownMessageError as error:
                        refusal = Refused(error=type(error).__name__, what=error.what)
                        await socket.send(encode(refusal))
                        continue
                    tasks.start_soon(self._handle, socket, peer, frame)
            tasks.cancel_scope.cancel()

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
        if reply is not None and frame.correlation:
            with contextlib.suppress(ConnectionClosed):
                await socket.send(encode(reply, correlation=frame.correlation))

    async def _serve_forwards(self, socket: ServerConnection, peer: str) -> None:
        channel = Channel(socket=socket, peer=peer)
        if self._forward_handler is None:
            raise UnknownMessageError(what="forwards are not served here")
        with contextlib.suppress(PeerUnreachableError):
            while True:
                await self._forward_handler(peer, channel)


def _as_bytes(data: str | bytes) -> bytes:
    if isinstance(data, str):
        raise MalformedMessageError(what="a text frame", where="link")
    return data
