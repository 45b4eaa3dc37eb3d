"""Placement and admission of requests with what the process knows at the moment."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._regions import RegionView
from figpaddle.daemon._request_response import RequestHead, ResponseHead, ResponseSink
from figpaddle.deployment import PolicyWeights
from figpaddle.routing import (
    Admission,
    BackendTable,
    Demand,
    Finished,
    FirstToken,
    Options,
    Placement,
    PlacementPolicy,
    Reported,
    Sent,
)
from figpaddle.wire import BackendInfo, InstanceState

#: Requests for each slot that a service without backend servers in the own region may have in
#: another region; its deadline limits them first.
UNLIMITED_REQUESTS_PER_SLOT = 1_000_000


class Placer:
    """Chooses where a request is served, and lets policy and admission learn from it."""

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
        self, head: RequestHead, allowed: tuple[str, ...], tried: set[str]
    ) -> Placement | None:
        """Return the admitted choice, or None; raises OverloadedError."""
        now = self._clock()
        demand = self._demand(head, now)
        forwarded = head.crossings > 0
        has_no_local_backend = not self._backends.ever_offered(head.service_key)
        local_only = forwarded or not self._configuration.allows_cross_region(now)
        member = self._configuration.current.member(head.member)
        options = Options(
            backends=tuple(
                known
                for known in self._backends.candidates(head.service_key, now=now)
                if known.info.name not in tried
            ),
            regions=tuple(
                (
                    dataclasses.replace(option, room=option.slots * UNLIMITED_REQUESTS_PER_SLOT)
                    if has_no_local_backend
                    else option
                )
                for option in self._regions.options(head.service_key, allowed, now=now)
                if not local_only and option.region not in tried
            ),
            weights=member.weights if member is not None else PolicyWeights(),
            deciders=self._serving_instances(),
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
        """Note that a request goes to its target and return where its progress is told."""
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
        """Give back an admitted choice that is not carried out."""
        demand = self._demand(head, self._clock())
        if placement.expected_s is not None:
            self._admission.failed(demand, target=placement.target)

    def record_announcement(self, info: BackendInfo) -> None:
        """Take in an announcement."""
        self._policy.observe(Reported(info=info), now=self._clock())

    def _serving_instances(self) -> int:
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
    """The progress of one request at its target."""

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
        """Note a piece of the answer; a streamed one counts as a token."""
        now = self._clock()
        if not self._response_started:
            self._response_started = True
            self._admission.served(
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
        """Note the end of the request, with or without an answer."""
        if not self._response_started:
            self._admission.failed(self._demand, target=self._placement.target)
        self._policy.observe(
            Finished(demand=self._demand, target=self._placement.target, tokens=self._tokens),
            now=self._clock(),
        )


class ProgressSink(ResponseSink):
    """Tells the pieces of an answer as they pass."""

    def __init__(self, *, sink: ResponseSink, progress: Progress) -> None:
        self._sink = sink
        self._progress = progress
        self._is_event_stream = False

    @property
    def started(self) -> bool:
        """Whether the head of the answer has been sent."""
        return self._sink.started

    async def start(self, head: ResponseHead) -> None:
        """Send the head of the answer."""
        self._is_event_stream = any(
            key == "content-type" and value.startswith("text/event-stream")
            for key, value in head.headers
        )
        await self._sink.start(head)

    async def write(self, data: bytes) -> None:
        """Send a piece of the answer's body."""
        self._progress.record_chunk(streamed=self._is_event_stream)
        await self._sink.write(data)

    async def finish(self) -> None:
        """Send the end mark."""
        await self._sink.finish()
