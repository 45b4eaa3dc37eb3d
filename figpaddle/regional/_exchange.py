"""Runs one attempt: sends a request over a connection and relays the answer to the caller."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import anyio

from figpaddle.errors import (
    AnswerTooLargeError,
    ConnectFailedError,
    ConnectionLostError,
    TransportError,
)
from figpaddle.http1 import (
    ConnectionPool,
    Headers,
    HttpClientConnection,
    Responder,
    ResponseHead,
    header,
    with_header,
)
from figpaddle.regional._dialect import BackendAnswer
from figpaddle.regional._events import EventSplitter
from figpaddle.regional._forwarding import ATTEMPTS_FIELD, VERSION_FIELD
from figpaddle.regional._request_context import (
    AttemptOutcome,
    AttemptResult,
    FailureAnswer,
    RequestContext,
)
from figpaddle.routing import MIN_FAILURE_STATUS

#: Largest answer that is relayed as a whole, bytes.
MAX_WHOLE_ANSWER_BYTES = 4 * 1024 * 1024
#: Largest body of a failure that is kept while a retry may replace it, bytes.
MAX_FAILURE_BODY_BYTES = 256 * 1024
#: Timeout for reading the body of an answer that isn't relayed immediately, seconds.
FAILURE_BODY_TIMEOUT_S = 1.0
#: Time until the deadline below which a request isn't sent any more, seconds.
MIN_REMAINING_S = 0.03
#: Interval at which it is asked again whether a silent server may be given up, seconds.
ABANDON_CHECK_INTERVAL_S = 0.2
#: Time after the deadline in which an answer may still arrive, seconds.
LATE_ANSWER_GRACE_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamRequest:
    """Address, header fields and timeouts of an attempt."""

    #: ``HOST:PORT`` of the backend server or of the other entry.
    address: str
    #: Returns the header fields of the request; gets the time until its deadline as it is sent, seconds.
    make_headers: Callable[[float], Headers]
    #: Whether the server repeats the id of a request in its answers. One without an id then belongs to
    #: the first request on its connection, if to any: it may be an earlier answer written once more.
    repeats_ids: bool
    #: Timeout for connecting, seconds.
    connect_timeout_s: float
    #: Time after which a request without an answer is abandoned for another attempt, seconds; None if
    #: no other backend server could take it.
    first_byte_timeout_s: float | None = None
    #: The same for a pause within a stream.
    stream_idle_timeout_s: float | None = None
    #: Returns whether an event of a stream is a statement of the other entry that it goes on with another
    #: attempt. Such an event ends a pause and isn't relayed.
    is_statement: Callable[[bytes], bool] = lambda event: False


class CallerGoneError(TransportError):
    """The caller closed its connection while its answer was being sent."""


def _ignore() -> None:
    pass


class Exchange:
    """Runs one attempt of the request in ``context``.

    ``decode_head`` decodes the head of an answer, and ``is_retryable`` returns whether an answer is
    a failure that a retry may replace. ``before_relay`` is called each time before something is
    relayed: a whole answer, the head of a stream or a batch of its events. ``may_join`` returns, before
    the first events of a stream, whether they may follow what the caller has. ``may_abandon`` is called
    with the time since which the server is silent when a timeout of ``upstream`` ends, and again while it
    is: the server is abandoned only once another one surely goes on with the request, since it may
    still answer. ``on_relaying`` is called when an answer or a part of
    it has come as a whole, before it is sent to the caller, and ``on_relayed`` when a part was sent.
    """

    def __init__(
        self,
        *,
        context: RequestContext,
        upstream: UpstreamRequest,
        pool: ConnectionPool,
        responder: Responder,
        decode_head: Callable[[ResponseHead], BackendAnswer],
        before_relay: Callable[[BackendAnswer], None],
        may_join: Callable[[ResponseHead], bool],
        is_retryable: Callable[[BackendAnswer], bool],
        may_abandon: Callable[[float], bool],
        clock: Callable[[], float],
        on_relaying: Callable[[], None] = _ignore,
        on_relayed: Callable[[], None] = _ignore,
    ) -> None:
        self._on_relaying = on_relaying
        self._on_relayed = on_relayed
        self._context = context
        self._upstream = upstream
        self._pool = pool
        self._responder = responder
        self._decode_head = decode_head
        self._before_relay = before_relay
        self._may_join = may_join
        self._is_retryable = is_retryable
        self._may_abandon = may_abandon
        self._clock = clock

    async def run(self) -> AttemptResult:
        """Run the attempt and return its result; raises CallerGoneError."""
        try:
            connection = await self._pool.acquire(
                self._upstream.address,
                timeout_s=self._upstream.connect_timeout_s,
                request_id=self._context.request_id,
            )
        except ConnectFailedError as error:
            return AttemptResult(outcome=AttemptOutcome.NOT_SENT, reason=f"connect: {error.what}")
        if self._responder.caller_left():
            self._pool.release(self._upstream.address, connection)
            raise _caller_gone_error()
        if self._context.remaining_s(now=self._clock()) < MIN_REMAINING_S:
            self._pool.release(self._upstream.address, connection)
            return AttemptResult(
                outcome=AttemptOutcome.NOT_SENT, reason="deadline reached", own_cause=True
            )
        finished = False
        # Closes the connection in the turn in which the caller's end is read: the handler is cancelled
        # some turns later.
        self._responder.on_caller_left(connection.abandon)
        try:
            result = await self._send_and_relay(connection)
            finished = True
        finally:
            self._responder.on_caller_left(None)
            if finished:
                self._pool.release(self._upstream.address, connection)
            else:
                connection.abandon()
        if result.outcome is not AttemptOutcome.ANSWERED and self._responder.caller_left():
            raise _caller_gone_error()
        return result

    async def _send_and_relay(self, connection: HttpClientConnection) -> AttemptResult:
        # An error of this process in making them is none of the server.
        headers = self._upstream.make_headers(self._context.remaining_s(now=self._clock()))
        try:
            head = await self._send_and_read_head(connection, headers)
        except TransportError as error:
            connection.close()
            return AttemptResult(
                outcome=AttemptOutcome.UNKNOWN,
                reason=_reason(error),
                closed_unanswered=isinstance(error, ConnectionLostError),
                lost_connection=isinstance(error, ConnectionLostError),
                too_large=isinstance(error, AnswerTooLargeError),
            )
        if head is None:
            connection.abandon()
            return AttemptResult(outcome=AttemptOutcome.UNKNOWN, reason="no answer in time")
        answer = self._decode_head(head)
        if answer.not_run:
            await self._read_failure_body(connection)
            connection.note_refused(self._context.request_id)
            reason = "wrong server" if answer.wrong_server else "refused by the backend server"
            return AttemptResult(outcome=AttemptOutcome.NOT_RUN, reason=reason)
        if not answer.signed:
            connection.close()
            return self._interrupted_result("a success without a signature")
        if self._is_retryable(answer):
            body = await self._read_failure_body(connection)
            if body is not None:
                self._context.failure_answer = FailureAnswer(answer=answer, body=body)
            return AttemptResult(outcome=AttemptOutcome.UNKNOWN, reason=f"status {answer.status}")
        if self._context.route.streaming and answer.status == 200:
            return await self._relay_stream(connection, head, answer)
        return await self._relay_whole(connection, answer)

    async def _send_and_read_head(
        self, connection: HttpClientConnection, headers: Headers
    ) -> ResponseHead | None:
        """Send the request and return the head of the answer, or None if it takes too long."""
        request = self._context.request
        attempt_deadline = anyio.current_time() + self._remaining_s()
        sent = False
        silent_since = self._clock()
        timeout_s = self._upstream.first_byte_timeout_s
        while True:
            deadline = _earlier(attempt_deadline, timeout_s)
            with anyio.CancelScope(deadline=deadline):
                if not sent:
                    await connection.send(
                        method=request.method,
                        target=request.target,
                        headers=headers,
                        body=request.body,
                        on_sending=self._context.note_sending,
                    )
                    sent = True
                return await connection.read_head(
                    lambda head: self._answers_this_request(head, connection)
                )
            # A late event loop finds the timeout and the answer in one turn.
            if (
                not sent
                or not connection.has_input()
                and self._must_end(attempt_deadline, silent_since)
            ):
                return None
            timeout_s = ABANDON_CHECK_INTERVAL_S

    def _must_end(self, attempt_deadline: float, silent_since: float) -> bool:
        """Return whether the attempt ends, after one of its timeouts."""
        return anyio.current_time() >= attempt_deadline or self._may_abandon(silent_since)

    def _answers_this_request(self, head: ResponseHead, connection: HttpClientConnection) -> bool:
        request_id = self._decode_head(head).request_id
        if not request_id:
            return connection.first_use or not self._upstream.repeats_ids
        return request_id == self._context.request_id

    async def _read_failure_body(self, connection: HttpClientConnection) -> bytes | None:
        """Return the body of an answer that isn't relayed yet, or None if it is incomplete."""
        try:
            with anyio.fail_after(FAILURE_BODY_TIMEOUT_S):
                return await connection.read_whole_body(max_bytes=MAX_FAILURE_BODY_BYTES)
        except (TransportError, TimeoutError):
            connection.close()
            return None

    async def _relay_whole(
        self, connection: HttpClientConnection, answer: BackendAnswer
    ) -> AttemptResult:
        """Relay an answer once it is complete, so that a retry can replace an incomplete one."""
        body = bytearray()
        while True:
            with anyio.move_on_after(self._remaining_s()) as scope:
                try:
                    await connection.read_whole_body(max_bytes=MAX_WHOLE_ANSWER_BYTES, body=body)
                except TransportError as error:
                    connection.close()
                    return AttemptResult(
                        outcome=AttemptOutcome.UNKNOWN,
                        reason=_reason(error),
                        too_large=isinstance(error, AnswerTooLargeError),
                        lost_connection=isinstance(error, ConnectionLostError),
                    )
            if not scope.cancelled_caught:
                break
            if not connection.has_input():
                connection.close()
                return AttemptResult(
                    outcome=AttemptOutcome.UNKNOWN,
                    reason="the answer was incomplete at the deadline",
                )
        self._before_relay(answer)
        if self._responder.started:
            return AttemptResult(
                outcome=AttemptOutcome.BROKEN, reason=f"status {answer.status} in mid-stream"
            )
        self._context.answer_started_at = self._clock()
        self._on_relaying()
        try:
            await self._responder.answer(answer.status, answer.headers, bytes(body))
        except ConnectionLostError as error:
            raise _caller_gone_error() from error
        return AttemptResult(
            outcome=AttemptOutcome.ANSWERED,
            reason=f"status {answer.status}",
            is_failure=answer.status >= MIN_FAILURE_STATUS,
        )

    async def _relay_stream(
        self, connection: HttpClientConnection, head: ResponseHead, answer: BackendAnswer
    ) -> AttemptResult:
        """Relay whole events as they arrive.

        What follows events that the caller has must be events too: an error's text, or nothing at all,
        is no rest of the stream.
        """
        follows = self._responder.started
        if follows and not _is_event_stream(head):
            connection.close()
            return self._interrupted_result("no events in mid-stream")
        has_statement = False

        def take_statement(event: bytes) -> bool:
            nonlocal has_statement
            is_statement = self._upstream.is_statement(event)
            has_statement = has_statement or is_statement
            return is_statement

        splitter = EventSplitter(
            last_event=self._context.last_event, requires_ids=follows, is_statement=take_statement
        )
        attempt_deadline = anyio.current_time() + self._remaining_s()
        idle_timeout_s = self._upstream.stream_idle_timeout_s
        idle_deadline = _earlier(attempt_deadline, idle_timeout_s)
        silent_since = self._clock()
        joins = False
        while True:
            with anyio.CancelScope(deadline=idle_deadline) as scope:
                try:
                    async for chunk in connection.read_body():
                        # Time spent writing to a slow caller is no pause of the server.
                        scope.deadline = attempt_deadline
                        events = splitter.feed(chunk)
                        if events and not joins:
                            joins = self._may_join(head)
                            if not joins:
                                connection.close()
                                return self._interrupted_result("answer of another version")
                        if events:
                            await self._relay_events(events, answer, splitter)
                        if events or has_statement:
                            # Bytes without a whole event are no progress for the caller.
                            idle_deadline = _earlier(attempt_deadline, idle_timeout_s)
                            silent_since = self._clock()
                            has_statement = False
                        scope.deadline = idle_deadline
                except TransportError as error:
                    if isinstance(error, CallerGoneError):
                        raise
                    connection.close()
                    return dataclasses.replace(
                        self._interrupted_result(_reason(error)),
                        too_large=isinstance(error, AnswerTooLargeError),
                        lost_connection=isinstance(error, ConnectionLostError),
                    )
            if not scope.cancelled_caught:
                break
            if not connection.has_input() and self._must_end(attempt_deadline, silent_since):
                connection.close()
                is_past_deadline = anyio.current_time() >= attempt_deadline
                return self._interrupted_result(
                    "the stream took too long" if is_past_deadline else "no event in time"
                )
            idle_deadline = _earlier(attempt_deadline, ABANDON_CHECK_INTERVAL_S)
        if follows and not splitter.has_events:
            return self._interrupted_result("no events in mid-stream")
        if splitter.incomplete:
            return self._interrupted_result("the stream ended within an event")
        if not self._responder.started and connection.ends_with_connection:
            return self._interrupted_result("the stream ended before its first event")
        await self._relay_events([], answer, splitter)
        self._on_relaying()
        try:
            await self._responder.finish()
        except ConnectionLostError as error:
            raise _caller_gone_error() from error
        return AttemptResult(
            outcome=AttemptOutcome.ANSWERED,
            reason="stream complete",
            ends_with_connection=connection.ends_with_connection,
        )

    async def _relay_events(
        self, events: list[bytes], answer: BackendAnswer, splitter: EventSplitter
    ) -> None:
        self._on_relaying()
        try:
            if not self._responder.started:
                self._before_relay(answer)
                self._context.answer_started_at = self._clock()
                await self._responder.start(
                    answer.status, self._stream_headers(answer), length=None
                )
            elif events:
                self._before_relay(answer)
            if events:
                await self._responder.write(b"".join(events))
                self._context.last_event = splitter.last_event
        except ConnectionLostError as error:
            raise _caller_gone_error() from error
        self._on_relayed()

    def _stream_headers(self, answer: BackendAnswer) -> Headers:
        """Return the header fields of a stream, with statements for the entry that forwarded it."""
        headers, version = answer.headers, self._context.version
        used = self._context.attempts_used(in_progress=True)
        if used is not None:
            headers = with_header(headers, ATTEMPTS_FIELD, str(used).encode())
        if not self._context.states_version or version is None:
            return headers
        return with_header(headers, VERSION_FIELD, version.encode().hex().encode())

    def _interrupted_result(self, reason: str) -> AttemptResult:
        return AttemptResult(
            outcome=AttemptOutcome.BROKEN if self._responder.started else AttemptOutcome.UNKNOWN,
            reason=reason,
        )

    def _remaining_s(self) -> float:
        return max(0.0, self._context.remaining_s(now=self._clock()) + LATE_ANSWER_GRACE_S)


def _is_event_stream(head: ResponseHead) -> bool:
    media_type = header(head.headers, b"content-type") or b""
    return media_type.partition(b";")[0].strip().lower() == b"text/event-stream"


def _caller_gone_error() -> CallerGoneError:
    return CallerGoneError(what="the caller closed the connection", where="caller")


def _reason(error: TransportError) -> str:
    return f"{type(error).__name__}: {error.what}"


def _earlier(attempt_deadline: float, timeout_s: float | None) -> float:
    """Return when a timeout that begins now ends an attempt, time of the event loop."""
    if timeout_s is None:
        return attempt_deadline
    return min(attempt_deadline, anyio.current_time() + timeout_s)
