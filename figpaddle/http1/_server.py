"""HTTP server: serves one connection of a caller."""

from __future__ import annotations

import abc
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

import anyio
import anyio.lowlevel
import h11

from figpaddle.errors import ConnectionLostError, MalformedRequestError, TransportError
from figpaddle.http1._body_parts import BodyParts
from figpaddle.http1._channel import Channel
from figpaddle.http1._handler_failures import (
    FailureHandler,
    FailureResponse,
    HandlerFailure,
    UnansweredHandler,
    UnansweredRequest,
    answer_as_unknown,
)
from figpaddle.http1._held_bytes import ClientAccount, ClientLimits, ClientPhase, HeldClient
from figpaddle.http1._messages import (
    Headers,
    HttpRequest,
    header,
    header_values,
    joined_parts,
)
from figpaddle.http1._parsing_turns import LONG_INPUT_BYTES, ParsingTurns
from figpaddle.http1._plain_heads import PlainRequestHead
from figpaddle.http1._request_limits import RequestLimits
from figpaddle.http1._server_parser import ServerParser

#: Time without input after which a half-closed connection is closed, and the longest time for which it
#: is read, seconds. Unread bytes would cause a reset that destroys the response before the caller has
#: read it; the caller of a refused request may still be sending its body.
LINGER_TIMEOUT_S, MAX_LINGER_S = 0.5, 10.0
#: Reasons for which a request ends without an answer.
CANCELLED, NOT_ANSWERED = "cancelled", "not answered"
#: Largest part of the input that is parsed without a pause for other connections, bytes.
PARSED_PART_BYTES = 16 * 1024
#: Bytes of a head that the limit doesn't count, such as its method and version.
HEAD_OVERHEAD_BYTES = 1024
#: Memory that a header field takes beside its name and value, bytes.
FIELD_OVERHEAD_BYTES = 160
#: Retry-After of a request that is refused for want of memory, seconds.
NO_ROOM_RETRY_AFTER = b"1"
#: Response to a request that is refused as it has stalled; it was not and will not be handled.
STALLED_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n"
    b"Retry-After: " + NO_ROOM_RETRY_AFTER + b"\r\n\r\n"
)
#: Body of the response to an invalid request.
EMPTY_BODY = b""


class Responder(abc.ABC):
    """Sends the response to one request."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the head of the response has been sent."""

    @property
    def caller_left_since(self) -> float | None:
        """Time since when the caller can have closed its connection; None if that isn't known.

        It is the time of the last look at the connection that found it open.
        """
        return None

    @abc.abstractmethod
    def caller_left(self) -> bool:
        """Return whether the caller has closed its connection, as the kernel knows now."""

    @abc.abstractmethod
    def on_caller_left(self, callback: Callable[[], None] | None) -> None:
        """Call ``callback`` when the caller closes its connection, before the handler is cancelled."""

    @abc.abstractmethod
    def on_start(self, callback: Callable[[], None] | None) -> None:
        """Call ``callback`` when the head of the response begins to be sent."""

    @abc.abstractmethod
    async def start(self, status: int, headers: Headers, *, length: int | None) -> None:
        """Send the head; the body is sent with chunked coding if ``length`` is None."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Complete the response."""

    async def inform(self, status: int, headers: Headers) -> None:  # noqa: B027
        """Send an interim response (1xx) before the response; one that can't do so sends none."""

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        await self.start(status, headers, length=len(body))
        if body:
            await self.write(body)
        await self.finish()


