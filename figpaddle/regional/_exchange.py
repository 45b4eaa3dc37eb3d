"""Runs one attempt: sends a request over a connection and relays the answer to the caller."""

from __future__ import annotations

import abc
import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from figpaddle.errors import (
    AnswerTooLargeError,
    ConnectFailedError,
    ConnectionLostError,
    TransportError,
)
from figpaddle.http1 import (
    BodyParts,
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
from figpaddle.regional._forwarding import (
    ATTEMPTS_FIELD,
    VERSION_FIELD,
    is_interim_statement,
    stated_silence_s,
)
from figpaddle.regional._idle_limit import IdleLimit
from figpaddle.regional._request_context import (
    AttemptOutcome,
    AttemptResult,
    FailureAnswer,
    RequestContext,
)
from figpaddle.routing import MIN_FAILURE_STATUS

T = TypeVar("T")

#: Largest answer that is relayed as a whole, bytes.
MAX_WHOLE_ANSWER_BYTES = 4 * 1024 * 1024
#: Largest body of a failure that is kept while a retry may replace it, bytes.
MAX_FAILURE_BODY_BYTES = 256 * 1024
#: Timeout for reading the body of an answer that isn't relayed immediately, seconds.
FAILURE_BODY_TIMEOUT_S = 1.0
#: Time until the deadline below which a request isn't sent any more, seconds.
MIN_REMAINING_S = 0.03
#: Time in which most servers refuse a request that they don't take, seconds. A server that doesn't is
#: said to have taken it, and the entry that offers it waits for that.
QUICK_REFUSAL_S = 0.05
#: Interval at which a request whose server is silent is offered to another place, seconds.
OFFER_INTERVAL_S = 0.2
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
    #: Time after which a request without an answer is offered to another place, seconds; None if it may
    #: go to no other.
    first_byte_timeout_s: float | None = None
    #: The same for a pause within a stream.
    stream_idle_timeout_s: float | None = None
    #: Returns whether an event of a stream is a statement of the other entry that it goes on with another
    #: attempt. Such an event ends a pause and isn't relayed.
    is_statement: Callable[[bytes], bool] = lambda event: False
    #: Returns for how long the server is silent by an event that states that the other entry has no other place
    #: for the stream, seconds; None for any other event.
    read_silence: Callable[[bytes], float | None] = lambda event: None
    #: Reads a statement of the other entry in an interim response: returns for how long the server is
    #: silent if that entry has no other place for the request, seconds, and None if another attempt
    #: begins there. None if the place is no entry.
    read_interim: Callable[[ResponseHead], float | None] | None = None


class CallerGoneError(TransportError):
    """The caller closed its connection while its answer was being sent."""


def _ignore() -> None:
    pass


async def _ignore_silence(silent_since: float) -> float:
    return OFFER_INTERVAL_S


class _LastInput:
    """What has come on a connection by the deadline of its attempt, time of the event loop.

    A late event loop finds the deadline and the answer in one turn, so that is still read. What comes later
    isn't: a server that sends something in each turn would keep the attempt.
    """

    def __init__(self, connection: HttpClientConnection, *, deadline: float) -> None:
        self._connection = connection
        self._deadline = deadline
        self._received_in_time: int | None = None

    def is_read(self) -> bool:
        """Return whether the deadline has passed and bytes have come since that was noticed."""
        if asyncio.get_running_loop().time() < self._deadline:
            return False
        if self._received_in_time is None:
            self._connection.has_input()
            self._received_in_time = self._connection.channel.received_bytes
        return self._connection.channel.received_bytes > self._received_in_time


class Offer(abc.ABC):
    """An offer of a request, whose server is silent, to another place."""

    @abc.abstractmethod
    async def run(self) -> bool:
        """Send the request there; return whether that place takes it over.

        Raises CallerGoneError.
        """

    @abc.abstractmethod
    def complete(self) -> None:
        """Have the request go on there, once ``run`` has returned true."""

    @abc.abstractmethod
    def withdraw(self) -> None:
        """End the offer, as the request stays where it is."""

    @abc.abstractmethod
    async def settle(self) -> None:
        """Tell others what an offer that was withdrawn has used up; raises CallerGoneError."""


class Exchange:
    """Runs one attempt of the request in ``context``.

    ``decode_head`` decodes the head of an answer, and ``is_retryable`` returns whether an answer is
    a failure that a retry may replace. ``before_relay`` is called each time before something is
    relayed: a whole answer, the head of a stream or a batch of its events. ``may_join`` returns, before
    the first events of a stream, whether they may follow what the caller has. ``offer`` is called
    with the time since which the server is silent when a timeout of ``upstream`` ends, and again while it
    is, and returns an offer of the request to another place if there is one. The connection stays open
    meanwhile, as the server may go on: the attempt ends once the other place has taken the request over.
    ``note_kept`` is called with that time each time that no other place takes the request, and returns the time
    until the next offer, seconds; ``note_placed`` is called once the server has the request and hasn't refused it
    at once.
    ``on_relaying`` is called when an answer or a part of it has come as a whole, before it is sent to the
    caller, and ``on_relayed`` when a part was sent.
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
        offer: Callable[[float], Offer | None],
        clock: Callable[[], float],
        note_placed: Callable[[], Awaitable[None]] | None = None,
        note_kept: Callable[[float], Awaitable[float]] = _ignore_silence,
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
        self._offer = offer
        self._clock = clock
        self._note_placed = note_placed
        self._note_kept = note_kept
        self._connection: HttpClientConnection | None = None
        self._headers: Headers = ()
        self._is_sending = False
        self._sent_at: float | None = None
        self._head: ResponseHead | None = None
        self._taken_over = False
        self._is_lost = False
        self._is_placed = False
        self._failed_head: ResponseHead | None = None

    @property
    def is_sent(self) -> bool:
        """Whether the whole request was sent."""
        return self._sent_at is not None

    @property
    def may_have_arrived(self) -> bool:
        """Whether a part of the request was sent at least, after which the rest may follow."""
        return self._is_sending

    @property
    def is_accepted(self) -> bool:
        """Whether its place has shown that it takes the request, while the attempt was begun.

        It did by the head of its answer, or by the statement of an entry that it has sent the request on.
        """
        return self._head is not None or self._is_placed

    async def begin(self, *, timeout_s: float) -> AttemptResult | None:
        """Send the request and wait up to ``timeout_s`` for the head of its answer.

        A request isn't sent if the connection took longer than that.

        Returns a result if the attempt has failed by then, and None if ``run`` goes on with it: its
        answer has begun, or the request may be waiting at a backend server. Another entry states that.
        Raises CallerGoneError.
        """
        goes_on = finished = False
        try:
            began_at = anyio.current_time()
            result = await self._connect()
            if result is None and anyio.current_time() - began_at > timeout_s:
                # Whoever waits for the decision no longer counts on it.
                result = AttemptResult(
                    outcome=AttemptOutcome.NOT_SENT, reason="connected too late", own_cause=True
                )
            if result is None:
                result = await self._send_and_await_head(timeout_s)
                goes_on = result is None
            finished = True
        finally:
            if not goes_on:
                self._release_connection(finished=finished)
        if result is not None and self._responder.caller_left():
            raise _caller_gone_error()
        return result

    async def run(self) -> AttemptResult:
        """Run the attempt, or the rest of one that was begun; return its result.

        Raises CallerGoneError.
        """
        finished = False
        try:
            result = None if self._connection is not None else await self._connect()
            if result is None:
                result = await self._send_and_relay(self._open_connection())
            finished = True
        finally:
            self._release_connection(finished=finished)
        if result.outcome is not AttemptOutcome.ANSWERED and self._responder.caller_left():
            raise _caller_gone_error()
        return result

    def abandon(self) -> None:
        """End an attempt that was begun and won't be run."""
        self._release_connection(finished=False)

    async def _connect(self) -> AttemptResult | None:
        """Open a connection, or take an idle one; return a result if there is none to use."""
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
        self._connection = connection
        # Closes the connections in the turn in which the caller's end is read: the handler is cancelled
        # some turns later.
        self._context.connections.append(connection)
        self._responder.on_caller_left(self._abandon_connections)
        # An error of this process in making them is none of the server.
        self._headers = self._upstream.make_headers(self._context.remaining_s(now=self._clock()))
        return None

    def _abandon_connections(self) -> None:
        self._context.abandon_connections(now=self._clock())

    def _open_connection(self) -> HttpClientConnection:
        assert self._connection is not None
        return self._connection

    def _release_connection(self, *, finished: bool) -> None:
        """Let go of the connection; ``finished`` is whether the exchange on it has ended."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        self._context.connections.remove(connection)
        if not self._context.connections:
            self._responder.on_caller_left(None)
        if finished:
            self._pool.release(self._upstream.address, connection)
        else:
            connection.abandon()

    async def _send_and_await_head(self, timeout_s: float) -> AttemptResult | None:
        connection = self._open_connection()
        deadline = anyio.current_time() + timeout_s
        with anyio.CancelScope(deadline=deadline):
            try:
                await self._send(connection)
                while not self.is_accepted:
                    head = await self._read_head(connection)
                    if not is_interim_statement(head):
                        self._head = head
                    elif self._read_interim(head) is None:
                        self._is_placed = True
            except CallerGoneError:
                raise
            except TransportError as error:
                return self._lost_result(connection, error)
        if self._head is not None:
            failure = await self._failure_in_head(connection, self._head, deadline)
            if failure is None and not self._can_follow(self._head):
                connection.close()
                failure = AttemptResult(
                    outcome=AttemptOutcome.UNKNOWN, reason="an answer that can't follow"
                )
            return failure
        if self.is_accepted or self.is_sent and self._upstream.read_interim is None:
            return None
        connection.abandon()
        reason = "not placed in time" if self.is_sent else "not sent in time"
        return AttemptResult(outcome=AttemptOutcome.UNKNOWN, reason=reason)

    def _can_follow(self, head: ResponseHead) -> bool:
        """Return whether an answer may follow what the caller already has."""
        if not self._responder.started:
            return True
        return head.status == 200 and _is_event_stream(head) and self._may_join(head)

    async def _send_and_relay(self, connection: HttpClientConnection) -> AttemptResult:
        head = self._head
        if head is None:
            try:
                head = await self._send_and_read_head(connection)
            except CallerGoneError:
                raise
            except TransportError as error:
                return self._lost_result(connection, error)
            if head is None:
                connection.abandon()
                return self._silent_result("no answer in time")
            body_deadline = anyio.current_time() + FAILURE_BODY_TIMEOUT_S
            failure = await self._failure_in_head(connection, head, body_deadline)
            if failure is not None:
                return failure
        answer = self._decode_head(head)
        if self._context.route.streaming and answer.status == 200:
            return await self._relay_stream(connection, head, answer)
        return await self._relay_whole(connection, answer)

    def _lost_result(
        self, connection: HttpClientConnection, error: TransportError
    ) -> AttemptResult:
        """Return the result of an attempt whose connection failed before the head of its answer."""
        connection.close()
        return AttemptResult(
            outcome=AttemptOutcome.UNKNOWN,
            reason=_reason(error),
            closed_unanswered=isinstance(error, ConnectionLostError),
            lost_connection=isinstance(error, ConnectionLostError),
            too_large=isinstance(error, AnswerTooLargeError),
        )

    async def _failure_in_head(
        self, connection: HttpClientConnection, head: ResponseHead, body_deadline: float
    ) -> AttemptResult | None:
        """Return the result if the head of an answer is the end of the attempt, and None if not.

        The rest of the answer is read until ``body_deadline``, time of the event loop.
        """
        answer = self._decode_head(head)
        if answer.not_run:
            await self._read_failure_body(connection, body_deadline)
            connection.note_refused(self._context.request_id)
            reason = "wrong server" if answer.wrong_server else "refused by the backend server"
            return AttemptResult(outcome=AttemptOutcome.NOT_RUN, reason=reason)
        if not answer.signed:
            connection.close()
            return self._interrupted_result("a success without a signature")
        if self._context.withholds(answer):
            body = await self._read_failure_body(connection, body_deadline)
            return AttemptResult(
                outcome=AttemptOutcome.UNKNOWN if body is None else AttemptOutcome.WITHHELD,
                reason=f"status {answer.status} without a statement",
                unconfirmed_status=answer.status,
            )
        if self._is_retryable(answer):
            body = await self._read_failure_body(connection, body_deadline)
            if body is not None:
                self._context.failure_answer = FailureAnswer(answer=answer, body=body)
            return AttemptResult(
                outcome=AttemptOutcome.UNKNOWN,
                reason=f"status {answer.status}",
                unconfirmed_status=_unconfirmed_status(answer),
            )
        if self._note_placed is not None:
            await self._note_placed()
        return None

    async def _send(self, connection: HttpClientConnection) -> None:
        request = self._context.request
        await connection.send(
            method=request.method,
            target=request.target,
            headers=self._headers,
            body=request.body,
            on_sending=self._note_sending,
        )
        self._sent_at = self._clock()

    def _note_sending(self) -> None:
        self._is_sending = True
        self._context.note_sending()

    async def _read_quick_head(self, connection: HttpClientConnection) -> ResponseHead | None:
        """Return the head of an answer that comes at once, like most refusals; None if it doesn't."""
        if self._note_placed is None:
            return None
        with anyio.move_on_after(QUICK_REFUSAL_S):
            return await self._read_head(connection)
        await self._note_placed()
        return None

    async def _read_head(self, connection: HttpClientConnection) -> ResponseHead:
        """Return the head of the answer, or of an interim response with a statement."""
        return await connection.read_head(
            lambda head: self._answers_this_request(head, connection),
            accept_interim=lambda head: (
                self._upstream.read_interim is not None and is_interim_statement(head)
            ),
        )

    async def _read_answer(self, connection: HttpClientConnection) -> ResponseHead:
        """Return the head of an answer that goes on, or of a statement of another attempt there.

        After a failure, of which it keeps the head, it waits: another place may still take the request.
        """
        while True:
            head = await self._read_head(connection)
            if is_interim_statement(head):
                if stated_silence_s(head.headers) is None:
                    return head
                self._read_interim(head)
                continue
            answer = self._decode_head(head)
            if not answer.not_run and answer.signed and not self._is_retryable(answer):
                return head
            self._failed_head = head
            await anyio.sleep_forever()

    def _read_interim(self, head: ResponseHead) -> float | None:
        """Return for how long the server is silent by a statement; None if another attempt begins."""
        return None if self._upstream.read_interim is None else self._upstream.read_interim(head)

    async def _send_and_read_head(self, connection: HttpClientConnection) -> ResponseHead | None:
        """Return the head of the answer, or None if it takes too long; send the request first."""
        attempt_deadline = anyio.current_time() + self._remaining_s()
        silent_since = self._clock() if self._sent_at is None else self._sent_at
        timeout_s = self._upstream.first_byte_timeout_s
        last_input = _LastInput(connection, deadline=attempt_deadline)
        while True:
            head = None
            with anyio.CancelScope(deadline=_earlier(attempt_deadline, timeout_s)):
                if not self.is_sent:
                    await self._send(connection)
                    head = await self._read_quick_head(connection)
                if head is None:
                    head = await self._read_head(connection)
            if not self.is_sent:
                return None
            if head is None:
                timeout_s = OFFER_INTERVAL_S
                # A late event loop finds the timeout and the answer in one turn.
                if connection.has_input() and not last_input.is_read():
                    continue
                if anyio.current_time() >= attempt_deadline:
                    return None
                head = await self._read_beside_offer(
                    lambda: self._read_answer(connection), silent_since, attempt_deadline
                )
                if self._taken_over:
                    return None
                head = self._failed_head or head
                if head is None:
                    timeout_s = await self._note_kept(silent_since)
                    continue
            if not is_interim_statement(head):
                return head
            silent_s = self._read_interim(head)
            if silent_s is None:
                silent_since, timeout_s = self._clock(), self._upstream.first_byte_timeout_s
            else:
                silent_since, timeout_s = self._clock() - silent_s, 0.0

    async def _read_beside_offer(
        self, read: Callable[[], Awaitable[T]], silent_since: float, deadline: float
    ) -> T | None:
        """Offer the request to another place if there is one, and read what the server sends meanwhile.

        Returns what ``read`` returned, or None if the server was silent until the other place decided; the
        request goes on there if ``_taken_over`` is true then. A server that goes on keeps the request, so
        that the events of one only follow what the caller has. Raises CallerGoneError, and the errors
        of ``read`` unless the request was taken over.
        """
        offer = self._offer(silent_since)
        if offer is None:
            return None
        received: T | None = None
        error: TransportError | None = None
        is_taken = False
        try:
            async with anyio.create_task_group() as tasks:
                tasks.cancel_scope.deadline = deadline

                async def run_offer() -> None:
                    nonlocal is_taken, error
                    try:
                        is_taken = await offer.run()
                    except CallerGoneError as caller_gone:
                        error = caller_gone
                    tasks.cancel_scope.cancel()

                tasks.start_soon(run_offer)
                try:
                    received = await read()
                    tasks.cancel_scope.cancel()
                except TransportError as lost:
                    # The other place may still take the request over.
                    error = lost
            self._taken_over = is_taken and received is None
            self._is_lost = isinstance(error, ConnectionLostError)
        finally:
            if self._taken_over:
                offer.complete()
            else:
                offer.withdraw()
        if self._taken_over:
            return None
        if not isinstance(error, CallerGoneError):
            await offer.settle()
        if error is not None:
            raise error
        return received

    def _answers_this_request(self, head: ResponseHead, connection: HttpClientConnection) -> bool:
        request_id = self._decode_head(head).request_id
        if not request_id:
            return connection.first_use or not self._upstream.repeats_ids
        return request_id == self._context.request_id

    async def _read_failure_body(
        self, connection: HttpClientConnection, deadline: float
    ) -> bytes | None:
        """Return the body of an answer that isn't relayed yet, or None if it is incomplete."""
        body: bytes | None = None
        with anyio.CancelScope(deadline=deadline), contextlib.suppress(TransportError):
            body = await connection.read_whole_body(max_bytes=MAX_FAILURE_BODY_BYTES)
        if body is None:
            connection.close()
        return body

    async def _relay_whole(
        self, connection: HttpClientConnection, answer: BackendAnswer
    ) -> AttemptResult:
        """Relay an answer once it is complete, so that a retry can replace an incomplete one."""
        body = BodyParts()
        deadline = anyio.current_time() + self._remaining_s()
        last_input = _LastInput(connection, deadline=deadline)
        while True:
            with anyio.CancelScope(deadline=deadline) as scope:
                try:
                    whole = await connection.read_whole_body(
                        max_bytes=MAX_WHOLE_ANSWER_BYTES, body=body
                    )
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
            if last_input.is_read() or not connection.has_input():
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
            await self._responder.answer(answer.status, answer.headers, whole)
        except ConnectionLostError as error:
            raise _caller_gone_error() from error
        return AttemptResult(
            outcome=AttemptOutcome.ANSWERED,
            reason=f"status {answer.status}",
            is_failure=answer.status >= MIN_FAILURE_STATUS,
            unconfirmed_status=_unconfirmed_status(answer),
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
        has_statement = has_ended = False
        stated_silence_s: float | None = None

        def take_statement(event: bytes) -> bool:
            nonlocal has_statement, stated_silence_s
            is_statement = self._upstream.is_statement(event)
            has_statement = has_statement or is_statement
            silent_s = self._upstream.read_silence(event)
            if silent_s is not None:
                stated_silence_s = silent_s
            return is_statement or silent_s is not None

        splitter = EventSplitter(
            last_event=self._context.last_event, requires_ids=follows, is_statement=take_statement
        )

        async def read_progress() -> list[bytes]:
            """Return the next whole events, none for a statement or the end of the stream."""
            nonlocal has_ended
            async for chunk in connection.read_body():
                events = splitter.feed(chunk)
                if events or has_statement:
                    return events
            has_ended = True
            if end_failure() is not None:
                # Another place may still take the request.
                await anyio.sleep_forever()
            return []

        def end_failure() -> str | None:
            """Return why the stream isn't whole at its end; None if it is."""
            if follows and not splitter.has_events:
                return "no events in mid-stream"
            if splitter.incomplete:
                return "the stream ended within an event"
            if not self._responder.started and connection.ends_with_connection:
                return "the stream ended before its first event"
            return None

        attempt_deadline = anyio.current_time() + self._remaining_s()
        idle_timeout_s = self._upstream.stream_idle_timeout_s
        idle_deadline = _earlier(attempt_deadline, idle_timeout_s)
        silent_since = self._clock()
        last_input = _LastInput(connection, deadline=attempt_deadline)
        joins = False

        async def relay(events: list[bytes]) -> bool:
            """Relay events; return false if they may not follow what the caller has."""
            nonlocal joins, has_statement, stated_silence_s, idle_deadline, silent_since
            if events and not joins:
                joins = self._may_join(head)
                if not joins:
                    return False
            if events:
                await self._relay_events(events, answer, splitter)
            if events or has_statement:
                # Bytes without a whole event are no progress for the caller.
                idle_deadline = _earlier(attempt_deadline, idle_timeout_s)
                silent_since = self._clock()
                has_statement = False
            if stated_silence_s is not None and idle_timeout_s is not None:
                idle_deadline = anyio.current_time()
                silent_since = self._clock() - stated_silence_s
            stated_silence_s = None
            return True

        try:
            while not has_ended:
                with (
                    anyio.CancelScope(deadline=attempt_deadline) as scope,
                    IdleLimit(scope) as idle_limit,
                ):
                    idle_limit.set_deadline(idle_deadline)
                    async for chunk in connection.read_body():
                        # Time spent writing to a slow caller is no pause of the server.
                        idle_limit.suspend()
                        if not await relay(splitter.feed(chunk)):
                            connection.close()
                            return self._interrupted_result("answer of another version")
                        # The scope doesn't cancel a reader that new bytes wake up in each turn.
                        if last_input.is_read():
                            connection.close()
                            return self._interrupted_result("the stream took too long")
                        idle_limit.set_deadline(idle_deadline)
                    has_ended = True
                if has_ended:
                    break
                events = None
                # A late event loop finds the timeout and the event in one turn.
                if last_input.is_read() or not connection.has_input():
                    if anyio.current_time() >= attempt_deadline:
                        connection.close()
                        return self._interrupted_result("the stream took too long")
                    events = await self._read_beside_offer(
                        read_progress, silent_since, attempt_deadline
                    )
                if self._taken_over:
                    connection.close()
                    return self._silent_result("no event in time")
                interval_s = OFFER_INTERVAL_S
                if events is None and not has_ended and not connection.has_input():
                    interval_s = await self._note_kept(silent_since)
                idle_deadline = _earlier(attempt_deadline, interval_s)
                if not await relay(events or []):
                    connection.close()
                    return self._interrupted_result("answer of another version")
        except CallerGoneError:
            raise
        except TransportError as error:
            connection.close()
            return dataclasses.replace(
                self._interrupted_result(_reason(error)),
                too_large=isinstance(error, AnswerTooLargeError),
                lost_connection=isinstance(error, ConnectionLostError),
            )
        failure = end_failure()
        if failure is not None:
            return self._interrupted_result(failure)
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
                self._context.note_events(len(events), now=self._clock())
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

    def _silent_result(self, reason: str) -> AttemptResult:
        """Return the result of an attempt that ended as its server was silent."""
        return dataclasses.replace(self._interrupted_result(reason), lost_connection=self._is_lost)

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


def _unconfirmed_status(answer: BackendAnswer) -> int | None:
    return answer.status if answer.is_unconfirmed_refusal else None


def _caller_gone_error() -> CallerGoneError:
    return CallerGoneError(what="the caller closed the connection", where="caller")


def _reason(error: TransportError) -> str:
    return f"{type(error).__name__}: {error.what}"


def _earlier(attempt_deadline: float, timeout_s: float | None) -> float:
    """Return when a timeout that begins now ends an attempt, time of the event loop."""
    if timeout_s is None:
        return attempt_deadline
    return min(attempt_deadline, asyncio.get_running_loop().time() + timeout_s)
