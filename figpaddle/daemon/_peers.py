"""Connections between instances: WebSockets that carry CBOR frames.

Each instance opens a control link to every peer and uses it for its own messages and their
replies, so a link that is blocked in one direction doesn't affect the link that the peer opened. A
forwarded request has a connection of its own, so that a slow body doesn't delay small messages; a
connection is reused only if its last exchange completed without an error.
"""

from __future__ import annotations

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Callable, Mapping

import anyio
import anyio.abc
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from websockets.asyncio.client import ClientConnection
from websockets.exceptions import ConnectionClosed, WebSocketException

from figpaddle.daemon._channel import Channel
from figpaddle.daemon._dialler import OPEN_TIMEOUT_S, Dialler
from figpaddle.daemon._link_server import (
    ForwardHandler,
    Handler,
    LinkServer,
    ProcessRequest,
    as_bytes,
)
from figpaddle.daemon._sockets import Listener
from figpaddle.errors import (
    FigpaddleError,
    HandshakeError,
    PeerUnreachableError,
    WireError,
)
from figpaddle.telemetry import Log
from figpaddle.wire import (
    Frame,
    Handshake,
    LinkPurpose,
    Message,
    Refused,
    decode_frame,
    encode,
)

#: Messages that may be queued for a link; further ones are dropped.
QUEUE_LENGTH = 1024
#: First and longest backoff between attempts to open a link, seconds.
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 3.0
#: Age after which an idle forward connection is not reused, seconds.
IDLE_FORWARD_TIMEOUT_S = 10.0


@dataclasses.dataclass(kw_only=True)
class _Link:
    """State of the control link that this instance opens to one peer, owned by its task."""

    #: Sending end of the queue of encoded frames.
    queue: MemoryObjectSendStream[bytes]
    #: Receiving end of the queue.
    source: MemoryObjectReceiveStream[bytes]
    #: Whether the link is open.
    is_open: bool = False
    #: Cancels the link's task.
    cancel_scope: anyio.CancelScope = dataclasses.field(default_factory=anyio.CancelScope)


