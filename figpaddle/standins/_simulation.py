"""The decision modules under a virtual clock, between fake engines and links given as numbers."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from figpaddle.errors import OverloadedError
from figpaddle.routing import Admission, Options, RegionOption
from figpaddle.standins._oracle_placement import Oracle
from figpaddle.standins._simulated_engine import Job, VirtualEngine
from figpaddle.standins._simulated_instance import Decider, Trip
from figpaddle.standins._simulated_links import Links
from figpaddle.standins._simulated_reports import Reporter
from figpaddle.standins._simulation_settings import RunFault, RunResult, RunSettings
from figpaddle.standins._traffic import Arrival, Traffic
from figpaddle.wire import BackendInfo, ServiceSummary

#: Interval of load reports and region summaries, seconds.
REPORT_INTERVAL_S = 1.0
#: Most attempts for one request, the first included.
MAX_ATTEMPTS = 3
#: Time after the last arrival in which requests in progress may end, seconds.
TAIL_S = 120.0
#: Cost of a crossing between regions, seconds of an engine.
CROSSING_COST_S = 0.05


class VirtualRun:
    """Runs one member's traffic through the deciders."""

    def __init__(self, *, settings: RunSettings) -> None:
        self._settings = settings
        self._rng = random.Random(f"run/{settings.seed}")
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = itertools.count()
        self._now = 0.0
        self._engines = {
            f"{region}-e{number}": VirtualEngine(
                name=f"{region}-e{number}", region=region, speed=settings.speed
            )
            for region, count in settings.engines.items()
            for number in range(count)
        }
        self._deciders = {
            region: [self._make_decider(region, number) for number in range(settings.deciders)]
            for region in settings.engines
        }
        self._oracle = Oracle(engines=tuple(self._engines.values()))
        self._links = Links(settings=settings)
        self._down: set[str] = set()
        self._reporter = Reporter(settings=settings, deciders=self._deciders, rng=self._rng)
        self._wakes = dict.fromkeys(self._engines, 0.0)
        self._open: dict[str, Trip] = {}
        self._results: list[RunResult] = []

    def run(self) -> list[RunResult]:
        """Return what became of each request."""
        settings = self._settings
        for index, name in enumerate(self._engines):
            self._at(index * REPORT_INTERVAL_S / len(self._engines), self._report_again, name)
        for region in settings.engines:
            self._at(1e-3, self._summarize, region)
        for fault in settings.faults:
            self._at(fault.begins, self._begin_fault, fault)
            self._at(fault.ends, self._end_fault, fault)
        traffic = Traffic(
            shape=settings.shape,
            rate_per_s=settings.rate_per_s,
            seed=settings.seed,
            hot_part=settings.hot_part,
        )
        hot_from = settings.duration_s / 2
        for arrival in traffic.arrivals(until=settings.duration_s, hot_from=hot_from):
            self._run_until(arrival.at)
            self._arrive(arrival)
        self._run_until(settings.duration_s + TAIL_S)
        return self._results

    def _make_decider(self, region: str, number: int) -> Decider:
        seed = f"{region}/{number}/{self._settings.seed}"
        factory = self._settings.policy
        policy = factory(random.Random(seed)) if factory is not None else None
        admission = Admission(rng=random.Random(f"admission/{seed}"))
        return Decider(region=region, policy=policy, admission=admission)

    def _at(self, moment: float, action: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._heap, (moment, next(self._numbers), action, arguments))

    def _run_until(self, moment: float) -> None:
        while self._heap and self._heap[0][0] <= moment:
            self._now, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        self._now = moment

    # Requests

    def _arrive(self, arrival: Arrival) -> None:
        trip = Trip(arrival=arrival, region=arrival.region)
        deciders = self._deciders[arrival.region]
        trip.decider = deciders[arrival.caller % len(deciders)]
        self._open[arrival.demand.request_id] = trip
        self._at(arrival.at + arrival.demand.deadline_s, self._give_up, trip)
        self._place(trip, regions=True)

    def _place(self, trip: Trip, *, regions: bool) -> None:
        trip.attempts += 1
        if trip.ended or trip.attempts > MAX_ATTEMPTS:
            self._end(trip, "refused")
            return
        if self._settings.policy is None:
            self._place_by_oracle(trip)
            return
        decider = trip.decider
        demand = trip.demand(now=self._now)
        options = self._options(decider, demand.service, tried=trip.tried, regions=regions)
        try:
            placement = decider.decide(demand, options, now=self._now)
        except OverloadedError:
            self._end(trip, "refused")
            return
        if placement is None:
            self._end(trip, "refused")
        elif placement.backend is not None:
            decider.sent(trip, placement, now=self._now)
            self._submit(trip, placement.backend.info.name, decider)
        elif placement.region is not None:
            decider.sent(trip, placement, now=self._now)
            self._forward(trip, placement.region)

    def _options(
        self, decider: Decider, service: str, *, tried: set[str], regions: bool
    ) -> Options:
        candidates = decider.table.candidates(service, now=self._now)
        settings = self._settings
        return Options(
            backends=tuple(known for known in candidates if known.info.name not in tried),
            regions=tuple(
                RegionOption(
                    region=region,
                    backends=summary.backends,
                    slots=summary.slots,
                    load=summary.load,
                    room=summary.room,
                    heard_at=heard_at,
                    round_trip_s=2 * settings.one_way_s,
                    bytes_per_s=self._links.bytes_per_s,
                )
                for region, (heard_at, summary) in decider.regions.items()
                if regions and self._now - heard_at < 6.0 and region not in tried
            ),
            weights=settings.weights,
            deciders=settings.deciders,
        )

    def _place_by_oracle(self, trip: Trip) -> None:
        settings = self._settings
        demand = trip.demand(now=self._now)
        link_s = 2 * settings.one_way_s
        link_s += demand.body_bytes / self._links.bytes_per_s
        usable = [
            engine
            for engine in self._engines.values()
            if engine.name not in self._down
            and not self._links.is_cut(trip.region, engine.region, now=self._now)
        ]
        chosen = self._oracle.choose(
            demand,
            usable,
            region=trip.region,
            link_s=link_s,
            weights=settings.weights,
            now=self._now,
        )
        if chosen is None:
            self._end(trip, "refused")
            return
        if chosen.region == trip.region:
            self._submit(trip, chosen.name, None)
            return
        trip.away = True
        arrives = self._links.send(trip.region, chosen.region, demand.body_bytes, now=self._now)
        self._at(arrives, self._submit, trip, chosen.name, None)

    def _forward(self, trip: Trip, region: str) -> None:
        if self._links.is_cut(trip.region, region, now=self._now):
            return
        trip.away = True
        arrives = self._links.send(
            trip.region, region, trip.arrival.demand.body_bytes, now=self._now
        )
        self._at(arrives, self._receive_forward, trip, region)

    def _receive_forward(self, trip: Trip, region: str) -> None:
        if trip.ended or self._links.is_cut(trip.region, region, now=self._now):
            return
        decider = self._rng.choice(self._deciders[region])
        demand = dataclasses.replace(trip.demand(now=self._now), forwarded=True)
        options = self._options(decider, demand.service, tried=set(), regions=False)
        try:
            placement = decider.decide(demand, options, now=self._now)
        except OverloadedError:
            placement = None
        if placement is None or placement.backend is None:
            self._at(self._now + self._settings.one_way_s, self._forward_refused, trip, region)
            return
        decider.sent(trip, placement, now=self._now)
        self._submit(trip, placement.backend.info.name, decider)

    def _forward_refused(self, trip: Trip, region: str) -> None:
        trip.decider.ended(trip, tokens=0, now=self._now)
        trip.away = False
        trip.tried.add(region)
        self._place(trip, regions=False)

    def _submit(self, trip: Trip, name: str, decider: Decider | None) -> None:
        if trip.ended:
            return
        if name in self._down:
            self._lost(trip, name, decider)
            return
        engine = self._engines[name]
        demand = trip.arrival.demand
        back_s = self._settings.one_way_s if trip.away else 0.0

        def on_first(at: float, cached: int) -> None:
            trip.first_at = at + back_s
            trip.cached_part = cached / demand.prompt_tokens
            trip.cost_s = engine.speed.work_s(
                uncached_tokens=demand.prompt_tokens - cached,
                output_tokens=trip.arrival.output_tokens,
            )
            if decider is not None:
                decider.first_token(trip, now=at)
            if decider is not trip.decider:
                self._at(at + back_s, self._first_token_away, trip)

        def on_done(at: float) -> None:
            if decider is not None:
                decider.ended(trip, tokens=trip.arrival.output_tokens, now=at)
            self._at(at + back_s, self._answered, trip)

        job = Job(
            demand=demand,
            output_tokens=trip.arrival.output_tokens,
            on_first=on_first,
            on_done=on_done,
        )
        trip.job, trip.engine, trip.server = job, name, decider
        engine.submit(job, now=self._now)
        self._wake(engine)

    def _wake(self, engine: VirtualEngine) -> None:
        due = engine.next_at()
        if due is not None and self._wakes[engine.name] != due:
            self._wakes[engine.name] = due
            self._at(max(due, self._now), self._advance, engine, due)

    def _advance(self, engine: VirtualEngine, due: float) -> None:
        if self._wakes[engine.name] == due:
            engine.advance(now=max(due, self._now) + 1e-9)
            self._wakes[engine.name] = 0.0
            self._wake(engine)

    def _first_token_away(self, trip: Trip) -> None:
        trip.decider.first_token(trip, now=self._now)

    def _lost(self, trip: Trip, name: str, decider: Decider | None) -> None:
        if decider is not None:
            decider.ended(trip, tokens=0, now=self._now)
        trip.tried.add(name)
        trip.engine = ""
        if trip.first_at is not None:
            self._end(trip, "late")
        elif decider is trip.decider or decider is None:
            self._place(trip, regions=True)
        else:
            region = self._engines[name].region
            self._at(self._now + self._settings.one_way_s, self._forward_refused, trip, region)

    def _cancel(self, trip: Trip) -> None:
        if trip.job is not None and trip.engine:
            engine = self._engines[trip.engine]
            engine.cancel(trip.job, now=self._now)
            self._wake(engine)

    def _give_up(self, trip: Trip) -> None:
        if trip.ended or trip.first_at is not None:
            return
        self._cancel(trip)
        self._end(trip, "late")

    def _answered(self, trip: Trip) -> None:
        trip.decider.ended(trip, tokens=trip.arrival.output_tokens, now=self._now)
        self._end(trip, "answered")

    def _end(self, trip: Trip, outcome: str) -> None:
        if trip.ended:
            return
        trip.ended = True
        self._open.pop(trip.arrival.demand.request_id, None)
        trip.decider.ended(trip, tokens=0, now=self._now)
        if trip.server is not None:
            trip.server.ended(trip, tokens=0, now=self._now)
        arrival = trip.arrival
        answered = outcome == "answered" and trip.first_at is not None
        first_at = trip.first_at if trip.first_at is not None else arrival.at
        tokens = max(1, arrival.output_tokens - 1)
        infinite = float("inf")
        result = RunResult(
            at=arrival.at,
            class_name=arrival.shape.name,
            outcome=outcome,
            first_s=first_at - arrival.at if answered else infinite,
            token_s=(self._now - first_at) / tokens if answered else infinite,
            deadline_s=arrival.demand.deadline_s,
            away=trip.away,
            nominal_work_s=self._settings.speed.work_s(
                uncached_tokens=arrival.new_tokens, output_tokens=arrival.output_tokens
            ),
            cached_part=trip.cached_part,
            cost_s=trip.cost_s + (CROSSING_COST_S if trip.away else 0.0),
        )
        self._results.append(result)

    # Reports

    def _report_again(self, name: str) -> None:
        if name not in self._down:
            engine = self._engines[name]
            engine.advance(now=self._now)
            self._wake(engine)
            for arrives, decider, info in self._reporter.report(engine, now=self._now):
                self._at(arrives, self._deliver_report, decider, info)
        self._at(self._now + REPORT_INTERVAL_S, self._report_again, name)

    def _deliver_report(self, decider: Decider, info: BackendInfo) -> None:
        decider.report(info, now=self._now)

    def _summarize(self, region: str) -> None:
        for decider in self._deciders[region]:
            decider.table.expire(now=self._now)
        service = self._settings.shape.service
        summary = self._deciders[region][0].table.summary(service, now=self._now)
        for other in self._settings.engines:
            if other != region and not self._links.is_cut(region, other, now=self._now):
                arrives = self._now + self._settings.one_way_s
                self._at(arrives, self._deliver_summary, other, region, summary)
        self._at(self._now + REPORT_INTERVAL_S, self._summarize, region)

    def _deliver_summary(self, region: str, about: str, summary: ServiceSummary) -> None:
        for decider in self._deciders[region]:
            decider.regions[about] = (self._now, summary)

    # Faults

    def _begin_fault(self, fault: RunFault) -> None:
        for engine in self._engines.values():
            if fault.kind == "engine slow" and engine.name == fault.target:
                engine.advance(now=self._now)
                engine.slow = 10.0
                self._wake(engine)
            if fault.kind == "region lost" and engine.region == fault.target:
                engine.advance(now=self._now)
                self._down.add(engine.name)
                engine.clear()
        if fault.kind == "region lost":
            self._retry_lost()

    def _retry_lost(self) -> None:
        lost = [trip for trip in self._open.values() if trip.engine in self._down]
        for trip in lost:
            self._lost(trip, trip.engine, trip.server)

    def _end_fault(self, fault: RunFault) -> None:
        for engine in self._engines.values():
            if fault.kind == "engine slow" and engine.name == fault.target:
                engine.advance(now=self._now)
                engine.slow = 1.0
                self._wake(engine)
            if fault.kind == "region lost" and engine.region == fault.target:
                self._down.discard(engine.name)
                self._reporter.restarted(engine.name)
                engine.advance(now=self._now)
