"""Discrete-event simulation of placement and admission with simulated engines and links."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from figpaddle.errors import OverloadedError
from figpaddle.routing import Admission, PlacementOptions, RegionOption
from figpaddle.standins._oracle_placement import OraclePlacement
from figpaddle.standins._simulated_engine import Job, SimulatedEngine
from figpaddle.standins._simulated_instance import SimulatedInstance, SimulatedRequest
from figpaddle.standins._simulated_links import SimulatedLinks
from figpaddle.standins._simulated_reports import ReportSimulator
from figpaddle.standins._simulation_settings import (
    RequestResult,
    SimulatedFault,
    SimulationSettings,
)
from figpaddle.standins._traffic import Arrival, Traffic
from figpaddle.wire import BackendInfo, ServiceSummary

#: Interval of load reports and region summaries.
REPORT_INTERVAL_S = 1.0
#: Largest number of attempts for one request, including the first.
MAX_ATTEMPTS = 3
#: Time for in-flight requests to finish after the last arrival.
DRAIN_S = 120.0
#: Cost of forwarding a request to another region, in seconds of engine time.
CROSS_REGION_COST_S = 0.05


class Simulation:
    """Runs one member's traffic through simulated instances and engines under a virtual clock."""

    def __init__(self, *, settings: SimulationSettings) -> None:
        self._settings = settings
        self._rng = random.Random(f"run/{settings.seed}")
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence_numbers = itertools.count()
        self._now = 0.0
        self._engines = {
            f"{region}-e{number}": SimulatedEngine(
                name=f"{region}-e{number}", region=region, speed=settings.speed
            )
            for region, count in settings.engines.items()
            for number in range(count)
        }
        self._instances = {
            region: [
                self._create_instance(region, number)
                for number in range(settings.instances_per_region)
            ]
            for region in settings.engines
        }
        self._oracle = OraclePlacement(engines=tuple(self._engines.values()))
        self._links = SimulatedLinks(settings=settings)
        self._failed_engines: set[str] = set()
        self._reporter = ReportSimulator(
            settings=settings, instances=self._instances, rng=self._rng
        )
        self._engine_due_at = dict.fromkeys(self._engines, 0.0)
        self._open_requests: dict[str, SimulatedRequest] = {}
        self._results: list[RequestResult] = []

    def run(self) -> list[RequestResult]:
        """Run the simulation and return the result of each request."""
        settings = self._settings
        for index, name in enumerate(self._engines):
            self._schedule(index * REPORT_INTERVAL_S / len(self._engines), self._send_reports, name)
        for region in settings.engines:
            self._schedule(1e-3, self._send_summaries, region)
        for fault in settings.faults:
            self._schedule(fault.starts_at, self._start_fault, fault)
            self._schedule(fault.ends_at, self._end_fault, fault)
        traffic = Traffic(
            profile=settings.traffic,
            rate_per_s=settings.rate_per_s,
            seed=settings.seed,
            hot_session_fraction=settings.hot_session_fraction,
        )
        hot_starts_at = settings.duration_s / 2
        for arrival in traffic.arrivals(until=settings.duration_s, hot_starts_at=hot_starts_at):
            self._advance_to(arrival.arrived_at)
            self._handle_arrival(arrival)
        self._advance_to(settings.duration_s + DRAIN_S)
        return self._results

    def _create_instance(self, region: str, number: int) -> SimulatedInstance:
        seed = f"{region}/{number}/{self._settings.seed}"
        factory = self._settings.policy
        policy = factory(random.Random(seed)) if factory is not None else None
        admission = Admission(rng=random.Random(f"admission/{seed}"))
        return SimulatedInstance(region=region, policy=policy, admission=admission)

    def _schedule(self, time: float, action: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (time, next(self._sequence_numbers), action, arguments))

    def _advance_to(self, time: float) -> None:
        while self._events and self._events[0][0] <= time:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self._now = time

    # Requests

    def _handle_arrival(self, arrival: Arrival) -> None:
        request = SimulatedRequest(arrival=arrival, caller_region=arrival.region)
        instances = self._instances[arrival.region]
        request.entry_instance = instances[arrival.caller_number % len(instances)]
        self._open_requests[arrival.demand.request_id] = request
        self._schedule(
            arrival.arrived_at + arrival.demand.deadline_s, self._handle_deadline, request
        )
        self._place(request, allow_remote=True)

    def _place(self, request: SimulatedRequest, *, allow_remote: bool) -> None:
        request.attempts += 1
        if request.ended or request.attempts > MAX_ATTEMPTS:
            self._finish(request, "refused")
            return
        if self._settings.policy is None:
            self._place_by_oracle(request)
            return
        instance = request.entry_instance
        demand = request.remaining_demand(now=self._now)
        options = self._placement_options(
            instance, demand.service, excluded=request.failed_targets, allow_remote=allow_remote
        )
        try:
            placement = instance.place(demand, options, now=self._now)
        except OverloadedError:
            self._finish(request, "refused")
            return
        if placement is None:
            self._finish(request, "refused")
        elif placement.backend is not None:
            instance.note_sent(request, placement, now=self._now)
            self._submit_to_engine(request, placement.backend.info.name, instance)
        elif placement.region is not None:
            instance.note_sent(request, placement, now=self._now)
            self._forward(request, placement.region)

    def _placement_options(
        self, instance: SimulatedInstance, service: str, *, excluded: set[str], allow_remote: bool
    ) -> PlacementOptions:
        candidates = instance.table.candidates(service, now=self._now)
        settings = self._settings
        return PlacementOptions(
            backends=tuple(
                candidate for candidate in candidates if candidate.info.name not in excluded
            ),
            regions=tuple(
                RegionOption(
                    region=region,
                    backends=summary.backends,
                    slots=summary.slots,
                    load=summary.load,
                    room=summary.room,
                    received_at=received_at,
                    round_trip_s=2 * settings.one_way_s,
                    bytes_per_s=self._links.bytes_per_s,
                )
                for region, (received_at, summary) in instance.region_summaries.items()
                if allow_remote and self._now - received_at < 6.0 and region not in excluded
            ),
            weights=settings.weights,
            placing_instances=settings.instances_per_region,
        )

    def _place_by_oracle(self, request: SimulatedRequest) -> None:
        settings = self._settings
        demand = request.remaining_demand(now=self._now)
        link_delay_s = 2 * settings.one_way_s
        link_delay_s += demand.body_bytes / self._links.bytes_per_s
        candidates = [
            engine
            for engine in self._engines.values()
            if engine.name not in self._failed_engines
            and not self._links.is_partitioned(request.caller_region, engine.region, now=self._now)
        ]
        chosen = self._oracle.choose(
            demand,
            candidates,
            region=request.caller_region,
            link_delay_s=link_delay_s,
            weights=settings.weights,
            now=self._now,
        )
        if chosen is None:
            self._finish(request, "refused")
            return
        if chosen.region == request.caller_region:
            self._submit_to_engine(request, chosen.name, None)
            return
        request.is_remote = True
        arrives_at = self._links.send(
            request.caller_region, chosen.region, demand.body_bytes, now=self._now
        )
        self._schedule(arrives_at, self._submit_to_engine, request, chosen.name, None)

    def _forward(self, request: SimulatedRequest, region: str) -> None:
        if self._links.is_partitioned(request.caller_region, region, now=self._now):
            return
        request.is_remote = True
        arrives_at = self._links.send(
            request.caller_region, region, request.arrival.demand.body_bytes, now=self._now
        )
        self._schedule(arrives_at, self._receive_forward, request, region)

    def _receive_forward(self, request: SimulatedRequest, region: str) -> None:
        if request.ended or self._links.is_partitioned(
            request.caller_region, region, now=self._now
        ):
            return
        instance = self._rng.choice(self._instances[region])
        demand = dataclasses.replace(request.remaining_demand(now=self._now), forwarded=True)
        options = self._placement_options(
            instance, demand.service, excluded=set(), allow_remote=False
        )
        try:
            placement = instance.place(demand, options, now=self._now)
        except OverloadedError:
            placement = None
        if placement is None or placement.backend is None:
            self._schedule(
                self._now + self._settings.one_way_s, self._handle_forward_failure, request, region
            )
            return
        instance.note_sent(request, placement, now=self._now)
        self._submit_to_engine(request, placement.backend.info.name, instance)

    def _handle_forward_failure(self, request: SimulatedRequest, region: str) -> None:
        request.entry_instance.note_ended(request, tokens=0, now=self._now)
        request.is_remote = False
        request.failed_targets.add(region)
        self._place(request, allow_remote=False)

    def _submit_to_engine(
        self, request: SimulatedRequest, name: str, instance: SimulatedInstance | None
    ) -> None:
        if request.ended:
            return
        if name in self._failed_engines:
            self._handle_engine_failure(request, name, instance)
            return
        engine = self._engines[name]
        demand = request.arrival.demand
        return_delay_s = self._settings.one_way_s if request.is_remote else 0.0

        def on_first_token(at: float, cached_tokens: int) -> None:
            request.first_token_at = at + return_delay_s
            request.cached_fraction = cached_tokens / demand.prompt_tokens
            request.cost_s = engine.speed.work_s(
                uncached_tokens=demand.prompt_tokens - cached_tokens,
                output_tokens=request.arrival.output_tokens,
            )
            if instance is not None:
                instance.note_first_token(request, now=at)
            if instance is not request.entry_instance:
                self._schedule(at + return_delay_s, self._deliver_remote_first_token, request)

        def on_done(at: float) -> None:
            if instance is not None:
                instance.note_ended(request, tokens=request.arrival.output_tokens, now=at)
            self._schedule(at + return_delay_s, self._handle_response, request)

        job = Job(
            demand=demand,
            output_tokens=request.arrival.output_tokens,
            on_first_token=on_first_token,
            on_done=on_done,
        )
        request.job, request.engine_name, request.serving_instance = job, name, instance
        engine.submit(job, now=self._now)
        self._schedule_engine(engine)

    def _schedule_engine(self, engine: SimulatedEngine) -> None:
        due_at = engine.next_event_at()
        if due_at is not None and self._engine_due_at[engine.name] != due_at:
            self._engine_due_at[engine.name] = due_at
            self._schedule(max(due_at, self._now), self._advance_engine, engine, due_at)

    def _advance_engine(self, engine: SimulatedEngine, due_at: float) -> None:
        if self._engine_due_at[engine.name] == due_at:
            engine.advance(now=max(due_at, self._now) + 1e-9)
            self._engine_due_at[engine.name] = 0.0
            self._schedule_engine(engine)

    def _deliver_remote_first_token(self, request: SimulatedRequest) -> None:
        request.entry_instance.note_first_token(request, now=self._now)

    def _handle_engine_failure(
        self, request: SimulatedRequest, name: str, instance: SimulatedInstance | None
    ) -> None:
        if instance is not None:
            instance.note_ended(request, tokens=0, now=self._now)
        request.failed_targets.add(name)
        request.engine_name = ""
        if request.first_token_at is not None:
            self._finish(request, "late")
        elif instance is request.entry_instance or instance is None:
            self._place(request, allow_remote=True)
        else:
            region = self._engines[name].region
            self._schedule(
                self._now + self._settings.one_way_s, self._handle_forward_failure, request, region
            )

    def _cancel_job(self, request: SimulatedRequest) -> None:
        if request.job is not None and request.engine_name:
            engine = self._engines[request.engine_name]
            engine.cancel(request.job, now=self._now)
            self._schedule_engine(engine)

    def _handle_deadline(self, request: SimulatedRequest) -> None:
        if request.ended or request.first_token_at is not None:
            return
        self._cancel_job(request)
        self._finish(request, "late")

    def _handle_response(self, request: SimulatedRequest) -> None:
        request.entry_instance.note_ended(
            request, tokens=request.arrival.output_tokens, now=self._now
        )
        self._finish(request, "answered")

    def _finish(self, request: SimulatedRequest, outcome: str) -> None:
        if request.ended:
            return
        request.ended = True
        self._open_requests.pop(request.arrival.demand.request_id, None)
        request.entry_instance.note_ended(request, tokens=0, now=self._now)
        if request.serving_instance is not None:
            request.serving_instance.note_ended(request, tokens=0, now=self._now)
        arrival = request.arrival
        is_answered = outcome == "answered" and request.first_token_at is not None
        first_token_at = (
            request.first_token_at if request.first_token_at is not None else arrival.arrived_at
        )
        tokens = max(1, arrival.output_tokens - 1)
        infinity = float("inf")
        result = RequestResult(
            arrived_at=arrival.arrived_at,
            class_name=arrival.request_class.name,
            outcome=outcome,
            first_token_s=first_token_at - arrival.arrived_at if is_answered else infinity,
            token_interval_s=(self._now - first_token_at) / tokens if is_answered else infinity,
            deadline_s=arrival.demand.deadline_s,
            is_remote=request.is_remote,
            nominal_work_s=self._settings.speed.work_s(
                uncached_tokens=arrival.new_tokens, output_tokens=arrival.output_tokens
            ),
            cached_fraction=request.cached_fraction,
            cost_s=request.cost_s + (CROSS_REGION_COST_S if request.is_remote else 0.0),
        )
        self._results.append(result)

    # Reports

    def _send_reports(self, name: str) -> None:
        if name not in self._failed_engines:
            engine = self._engines[name]
            engine.advance(now=self._now)
            self._schedule_engine(engine)
            for arrives_at, instance, info in self._reporter.report(engine, now=self._now):
                self._schedule(arrives_at, self._deliver_report, instance, info)
        self._schedule(self._now + REPORT_INTERVAL_S, self._send_reports, name)

    def _deliver_report(self, instance: SimulatedInstance, info: BackendInfo) -> None:
        instance.note_report(info, now=self._now)

    def _send_summaries(self, region: str) -> None:
        for instance in self._instances[region]:
            instance.table.expire(now=self._now)
        service = self._settings.traffic.service
        summary = self._instances[region][0].table.summary(service, now=self._now)
        for other in self._settings.engines:
            if other != region and not self._links.is_partitioned(region, other, now=self._now):
                arrives_at = self._now + self._settings.one_way_s
                self._schedule(arrives_at, self._deliver_summary, other, region, summary)
        self._schedule(self._now + REPORT_INTERVAL_S, self._send_summaries, region)

    def _deliver_summary(self, region: str, described_region: str, summary: ServiceSummary) -> None:
        for instance in self._instances[region]:
            instance.region_summaries[described_region] = (self._now, summary)

    # Faults

    def _start_fault(self, fault: SimulatedFault) -> None:
        for engine in self._engines.values():
            if fault.kind == "engine slow" and engine.name == fault.target:
                engine.advance(now=self._now)
                engine.slowdown = 10.0
                self._schedule_engine(engine)
            if fault.kind == "region lost" and engine.region == fault.target:
                engine.advance(now=self._now)
                self._failed_engines.add(engine.name)
                engine.crash()
        if fault.kind == "region lost":
            self._retry_failed_requests()

    def _retry_failed_requests(self) -> None:
        failed = [
            request
            for request in self._open_requests.values()
            if request.engine_name in self._failed_engines
        ]
        for request in failed:
            self._handle_engine_failure(request, request.engine_name, request.serving_instance)

    def _end_fault(self, fault: SimulatedFault) -> None:
        for engine in self._engines.values():
            if fault.kind == "engine slow" and engine.name == fault.target:
                engine.advance(now=self._now)
                engine.slowdown = 1.0
                self._schedule_engine(engine)
            if fault.kind == "region lost" and engine.region == fault.target:
                self._failed_engines.discard(engine.name)
                self._reporter.note_restart(engine.name)
                engine.advance(now=self._now)
