"""One attempt: sends a request over a connection and passes the answer on."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import anyio

from figpaddle.errors import ConnectFailedError, ConnectionLostError, TransportError
from figpaddle.http1 import AnswerHead, BackendConnection, ConnectionPool, Headers, Responder
from figpaddle.regional._dialect import BackendAnswer
from figpaddle.regional._events import EventSplitter
from figpaddle.regional._job import Ending, Fate, Job, SpareAnswer

#: Longest time for the body of an answer that says that a request failed, seconds.
DRAIN_TIMEOUT_S = 1.0
#: Time after the deadline for an answer that is already under way, seconds.
LATE_ANSWER_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leg:
    """Where an attempt goes and what it says."""

    #: ``HOST:PORT`` of the other side.
    address: str
    #: Header of the request.
    headers: Headers
    #: Time for a connection, seconds.
    connect_timeout_s: float
    #: Time for the head of the answer, seconds.
    first_byte_timeout_s: float
    #: Longest pause within a stream, seconds; None where nobody else could go on with it.
    silence_s: float | None = None


class CallerGoneError(TransportError):
    """The caller left while its answer was being sent."""


class Exchange:
    """Runs one attempt of ``job``.

    ``read`` decodes the head of an answer; ``on_first`` is called once its first byte is there.
    """

    def __init__(
        self,
        *,
        job: Job,
        leg: Leg,
        pool: ConnectionPool,
        responder: Responder,
        read: Callable[[AnswerHead], BackendAnswer],
        on_first: Callable[[BackendAnswer], None],
        retryable: Callable[[BackendAnswer], bool],
        clock: Callable[[], float],
    ) -> None:
        self._job = job
        self._leg = leg
        self._pool = pool
        self._responder = responder
        self._read = read
        self._on_first = on_first
        self._retryable = retryable
        self._clock = clock

    async def run(self) -> Ending:
        """Return how the attempt ended; raises CallerGoneError."""
        try:
            connection = await self._pool.acquire(
                self._leg.address, timeout_s=self._leg.connect_timeout_s
            )
        except ConnectFailedError as error:
            return Ending(fate=Fate.NOT_SENT, reason=f"connect: {error.what}")
        finished = False
        try:
            ending = await self._over(connection)
            finished = True
        finally:
            if finished:
                self._pool.release(self._leg.address, connection)
            else:
                connection.close()
        return ending

    async def _over(self, connection: BackendConnection) -> Ending:
        request = self._job.request
        first_byte_s = self._leg.first_byte_timeout_s
        with anyio.move_on_after(first_byte_s) as scope:
            try:
                await connection.send(
                    method=request.method,
                    target=request.target,
                    headers=self._leg.headers,
                    body=request.body,
                )
                head = await connection.read_head(self._is_ours)
            except TransportError as error:
                lost = isinstance(error, ConnectionLostError)
                return Ending(fate=Fate.UNKNOWN, reason=_reason(error), unanswered=lost)
        if scope.cancelled_caught:
            connection.close()
            return Ending(fate=Fate.UNKNOWN, reason="no answer in time")
        answer = self._read(head)
        if answer.not_run:
            await self._drain(connection)
            reason = "wrong server" if answer.wrong_server else "refused by the backend server"
            return Ending(fate=Fate.NOT_RUN, reason=reason)
        if self._retryable(answer):
            body = await self._drain(connection)
            if body is not None:
                self._job.spare = SpareAnswer(answer=answer, body=body)
            return Ending(fate=Fate.UNKNOWN, reason=f"status {answer.status}")
        if self._job.route.streaming and answer.status == 200:
            return await self._stream(connection, answer)
        return await self._whole(connection, answer)

    def _is_ours(self, head: AnswerHead) -> bool:
        return self._read(head).request_id in ("", self._job.request_id)

    async def _drain(self, connection: BackendConnection) -> bytes | None:
        """Return the body of an answer that isn't passed on yet, or None where it is broken."""
        try:
            with anyio.fail_after(DRAIN_TIMEOUT_S):
                return b"".join([piece async for piece in connection.read_body()])
        except (TransportError, TimeoutError):
            connection.close()
            return None

    async def _whole(self, connection: BackendConnection, answer: BackendAnswer) -> Ending:
        """Pass an answer on once all of it is there, so that a broken one can be replaced."""
        pieces = []
        with anyio.move_on_after(self._left_s()) as scope:
            try:
                async for piece in connection.read_body():
                    pieces.append(piece)
            except TransportError as error:
                return Ending(fate=Fate.UNKNOWN, reason=_reason(error))
        if scope.cancelled_caught:
            connection.close()
            return Ending(fate=Fate.UNKNOWN, reason="no whole answer in time")
        self._on_first(answer)
        if self._responder.started:
            return Ending(fate=Fate.BROKEN, reason=f"status {answer.status} in mid-stream")
        self._job.first_at = self._clock()
        try:
            await self._responder.answer(answer.status, answer.headers, b"".join(pieces))
        except ConnectionLostError as error:
            raise CallerGoneError(what="the caller left", where="caller") from error
        return Ending(fate=Fate.ANSWERED, reason=f"status {answer.status}")

    async def _stream(self, connection: BackendConnection, answer: BackendAnswer) -> Ending:
        """Pass whole events on as they come."""
        splitter = EventSplitter(last_event=self._job.last_event)
        over_at = anyio.current_time() + self._left_s()
        is_watched = self._leg.silence_s is not None
        with anyio.CancelScope(deadline=self._silent_at(over_at)) as scope:
            try:
                async for piece in connection.read_body():
                    if is_watched:
                        # Only the server's silence counts: a caller may be slow to take events.
                        scope.deadline = over_at
                    await self._pass_on(splitter.feed(piece), answer, splitter)
                    if is_watched:
                        scope.deadline = self._silent_at(over_at)
            except TransportError as error:
                if isinstance(error, CallerGoneError):
                    raise
                return self._cut(_reason(error))
        if scope.cancelled_caught:
            connection.close()
            is_over = anyio.current_time() >= over_at
            return self._cut("the stream took too long" if is_over else "no event in time")
        if splitter.rest:
            return self._cut("the stream ended within an event")
        await self._pass_on([], answer, splitter)
        try:
            await self._responder.finish()
        except ConnectionLostError as error:
            raise CallerGoneError(what="the caller left", where="caller") from error
        return Ending(fate=Fate.ANSWERED, reason="stream complete")

    async def _pass_on(
        self, events: list[bytes], answer: BackendAnswer, splitter: EventSplitter
    ) -> None:
        try:
            if not self._responder.started:
                self._on_first(answer)
                self._job.first_at = self._clock()
                await self._responder.start(answer.status, answer.headers, length=None)
            elif events:
                self._on_first(answer)
            if events:
                await self._responder.write(b"".join(events))
                self._job.last_event = splitter.last_event
        except ConnectionLostError as error:
            raise CallerGoneError(what="the caller left", where="caller") from error

    def _cut(self, reason: str) -> Ending:
        return Ending(fate=Fate.BROKEN if self._responder.started else Fate.UNKNOWN, reason=reason)

    def _silent_at(self, over_at: float) -> float:
        """Return when the present pause of a stream ends the attempt, time of the event loop."""
        if self._leg.silence_s is None:
            return over_at
        return min(over_at, anyio.current_time() + self._leg.silence_s)

    def _left_s(self) -> float:
        return max(0.0, self._job.left_s(now=self._clock()) + LATE_ANSWER_S)


def _reason(error: TransportError) -> str:
    return f"{type(error).__name__}: {error.what}"
