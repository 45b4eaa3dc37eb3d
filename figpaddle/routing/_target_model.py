"""State of a backend server or region as measured by one instance on its own requests."""

from __future__ import annotations

import collections
import dataclasses

from figpaddle.routing._demand import Demand
from figpaddle.routing._prefix_cache import PrefixCacheEstimate

#: Age of a load report on arrival, seconds.
REPORT_LAG_S = 0.5
#: How long a load report is used at full weight, seconds.
REPORT_TRUST_S = 3.0
#: Duration of the slow start of a new backend server, seconds.
RAMP_S = 20.0
#: Fraction of its slots that a new backend server gets at first.
RAMP_START_FRACTION = 0.25
#: Half-life of a measured slowdown without new samples, seconds.
SLOWDOWN_HALF_LIFE_S = 10.0
#: Weight of a new sample in a moving average.
SAMPLE_WEIGHT = 0.2
#: Multiple of its expected time after which a request is overdue.
OVERDUE_FACTOR = 3.0
#: Lower bound on the expected time when a request is checked for being overdue, seconds.
MIN_OVERDUE_S = 0.3


@dataclasses.dataclass(kw_only=True, slots=True)
class InFlightRequest:
    """A local request in progress."""

    #: Priority class.
    priority: int
    #: When it was sent, seconds.
    sent_at: float
    #: Expected time to the first token, seconds.
    expected_s: float
    #: Expected prefill time, seconds.
    prefill_s: float
    #: Whether the time to its first token can be measured.
    streamed: bool
    #: When its first token arrived, or None.
    first_at: float | None = None


class TargetModel:
    """Local requests, cache estimate, speed and slow start of one backend server or region."""

    def __init__(self, *, now: float, incarnation: int = 0, skip_slow_start: bool = False) -> None:
        self.cache = PrefixCacheEstimate()
        self._incarnation = incarnation
        self._started_at = now - RAMP_S if skip_slow_start else now
        self._pending: dict[str, InFlightRequest] = {}
        self._ended: collections.deque[float] = collections.deque(maxlen=256)
        self._token_s: float | None = None
        self._token_s_at = now
        # Moving average of the lateness ratio and the time of its last sample, by priority class.
        self._lateness: dict[int, tuple[float, float]] = {}

    @property
    def in_flight(self) -> int:
        """Number of local requests in progress."""
        return len(self._pending)

    @property
    def token_s(self) -> float | None:
        """Moving average of the time between tokens, seconds; None before the first sample."""
        return self._token_s

    def note_incarnation(self, incarnation: int, *, now: float) -> None:
        """Record the announced incarnation; a new one has a cold cache and a slow start."""
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._started_at = now
            self.cache.clear()
            self._token_s = None

    def ramp_fraction(self, *, now: float) -> float:
        """Return the fraction of its slots that may be used, from RAMP_START_FRACTION to 1."""
        return min(1.0, max(RAMP_START_FRACTION, (now - self._started_at) / RAMP_S))

    def sent(self, demand: Demand, *, expected_s: float, prefill_s: float, now: float) -> None:
        """Record a request sent."""
        self._pending[demand.request_id] = InFlightRequest(
            priority=demand.priority,
            sent_at=now,
            expected_s=expected_s,
            prefill_s=prefill_s,
            streamed=demand.streamed,
        )
        self.cache.note_sent(demand.prefixes, now=now)

    def first_token(self, request_id: str, *, now: float) -> InFlightRequest | None:
        """Record the first token of a request; return the request, or None if it is unknown."""
        pending = self._pending.get(request_id)
        if pending is None or pending.first_at is not None:
            return None
        pending.first_at = now
        ratio = (now - pending.sent_at) / max(MIN_OVERDUE_S, pending.expected_s)
        average, sampled_at = self._lateness.get(pending.priority, (1.0, now))
        current = 1.0 + (average - 1.0) * self._decay(sampled_at, now)
        self._lateness[pending.priority] = (current + (ratio - current) * SAMPLE_WEIGHT, now)
        return pending

    def finished(self, request_id: str, *, tokens: int, now: float) -> InFlightRequest | None:
        """Record the end of a request; return the request, or None if it is unknown."""
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return None
        self._ended.append(now)
        if pending.first_at is not None and tokens > 1:
            sample = (now - pending.first_at) / (tokens - 1)
            average = sample if self._token_s is None else self._token_s
            self._token_s = average + (sample - average) * SAMPLE_WEIGHT
            self._token_s_at = now
        return pending

    def sent_since(self, start: float, *, priority: int | None = None) -> int:
        """Return the number of local requests in progress that were sent after ``start``."""
        return sum(
            1
            for pending in self._pending.values()
            if pending.sent_at > start and (priority is None or pending.priority <= priority)
        )

    def ended_since(self, start: float) -> int:
        """Return the number of local requests that ended after ``start``."""
        ended = 0
        for ended_at in reversed(self._ended):
            if ended_at <= start:
                break
            ended += 1
        return ended

    def pending_prefill_s(self, *, priority: int, since: float = float("-inf")) -> float:
        """Return the prefill time of local requests ahead of ``priority``, sent after ``since``."""
        return sum(
            pending.prefill_s
            for pending in self._pending.values()
            if pending.streamed
            and pending.first_at is None
            and pending.priority <= priority
            and pending.sent_at > since
        )

    def blocking_prefill_s(self, *, priority: int, now: float) -> float:
        """Return the remaining prefill time of a lower-priority request that has probably begun.

        A running prefill isn't interrupted for a request of higher priority.
        """
        remaining_s = 0.0
        for pending in self._pending.values():
            if pending.streamed and pending.first_at is None and pending.priority > priority:
                remaining_s = max(remaining_s, pending.prefill_s - (now - pending.sent_at))
        return remaining_s

    def slowdown(self, usual_token_s: float | None, *, priority: int, now: float) -> float:
        """Return how many times slower than usual the target is for ``priority``, at least 1.

        Late first tokens of less urgent requests are left out: those wait for the more urgent ones
        also at a fast target.
        """
        slowdown = 1.0
        for sampled_class, (average, sampled_at) in self._lateness.items():
            if sampled_class <= priority:
                ratio = 1.0 + (average - 1.0) * self._decay(sampled_at, now)
                slowdown = max(slowdown, ratio / OVERDUE_FACTOR)
        for pending in self._pending.values():
            if pending.streamed and pending.first_at is None and pending.priority <= priority:
                reference_s = max(MIN_OVERDUE_S, pending.expected_s)
                slowdown = max(slowdown, (now - pending.sent_at) / reference_s / OVERDUE_FACTOR)
        if self._token_s is not None and usual_token_s:
            ratio = self._token_s / usual_token_s / 2.0
            slowdown = max(
                slowdown, 1.0 + max(0.0, ratio - 1.0) * self._decay(self._token_s_at, now)
            )
        return slowdown

    @staticmethod
    def _decay(since: float, now: float) -> float:
        return float(0.5 ** ((now - since) / SLOWDOWN_HALF_LIFE_S))
