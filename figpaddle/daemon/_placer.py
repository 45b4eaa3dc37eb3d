"""Placement and admission of requests from the current state of the process."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._regions import RegionView
from figpaddle.daemon._request_response import RequestHead, ResponseHead, ResponseSink
from figpaddle.deployment import PolicyWeights
from figpaddle.routing import (
    MIN_FAILURE_STATUS,
    Admission,
    BackendTable,
    Demand,
    Finished,
    FirstToken,
    Placement,
    PlacementOptions,
    PlacementPolicy,
    Reported,
    Sent,
)
from figpaddle.wire import BackendInfo, InstanceState

#: Requests per slot that other regions are assumed to accept for a service without backend servers
#: in this region; in effect only the deadline limits such requests.
UNLIMITED_REQUESTS_PER_SLOT = 1_000_000


class Placer:
    """Chooses the target of each request and reports its progress to policy and admission."""

    def __init__(
        self,
        *,
        directory: InstanceDirectory,
        configuration: ConfigurationState,
        backends: BackendTable,
        regions: RegionView,
        policy: PlacementPolicy,
        admission: Admission,
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._backends = backends
        self._regions = regions
        self._policy = policy
        self._admission = admission
        self._clock = clock

    def place(
        self, head: RequestHead, allowed_regions: tuple[str, ...], excluded: set[str]
    ) -> Placement | None:
        """Return the placement of an admitted request, or None if no target is available.

        Raises OverloadedError if the request is not admitted.
        """
        now = self._clock()
        demand = self._demand(head, now)
        forwarded = head.crossings > 0
        never_offered_locally = not self._backends.ever_offered(head.service_key)
        local_only = forwarded or not self._configuration.allows_cross_region(now)
        member = self._configuration.current.member(head.member)
        options = PlacementOptions(
            backends=tuple(
                known
                for known in self._backends.candidates(head.service_key, now=now)
                if known.info.name not in excluded
            ),
            regions=tuple(
                (
                    dataclasses.replace(option, room=option.slots * UNLIMITED_REQUESTS_PER_SLOT)
                    if never_offered_locally
                    else option
                )
                for option in self._regions.options(head.service_key, allowed_regions, now=now)
                if not local_only and option.region not in excluded
            ),
            weights=member.weights if member is not None else PolicyWeights(),
            placing_instances=self._count_serving_instances(),
        )
        placement = self._policy.place(demand, options, now=now)
        if placement is not None and placement.expected_s is not None:
            summary = self._backends.summary(head.service_key, now=now)
            members = self._configuration.current.members
            self._admission.admit(
                demand,
                placement,
                shares={entry.name: entry.share for entry in members},
                room=summary.room if head.spilled else None,
                now=now,
            )
        return placement

    def start_progress(self, head: RequestHead, placement: Placement) -> Progress:
        """Record that a request is sent to its target and return the recorder of its progress."""
        now = self._clock()
        demand = self._demand(head, now)
        self._policy.observe(Sent(demand=demand, target=placement.target), now=now)
        return Progress(
            demand=demand,
            placement=placement,
            policy=self._policy,
            admission=self._admission,
            clock=self._clock,
        )

    def withdraw(self, head: RequestHead, placement: Placement) -> None:
        """Undo the admission of a placement that is not used."""
        demand = self._demand(head, self._clock())
        if placement.expected_s is not None:
            self._admission.note_failed(demand, target=placement.target)

    def record_announcement(self, info: BackendInfo) -> None:
        """Report an announcement of a backend server to the policy."""
        self._policy.observe(Reported(info=info), now=self._clock())

    def _count_serving_instances(self) -> int:
        own = self._directory.own
        return sum(
            1
            for info in self._directory.instances
            if info.region == own.region and info.state is InstanceState.SERVING
        )

    def _demand(self, head: RequestHead, now: float) -> Demand:
        return Demand(
            request_id=head.request_id,
            member=head.member,
            service=head.service_key,
            priority=head.priority,
            deadline_s=head.deadline_at - now,
            prefixes=head.prompt.prefixes,
            prompt_tokens=head.prompt.tokens,
            output_tokens=head.prompt.output_tokens,
            body_bytes=head.prompt.body_bytes,
            streamed=head.prompt.streamed,
            forwarded=head.crossings > 0,
        )


class Progress:
    """Reports the progress of one request at its target to policy and admission."""

    def __init__(
        self,
        *,
        demand: Demand,
        placement: Placement,
        policy: PlacementPolicy,
        admission: Admission,
        clock: Callable[[], float],
    ) -> None:
        self._demand = demand
        self._placement = placement
        self._policy = policy
        self._admission = admission
        self._clock = clock
        self._tokens = 0
        self._response_started = False

    def record_chunk(self, *, streamed: bool) -> None:
        """Record a chunk of the response; a streamed one is counted as one token."""
        now = self._clock()
        if not self._response_started:
            self._response_started = True
            self._admission.note_response_started(
                self._demand,
                target=self._placement.target,
                work_s=self._placement.work_s,
                now=now,
            )
            if streamed:
                event = FirstToken(demand=self._demand, target=self._placement.target)
                self._policy.observe(event, now=now)
        if streamed:
            self._tokens += 1

    def record_end(self) -> None:
        """Record the end of the request, with or without a response."""
        if not self._response_started:
            self._admission.note_failed(self._demand, target=self._placement.target)
        self._policy.observe(
            Finished(demand=self._demand, target=self._placement.target, tokens=self._tokens),
            now=self._clock(),
        )


class ProgressSink(ResponseSink):
    """Passes a response on and records its chunks."""

    def __init__(self, *, sink: ResponseSink, progress: Progress) -> None:
        self._sink = sink
        self._progress = progress
        self._is_event_stream = False
        #: Whether the response is a failure by its status.
        self.is_failure = False

    @property
    def started(self) -> bool:
        """Whether the head of the response was passed on."""
        return self._sink.started

    async def start(self, head: ResponseHead) -> None:
        """Pass the head on."""
        self.is_failure = head.status >= MIN_FAILURE_STATUS
        self._is_event_stream = any(
            key == "content-type" and value.startswith("text/event-stream")
            for key, value in head.headers
        )
        await self._sink.start(head)

    async def write(self, data: bytes) -> None:
        """Record a chunk of the body and pass it on."""
        self._progress.record_chunk(streamed=self._is_event_stream)
        await self._sink.write(data)

    async def finish(self) -> None:
        """Pass the end on."""
        await self._sink.finish()
