"""The side that serves: one connection of a caller."""

from __future__ import annotations

import abc
import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

import anyio
import h11

from figpaddle.errors import ConnectionLostError, MalformedRequestError
from figpaddle.http1._channel import Channel
from figpaddle.http1._messages import Headers, HttpRequest, header, header_values

#: How long a closed connection still takes in what is under way, seconds; a reset caused by
#: unread bytes would destroy the answer before the caller has read it.
LINGER_S = 0.5
#: Body of an answer to bytes that can't be read.
NO_BODY = b""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestLimits:
    """What a caller may send, and how long it may take."""

    #: Most bytes of request line and header fields.
    header_bytes: int = 16384
    #: Most bytes of a body.
    body_bytes: int = 4194304
    #: Longest time from the first byte of a request to the end of its header, seconds.
    header_timeout_s: float = 3.0
    #: Longest time without a request on a kept connection, seconds.
    idle_timeout_s: float = 15.0


class Responder(abc.ABC):
    """Takes the answer to one request."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the head of an answer has been sent."""

    @abc.abstractmethod
    async def start(self, status: int, headers: Headers, *, length: int | None) -> None:
        """Send the head; the body is chunked where ``length`` is None."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Mark the answer as complete."""

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        await self.start(status, headers, length=len(body))
        if body:
            await self.write(body)
        await self.finish()


#: Answers one request; the caller's leaving cancels it.
Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class _Writer(Responder):
    def __init__(self, *, parser: h11.Connection, channel: Channel, closing: Callable[[], bool]):
        self._parser = parser
        self._channel = channel
        self._closing = closing
        self._started = False
        self._finished = False

    @property
    def started(self) -> bool:
        return self._started

    @property
    def finished(self) -> bool:
        return self._finished

    async def start(self, status: int, headers: Headers, *, length: int | None) -> None:
        fields = list(headers)
        if length is not None:
            fields.append((b"Content-Length", str(length).encode()))
        if self._closing():
            fields.append((b"Connection", b"close"))
        self._started = True
        await self._send(h11.Response(status_code=status, headers=fields))

    async def write(self, data: bytes) -> None:
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        await self._send(h11.EndOfMessage())
        self._finished = True

    async def _send(self, event: h11.Event) -> None:
        data = self._parser.send(event)
        if data:
            await self._channel.send(data)


class ServerConnection:
    """Reads requests of one connection, one at a time, and lets ``handler`` answer each."""

    def __init__(
        self,
        *,
        channel: Channel,
        handler: Handler,
        limits: Callable[[], RequestLimits],
        clock: Callable[[], float],
        closing: Callable[[], bool],
    ) -> None:
        self._retired = False
        self._idle: anyio.CancelScope | None = None
        self._channel = channel
        self._handler = handler
        self._limits = limits
        self._clock = clock
        self._closing = closing
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=1 << 20)

    async def run(self) -> None:
        """Serve until the connection ends."""
        try:
            with contextlib.suppress(ConnectionLostError):
                while await self._serve_one():
                    self._parser.start_next_cycle()
            await self._linger()
        finally:
            self._channel.close()

    def retire(self) -> None:
        """Close the connection unless a request is in progress, and after that request."""
        self._retired = True
        if self._idle is not None:
            self._idle.cancel()

    async def _serve_one(self) -> bool:
        """Serve one request and return whether another may follow."""
        writer = _Writer(parser=self._parser, channel=self._channel, closing=self._closing)
        try:
            request = await self._read()
        except MalformedRequestError as error:
            await self._reject(writer, error.status)
            return False
        if request is None:
            return False
        await self._handle(request, writer)
        if not writer.finished:
            self._channel.abort()
            return False
        return self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE

    async def _handle(self, request: HttpRequest, writer: _Writer) -> None:
        with anyio.CancelScope() as scope:
            self._channel.on_end(scope.cancel)
            try:
                # Lets the event loop read on: at a busy process the caller's end may be there.
                await asyncio.sleep(0)
                with contextlib.suppress(ConnectionLostError):
                    await self._handler(request, writer)
            finally:
                self._channel.on_end(None)

    async def _read(self) -> HttpRequest | None:
        """Return the next request, or None if the caller or the idle timeout ended the wait."""
        limits = self._limits()
        if not await self._first_bytes(limits.idle_timeout_s):
            return None
        head: h11.Request | None = None
        with anyio.move_on_after(limits.header_timeout_s):
            head = await self._read_head(limits)
        if head is None:
            raise MalformedRequestError(what="the header did not arrive in time", status=408)
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise MalformedRequestError(what="the body is over the limit", status=413)
            elif isinstance(event, h11.EndOfMessage):
                break
        return HttpRequest(
            method=head.method,
            target=head.target,
            headers=tuple(head.headers.raw_items()),
            body=bytes(body),
            caller=self._channel.peer.rpartition(":")[0],
            received_at=self._clock(),
        )

    async def _first_bytes(self, timeout_s: float) -> bool:
        if self._parser.trailing_data[0]:
            return True
        with anyio.move_on_after(timeout_s) as self._idle:
            if self._retired:
                self._idle.cancel()
            await self._channel.wait_for_input()
        self._idle = None
        return self._channel.unread > 0

    async def _read_head(self, limits: RequestLimits) -> h11.Request:
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            raise MalformedRequestError(what=f"{type(event).__name__} before a head", status=400)
        headers = tuple(event.headers.raw_items())
        size = len(event.target) + sum(len(name) + len(value) + 4 for name, value in headers)
        if size > limits.header_bytes:
            raise MalformedRequestError(what="the header is over the limit", status=431)
        coded = header(headers, b"transfer-encoding") is not None
        if coded and header(headers, b"content-length") is not None:
            raise MalformedRequestError(what="two framings of one body", status=400)
        if len(header_values(headers, b"host")) != 1:
            raise MalformedRequestError(what="not exactly one Host field", status=400)
        return event

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise MalformedRequestError(
                    what=str(error), status=error.error_status_hint
                ) from error
            if event is h11.NEED_DATA:
                if self._parser.they_are_waiting_for_100_continue:
                    going_on = h11.InformationalResponse(status_code=100, headers=[])
                    await self._channel.send(self._parser.send(going_on))
                await self._channel.wait_for_input()
                data = self._channel.take()
                if not data:
                    reset = self._channel.end is not None and self._channel.end.value == "reset"
                    raise ConnectionLostError(where=self._channel.peer, reset=reset, received=True)
                self._parser.receive_data(data)
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError(where=self._channel.peer, reset=False, received=False)
            assert isinstance(event, h11.Event)
            return event

    async def _reject(self, writer: _Writer, status: int) -> None:
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await writer.answer(status, ((b"Connection", b"close"),), NO_BODY)

    async def _linger(self) -> None:
        if self._channel.end is None and not self._channel.closed:
            self._channel.finish_sending()
            with anyio.move_on_after(LINGER_S):
                while self._channel.end is None:
                    self._channel.take()
                    await self._channel.wait_for_input()