#: Handles one request; cancelled when the caller disconnects.
Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class _ParserResponder(Responder):
    def __init__(
        self, *, parser: ServerParser, channel: Channel, close_after_response: Callable[[], bool]
    ):
        self._parser = parser
        self._channel = channel
        self._close_after_response = close_after_response
        self._on_caller_left: Callable[[], None] | None = None
        self._on_start: Callable[[], None] | None = None
        self._started = False
        self._finished = False

    @property
    def started(self) -> bool:
        return self._started

    @property
    def finished(self) -> bool:
        return self._finished

    @property
    def caller_left_since(self) -> float | None:
        return self._channel.peer_closed_since

    def caller_left(self) -> bool:
        self._channel.read_now()
        return self._channel.peer_close is not None

    def on_caller_left(self, callback: Callable[[], None] | None) -> None:
        self._on_caller_left = callback

    def on_start(self, callback: Callable[[], None] | None) -> None:
        self._on_start = callback

    def begin_anew(self) -> None:
        """Replace the parser, which has refused a response; the connection can't be used any longer."""
        self._parser = ServerParser()
        self._close_after_response = lambda: True

    def note_caller_left(self) -> None:
        """Call the callback of the handler."""
        if self._on_caller_left is not None:
            self._on_caller_left()

    async def start(self, status: int, headers: Headers, *, length: int | None) -> None:
        await self._send_first(self._encode_head(status, headers, length))

    async def inform(self, status: int, headers: Headers) -> None:
        await self._send(self._parser.encode_interim(status, headers))

    async def write(self, data: bytes) -> None:
        await self._send(self._parser.encode_data(data))

    async def finish(self) -> None:
        await self._send(self._parser.encode_end())
        self._finished = True

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response, and nothing of one that can't be encoded as a whole."""
        parts = [self._encode_head(status, headers, len(body))]
        if body:
            parts.append(self._parser.encode_data(body))
        parts.append(self._parser.encode_end())
        first, *rest = joined_parts(parts)
        await self._send_first(first)
        for part in rest:
            await self._send(part)
        self._finished = True

    def _encode_head(self, status: int, headers: Headers, length: int | None) -> bytes:
        """Return the head of a response; an invalid one leaves the parser usable."""
        if length is None and header(headers, b"content-length") is not None:
            raise h11.LocalProtocolError("a length in the head of a response of unknown length")
        return self._parser.encode_head(
            status, headers, length=length, closes=self._close_after_response()
        )

    async def _send_first(self, data: bytes) -> None:
        self._started = True
        if self._on_start is not None:
            self._on_start()
        await self._send(data)

    async def _send(self, data: bytes) -> None:
        if data:
            await self._channel.send(data)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Head:
    """What is kept of the head of a request."""

    method: bytes
    target: bytes
    headers: Headers

    @property
    def held_bytes(self) -> int:
        """Memory that it takes, bytes."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.target) + fields + FIELD_OVERHEAD_BYTES * len(self.headers)


class ServerConnection(HeldClient):
    """Reads the requests of one connection one at a time and passes each to ``handler``.

    A request that was read as a whole gets a response whatever the handler does: ``on_failure`` is told
    of one that raises an error or doesn't answer. ``on_unanswered`` is told of a request that gets none
    all the same, as the connection ends first, while its caller waits.
    ``account`` decides which connections of the process are ended once it holds too much for them. Where
    ``keeps_body`` is false the handler gets requests without their bodies. ``parsing`` is shared with
    the other connections of the port.
    """

    def __init__(
        self,
        *,
        channel: Channel,
        handler: Handler,
        limits: Callable[[], RequestLimits],
        clock: Callable[[], float],
        close_after_response: Callable[[], bool],
        on_failure: FailureHandler = answer_as_unknown,
        on_unanswered: UnansweredHandler = lambda _: None,
        account: ClientAccount | None = None,
        keeps_body: bool = True,
        parsing: ParsingTurns | None = None,
    ) -> None:
        self._parsing = parsing or ParsingTurns()
        #: Whether the input that is parsed is long.
        self._parses_long = False
        self._account = account or ClientAccount(limits=ClientLimits())
        self._keeps_body = keeps_body
        #: Whether the account has ended the connection.
        self._ended = False
        self._phase = self._phase_before_sending = ClientPhase.FRESH
        #: Bytes held for the request, and those of an answer that the client hasn't taken.
        self._request_bytes = 0
        self._unsent_bytes = 0
        #: Input that isn't parsed yet.
        self._pending = b""
        #: Bytes of the present head that the parser has got.
        self._head_bytes = 0
        self._draining = False
        self._busy = False
        self._arrived_after = 0.0
        self._unread_s = 0.0
        self._idle_scope: anyio.CancelScope | None = None
        self._channel = channel
        self._handler = handler
        self._limits = limits
        self._clock = clock
        self._close_after_response = close_after_response
        self._on_failure = on_failure
        self._on_unanswered = on_unanswered
        self._parser = ServerParser()
        self._account.add(self, now=clock())
        channel.on_read_ahead(self._may_read_ahead)
        channel.on_unsent(self._note_unsent)

    @property
    def busy(self) -> bool:
        """Whether a request has begun to arrive and isn't answered."""
        return self._busy

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            with contextlib.suppress(ConnectionLostError):
                while await self._serve_request():
                    self._busy = False
                    self._parser.start_next_cycle()
                    self._enter(ClientPhase.IDLE)
                    self._hold_request(0)
                    if self._has_input():
                        # The requests of one connection must not keep the others waiting.
                        await anyio.lowlevel.checkpoint()
            self._busy = False
            self._pending = b""
            self._enter(ClientPhase.CLOSING)
            self._hold_request(0)
            await self._lingering_close()
        finally:
            self._account.remove(self)
            self._channel.close()

    def end_for_others(self) -> None:
        """Refuse the request that is being received, if any, and close the connection."""
        self._ended = True
        if self._phase is ClientPhase.RECEIVING:
            self._channel.send_last(STALLED_RESPONSE)
        elif self._phase is ClientPhase.SENDING:
            self._channel.abort()
        else:
            self._channel.close()

    def drain(self) -> None:
        """Close the connection at once if it is idle, else after the request in progress."""
        self._draining = True
        # A request may have come since the last poll.
        self._channel.read_now()
        if self._idle_scope is not None:
            self._idle_scope.cancel()

    async def _serve_request(self) -> bool:
        """Serve one request and return whether the connection can serve another."""
        responder = _ParserResponder(
            parser=self._parser,
            channel=self._channel,
            close_after_response=self._close_after_response,
        )
        try:
            request = await self._read_request()
        except MalformedRequestError as error:
            await self._reject(responder, error.status)
            return False
        if request is None:
            return False
        try:
            is_complete = await self._handle(request, responder)
        except anyio.get_cancelled_exc_class():
            self._check_answered(request, responder, otherwise=CANCELLED)
            raise
        if not is_complete:
            self._check_answered(request, responder, otherwise=NOT_ANSWERED)
            self._channel.abort()
            return False
        return self._parser.can_continue

    def _enter(self, phase: ClientPhase) -> None:
        self._phase = phase
        self._account.enter(self, phase, now=self._clock())

    def _hold_request(self, request_bytes: int) -> bool:
        """Record the bytes held for a request; return whether the connection may keep them."""
        self._request_bytes = request_bytes
        return self._update_hold()

    def _update_hold(self) -> bool:
        held_bytes = (
            self._request_bytes
            + self._unsent_bytes
            + len(self._pending)
            + self._channel.unread_bytes
        )
        return self._account.hold(self, held_bytes, now=self._clock())

    def _may_read_ahead(self, unread_bytes: int) -> bool:
        return self._update_hold()

    def _note_unsent(self, unsent_bytes: int) -> None:
        if unsent_bytes and not self._unsent_bytes:
            self._phase_before_sending = self._phase
            self._enter(ClientPhase.SENDING)
        self._account.note_passed(self, self._unsent_bytes - unsent_bytes, now=self._clock())
        self._unsent_bytes = unsent_bytes
        if not unsent_bytes:
            # An interim response is sent while the body is received.
            self._enter(self._phase_before_sending)
        # An answer to a request that has run is never given up for one that is refused.
        self._update_hold()

    def _has_input(self) -> bool:
        return bool(self._pending or self._channel.unread_bytes or self._parser.unparsed_bytes)

    def _check_answered(
        self, request: HttpRequest, responder: _ParserResponder, *, otherwise: str
    ) -> None:
        """Call ``on_unanswered`` if a request whose connection ends has no answer; its caller may have left."""
        if not responder.started and not responder.caller_left():
            with contextlib.suppress(Exception):
                self._on_unanswered(UnansweredRequest(request=request, reason=otherwise))

    async def _handle(self, request: HttpRequest, responder: _ParserResponder) -> bool:
        """Handle a request and return whether its response is complete."""
        error: Exception | None = None
        with anyio.CancelScope() as scope:

            def end() -> None:
                # The handler must not take what the callback closes for an end by the other side.
                scope.cancel()
                responder.note_caller_left()

            self._channel.on_peer_close(end)
            try:
                # In a busy process the caller may have closed the connection since the last poll.
                if responder.caller_left():
                    return False
                await self._handler(request, responder)
            except Exception as caught:  # noqa: BLE001
                error = caught
            finally:
                self._channel.on_peer_close(None)
        caller_left = self._channel.peer_close is not None
        if error is None:
            # A handler that can't complete a response that it has started returns.
            is_failure = not responder.started and not caller_left
        else:
            is_failure = not (caller_left and isinstance(error, TransportError))
        if not is_failure:
            return responder.finished
        response = self._note_failure(
            HandlerFailure(
                request=request, error=error, started=responder.started, caller_left=caller_left
            )
        )
        if responder.started or caller_left or response is None:
            return responder.finished
        return await self._answer_failure(response, responder)

    def _note_failure(self, failure: HandlerFailure) -> FailureResponse | None:
        """Call ``on_failure``; what it raises leaves no request unanswered."""
        try:
            return self._on_failure(failure)
        except Exception:  # noqa: BLE001
            # The log itself may be what failed.
            return FailureResponse()

    async def _answer_failure(self, response: FailureResponse, responder: _ParserResponder) -> bool:
        """Answer a request that its handler has left unanswered; return whether that is complete."""
        if self._parser.has_failed:
            # It refused the response of the handler.
            responder.begin_anew()
        with contextlib.suppress(ConnectionLostError):
            await responder.answer(response.status, response.headers, EMPTY_BODY)
        return responder.finished

    async def _read_request(self) -> HttpRequest | None:
        """Return the next request, or None if none begins before a close or the idle timeout."""
        if not await self._wait_for_first_bytes():
            return None
        self._busy = True
        self._unread_s = 0.0
        self._enter(ClientPhase.RECEIVING)
        first_limits = self._limits()
        if self._channel.unread_bytes and not self._pending:
            self._arrived_after = self._channel.unread_since
        # Otherwise its first bytes came with the request before.
        arrived_after = self._arrived_after
        head = await self._read_head_in_time(first_limits)
        body = await self._read_body(head, first_limits)
        if self._ended:
            raise self._ended_error()
        self._enter(ClientPhase.SERVING)
        return HttpRequest(
            method=head.method,
            target=head.target,
            headers=head.headers,
            body=body,
            caller=self._channel.peer.rpartition(":")[0],
            received_at=self._clock(),
            arrived_after=arrived_after,
            unread_s=self._unread_s,
        )

    async def _read_body(self, head: _Head, first_limits: RequestLimits) -> bytes:
        """Return the body, empty if it isn't kept; the account is told how much is held."""
        head_bytes = head.held_bytes
        self._check_room(head_bytes)
        declared = header(head.headers, b"content-length")
        if declared is not None and int(declared) > self._highest_limits(first_limits).body_bytes:
            raise MalformedRequestError(what="the body exceeds the limit", status=413)
        body = BodyParts()
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return body.take()
            if not isinstance(event, h11.Data):
                continue
            size += len(event.data)
            if size > self._highest_limits(first_limits).body_bytes:
                raise MalformedRequestError(what="the body exceeds the limit", status=413)
            self._account.note_passed(self, len(event.data), now=self._clock())
            if self._keeps_body:
                body.add(event.data)
                self._check_room(head_bytes + body.size)

    def _check_room(self, request_bytes: int) -> None:
        """Raise MalformedRequestError if the request has to be refused for want of memory."""
        if not self._hold_request(request_bytes) and not self._ended:
            self._account.note_refused()
            raise MalformedRequestError(what="no memory is left for the request", status=503)

    async def _wait_for_first_bytes(self) -> bool:
        self._head_bytes = self._parser.unparsed_bytes
        if self._head_bytes or self._pending:
            return True
        began_at, timeout_s = anyio.current_time(), float("-inf")
        while not self._draining and not self._channel.unread_bytes:
            # The timeout may have been raised while it ran.
            present_timeout_s = self._limits().idle_timeout_s
            if present_timeout_s <= timeout_s or self._channel.peer_close is not None:
                break
            timeout_s = present_timeout_s
            with anyio.CancelScope(deadline=began_at + timeout_s) as self._idle_scope:
                await self._channel.wait_for_input()
            self._idle_scope = None
        # In a busy process they may have come since the last poll.
        self._channel.read_now()
        return self._channel.unread_bytes > 0

    def _highest_limits(self, first: RequestLimits) -> RequestLimits:
        """Return the limits of a request: the higher of those as it began and of the present ones."""
        return first.highest(self._limits())

    async def _read_head_in_time(self, first_limits: RequestLimits) -> _Head:
        began_at, timeout_s = anyio.current_time(), float("-inf")
        while (limits := self._highest_limits(first_limits)).header_timeout_s > timeout_s:
            timeout_s = limits.header_timeout_s
            with anyio.CancelScope(deadline=began_at + timeout_s):
                return await self._read_head(first_limits)
        raise MalformedRequestError(what="the header did not arrive in time", status=408)

    async def _read_head(self, first_limits: RequestLimits) -> _Head:
        event = await self._next_event(head_limits=first_limits)
        if isinstance(event, PlainRequestHead):
            headers = event.headers
        elif isinstance(event, h11.Request):
            headers = tuple(event.headers.raw_items())
        else:
            raise MalformedRequestError(
                what=f"{type(event).__name__} before the request head", status=400
            )
        size = len(event.target) + sum(len(name) + len(value) + 4 for name, value in headers)
        if size > self._highest_limits(first_limits).header_bytes:
            raise MalformedRequestError(what="the header exceeds the limit", status=431)
        if isinstance(event, PlainRequestHead):
            return _Head(method=event.method, target=event.target, headers=headers)
        has_transfer_coding = header(headers, b"transfer-encoding") is not None
        if has_transfer_coding and header(headers, b"content-length") is not None:
            raise MalformedRequestError(
                what="both Transfer-Encoding and Content-Length are present", status=400
            )
        if len(header_values(headers, b"host")) != 1:
            raise MalformedRequestError(what="not exactly one Host field", status=400)
        return _Head(method=event.method, target=event.target, headers=headers)

    async def _next_event(
        self, *, head_limits: RequestLimits | None = None
    ) -> PlainRequestHead | h11.Event:
        """Return the next event; ``head_limits`` are those of a head that isn't parsed yet."""
        while True:
            began_at = self._clock() if self._parses_long else None
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise MalformedRequestError(
                    what=str(error), status=error.error_status_hint
                ) from error
            except ValueError as error:
                # A length of thousands of digits.
                raise MalformedRequestError(what=str(error), status=400) from error
            if began_at is not None:
                self._parsing.note(self._clock() - began_at)
            if event is h11.NEED_DATA:
                if self._parser.awaits_continue:
                    await self._channel.send(self._parser.encode_interim(100, ()))
                if head_limits is not None:
                    self._check_head_size(head_limits)
                self._parser.receive_data(await self._next_part())
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError(where=self._channel.peer, reset=False, received=False)
            assert not isinstance(event, type)
            return event

    def _check_head_size(self, first_limits: RequestLimits) -> None:
        """Raise MalformedRequestError if what has come of a head exceeds its limit."""
        limit_bytes = self._highest_limits(first_limits).header_bytes + HEAD_OVERHEAD_BYTES
        if self._head_bytes > limit_bytes:
            raise MalformedRequestError(what="the header exceeds the limit", status=431)

    async def _next_part(self) -> bytes:
        """Return the next part of the input, once there is one; raises ConnectionLostError."""
        if self._pending:
            await anyio.lowlevel.checkpoint()
        else:
            await self._channel.wait_for_input()
            self._arrived_after = self._channel.unread_since
            self._pending = self._channel.read_buffered()
            if self._pending:
                self._unread_s = max(self._unread_s, self._clock() - self._arrived_after)
        if self._ended:
            raise self._ended_error()
        part, self._pending = (
            self._pending[:PARSED_PART_BYTES],
            self._pending[PARSED_PART_BYTES:],
        )
        if not part:
            reset = (
                self._channel.peer_close is not None and self._channel.peer_close.value == "reset"
            )
            raise ConnectionLostError(where=self._channel.peer, reset=reset, received=True)
        self._head_bytes += len(part)
        self._parses_long = len(part) >= LONG_INPUT_BYTES
        if self._parses_long:
            await self._parsing.wait()
            if self._ended:
                raise self._ended_error()
        return part

    def _ended_error(self) -> ConnectionLostError:
        return ConnectionLostError(where=self._channel.peer, reset=False, received=True)

    async def _reject(self, responder: _ParserResponder, status: int) -> None:
        self._hold_request(0)
        if self._parser.may_begin_response:
            headers: Headers = ((b"Connection", b"close"),)
            if status == 503:
                headers = (*headers, (b"Retry-After", NO_ROOM_RETRY_AFTER))
            await responder.answer(status, headers, EMPTY_BODY)

    async def _lingering_close(self) -> None:
        self._channel.finish_sending()
        with anyio.move_on_after(MAX_LINGER_S):
            while self._channel.peer_close is None:
                self._channel.read_buffered()
                with anyio.move_on_after(LINGER_TIMEOUT_S):
                    await self._channel.wait_for_input()
                # In a busy process bytes may have come since the last poll.
                self._channel.read_now()
                if not self._channel.unread_bytes:
                    return
