"""Handling of non-idempotent requests: record the attempt, send it, record its response."""

from __future__ import annotations

import dataclasses
import hashlib
import urllib.parse
import uuid
from collections.abc import Awaitable, Callable

import anyio
import anyio.lowlevel

from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._ledger_client import LedgerClient
from figpaddle.daemon._outcome_tracker import OutcomeTracker
from figpaddle.daemon._request_response import (
    BodySource,
    BufferedBody,
    RequestHead,
    ResponseHead,
    ResponseSink,
)
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
from figpaddle.ledger import (
    Coordinator,
    Decision,
    Granted,
    KeyTaken,
    RequestDigests,
    is_same_request,
)
from figpaddle.routing import permitted_service
from figpaddle.telemetry import Log
from figpaddle.wire import LedgerFinish, LedgerRecord, RecordedAnswer, RecordKey

#: Retry delay sent to the caller if too few ledger slots could vote, seconds.
LEDGER_RETRY_AFTER_S = 2.0
#: Time in which a request may still end and be recorded after its caller disconnected, seconds.
CALLER_GONE_GRACE_S = 1.0
#: Longest idempotency key, characters.
MAX_KEY_CHARACTERS = 255
#: Header of a replayed response.
REPLAYED_HEADER = ("figpaddle-replayed", "true")

Dispatch = Callable[[RequestHead, BodySource, ResponseSink, OutcomeTracker], Awaitable[None]]


class AtMostOnce:
    """Sends each non-idempotent request to a backend server at most once.

    The record is stored in the client's home region, so that a partitioned region can still serve
    its own clients.
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
        self,
        head: RequestHead,
        body: BodySource,
        sink: ResponseSink,
        dispatch: Dispatch,
        tracker: OutcomeTracker,
    ) -> None:
        """Dispatch the request, or replay the recorded response if its key was used before.

        Raises RequestError if the request fails without a response of the service.
        """
        key = _validated_key(head)
        self._check_regions(head)
        data = b"".join([chunk async for chunk in body.chunks()])
        coordinator = self._make_coordinator(head, key, data)
        # Until the ledger grants this attempt, an earlier one with the key may have run.
        tracker.note_may_run()
        decision = await self._decide(head, coordinator)
        if isinstance(decision, KeyTaken):
            await self._client.notify(head.home, coordinator.abandon_message())
            await _replay(decision.record, request_digests(head, data), sink)
            return
        if not isinstance(decision, Granted):
            await self._client.notify(head.home, coordinator.abandon_message())
            raise LedgerUnavailableError(
                home=head.home, outcome=Outcome.UNKNOWN, retry_after_s=LEDGER_RETRY_AFTER_S
            )
        tracker.note_attempt_failed(Outcome.NOT_RUN)
        await _run_despite_disconnect(
            lambda: self._dispatch_and_record(
                head, BufferedBody(data=data), sink, dispatch, coordinator, tracker
            )
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

    def _make_coordinator(self, head: RequestHead, key: str, data: bytes) -> Coordinator:
        return Coordinator(
            slots=self._client.slots(head.home),
            key=RecordKey(member=head.member, client=head.client, key=key),
            service=head.service,
            digests=request_digests(head, data),
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
                    await self._client.notify(head.home, coordinator.abandon_message())
        return decision

    async def _dispatch_and_record(
        self,
        head: RequestHead,
        body: BodySource,
        sink: ResponseSink,
        dispatch: Dispatch,
        coordinator: Coordinator,
        tracker: OutcomeTracker,
    ) -> None:
        async def record(answer: RecordedAnswer | None) -> None:
            await self._record(head, coordinator.finished_record(now=self._wall_clock()), answer)

        recording_sink = RecordingSink(sink=sink, limit_bytes=self._answer_bytes, record=record)
        try:
            if self._clock() >= head.deadline_at:
                raise DeadlineExceededError(deadline_s=head.deadline_s, outcome=Outcome.NOT_RUN)
            await dispatch(head, body, recording_sink, tracker)
        finally:
            # Also if it was cancelled: the caller is told that it hasn't run and may send it again.
            if tracker.outcome is Outcome.NOT_RUN and not recording_sink.started:
                with anyio.CancelScope(shield=True):
                    await self._client.notify(head.home, coordinator.abandon_message())

    async def _record(
        self, head: RequestHead, record: LedgerRecord, answer: RecordedAnswer | None
    ) -> None:
        """Record the answer; the caller gets it also if that fails, as it can't be had again."""
        finished = dataclasses.replace(record, answer=answer)
        message = LedgerFinish(record=finished, service=head.service)
        error: Exception | None = None
        try:
            recorded = await self._client.finish(head.home, message)
        except Exception as failure:  # noqa: BLE001
            recorded, error = False, failure
        if not recorded:
            self._log.warning(
                "answer_not_recorded",
                request_id=head.request_id,
                home=head.home,
                exc_info=error,
            )


