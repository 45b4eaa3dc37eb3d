"""The path of a non-idempotent request: recorded first, then sent, then its answer kept."""

from __future__ import annotations

import dataclasses
import hashlib
import uuid
from collections.abc import Awaitable, Callable

import anyio

from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._exchange import (
    AnswerHead,
    AnswerSink,
    BodySource,
    BufferedBody,
    RequestHead,
)
from figpaddle.daemon._ledger_client import LedgerClient
from figpaddle.errors import (
    AnswerNotKeptError,
    DeadlineExceededError,
    InvalidRequestError,
    KeyReusedError,
    LedgerUnavailableError,
    Outcome,
    OutcomeUnknownError,
    RequestError,
)
from figpaddle.ledger import Coordinator, Decision, Granted, Settled
from figpaddle.routing import permitted_service
from figpaddle.telemetry import Log
from figpaddle.wire import LedgerFinish, LedgerRecord, RecordedAnswer, RecordKey

#: Time to come back after when too few holders could vote, seconds.
LEDGER_RETRY_S = 2.0
#: Time that a request in progress has to end after its caller has gone away, seconds.
CALLER_GONE_GRACE_S = 1.0
#: Longest idempotency key, characters.
MAX_KEY_CHARACTERS = 255
#: Header of an answer that was given before.
REPLAYED_HEADER = ("figpaddle-replayed", "true")

Dispatch = Callable[[RequestHead, BodySource, AnswerSink], Awaitable[None]]


class AtMostOnce:
    """Lets each non-idempotent request reach a backend server at most once.

    The record lives in the client's home region, so that a region that is cut off goes on
    serving its own clients.
    """

    def __init__(
        self,
        *,
        client: LedgerClient,
        configuration: ConfigurationState,
        own_region: str,
        answer_bytes: int,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        log: Log,
    ) -> None:
        self._client = client
        self._configuration = configuration
        self._own_region = own_region
        self._answer_bytes = answer_bytes
        self._clock = clock
        self._wall_clock = wall_clock
        self._log = log

    async def serve(
        self, head: RequestHead, body: BodySource, sink: AnswerSink, dispatch: Dispatch
    ) -> None:
        """Have ``dispatch`` send the request unless its key was used before.

        Raises RequestError if the request gets no answer of the service.
        """
        key = _checked_key(head)
        self._check_regions(head)
        data = b"".join([chunk async for chunk in body.chunks()])
        coordinator = self._coordinator(head, key, data)
        decision = await self._decide(head, coordinator)
        if isinstance(decision, Settled):
            await self._client.tell(head.home, coordinator.abandonment())
            await _replay(decision.record, digest_of(head, data), sink)
            return
        if not isinstance(decision, Granted):
            await self._client.tell(head.home, coordinator.abandonment())
            raise LedgerUnavailableError(
                home=head.home, outcome=Outcome.UNKNOWN, retry_after_s=LEDGER_RETRY_S
            )
        await _with_grace(
            lambda: self._run(head, BufferedBody(data=data), sink, dispatch, coordinator)
        )

    def _check_regions(self, head: RequestHead) -> None:
        for region in (self._own_region, head.home):
            permitted_service(
                self._configuration.current,
                member=head.member,
                service=head.service,
                region=region,
            )
        if not self._client.slots(head.home):
            raise LedgerUnavailableError(
                home=head.home, outcome=Outcome.NOT_RUN, retry_after_s=None
            )

    def _coordinator(self, head: RequestHead, key: str, data: bytes) -> Coordinator:
        return Coordinator(
            slots=self._client.slots(head.home),
            key=RecordKey(member=head.member, client=head.client, key=key),
            service=head.service,
            digest=digest_of(head, data),
            attempt=uuid.uuid4().hex,
        )

    async def _decide(self, head: RequestHead, coordinator: Coordinator) -> Decision:
        decided = False
        try:
            decision = await self._client.decide(coordinator)
            decided = True
        finally:
            if not decided:
                with anyio.CancelScope(shield=True):
                    await self._client.tell(head.home, coordinator.abandonment())
        return decision

    async def _run(
        self,
        head: RequestHead,
        body: BodySource,
        sink: AnswerSink,
        dispatch: Dispatch,
        coordinator: Coordinator,
    ) -> None:
        async def record(answer: RecordedAnswer | None) -> None:
            await self._record(head, coordinator.finished_record(now=self._wall_clock()), answer)

        recording = RecordingSink(sink=sink, limit_bytes=self._answer_bytes, record=record)
        try:
            if self._clock() >= head.deadline_at:
                raise DeadlineExceededError(deadline_s=head.deadline_s, outcome=Outcome.NOT_RUN)
            await dispatch(head, body, recording)
        except RequestError as error:
            if error.outcome is Outcome.NOT_RUN and not recording.started:
                await self._client.tell(head.home, coordinator.abandonment())
            raise

    async def _record(
        self, head: RequestHead, record: LedgerRecord, answer: RecordedAnswer | None
    ) -> None:
        finished = dataclasses.replace(record, answer=answer)
        item = LedgerFinish(record=finished, service=head.service)
        if not await self._client.finish(head.home, item):
            self._log.warning("answer_not_recorded", request_id=head.request_id, home=head.home)