class PeerNetwork:
    """Sends messages to peers by name and dispatches received ones to handlers."""

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
        self._dialler = Dialler(name=name, handshake=handshake, own_address=listener.address)
        self._server = LinkServer(name=name, handshake=handshake, listener=listener, log=log)
        self._address = listener.address
        self._rng = rng
        self._log = log
        self._clock = clock
        self._links: dict[str, _Link] = {}
        self._addresses: dict[str, str] = {}
        self._reply_streams: dict[int, MemoryObjectSendStream[Message]] = {}
        self._next_correlation = 1
        self._idle_channels: dict[str, list[Channel]] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._broken_link_handler: Callable[[str], None] | None = None

    @property
    def address(self) -> str:
        """Address of the peer port, ``ip:port``."""
        return self._address

    @property
    def open_links(self) -> tuple[str, ...]:
        """Peers to which this instance has an open control link, sorted by name."""
        return tuple(sorted(name for name, link in self._links.items() if link.is_open))

    def register(self, message_type: type[Message], handler: Handler) -> None:
        """Pass received messages of ``message_type`` to ``handler``, which returns the reply."""
        self._server.register(message_type, handler)

    def register_forward(self, handler: ForwardHandler) -> None:
        """Pass each forwarded request to ``handler``."""
        self._server.forward_handler = handler

    def serve_exchanges(self, process_request: ProcessRequest) -> None:
        """Let ``process_request`` answer HTTP requests that don't open a WebSocket connection."""
        self._server.process_request = process_request

    def set_broken_link_handler(self, handler: Callable[[str], None]) -> None:
        """Call ``handler`` with the name of a peer whose link was lost after it had opened."""
        self._broken_link_handler = handler

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Keep control links to exactly these peers; ``addresses`` maps names to ``ip:port``."""
        for name in set(self._links):
            if self._addresses.get(name) != addresses.get(name):
                self._links.pop(name).cancel_scope.cancel()
        self._addresses = dict(addresses)
        for name in sorted(set(addresses) - set(self._links)):
            self._start_link(name, addresses[name])

    def post(self, peer: str, message: Message) -> bool:
        """Queue ``message`` for sending without a reply; return whether it was queued."""
        return self._enqueue(peer, encode(message))

    async def request(self, peer: str, message: Message, *, timeout_s: float) -> Message:
        """Send ``message`` and return the reply.

        Raises PeerUnreachableError if the link is not open, if the peer refuses the message or if
        no reply arrives within ``timeout_s``.
        """
        correlation = self._next_correlation
        self._next_correlation += 1
        sender, receiver = anyio.create_memory_object_stream[Message](1)
        self._reply_streams[correlation] = sender
        try:
            if not self._enqueue(peer, encode(message, correlation=correlation)):
                raise PeerUnreachableError(what="the link is not open", where=peer)
            with anyio.fail_after(timeout_s):
                reply = await receiver.receive()
        except TimeoutError as error:
            raise PeerUnreachableError(
                what=f"no reply within {timeout_s:g} s", where=peer
            ) from error
        finally:
            del self._reply_streams[correlation]
            sender.close()
            receiver.close()
        if isinstance(reply, Refused):
            raise PeerUnreachableError(what=f"refused: {reply.error}: {reply.what}", where=peer)
        return reply

    @contextlib.asynccontextmanager
    async def forward_channel(self, peer: str) -> AsyncIterator[Channel]:
        """Yield a connection for one forwarded request.

        The connection returns to the pool if the block ends without an exception and is closed
        otherwise. Raises PeerUnreachableError if no connection can be opened.
        """
        channel = self._take_idle_channel(peer)
        if channel is None:
            channel = await self._open_channel(peer)
        succeeded = False
        try:
            yield channel
            succeeded = True
        finally:
            if succeeded:
                channel.idle_since = self._clock()
                channel.was_idle = True
                self._idle_channels.setdefault(peer, []).append(channel)
            else:
                channel.abort()

    def drop_idle_channels(self, peer: str) -> None:
        """Close the pooled connections to ``peer``."""
        for channel in self._idle_channels.pop(peer, []):
            channel.abort()

    def _take_idle_channel(self, peer: str) -> Channel | None:
        idle = self._idle_channels.get(peer, [])
        while idle:
            channel = idle.pop()
            is_recent = self._clock() - channel.idle_since < IDLE_FORWARD_TIMEOUT_S
            if is_recent and channel.is_open:
                return channel
            channel.abort()
        return None

    async def _open_channel(self, peer: str) -> Channel:
        address = self._addresses.get(peer)
        if address is None:
            raise PeerUnreachableError(what="the address of the peer is unknown", where=peer)
        try:
            with anyio.fail_after(OPEN_TIMEOUT_S):
                context = self._dialler.dial(address, LinkPurpose.FORWARD)
                socket, _ = await context.__aenter__()
        except (OSError, TimeoutError, WebSocketException) as error:
            raise PeerUnreachableError(what=type(error).__name__, where=peer) from error
        return Channel(socket=socket, peer=peer)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Accept and open connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await tasks.start(self._run_server)
            task_status.started()
            await anyio.sleep_forever()

    async def _run_server(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        await self._server.run(task_status=task_status)

    def _enqueue(self, peer: str, data: bytes) -> bool:
        link = self._links.get(peer)
        if link is None or not link.is_open:
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
        self._tasks.start_soon(self._maintain_link, name, address, link)

    async def _maintain_link(self, name: str, address: str, link: _Link) -> None:
        backoff_s = BACKOFF_FIRST_S
        with link.cancel_scope:
            while True:
                try:
                    async with self._dialler.dial(address, LinkPurpose.CONTROL) as (socket, peer):
                        if peer != name:
                            raise HandshakeError(what=f"the peer is {peer}", where=name)
                        backoff_s = BACKOFF_FIRST_S
                        link.is_open = True
                        self._log.info("link_open", peer=name)
                        await self._run_link(socket, link)
                        self._report_broken_link(name)
                except (OSError, TimeoutError, WebSocketException, FigpaddleError) as error:
                    if link.is_open:
                        self._log.info("link_closed", peer=name, error=type(error).__name__)
                finally:
                    link.is_open = False
                await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)

    def _report_broken_link(self, name: str) -> None:
        if self._broken_link_handler is not None:
            self._broken_link_handler(name)

    async def _run_link(self, socket: ClientConnection, link: _Link) -> None:
        while True:
            try:
                link.source.receive_nowait()
            except anyio.WouldBlock:
                break
        malformed: WireError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_queue, socket, link, tasks.cancel_scope)
            try:
                await self._receive_replies(socket)
            except WireError as error:
                malformed = error
            tasks.cancel_scope.cancel()
        if malformed is not None:
            raise malformed

    async def _receive_replies(self, socket: ClientConnection) -> None:
        with contextlib.suppress(ConnectionClosed):
            async for data in socket:
                self._deliver_reply(decode_frame(as_bytes(data)))

    async def _send_queue(
        self, socket: ClientConnection, link: _Link, cancel_scope: anyio.CancelScope
    ) -> None:
        with contextlib.suppress(ConnectionClosed):
            async for data in link.source:
                await socket.send(data)
        cancel_scope.cancel()

    def _deliver_reply(self, frame: Frame) -> None:
        reply_stream = self._reply_streams.get(frame.correlation)
        if reply_stream is not None:
            with contextlib.suppress(anyio.WouldBlock):
                reply_stream.send_nowait(frame.item)
