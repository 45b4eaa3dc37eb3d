"""What one instance has learnt of a backend server or region from its own requests."""

from __future__ import annotations

import collections
import dataclasses

from figpaddle.routing._cache_belief import CacheBelief
from figpaddle.routing._demand import Demand

#: Age of a load report when it arrives, seconds.
REPORT_LAG_S = 0.5
#: Time for which a load report is taken at its word, seconds.
REPORT_TRUST_S = 3.0
#: Time in which a new backend server is brought to its full load, seconds.
RAMP_S = 20.0
#: Part of its slots that a new backend server gets at once.
RAMP_START = 0.25
#: Time in which a measured slowdown is half forgotten without new evidence, seconds.
SLOWDOWN_HALF_LIFE_S = 10.0
#: Weight of one new sample in a moving average.
SAMPLE_WEIGHT = 0.2
#: A request is overdue after its expected time multiplied by this.
OVERDUE_FACTOR = 3.0
#: Shortest wait that counts as overdue, seconds.
OVERDUE_MIN_S = 0.3


@dataclasses.dataclass(kw_only=True, slots=True)
class Pending:
    """An own request in progress."""

    #: Priority class.
    priority: int
    #: When it was sent, seconds.
    sent_at: float
    #: Time expected to its first token, seconds.
    expected_s: float
    #: Expected prefill, seconds.
    prefill_s: float
    #: Whether its first token can be timed.
    streamed: bool
    #: When its first token arrived; None before.
    first_at: float | None = None


class TargetModel:
    """Own requests, cache belief, speed and age of one backend server or region."""

    def __init__(self, *, now: float, incarnation: int = 0, ramped: bool = False) -> None:
        self.belief = CacheBelief()
        self._incarnation = incarnation
        self._since = now - RAMP_S if ramped else now
        self._pending: dict[str, Pending] = {}
        self._ended: collections.deque[float] = collections.deque(maxlen=256)
        self._token_s: float | None = None
        self._token_s_at = now
        self._lateness = 1.0
        self._lateness_at = now

    @property
    def in_flight(self) -> int:
        """Own requests in progress."""
        return len(self._pending)

    @property
    def token_s(self) -> float | None:
        """Moving average of the time between tokens, seconds; None before the first sample."""
        return self._token_s

    def restarted(self, incarnation: int, *, now: float) -> None:
        """Notice the incarnation of an announcement: a new one starts cold."""
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._since = now
            self.belief.clear()
            self._token_s = None

    def ramp(self, *, now: float) -> float:
        """Return the part of its slots that may be used, from RAMP_START to 1."""
        return min(1.0, max(RAMP_START, (now - self._since) / RAMP_S))

    def sent(self, demand: Demand, *, expected_s: float, prefill_s: float, now: float) -> None:
        """Count a request sent."""
        self._pending[demand.request_id] = Pending(
            priority=demand.priority,
            sent_at=now,
            expected_s=expected_s,
            prefill_s=prefill_s,
            streamed=demand.streamed,
        )
        self.belief.assume(demand.prefixes, now=now)

    def first_token(self, request_id: str, *, now: float) -> Pending | None:
        """Note the first token of a request and return what was known of it."""
        pending = self._pending.get(request_id)
        if pending is None or pending.first_at is not None:
            return None
        pending.first_at = now
        ratio = (now - pending.sent_at) / max(OVERDUE_MIN_S, pending.expected_s)
        self._lateness = self._lateness_now(now) * (1 - SAMPLE_WEIGHT) + ratio * SAMPLE_WEIGHT
        self._lateness_at = now
        return pending

    def finished(self, request_id: str, *, tokens: int, now: float) -> Pending | None:
        """Note the end of a request and return what was known of it."""
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return None
        self._ended.append(now)
        if pending.first_at is not None and tokens > 1:
            sample = (now - pending.first_at) / (tokens - 1)
            old = sample if self._token_s is None else self._token_s
            self._token_s = old + (sample - old) * SAMPLE_WEIGHT
            self._token_s_at = now
        return pending

    def sent_since(self, moment: float, *, priority: int | None = None) -> int:
        """Return own requests in progress that were sent after ``moment``."""
        return sum(
            1
            for pending in self._pending.values()
            if pending.sent_at > moment and (priority is None or pending.priority <= priority)
        )

    def ended_since(self, moment: float) -> int:
        """Return own requests that ended after ``moment`` but had begun before it."""
        count = 0
        for ended_at in reversed(self._ended):
            if ended_at <= moment:
                break
            count += 1
        return count

    def pending_prefill_s(self, *, priority: int, since: float = float("-inf")) -> float:
        """Return the prefill of own requests, sent after ``since``, that go before ``priority``."""
        return sum(
            pending.prefill_s
            for pending in self._pending.values()
            if pending.streamed
            and pending.first_at is None
            and pending.priority <= priority
            and pending.sent_at > since
        )

    def blocking_prefill_s(self, *, priority: int, now: float) -> float:
        """Return what is left of a later class's prefill that has probably begun.

        A prefill isn't interrupted for a request of an earlier class.
        """
        left = 0.0
        for pending in self._pending.values():
            if pending.streamed and pending.first_at is None and pending.priority > priority:
                left = max(left, pending.prefill_s - (now - pending.sent_at))
        return left

    def slowdown(self, usual_token_s: float | None, *, now: float) -> float:
        """Return how much slower than usual it is, at least 1."""
        found = max(1.0, self._lateness_now(now) / OVERDUE_FACTOR, self._overdue(now))
        if self._token_s is not None and usual_token_s:
            ratio = self._token_s / usual_token_s / 2.0
            found = max(found, 1.0 + max(0.0, ratio - 1.0) * self._kept(self._token_s_at, now))
        return found

    def _overdue(self, now: float) -> float:
        worst = 1.0
        for pending in self._pending.values():
            if pending.streamed and pending.first_at is None:
                usual = max(OVERDUE_MIN_S, pending.expected_s)
                worst = max(worst, (now - pending.sent_at) / usual / OVERDUE_FACTOR)
        return worst

    def _lateness_now(self, now: float) -> float:
        return 1.0 + (self._lateness - 1.0) * self._kept(self._lateness_at, now)

    @staticmethod
    def _kept(since: float, now: float) -> float:
        return float(0.5 ** ((now - since) / SLOWDOWN_HALF_LIFE_S))