def _checked_key(head: RequestHead) -> str:
    key = head.idempotency_key or ""
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise InvalidRequestError(
            what="the idempotency key is empty or too long",
            mend=f"send between 1 and {MAX_KEY_CHARACTERS} characters",
        )
    return key


async def _with_grace(work: Callable[[], Awaitable[None]]) -> None:
    """Run ``work``; when the caller goes away, leave it some time to end and be recorded."""
    failure: RequestError | None = None
    shielded = anyio.CancelScope(shield=True)

    async def limit_when_cancelled() -> None:
        try:
            await anyio.sleep_forever()
        finally:
            shielded.deadline = anyio.current_time() + CALLER_GONE_GRACE_S

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(limit_when_cancelled)
        with shielded:
            try:
                await work()
            except RequestError as error:
                failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure


def digest_of(head: RequestHead, data: bytes) -> bytes:
    """Return the digest that tells two requests under one key apart."""
    digest = hashlib.sha256()
    for part in (head.service.encode(), head.method.encode(), head.target.encode(), data):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


async def _replay(record: LedgerRecord, digest: bytes, sink: AnswerSink) -> None:
    if record.digest != digest:
        raise KeyReusedError
    if not record.finished:
        raise OutcomeUnknownError
    answer = record.answer
    if answer is None:
        raise AnswerNotKeptError
    await sink.start(
        AnswerHead(
            status=answer.status,
            headers=(*answer.headers, REPLAYED_HEADER),
            backend=answer.backend,
            instance=answer.instance,
            region=answer.region,
        )
    )
    if answer.body:
        await sink.write(answer.body)
    await sink.finish()


class RecordingSink(AnswerSink):
    """Passes an answer on, but its last piece only after the whole answer was recorded."""

    def __init__(
        self,
        *,
        sink: AnswerSink,
        limit_bytes: int,
        record: Callable[[RecordedAnswer | None], Awaitable[None]],
    ) -> None:
        self._sink = sink
        self._limit_bytes = limit_bytes
        self._record = record
        self._head: AnswerHead | None = None
        self._held: bytes | None = None
        self._pieces: list[bytes] = []
        self._size = 0

    @property
    def started(self) -> bool:
        """Whether the head of the answer has come."""
        return self._head is not None

    async def start(self, head: AnswerHead) -> None:
        """Hold the head back until it is known that more than one piece follows."""
        self._head = head

    async def write(self, data: bytes) -> None:
        """Hold ``data`` back and pass on what was held before."""
        self._size += len(data)
        if self._size <= self._limit_bytes:
            self._pieces.append(data)
        else:
            self._pieces.clear()
        if self._held is not None:
            await self._release()
        self._held = data

    async def finish(self) -> None:
        """Record the answer, then pass on its end."""
        await self._record(self._answer())
        await self._release()
        await self._sink.finish()

    async def _release(self) -> None:
        if not self._sink.started and self._head is not None:
            await self._sink.start(self._head)
        if self._held is not None:
            await self._sink.write(self._held)
            self._held = None

    def _answer(self) -> RecordedAnswer | None:
        head = self._head
        if head is None or self._size > self._limit_bytes:
            return None
        return RecordedAnswer(
            status=head.status,
            headers=head.headers,
            body=b"".join(self._pieces),
            backend=head.backend,
            instance=head.instance,
            region=head.region,
        )
