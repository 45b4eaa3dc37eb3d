"""HTTP server: serves one connection of a caller."""

from __future__ import annotations

import abc
import contextlib
from collections.abc import Awaitable, Callable

import anyio
import h11

from figpaddle.errors import ConnectionLostError, MalformedRequestError, TransportError
from figpaddle.http1._channel import Channel
from figpaddle.http1._handler_failures import (
    FailureHandler,
    FailureResponse,
    HandlerFailure,
    UnansweredHandler,
    UnansweredRequest,
    answer_as_unknown,
)
from figpaddle.http1._messages import Headers, HttpRequest, header, header_values
from figpaddle.http1._request_limits import RequestLimits
from figpaddle.http1._whole_chunks import encode_chunk

#: Time without input after which a half-closed connection is closed, and the longest time for which it
#: is read, seconds. Unread bytes would cause a reset that destroys the response before the caller has
#: read it; the caller of a refused request may still be sending its body.
LINGER_TIMEOUT_S, MAX_LINGER_S = 0.5, 10.0
#: Reasons for which a request ends without an answer.
CANCELLED, NOT_ANSWERED = "cancelled", "not answered"
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


class _H11Responder(Responder):
    def __init__(
        self, *, parser: h11.Connection, channel: Channel, close_after_response: Callable[[], bool]
    ):
        self._parser = parser
        self._channel = channel
        self._close_after_response = close_after_response
        self._on_caller_left: Callable[[], None] | None = None
        self._on_start: Callable[[], None] | None = None
        self._started = False
        self._finished = False
        # Whether the parser has sent a piece of the body as a chunk. It keeps no count of these, so that the
        # next ones needn't pass through it.
        self._sends_chunks = False

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
        self._parser = h11.Connection(h11.SERVER)
        self._close_after_response = lambda: True

    def note_caller_left(self) -> None:
        """Call the callback of the handler."""
        if self._on_caller_left is not None:
            self._on_caller_left()

    async def start(self, status: int, headers: Headers, *, length: int | None) -> None:
        await self._send_first(self._encode_head(status, headers, length))

    async def inform(self, status: int, headers: Headers) -> None:
        interim = h11.InformationalResponse(status_code=status, headers=list(headers))
        await self._send(self._encode(interim))

    async def write(self, data: bytes) -> None:
        if self._sends_chunks and data and self._parser.our_state is h11.SEND_BODY:
            await self._send(encode_chunk(data))
            return
        encoded = self._encode(h11.Data(data=data))
        self._sends_chunks = bool(data) and encoded == encode_chunk(data)
        await self._send(encoded)

    async def finish(self) -> None:
        await self._send(self._encode(h11.EndOfMessage()))
        self._finished = True

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response, and nothing of one that can't be encoded as a whole."""
        parts = [self._encode_head(status, headers, len(body))]
        if body:
            parts.append(self._encode(h11.Data(data=body)))
        parts.append(self._encode(h11.EndOfMessage()))
        await self._send_first(b"".join(parts))
        self._finished = True

    def _encode_head(self, status: int, headers: Headers, length: int | None) -> bytes:
        """Return the head of a response; an invalid one leaves the parser usable."""
        fields = list(headers)
        if length is not None:
            fields.append((b"Content-Length", str(length).encode()))
        elif header(headers, b"content-length") is not None:
            raise h11.LocalProtocolError("a length in the head of a response of unknown length")
        if self._close_after_response():
            fields.append((b"Connection", b"close"))
        return self._encode(h11.Response(status_code=status, headers=fields))

    def _encode(self, event: h11.Event) -> bytes:
        return self._parser.send(event) or b""

    async def _send_first(self, data: bytes) -> None:
        self._started = True
        if self._on_start is not None:
            self._on_start()
        await self._send(data)

    async def _send(self, data: bytes) -> None:
        if data:
            await self._channel.send(data)


