"""Processing of a request by one instance: placement, retries and deadline."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import math
from collections.abc import Callable

import anyio

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._at_most_once import AtMostOnce
from figpaddle.daemon._backend_client import BackendClient
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._fault_reporter import FaultReporter
from figpaddle.daemon._forwarder import BeginRetry, Forwarder
from figpaddle.daemon._outcome_tracker import OutcomeTracker
from figpaddle.daemon._placer import Placer, ProgressSink
from figpaddle.daemon._quarantine import QuarantineComponent
from figpaddle.daemon._request_response import (
    BodySource,
    RequestHead,
    ResponseHead,
    ResponseSink,
    buffer_small_body,
)
from figpaddle.daemon._response_deadline import ResponseDeadline
from figpaddle.daemon._retries import Attempts
from figpaddle.daemon._takeover import Takeover
from figpaddle.deployment import ServiceConfiguration
from figpaddle.errors import (
    BackendServerLostError,
    ConfigurationUnconfirmedError,
    DeadlineExceededError,
    DrainingError,
    FigpaddleError,
    ForwardRefusedError,
    NoBackendServerError,
    Outcome,
    PeerLostError,
    RequestError,
    RequestQuarantinedError,
)
from figpaddle.routing import (
    AnswerTimes,
    BackendTable,
    KnownBackend,
    Placement,
    RequestTraits,
    RetryBudget,
    check_forward,
    may_begin,
    permitted_service,
)
from figpaddle.telemetry import Log

#: Idle timeout of a response as a multiple of its service's deadline.
IDLE_TIMEOUT_DEADLINE_FACTOR = 2.0
#: Shortest idle timeout of a response, seconds.
MIN_IDLE_TIMEOUT_S = 5.0
#: Time after the start within which an instance learns its region's backend servers, seconds.
WARM_UP_S = 1.5
#: Interval at which a request checks for backend servers during that time, seconds.
WARM_UP_POLL_INTERVAL_S = 0.05
#: Interval at which a request that is suspected of crashing backend servers checks for one without
#: other such requests, seconds.
SLOT_POLL_INTERVAL_S = 0.05
#: Time for sending the end of a response before a planned stop ends, seconds.
DELIVERY_S = 0.1
#: Retry delay sent to the caller if no backend server is known, seconds.
NO_BACKEND_RETRY_AFTER_S = 2.0


class Gateway:
    """Places requests and sends them to a backend server or forwards them to another region."""

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
        quarantine: QuarantineComponent,
        faults: FaultReporter,
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
        self._quarantine = quarantine
        self._faults = faults
        self._clock = clock
        self._log = log
        self._in_progress = 0
        self._retry_budget = RetryBudget()
        self._warm_up_ends_at = clock() + WARM_UP_S
        self._answer_times = AnswerTimes()
        self._stops_at: float | None = None
        self._announced_at = math.inf

    @property
    def in_progress(self) -> int:
        """Number of in-flight requests of this instance."""
        return self._in_progress

    def stop_at(self, stops_at: float, *, announced_at: float) -> None:
        """Begin only requests that end before ``stops_at``, seconds on the instance's clock.

        Whoever sends one after ``announced_at`` knows that other instances serve it.
        """
        self._stops_at = stops_at
        self._announced_at = announced_at

    async def serve(
        self, head: RequestHead, body: BodySource, sink: ResponseSink, tracker: OutcomeTracker
    ) -> None:
        """Serve a request; raises RequestError if it fails without a response of the service."""
        self._in_progress += 1
        try:
            await self._serve_or_report(head, body, sink, tracker)
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

    async def _serve_or_report(
        self, head: RequestHead, body: BodySource, sink: ResponseSink, tracker: OutcomeTracker
    ) -> None:
        """Serve a request; raises InternalError with its outcome for an error nobody expects."""
        try:
            if head.idempotent or head.visited:
                await self._serve(head, body, sink, tracker)
            else:
                await self._at_most_once.serve(head, body, sink, self._serve, tracker)
        except FigpaddleError:
            raise
        except Exception as error:
            raise self._faults.request_error(
                error, request_id=head.request_id, outcome=tracker.outcome
            ) from error

    def check_permitted(
        self, member: str, service: str, visited: tuple[str, ...], crossings: int
    ) -> ServiceConfiguration:
        """Return the service; raises RequestError if the request may not be served here."""
        own = self._directory.own
        check_forward(instance=own.name, visited=visited, crossings=crossings)
        self._configuration.require_installed(instance=own.name)
        if crossings and not self._configuration.allows_cross_region(self._clock()):
            raise ConfigurationUnconfirmedError(instance=own.name)
        return permitted_service(
            self._configuration.current, member=member, service=service, region=own.region
        )

    def check_forward_ask(
        self, member: str, service: str, visited: tuple[str, ...], crossings: int
    ) -> None:
        """Raise RequestError if no request to the service may be forwarded here now."""
        deadline_s = self.check_permitted(member, service, visited, crossings).deadline_s
        kinds = [(f"{member}/{service}", streamed) for streamed in (False, True)]
        if not any(
            self._ends_before_stop(
                kind, repeatable=True, deadline_s=deadline_s, received_at=self._clock()
            )
            for kind in kinds
        ):
            raise DrainingError(instance=self._directory.own.name)

    def _ends_before_stop(
        self, kind: tuple[str, bool], *, repeatable: bool, deadline_s: float, received_at: float
    ) -> bool:
        """Return whether a request that begins now ends in time, if a planned stop has begun.

        ``kind`` is the service and whether the response is streamed. One that can't be repeated has
        to end in time even if it takes as long as the longest; for any other the usual time decides.
        """
        if self._stops_at is None:
            return True
        now, times = self._clock(), self._answer_times
        usual_s = times.usual_s(kind, now=now)
        answer_s = usual_s if repeatable else times.longest_s(kind, now=now)
        if math.isinf(answer_s) and math.isfinite(usual_s):
            # Too few were measured to know the longest, which is no shorter than the usual one.
            answer_s = max(usual_s, deadline_s)
        return may_begin(
            now=now,
            ends_by=self._stops_at - DELIVERY_S,
            answer_s=answer_s,
            deadline_s=deadline_s,
            # The deadline is that of the first bytes, of streams and of whole responses.
            deadline_ends=False,
            # Nothing bounds the next stream, and one that has begun is cut at the end.
            only_bounded=kind[1] and received_at > self._announced_at,
        )

    def _may_begin(self, head: RequestHead) -> bool:
        """Return whether an attempt that begins now ends before a planned stop does."""
        return self._ends_before_stop(
            (head.service_key, head.prompt.streamed),
            repeatable=head.idempotent and not head.prompt.streamed,
            deadline_s=head.deadline_at - self._clock(),
            received_at=head.deadline_at - head.deadline_s,
        )

    def _check_ends_before_stop(self, head: RequestHead, *, earlier: RequestError | None) -> None:
        """Raise DrainingError, or the failure of an earlier attempt, if it is too late to begin."""
        if not self._may_begin(head):
            raise earlier or DrainingError(instance=self._directory.own.name)

    async def _serve(
        self, head: RequestHead, body: BodySource, sink: ResponseSink, tracker: OutcomeTracker
    ) -> None:
        service = self.check_permitted(head.member, head.service, head.visited, head.crossings)
        head = dataclasses.replace(
            head,
            idle_timeout_s=max(
                MIN_IDLE_TIMEOUT_S, IDLE_TIMEOUT_DEADLINE_FACTOR * service.deadline_s
            ),
        )
        body = await buffer_small_body(body)
        attempts = Attempts(
            head=head, budget=self._retry_budget, tracker=tracker, clock=self._clock
        )
        try:
            await self._attempt_until_done(head, body, sink, service.regions, attempts, tracker)
        finally:
            attempts.return_unused()
            unused_place = attempts.take_held_place()
            if unused_place is not None:
                self._placer.withdraw(head, unused_place)

    async def _attempt_until_done(
        self,
        head: RequestHead,
        body: BodySource,
        sink: ResponseSink,
        allowed_regions: tuple[str, ...],
        attempts: Attempts,
        tracker: OutcomeTracker,
    ) -> None:
        failure: RequestError | None = None
        digest = self._quarantine.digest(head, body)
        traits = self._quarantine.traits(head, digest)
        await self._wait_for_announcements(head)
        while True:
            self._check_ends_before_stop(head, earlier=failure)
            placement = attempts.take_held_place()
            if placement is None:
                placement = await self._place_isolated(head, allowed_regions, attempts, traits)
            try:
                # It may have waited for a place without other suspects.
                self._check_ends_before_stop(head, earlier=failure)
            except RequestError:
                self._give_up_place(head, placement, traits)
                raise
            if placement is None:
                raise failure or NoBackendServerError(
                    service=head.service, retry_after_s=NO_BACKEND_RETRY_AFTER_S
                )
            attempts.note_begun()
            try:
                await self._run_with_takeover(
                    head,
                    body,
                    sink,
                    placement,
                    allowed_regions,
                    attempts,
                    traits,
                    tracker,
                    on_sending=lambda: None,
                )
                return
            except RequestError as error:
                if not attempts.allow_retry(error, body, sink):
                    raise
                self._log.info("retry", request_id=head.request_id, problem=error.problem)
                failure = error

    async def _run_with_takeover(
        self,
        head: RequestHead,
        body: BodySource,
        sink: ResponseSink,
        placement: Placement,
        allowed_regions: tuple[str, ...],
        attempts: Attempts,
        traits: RequestTraits,
        tracker: OutcomeTracker,
        on_sending: Callable[[], None],
    ) -> None:
        """Run an attempt, and the next ones beside it while the receiver of its forward is silent."""
        takeover = Takeover(sink=sink)
        useless_regions: set[str] = set()

        def hold_next_place() -> bool:
            excluded = attempts.tried | useless_regions
            return self._hold_next_place(head, allowed_regions, attempts, traits, excluded=excluded)

        def begin_retry(error: PeerLostError, only_elsewhere: bool) -> None:
            if only_elsewhere and placement.region is not None:
                useless_regions.add(placement.region)
            if attempts.allow_giving_up(error, body, sink) and hold_next_place():
                attempts.record_failure(error)
                self._log.info("retry", request_id=head.request_id, problem=error.problem)
                takeover.begin()

        def note_present_sending() -> None:
            takeover.check_sending()
            on_sending()

        async def run_present(own_sink: ResponseSink) -> None:
            try:
                await self._run_attempt(
                    head,
                    body,
                    own_sink,
                    placement,
                    traits,
                    tracker,
                    tried=attempts.tried,
                    on_sending=note_present_sending,
                    begin_retry=begin_retry,
                    on_accepted=takeover.note_accepted,
                )
            except RequestError as error:
                if takeover.begun:
                    attempts.apply_overall_outcome(error)
                else:
                    attempts.record_failure(error)
                region = placement.region
                if region is not None and self._excludes_region(head, region, error, attempts):
                    attempts.tried.add(region)
                raise

        async def run_following(own_sink: ResponseSink) -> None:
            while next_place := attempts.take_held_place():
                attempts.note_begun()
                run_next = functools.partial(
                    self._run_with_takeover,
                    head,
                    body,
                    own_sink,
                    next_place,
                    allowed_regions,
                    attempts,
                    traits,
                    tracker,
                )
                try:
                    await takeover.offer(run_next)
                    return
                except RequestError as error:
                    if not head.idempotent and error.outcome is not Outcome.NOT_RUN:
                        takeover.end_present()
                    if not (attempts.allow_retry(error, body, sink) and hold_next_place()):
                        raise
                    self._log.info("retry", request_id=head.request_id, problem=error.problem)

        await takeover.run(run_present, run_following)

    def _excludes_region(
        self, head: RequestHead, region: str, error: RequestError, attempts: Attempts
    ) -> bool:
        """Return whether an attempt that failed with ``error`` in a region tells to try others only."""
        if isinstance(error, PeerLostError):
            return False
        if not (isinstance(error, ForwardRefusedError) and error.concerns_instance):
            return True
        return not self._forwarder.has_untried_instance(head, region, attempts.tried)

    def _give_up_place(
        self, head: RequestHead, placement: Placement | None, traits: RequestTraits
    ) -> None:
        """Give a place back without using it, and the slots of a suspect request there."""
        if placement is None:
            return
        self._placer.withdraw(head, placement)
        if placement.backend is not None:
            self._quarantine.release_slot(placement.backend.info.name, traits.fingerprint)
        self._release_part_slots(head, traits)

    def _release_part_slots(self, head: RequestHead, traits: RequestTraits) -> None:
        for part in traits.parts:
            self._quarantine.release_slot(part.hex(), head.request_id.encode())

    async def _wait_for_announcements(self, head: RequestHead) -> None:
        """Wait for a backend server of the service while the instance is warming up."""
        deadline = min(self._warm_up_ends_at, head.deadline_at)
        while (now := self._clock()) < deadline:
            if self._backends.candidates(head.service_key, now=now):
                return
            await anyio.sleep(WARM_UP_POLL_INTERVAL_S)

    async def _place_isolated(
        self,
        head: RequestHead,
        allowed_regions: tuple[str, ...],
        attempts: Attempts,
        traits: RequestTraits,
    ) -> Placement | None:
        """Return a placement, or None if no target is available.

        A request that is suspected of crashing backend servers gets only a backend server on which
        no other suspect runs, and one with a suspect prompt part goes alone in its region. Raises
        RequestQuarantinedError for a quarantined request.
        """
        try:
            digest = self._quarantine.check(traits)
        except RequestQuarantinedError as error:
            attempts.apply_overall_outcome(error)
            raise
        if digest is None:
            return self._place(head, allowed_regions, attempts, attempts.tried)
        if digest in traits.parts:
            return await self._place_alone(head, allowed_regions, attempts, digest)
        while self._clock() < head.deadline_at and self._may_begin(head):
            excluded = set(attempts.tried)
            while placement := self._place(head, allowed_regions, attempts, excluded):
                name = placement.backend.info.name if placement.backend is not None else None
                if name is None or await self._quarantine.acquire_slot(name, digest):
                    return placement
                self._placer.withdraw(head, placement)
                excluded.add(name)
            if excluded == attempts.tried:
                return None
            await anyio.sleep(SLOT_POLL_INTERVAL_S)
        return None

    async def _place_alone(
        self,
        head: RequestHead,
        allowed_regions: tuple[str, ...],
        attempts: Attempts,
        part: bytes,
    ) -> Placement | None:
        """Return a place once no other request with a suspect part is in progress in the region."""
        while self._clock() < head.deadline_at and self._may_begin(head):
            if await self._quarantine.acquire_slot(part.hex(), head.request_id.encode()):
                placement: Placement | None = None
                try:
                    placement = self._place(head, allowed_regions, attempts, attempts.tried)
                finally:
                    if placement is None:
                        self._quarantine.release_slot(part.hex(), head.request_id.encode())
                return placement
            await anyio.sleep(SLOT_POLL_INTERVAL_S)
        return None

    def _place(
        self,
        head: RequestHead,
        allowed_regions: tuple[str, ...],
        attempts: Attempts,
        excluded: set[str],
    ) -> Placement | None:
        try:
            return self._placer.place(head, allowed_regions, excluded)
        except RequestError as error:
            attempts.apply_overall_outcome(error)
            raise

    def _hold_next_place(
        self,
        head: RequestHead,
        allowed_regions: tuple[str, ...],
        attempts: Attempts,
        traits: RequestTraits,
        *,
        excluded: set[str],
    ) -> bool:
        """Keep the place for a retry that was charged; if there is none, give the charge back."""
        placement: Placement | None = None
        with contextlib.suppress(RequestError):
            # A suspect may have to wait for its place.
            if self._may_begin(head) and self._quarantine.check(traits) is None:
                placement = self._placer.place(head, allowed_regions, excluded)
        if (
            placement is not None
            and placement.region is not None
            and not self._forwarder.has_untried_instance(head, placement.region, set())
        ):
            self._placer.withdraw(head, placement)
            placement = None
        if placement is None:
            attempts.return_unused()
            return False
        attempts.hold_place(placement)
        return True

    async def _run_attempt(
        self,
        head: RequestHead,
        body: BodySource,
        sink: ResponseSink,
        placement: Placement,
        traits: RequestTraits,
        tracker: OutcomeTracker,
        *,
        tried: set[str],
        on_sending: Callable[[], None],
        begin_retry: BeginRetry,
        on_accepted: Callable[[], None],
    ) -> None:
        def note_sending() -> None:
            on_sending()
            tracker.note_may_run()

        progress = self._placer.start_progress(head, placement)
        progress_sink = ProgressSink(sink=sink, progress=progress)
        attempt = f"{head.request_id}/{self._clock()}"
        kind = (head.service_key, head.prompt.streamed)
        self._answer_times.note_begun(attempt, kind, now=self._clock())
        complete = False
        try:
            if placement.backend is not None:
                tried.add(placement.backend.info.name)
                await self._send(
                    head,
                    body,
                    progress_sink,
                    placement.backend,
                    traits,
                    tracker,
                    on_sending=note_sending,
                )
            elif placement.region is not None:
                spilled = self._backends.ever_offered(head.service_key)
                forwarded_head = dataclasses.replace(head, spilled=spilled)
                await self._forwarder.forward(
                    forwarded_head,
                    body,
                    progress_sink,
                    region=placement.region,
                    tried=tried,
                    on_sending=note_sending,
                    begin_retry=begin_retry,
                    on_accepted=on_accepted,
                )
            complete = not progress_sink.is_failure
        finally:
            self._answer_times.note_ended(attempt, answered=complete, now=self._clock())
            progress.record_end()
            self._release_part_slots(head, traits)

    async def _send(
        self,
        head: RequestHead,
        body: BodySource,
        sink: ResponseSink,
        backend: KnownBackend,
        traits: RequestTraits,
        tracker: OutcomeTracker,
        *,
        on_sending: Callable[[], None],
    ) -> None:
        name = backend.info.name
        self._backends.started(name)
        sent_at = self._clock()
        attempt = f"{head.request_id}/{name}/{sent_at}"
        deadline_sink = DeadlineSink(
            sink=sink, on_bytes=lambda: self._quarantine.note_progress(attempt)
        )
        process = (name, backend.info.incarnation)
        self._quarantine.note_sent(attempt, traits, process=process)
        remaining = head.deadline_at - sent_at
        try:
            with ResponseDeadline(remaining_s=remaining) as deadline:
                deadline_sink.deadline = deadline
                await self._client.send(head, body, backend, deadline_sink, on_sending=on_sending)
                self._backends.note_connection(name, opened=True)
                self._quarantine.note_ended(attempt, complete=True)
            if deadline.passed:
                raise DeadlineExceededError(deadline_s=head.deadline_s, outcome=tracker.outcome)
        except NoBackendServerError:
            self._backends.note_connection(name, opened=False)
            raise
        except BackendServerLostError:
            self._quarantine.note_ended(attempt, complete=False)
            await self._quarantine.report_lost_connection(
                head, backend, on_lost=lambda: self._backends.note_lost(name)
            )
            raise
        finally:
            self._quarantine.note_ended(attempt, complete=False)
            self._backends.finished(name)
            self._quarantine.release_slot(name, traits.fingerprint)


class DeadlineSink(ResponseSink):
    """Removes the deadline of the request when the response starts."""

    def __init__(self, *, sink: ResponseSink, on_bytes: Callable[[], None]) -> None:
        self._sink = sink
        self._on_bytes = on_bytes
        #: The deadline, once the request is sent.
        self.deadline: ResponseDeadline | None = None

    @property
    def started(self) -> bool:
        """Whether the head of the response was passed on."""
        return self._sink.started

    async def start(self, head: ResponseHead) -> None:
        """Remove the deadline and pass the head on."""
        if self.deadline is not None:
            self.deadline.lift()
        await self._sink.start(head)

    async def write(self, data: bytes) -> None:
        """Pass a chunk of the body on."""
        self._on_bytes()
        await self._sink.write(data)

    async def finish(self) -> None:
        """Pass the end on."""
        await self._sink.finish()
