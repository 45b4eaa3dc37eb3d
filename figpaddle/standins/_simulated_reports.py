"""Simulated load reports and cache events that may be late, lost or outdated."""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Iterator

from figpaddle.standins._simulated_engine import SimulatedEngine
from figpaddle.standins._simulated_instance import SimulatedInstance
from figpaddle.standins._simulation_settings import SimulationSettings
from figpaddle.wire import BackendInfo

#: Lower and upper bound of the age of a load report when it arrives.
REPORT_DELAY_RANGE_S = (0.2, 0.8)
#: Number of the priority class that is served last.
LOWEST_PRIORITY = 9
#: Probability that the cache events of a report are lost.
CACHE_EVENT_LOSS_PROBABILITY = 0.1
#: Probability that a report is lost during a ``reports missing`` fault.
REPORT_LOSS_PROBABILITY = 0.6


class ReportSimulator:
    """Creates the reports of all engines and yields their arrival at each instance.

    During a ``reports missing`` fault, about half of the engines also repeat their previous load
    instead of the current one.
    """

    def __init__(
        self,
        *,
        settings: SimulationSettings,
        instances: dict[str, list[SimulatedInstance]],
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._instances = instances
        self._rng = rng
        self._incarnations: collections.Counter[str] = collections.Counter()
        self._sequences: collections.Counter[str] = collections.Counter()
        self._cache_sequences: collections.Counter[str] = collections.Counter()
        self._last_reports: dict[str, BackendInfo] = {}

    def note_restart(self, name: str) -> None:
        """Start a new incarnation of an engine."""
        self._incarnations[name] += 1

    def report(
        self, engine: SimulatedEngine, *, now: float
    ) -> Iterator[tuple[float, SimulatedInstance, BackendInfo]]:
        """Yield the arrival time, the receiver and the content of the current report of ``engine``."""
        is_lossy = self._settings.has_fault("reports missing", engine.name, now=now)
        info = self._make_report(
            engine, repeat_previous=is_lossy and sum(engine.name.encode()) % 2 == 1
        )
        for instance in self._instances[engine.region]:
            if is_lossy and self._rng.random() < REPORT_LOSS_PROBABILITY:
                continue
            delivered = info
            if self._rng.random() < CACHE_EVENT_LOSS_PROBABILITY:
                delivered = dataclasses.replace(
                    info, cache_sequence=self._cache_sequences[engine.name], cache_events=()
                )
            delay_s = self._rng.uniform(*REPORT_DELAY_RANGE_S) if now >= 1.0 else 0.0
            yield now + delay_s, instance, delivered

    def _make_report(self, engine: SimulatedEngine, *, repeat_previous: bool) -> BackendInfo:
        name = engine.name
        events = tuple(engine.cache_events)
        engine.cache_events.clear()
        self._sequences[name] += 1
        info = BackendInfo(
            name=name,
            address="",
            region=engine.region,
            zone="",
            services=(self._settings.traffic.service,),
            incarnation=self._incarnations[name],
            sequence=self._sequences[name],
            slots=engine.speed.slots,
            running=engine.running,
            waiting=engine.waiting,
            waiting_first=engine.waiting_highest_priority,
            prefill_tokens=engine.prefill_tokens(priority=LOWEST_PRIORITY),
            prefill_tokens_first=engine.prefill_tokens(priority=0),
            cache_sequence=self._cache_sequences[name],
            cache_events=events,
        )
        self._cache_sequences[name] += len(events)
        previous = self._last_reports.get(name)
        if repeat_previous and previous is not None:
            return dataclasses.replace(previous, sequence=info.sequence, cache_events=())
        self._last_reports[name] = info
        return info
