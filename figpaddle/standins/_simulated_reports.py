"""Load reports and cache events under a virtual clock: late, with gaps, at times missing."""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Iterator

from figpaddle.standins._simulated_engine import VirtualEngine
from figpaddle.standins._simulated_instance import Decider
from figpaddle.standins._simulation_settings import RunSettings
from figpaddle.wire import BackendInfo

#: Least and most age of a load report when it arrives, seconds.
REPORT_LAG_S = (0.2, 0.8)
#: Last priority class.
LAST_PRIORITY = 9
#: Part of the cache event batches that are lost.
CACHE_GAP_PART = 0.1
#: Part of the reports that are lost while they go missing.
MISSING_PART = 0.6


class Reporter:
    """Makes the reports of all engines, and says when each reaches which instance.

    While reports are missing, every second engine repeats its last load instead of the true one.
    """

    def __init__(
        self, *, settings: RunSettings, deciders: dict[str, list[Decider]], rng: random.Random
    ) -> None:
        self._settings = settings
        self._deciders = deciders
        self._rng = rng
        self._incarnations: collections.Counter[str] = collections.Counter()
        self._sequences: collections.Counter[str] = collections.Counter()
        self._cache_sent: collections.Counter[str] = collections.Counter()
        self._last: dict[str, BackendInfo] = {}

    def restarted(self, name: str) -> None:
        """Note that an engine was started again."""
        self._incarnations[name] += 1

    def report(
        self, engine: VirtualEngine, *, now: float
    ) -> Iterator[tuple[float, Decider, BackendInfo]]:
        """Yield each arrival of the report that ``engine`` makes now."""
        missing = self._settings.is_faulty("reports missing", engine.name, now=now)
        info = self._info(engine, repeats=missing and sum(engine.name.encode()) % 2 == 1)
        for decider in self._deciders[engine.region]:
            if missing and self._rng.random() < MISSING_PART:
                continue
            sent = info
            if self._rng.random() < CACHE_GAP_PART:
                sent = dataclasses.replace(
                    info, cache_sequence=self._cache_sent[engine.name], cache_events=()
                )
            lag_s = self._rng.uniform(*REPORT_LAG_S) if now >= 1.0 else 0.0
            yield now + lag_s, decider, sent

    def _info(self, engine: VirtualEngine, *, repeats: bool) -> BackendInfo:
        name = engine.name
        events = tuple(engine.cache_events)
        engine.cache_events.clear()
        self._sequences[name] += 1
        info = BackendInfo(
            name=name,
            address="",
            region=engine.region,
            zone="",
            services=(self._settings.shape.service,),
            incarnation=self._incarnations[name],
            sequence=self._sequences[name],
            slots=engine.speed.slots,
            running=engine.running,
            waiting=engine.waiting,
            waiting_first=engine.waiting_first,
            prefill_tokens=engine.prefill_tokens(priority=LAST_PRIORITY),
            prefill_tokens_first=engine.prefill_tokens(priority=0),
            cache_sequence=self._cache_sent[name],
            cache_events=events,
        )
        self._cache_sent[name] += len(events)
        last = self._last.get(name)
        if repeats and last is not None:
            return dataclasses.replace(last, sequence=info.sequence, cache_events=())
        self._last[name] = info
        return info
