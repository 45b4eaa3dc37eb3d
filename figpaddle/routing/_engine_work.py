"""What is going on at one backend server, as an entry knows it."""

from __future__ import annotations

import dataclasses

from figpaddle.routing._cache_belief import CacheBelief
from figpaddle.routing._demand import Demand

#: Age at which another entry's report of its work counts no more, seconds: a few heartbeats.
WORK_TRUST_S = 2.0
#: Interval at which reports are looked through for old ones, seconds; well under their trust.
WORK_CHECK_S = 0.2
#: Age at which the load that a backend server reported itself counts no more, seconds.
LOAD_TRUST_S = 0.6
#: Prompt tokens that an engine reads in a second while it generates, before any sample.
PREFILL_TOKENS_PER_S = 80_000.0
#: Time to the first token without any queue, before any sample, seconds.
FIRST_TOKEN_S = 0.06
#: Time for which a plain request holds its slot, before any sample, seconds.
HOLD_S = 0.05
#: Time for which a stream holds its slot, before any sample, seconds.
STREAM_S = 2.0
#: Weight of one new sample in a moving average.
SAMPLE_WEIGHT = 0.08
#: Most that one sample counts, as a multiple of what was expected.
MAX_SLOWNESS = 8.0
#: Time in which measured slowness is half forgotten without new samples, seconds.
SLOWNESS_HALF_LIFE_S = 4.0
#: Time in which requests that ended, and those of them that failed, are half forgotten, seconds.
ENDED_HALF_LIFE_S = 3.0
#: Requests without a failure that are supposed before any has ended, so that the first failure of
#: an engine that gets few requests doesn't count as all of them.
SUPPOSED_SOUND = 3.0
#: Wait that is longer than expected by this counts as a sign of slowness at once, seconds.
OVERDUE_S = 0.5


@dataclasses.dataclass(kw_only=True, slots=True)
class _Own:
    priority: int
    prefill: float
    memory: int
    sent_at: float
    expected_s: float
    streamed: bool
    first_at: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OthersWork:
    """Work of the other entries at one backend server."""

    requests: int = 0
    memory: int = 0
    prefill: int = 0


