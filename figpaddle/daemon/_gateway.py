"""The path of a request through one instance."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import anyio

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._at_most_once import AtMostOnce
from figpaddle.daemon._backend_client import BackendClient
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._exchange import (
    AnswerHead,
    AnswerSink,
    BodySource,
    RequestHead,
    hold_small,
)
from figpaddle.daemon._forwarder import Forwarder
from figpaddle.daemon._logs import Log
from figpaddle.daemon._placer import Placer, ProgressSink
from figpaddle.daemon._retries import Attempts
from figpaddle.errors import (
    ConfigurationUnconfirmedError,
    DeadlineExceededError,
    NoBackendServerError,
    Outcome,
    PeerLostError,
    RequestError,
)
from figpaddle.routing import (
    BackendTable,
    KnownBackend,
    Placement,
    RetryBudget,
    check_forward,
    permitted_service,
)

#: Shortest silence within an answer that counts as its end, seconds.
MIN_IDLE_S = 2.0
#: Time to come back after when no backend server is known, seconds.
NO_BACKEND_RETRY_S = 2.0


class Gateway:
    """Places requests and carries them out, here or in another region."""

    def __init__(
        self,
        *,
        directory: InstanceDirectory,
        configuration: ConfigurationState,
        backends: BackendTable,
        placer: Placer,
        client: BackendClient,
        forwarder: Forwarder,
        at_most_once: AtMostOnce,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._backends = backends
        self._placer = placer
        self._client = client
        self._forwarder = forwarder
        self._at_most_once = at_most_once
        self._clock = clock
        self._log = log
        self._in_progress = 0
        self._retry_budget = RetryBudget()

    @property
    def in_progress(self) -> int:
        """Requests that this instance has accepted and not yet finished."""
        return self._in_progress

    async def serve(self, head: RequestHead, body: BodySource, sink: AnswerSink) -> None:
        """Serve a request to its end; raises RequestError if it gets no answer of the service."""
        self._in_progress += 1
        try:
            if head.idempotent or head.visited:
                await self._serve(head, body, sink)
            else:
                await self._at_most_once.serve(head, body, sink, self._serve)
            self._log.info(
                "request_done", request_id=head.request_id, service=head.service, member=head.member
            )
        except RequestError as error:
            self._log.info(
                "request_failed",
                request_id=head.request_id,
                service=head.service,
                member=head.member,
                problem=error.problem,
                outcome=error.outcome.value,
            )
            raise
        finally:
            self._in_progress -= 1

    async def _serve(self, head: RequestHead, body: BodySource, sink: AnswerSink) -> None:
        own = self._directory.own
        check_forward(instance=own.name, visited=head.visited, crossings=head.crossings)
        self._configuration.require(instance=own.name)
        if head.crossings and not self._configuration.may_cross(self._clock()):
            raise ConfigurationUnconfirmedError(instance=own.name)
        service = permitted_service(
            self._configuration.current, member=head.member, service=head.service, region=own.region
        )
        head = dataclasses.replace(head, idle_s=max(MIN_IDLE_S, service.deadline_s))
        body = await hold_small(body)
        attempts = Attempts(head=head, budget=self._retry_budget, clock=self._clock)
        failure: RequestError = NoBackendServerError(
            service=head.service, retry_after_s=NO_BACKEND_RETRY_S
        )
        while True:
            placement = self._place(head, service.regions, attempts)
            if placement is None:
                raise failure
            try:
                await self._carry_out(head, body, sink, placement, attempts.tried)
                return
            except RequestError as error:
                attempts.note_failure(error)
                if not attempts.may_retry(error, body, sink):
                    raise
                if placement.region is not None and not isinstance(error, PeerLostError):
                    attempts.tried.add(placement.region)
                self._log.info("retry", request_id=head.request_id, problem=error.problem)
                failure = error

    def _place(
        self, head: RequestHead, allowed: tuple[str, ...], attempts: Attempts
    ) -> Placement | None:
        try:
            return self._placer.place(head, allowed, attempts.tried)
        except RequestError as error:
            attempts.note_failure(error)
            raise

    async def _carry_out(
        self,
        head: RequestHead,
        body: BodySource,
        sink: AnswerSink,
        placement: Placement,
        tried: set[str],
    ) -> None:
        progress = self._placer.sent(head, placement)
        told = ProgressSink(sink=sink, progress=progress)
        try:
            if placement.backend is not None:
                tried.add(placement.backend.info.name)
                await self._send(head, body, told, placement.backend)
            elif placement.region is not None:
                spilled = self._backends.ever_offered(head.offering)
                away = dataclasses.replace(head, spilled=spilled)
                await self._forwarder.forward(
                    away, body, told, region=placement.region, tried=tried
                )
        finally:
            progress.ended()

    async def _send(
        self, head: RequestHead, body: BodySource, sink: AnswerSink, backend: KnownBackend
    ) -> None:
        name = backend.info.name
        self._backends.started(name)
        timed = DeadlineSink(sink=sink)
        remaining = head.deadline_at - self._clock()
        try:
            with anyio.CancelScope(deadline=anyio.current_time() + remaining) as scope:
                timed.scope = scope
                await self._client.send(head, body, backend, timed)
                self._backends.note_connection(name, opened=True)
            if scope.cancelled_caught:
                raise DeadlineExceededError(deadline_s=head.deadline_s, outcome=Outcome.UNKNOWN)
        except NoBackendServerError:
            self._backends.note_connection(name, opened=False)
            raise
        finally:
            self._backends.finished(name)


class DeadlineSink(AnswerSink):
    """Lifts the deadline once the answer starts."""

    def __init__(self, *, sink: AnswerSink) -> None:
        self._sink = sink
        #: Scope that ends the exchange at the deadline.
        self.scope: anyio.CancelScope | None = None

    @property
    def started(self) -> bool:
        """Whether the head of the answer has been sent."""
        return self._sink.started

    async def start(self, head: AnswerHead) -> None:
        """Lift the deadline and send the head of the answer."""
        if self.scope is not None:
            self.scope.deadline = float("inf")
        await self._sink.start(head)

    async def write(self, data: bytes) -> None:
        """Send a piece of the answer's body."""
        await self._sink.write(data)

    async def finish(self) -> None:
        """Send the end mark."""
        await self._sink.finish()