class ServerConnection:
    """Reads the requests of one connection one at a time and passes each to ``handler``.

    A request that was read as a whole gets a response whatever the handler does: ``on_failure`` is told
    of one that raises an error or doesn't answer. ``on_unanswered`` is told of a request that gets none
    all the same, as the connection ends first, while its caller waits.
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
    ) -> None:
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
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=1 << 20)

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
            self._busy = False
            await self._lingering_close()
        finally:
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
        responder = _H11Responder(
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
        return self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE

    def _check_answered(
        self, request: HttpRequest, responder: _H11Responder, *, otherwise: str
    ) -> None:
        """Call ``on_unanswered`` if a request whose connection ends has no answer; its caller may have left."""
        if not responder.started and not responder.caller_left():
            with contextlib.suppress(Exception):
                self._on_unanswered(UnansweredRequest(request=request, reason=otherwise))

    async def _handle(self, request: HttpRequest, responder: _H11Responder) -> bool:
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

    async def _answer_failure(self, response: FailureResponse, responder: _H11Responder) -> bool:
        """Answer a request that its handler has left unanswered; return whether that is complete."""
        if self._parser.our_state is h11.ERROR:
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
        first_limits = self._limits()
        if self._channel.unread_bytes:
            self._arrived_after = self._channel.unread_since
        # Otherwise its first bytes came with the request before.
        arrived_after = self._arrived_after
        head = await self._read_head_in_time(first_limits)
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._highest_limits(first_limits).body_bytes:
                    raise MalformedRequestError(what="the body exceeds the limit", status=413)
            elif isinstance(event, h11.EndOfMessage):
                break
        return HttpRequest(
            method=head.method,
            target=head.target,
            headers=tuple(head.headers.raw_items()),
            body=bytes(body),
            caller=self._channel.peer.rpartition(":")[0],
            received_at=self._clock(),
            arrived_after=arrived_after,
            unread_s=self._unread_s,
        )

    async def _wait_for_first_bytes(self) -> bool:
        if self._parser.trailing_data[0]:
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

    async def _read_head_in_time(self, first_limits: RequestLimits) -> h11.Request:
        began_at, timeout_s = anyio.current_time(), float("-inf")
        while (limits := self._highest_limits(first_limits)).header_timeout_s > timeout_s:
            timeout_s = limits.header_timeout_s
            with anyio.CancelScope(deadline=began_at + timeout_s):
                return await self._read_head(first_limits)
        raise MalformedRequestError(what="the header did not arrive in time", status=408)

    async def _read_head(self, first_limits: RequestLimits) -> h11.Request:
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            raise MalformedRequestError(
                what=f"{type(event).__name__} before the request head", status=400
            )
        headers = tuple(event.headers.raw_items())
        size = len(event.target) + sum(len(name) + len(value) + 4 for name, value in headers)
        if size > self._highest_limits(first_limits).header_bytes:
            raise MalformedRequestError(what="the header exceeds the limit", status=431)
        has_transfer_coding = header(headers, b"transfer-encoding") is not None
        if has_transfer_coding and header(headers, b"content-length") is not None:
            raise MalformedRequestError(
                what="both Transfer-Encoding and Content-Length are present", status=400
            )
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
            except ValueError as error:
                # A length of thousands of digits.
                raise MalformedRequestError(what=str(error), status=400) from error
            if event is h11.NEED_DATA:
                if self._parser.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(status_code=100, headers=[])
                    await self._channel.send(self._parser.send(continue_response))
                await self._channel.wait_for_input()
                self._arrived_after = self._channel.unread_since
                data = self._channel.read_buffered()
                if data:
                    self._unread_s = max(self._unread_s, self._clock() - self._arrived_after)
                if not data:
                    reset = (
                        self._channel.peer_close is not None
                        and self._channel.peer_close.value == "reset"
                    )
                    raise ConnectionLostError(where=self._channel.peer, reset=reset, received=True)
                self._parser.receive_data(data)
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError(where=self._channel.peer, reset=False, received=False)
            assert isinstance(event, h11.Event)
            return event

    async def _reject(self, responder: _H11Responder, status: int) -> None:
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await responder.answer(status, ((b"Connection", b"close"),), EMPTY_BODY)

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
