"""The path of a request through one instance."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._at_most_once import AtMostOnce
from figpaddle.daemon._backend_client import BackendClient
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._exchange import AnswerHead, AnswerSink, BodySource, RequestHead
from figpaddle.daemon._forwarder import Forwarder
from figpaddle.daemon._logs import Log
from figpaddle.daemon._regions import RegionView
from figpaddle.errors import (
    DeadlineExceededError,
    NoBackendServerError,
    Outcome,
    RegionNotAllowedError,
    RequestError,
)
from figpaddle.routing import (
    BackendTable,
    KnownBackend,
    Options,
    Placement,
    PlacementPolicy,
    check_forward,
    permitted_service,
)

#: Most attempts for one request, the first included.
MAX_ATTEMPTS = 3
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
        regions: RegionView,
        policy: PlacementPolicy,
        client: BackendClient,
        forwarder: Forwarder,
        at_most_once: AtMostOnce,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._backends = backends
        self._regions = regions
        self._policy = policy
        self._client = client
        self._forwarder = forwarder
        self._at_most_once = at_most_once
        self._clock = clock
        self._log = log
        self._in_progress = 0

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
        service = permitted_service(
            self._configuration.current, member=head.member, service=head.service, region=own.region
        )
        tried: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            placement = self._place(head, service.regions, tried)
            if placement is None:
                break
            try:
                await self._carry_out(head, body, sink, placement)
                return
            except RequestError as error:
                last = attempt == MAX_ATTEMPTS - 1
                if last or not _may_retry(head, body, sink, error):
                    raise
            if placement.backend is not None:
                tried.add(placement.backend.info.name)
        raise NoBackendServerError(service=head.service, retry_after_s=NO_BACKEND_RETRY_S)

    def _place(
        self, head: RequestHead, allowed: tuple[str, ...], tried: set[str]
    ) -> Placement | None:
        now = self._clock()
        backends = tuple(
            known
            for known in self._backends.candidates(head.service, now=now)
            if known.info.name not in tried
        )
        regions = () if head.crossings else self._regions.options(head.service, allowed, now=now)
        return self._policy.place(Options(backends=backends, regions=regions), now=now)

    async def _carry_out(
        self, head: RequestHead, body: BodySource, sink: AnswerSink, placement: Placement
    ) -> None:
        if placement.backend is not None:
            await self._send(head, body, sink, placement.backend)
        elif placement.region is not None:
            await self._forwarder.forward(head, body, sink, region=placement.region)

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
            if scope.cancelled_caught:
                raise DeadlineExceededError(deadline_s=head.deadline_s, outcome=Outcome.UNKNOWN)
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


def _may_retry(head: RequestHead, body: BodySource, sink: AnswerSink, error: RequestError) -> bool:
    if sink.started or body.touched or isinstance(error, RegionNotAllowedError):
        return False
    if isinstance(error, DeadlineExceededError):
        return False
    return head.idempotent or error.outcome is Outcome.NOT_RUN