class EngineWork:
    """Own requests, the other entries' reports and measured speed of one backend server."""

    def __init__(self, *, now: float) -> None:
        self.belief = CacheBelief()
        self._own: dict[str, _Own] = {}
        self._others: dict[str, tuple[OthersWork, float]] = {}
        # Sums over the other entries' reports: a placement asks every engine for them.
        self._others_requests = 0
        self._others_memory = 0
        self._others_prefill = 0
        self._others_checked_at = now
        self._reported: tuple[int, float] | None = None
        self._slowness = 1.0
        self._slowness_at = now
        self._hold_s = HOLD_S
        self._stream_s = STREAM_S
        self._ended = 0.0
        self._failed = 0.0
        self._ended_at = now

    @property
    def own_requests(self) -> int:
        """Own requests in progress."""
        return len(self._own)

    @property
    def own_memory(self) -> int:
        """Memory of own requests, tokens."""
        return sum(own.memory for own in self._own.values())

    @property
    def own_prefill(self) -> int:
        """Prompt tokens of own requests that wait for their first token."""
        return int(sum(own.prefill for own in self._own.values() if own.first_at is None))

    @property
    def hold_s(self) -> float:
        """Mean time for which a plain request holds its slot, seconds."""
        return self._hold_s

    @property
    def stream_s(self) -> float:
        """Mean time for which a stream holds its slot, seconds."""
        return self._stream_s

    def note_others(self, entry: str, work: OthersWork, *, now: float) -> None:
        """Take in what another entry has in progress here."""
        known = self._others.get(entry)
        if known is not None:
            self._add_others(known[0], -1)
        self._others[entry] = (work, now)
        self._add_others(work, 1)

    def note_reported(self, requests: int, *, now: float) -> None:
        """Take in what the backend server itself says it has in progress."""
        self._reported = (requests, now)

    def requests(self, *, now: float) -> int:
        """Return the requests believed to be in progress, of all entries."""
        self._forget_others(now)
        believed = len(self._own) + self._others_requests
        if self._reported is not None and now - self._reported[1] <= LOAD_TRUST_S:
            return max(believed, self._reported[0])
        return believed

    def memory(self, *, now: float) -> int:
        """Return the memory that all requests take, tokens."""
        self._forget_others(now)
        return self.own_memory + self._others_memory

    def prefill_ahead(self, priority: int, *, now: float) -> float:
        """Return the prompt tokens that are read before those of a new request."""
        own = sum(
            one.prefill
            for one in self._own.values()
            if one.first_at is None and one.priority <= priority
        )
        self._forget_others(now)
        return own + self._others_prefill

    def sent(
        self,
        key: str,
        demand: Demand,
        *,
        prefill: float,
        memory: int,
        expected_s: float,
        now: float,
    ) -> None:
        """Count a request that is being sent."""
        self._own[key] = _Own(
            priority=demand.priority,
            prefill=prefill,
            memory=memory,
            sent_at=now,
            expected_s=expected_s,
            streamed=demand.streamed,
        )
        self.belief.assume(demand.prefixes, now=now)

    def answered(self, key: str, *, now: float) -> float | None:
        """Note the first byte of an answer; return the time that it took, seconds."""
        own = self._own.get(key)
        if own is None or own.first_at is not None:
            return None
        own.first_at = now
        took_s = now - own.sent_at
        usual_s = max(FIRST_TOKEN_S, own.expected_s)
        self._take_slowness(min(MAX_SLOWNESS, took_s / usual_s), now)
        return took_s

    def ended(self, key: str, *, failed: bool, now: float) -> None:
        """Note the end of a request."""
        own = self._own.pop(key, None)
        if own is None:
            return
        kept = self._kept(now)
        self._ended = self._ended * kept + 1.0
        self._failed = self._failed * kept + failed
        self._ended_at = now
        if failed:
            return
        if own.streamed:
            self._stream_s += (now - own.sent_at - self._stream_s) * SAMPLE_WEIGHT
        else:
            self._hold_s += (now - own.sent_at - self._hold_s) * SAMPLE_WEIGHT

    def slowness(self, *, now: float) -> float:
        """Return how many times as long as expected answers take here, at least 1."""
        overdue = 1.0
        for own in self._own.values():
            if own.first_at is None:
                late_s = now - own.sent_at - own.expected_s
                if late_s > OVERDUE_S:
                    overdue = max(overdue, 1.0 + late_s / OVERDUE_S)
        kept = 0.5 ** ((now - self._slowness_at) / SLOWNESS_HALF_LIFE_S)
        return float(max(overdue, 1.0 + max(0.0, self._slowness - 1.0) * kept))

    def failing(self, *, now: float) -> float:
        """Return the part of the recent requests that failed, fading with time.

        A part and not a number: a service that fails a few of its requests by itself does so at
        each of its backend servers, and the busier one is no worse for that.
        """
        kept = self._kept(now)
        return float(self._failed * kept / (self._ended * kept + SUPPOSED_SOUND))

    def _take_slowness(self, sample: float, now: float) -> None:
        kept = 0.5 ** ((now - self._slowness_at) / SLOWNESS_HALF_LIFE_S)
        present = 1.0 + (self._slowness - 1.0) * kept
        self._slowness = present + (sample - present) * SAMPLE_WEIGHT
        self._slowness_at = now

    def _kept(self, now: float) -> float:
        return float(0.5 ** ((now - self._ended_at) / ENDED_HALF_LIFE_S))

    def _add_others(self, work: OthersWork, sign: int) -> None:
        self._others_requests += sign * work.requests
        self._others_memory += sign * work.memory
        self._others_prefill += sign * work.prefill

    def _forget_others(self, now: float) -> None:
        """Drop reports that are too old, from time to time."""
        if now - self._others_checked_at < WORK_CHECK_S:
            return
        self._others_checked_at = now
        for entry, (work, at) in list(self._others.items()):
            if now - at > WORK_TRUST_S:
                del self._others[entry]
                self._add_others(work, -1)