def _validated_key(head: RequestHead) -> str:
    key = head.idempotency_key or ""
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise InvalidRequestError(
            what="the idempotency key is empty or too long",
            hint=f"send between 1 and {MAX_KEY_CHARACTERS} characters",
        )
    return key


async def _run_despite_disconnect(operation: Callable[[], Awaitable[None]]) -> None:
    """Run ``operation``; if cancelled, let it continue for CALLER_GONE_GRACE_S.

    The caller's disconnect cancels the surrounding scope; the grace time lets a request that is
    about to end be recorded with its response.
    """
    failure: RequestError | None = None
    shielded = anyio.CancelScope(shield=True)

    async def set_deadline_when_cancelled() -> None:
        try:
            await anyio.sleep_forever()
        finally:
            shielded.deadline = anyio.current_time() + CALLER_GONE_GRACE_S

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(set_deadline_when_cancelled)
        with shielded:
            try:
                await operation()
            except RequestError as error:
                failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if shielded.cancelled_caught:
        # Raises the cancellation of the surrounding scope, which the shield held back.
        await anyio.lowlevel.checkpoint()


def request_digests(head: RequestHead, data: bytes) -> RequestDigests:
    """Return digests that differ between different requests with the same key.

    Builds that took paths without their escapes have only the digest of such a target in their records.
    """
    path, separator, query = head.target.partition("?")
    unescaped_target = urllib.parse.unquote(path) + separator + query
    return RequestDigests(
        digest=_digest(head, unescaped_target, data), exact_digest=_digest(head, head.target, data)
    )


def _digest(head: RequestHead, target: str, data: bytes) -> bytes:
    digest = hashlib.sha256()
    for field in (head.service.encode(), head.method.encode(), target.encode(), data):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.digest()


async def _replay(record: LedgerRecord, digests: RequestDigests, sink: ResponseSink) -> None:
    if not is_same_request(record, digests):
        raise KeyReusedError
    if not record.finished:
        raise OutcomeUnknownError
    answer = record.answer
    if answer is None:
        raise AnswerNotKeptError
    await sink.start(
        ResponseHead(
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


class RecordingSink(ResponseSink):
    """Passes a response on, its last chunk only after the whole response was recorded.

    Responses over the size limit are recorded as finished without their content.
    """

    def __init__(
        self,
        *,
        sink: ResponseSink,
        limit_bytes: int,
        record: Callable[[RecordedAnswer | None], Awaitable[None]],
    ) -> None:
        self._sink = sink
        self._limit_bytes = limit_bytes
        self._record = record
        self._head: ResponseHead | None = None
        self._pending_chunk: bytes | None = None
        self._chunks: list[bytes] = []
        self._size = 0

    @property
    def started(self) -> bool:
        """Whether the head of the response was received."""
        return self._head is not None

    async def start(self, head: ResponseHead) -> None:
        """Buffer the head until a second chunk arrives or the response is recorded."""
        self._head = head

    async def write(self, data: bytes) -> None:
        """Buffer ``data`` and pass on the chunk buffered before."""
        self._size += len(data)
        if self._size <= self._limit_bytes:
            self._chunks.append(data)
        else:
            self._chunks.clear()
        if self._pending_chunk is not None:
            await self._flush()
        self._pending_chunk = data

    async def finish(self) -> None:
        """Record the response, then pass on the buffered chunk and the end."""
        await self._record(self._recorded_answer())
        await self._flush()
        await self._sink.finish()

    async def _flush(self) -> None:
        if not self._sink.started and self._head is not None:
            await self._sink.start(self._head)
        if self._pending_chunk is not None:
            await self._sink.write(self._pending_chunk)
            self._pending_chunk = None

    def _recorded_answer(self) -> RecordedAnswer | None:
        head = self._head
        if head is None or self._size > self._limit_bytes:
            return None
        return RecordedAnswer(
            status=head.status,
            headers=head.headers,
            body=b"".join(self._chunks),
            backend=head.backend,
            instance=head.instance,
            region=head.region,
        )
