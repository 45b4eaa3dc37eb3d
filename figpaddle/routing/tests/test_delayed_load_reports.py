"""Placement in large regions whose entries know each other's load only from delayed reports."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import pytest

from figpaddle.routing import (
    REMOTE_REPORT_DELAY_S,
    BackendLoadTracker,
    Candidate,
    Choice,
    Demand,
    FleetBackend,
    RemoteRegion,
    SlidingCount,
    choose,
    summarize_load,
)
from figpaddle.wire import BackendRecord, BackendState

ENTRIES = 28
#: Report intervals within a region and to the other region, seconds.
PEER_REPORT_INTERVAL_S, REGION_REPORT_INTERVAL_S = 0.5, 1.0
#: Round-trip time between the regions, seconds.
ROUND_TRIP_S = 0.17
#: Prefill rate of an engine while it also decodes, prompt tokens per second.
PREFILL_TOKENS_PER_S = 73_000.0
#: Time to the first token without queueing and prefill, seconds.
BASE_FIRST_TOKEN_S = 0.06
#: Kinds of request: share, prompt tokens, output tokens, decoding time in seconds, target in
#: seconds.
REQUEST_KINDS = (
    (0.25, 12_000, 380, 3.8, 1.0),
    (0.30, 826, 290, 2.9, 0.6),
    (0.45, 2_368, 20, 0.2, 0.6),
)
#: Length of a simulation, seconds; requests during the warm-up aren't evaluated.
SIMULATION_S, WARM_UP_S = 8.0, 2.0

PlacementFunction = Callable[
    [Demand, list[Candidate], list[RemoteRegion], random.Random, float], Choice | None
]


def place_by_score(
    demand: Demand,
    engines: list[Candidate],
    remote_regions: list[RemoteRegion],
    rng: random.Random,
    now: float,
) -> Choice | None:
    return choose(demand, engines, remote_regions, rng=rng, now=now, entries=ENTRIES)


def place_at_random(
    demand: Demand,
    engines: list[Candidate],
    remote_regions: list[RemoteRegion],
    rng: random.Random,
    now: float,
) -> Choice | None:
    return choose(demand, [rng.choice(engines)], [], rng=rng, now=now)


def backend_server(number: int) -> FleetBackend:
    record = BackendRecord(
        name=f"i-{number}",
        born=1,
        sequence=1,
        service="s",
        address=f"10.0.0.{number}:80",
        zone="z",
        state=BackendState.SERVING,
        slots=32,
        warmup_s=0.0,
        age_s=0.0,
    )
    return FleetBackend(record=record, reported_at=0.0)


class Region:
    """The engines of a region and their load as tracked by each entry."""

    def __init__(self, *, engines: int) -> None:
        self.backends = [backend_server(number) for number in range(engines)]
        self.trackers_by_entry = [
            [BackendLoadTracker(now=0.0) for _ in self.backends] for _ in range(ENTRIES)
        ]
        self.candidates_by_entry = [
            [
                Candidate(backend=backend, tracker=tracker, slots=32, memory_tokens=526_513)
                for backend, tracker in zip(self.backends, trackers, strict=True)
            ]
            for trackers in self.trackers_by_entry
        ]
        self.free_at = [0.0] * engines

    def start_request(
        self, entry: int, choice: Choice, demand: Demand, key: str, now: float
    ) -> float:
        """Start a request; return the time of its first token."""
        number = next(i for i, backend in enumerate(self.backends) if backend is choice.backend)
        self.trackers_by_entry[entry][number].note_sent(
            key,
            demand,
            prefill=demand.prompt_tokens,
            memory=demand.prompt_tokens + demand.output_tokens,
            expected_s=choice.expected_s,
            now=now,
        )
        started_at = max(now, self.free_at[number])
        self.free_at[number] = started_at + demand.prompt_tokens / PREFILL_TOKENS_PER_S
        return self.free_at[number] + BASE_FIRST_TOKEN_S

    def tracker_of(self, entry: int, choice: Choice) -> BackendLoadTracker:
        return self.trackers_by_entry[entry][self.backends.index(choice.backend)]  # type: ignore[arg-type]

    def report_load(self, entry: int, now: float) -> None:
        """Report the load of one entry to the other entries."""
        for number, tracker in enumerate(self.trackers_by_entry[entry]):
            for other in range(ENTRIES):
                if other != entry:
                    self.trackers_by_entry[other][number].note_peer_load(
                        str(entry), tracker.local_load, now=now
                    )


class Simulation:
    """Simulates Poisson arrivals in one or two regions.

    ``loads`` are the arrival rates of the regions as multiples of their prefill capacity.
    """

    def __init__(
        self, *, place: PlacementFunction, engines: int, loads: tuple[float, ...], seed: int
    ) -> None:
        self._place = place
        self._rng = random.Random(seed)
        self._regions = [Region(engines=engines) for _ in loads]
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, str, Any]] = []
        self._forwarded_counts = [
            SlidingCount(window_s=REMOTE_REPORT_DELAY_S) for _ in range(ENTRIES)
        ]
        self._remote_load = summarize_load([], priority=0, now=0.0)
        self._on_time: list[list[bool]] = [[] for _ in loads]
        mean_tokens = sum(share * tokens for share, tokens, *_ in REQUEST_KINDS)
        for region, load in enumerate(loads):
            now = 0.0
            while now < SIMULATION_S:
                now += self._rng.expovariate(load * engines * PREFILL_TOKENS_PER_S / mean_tokens)
                self._schedule(now, "request", region)
            for entry in range(ENTRIES):
                self._schedule_periodic(PEER_REPORT_INTERVAL_S, "peer_report", (region, entry))
        for entry in range(ENTRIES):
            self._schedule_periodic(REGION_REPORT_INTERVAL_S, "region_report", entry)

    def on_time_fractions(self) -> list[float]:
        """Run all events; return the fraction of each region's requests that is on time."""
        while self._events:
            now, number, kind, payload = heapq.heappop(self._events)
            getattr(self, f"_{kind}")(payload, number, now)
        return [sum(outcomes) / len(outcomes) for outcomes in self._on_time]

    def _schedule(self, time: float, kind: str, payload: Any) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), kind, payload))

    def _schedule_periodic(self, interval_s: float, kind: str, payload: Any) -> None:
        first = self._rng.uniform(0.0, interval_s)
        for number in range(int(SIMULATION_S / interval_s)):
            self._schedule(first + number * interval_s, kind, payload)

    def _request(self, region: int, number: int, now: float) -> None:
        entry = self._rng.randrange(ENTRIES)
        kind = self._rng.choices(REQUEST_KINDS, [kind[0] for kind in REQUEST_KINDS])[0]
        demand = Demand(
            request_id="",
            member="",
            service="s",
            priority=0,
            deadline_s=9.0,
            prompt_tokens=kind[1],
            output_tokens=kind[2],
            streamed=True,
        )
        choice = self._place(
            demand,
            self._regions[region].candidates_by_entry[entry],
            self._remote_regions(region, entry, now),
            self._rng,
            now,
        )
        assert choice is not None
        if choice.backend is None:
            self._forwarded_counts[entry].add(now=now)
            self._schedule(now + ROUND_TRIP_S / 2, "forwarded_request", (demand, kind, now))
        else:
            first_at = self._start_request(region, entry, choice, demand, kind, str(number), now)
            self._record_outcome(region, now, first_at, kind)

    def _remote_regions(self, region: int, entry: int, now: float) -> list[RemoteRegion]:
        if region != 0 or len(self._regions) == 1:
            return []
        return [
            RemoteRegion(
                region="other",
                expected_s=self._remote_load.expected_s,
                room=self._remote_load.room,
                backends=len(self._regions[1].backends),
                round_trip_s=ROUND_TRIP_S,
                recently_sent=self._forwarded_counts[entry].total(now=now),
            )
        ]

    def _forwarded_request(self, payload: Any, number: int, now: float) -> None:
        demand, kind, asked_at = payload
        entry = self._rng.randrange(ENTRIES)
        choice = self._place(
            demand, self._regions[1].candidates_by_entry[entry], [], self._rng, now
        )
        assert choice is not None
        first_at = self._start_request(1, entry, choice, demand, kind, str(number), now)
        self._record_outcome(0, asked_at, first_at + ROUND_TRIP_S / 2, kind)

    def _start_request(
        self,
        region: int,
        entry: int,
        choice: Choice,
        demand: Demand,
        kind: tuple[float, ...],
        key: str,
        now: float,
    ) -> float:
        first_at = self._regions[region].start_request(entry, choice, demand, key, now)
        tracker = self._regions[region].tracker_of(entry, choice)
        self._schedule(first_at, "first_token", (tracker, key))
        self._schedule(first_at + kind[3], "end", (tracker, key))
        return first_at

    def _record_outcome(self, region: int, asked_at: float, first_at: float, kind: Any) -> None:
        if asked_at > WARM_UP_S:
            self._on_time[region].append(first_at - asked_at <= kind[4])

    def _first_token(self, payload: Any, number: int, now: float) -> None:
        tracker, key = payload
        tracker.note_first_byte(key, now=now)

    def _end(self, payload: Any, number: int, now: float) -> None:
        tracker, key = payload
        tracker.note_ended(key, failed=False, now=now)

    def _peer_report(self, payload: Any, number: int, now: float) -> None:
        region, entry = payload
        self._regions[region].report_load(entry, now)

    def _region_report(self, entry: int, number: int, now: float) -> None:
        self._remote_load = summarize_load(
            self._regions[-1].candidates_by_entry[entry], priority=0, now=now
        )


@pytest.mark.parametrize("seed", [1, 2])
def test_a_busy_region_responds_in_time_despite_delayed_load_reports(seed: int) -> None:
    def on_time_fraction(place: PlacementFunction) -> float:
        return Simulation(place=place, engines=15, loads=(0.85,), seed=seed).on_time_fractions()[0]

    assert on_time_fraction(place_by_score) > on_time_fraction(place_at_random)
    assert on_time_fraction(place_by_score) >= 0.9


@pytest.mark.parametrize("seed", [1, 2])
def test_an_overloaded_region_uses_the_engines_of_a_quiet_one(seed: int) -> None:
    """One region gets 1.3 times its prefill capacity, the other 0.3: together 80 % utilization."""
    busy_fraction, quiet_fraction = Simulation(
        place=place_by_score, engines=10, loads=(1.3, 0.3), seed=seed
    ).on_time_fractions()
    assert busy_fraction >= 0.8
    assert quiet_fraction >= 0.9
