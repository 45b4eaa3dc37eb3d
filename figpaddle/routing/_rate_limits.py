"""Rate limits shared by all entry instances, without coordination per request."""

from __future__ import annotations

import collections
import contextlib
import dataclasses

from figpaddle.routing._entry_shares import EntryShares

#: Fraction of a cold backend server's allowance that entries use. The rest covers an entry that the
#: others don't count yet.
COLD_ALLOWANCE_FRACTION = 0.75
#: Fraction of the shared retry slack that entries use. The rest covers entries that are not known
#: yet.
SLACK_FRACTION = 0.8
#: Fraction of an entry's retries, in whole ones, that only requests use which are lost without one.
RESERVE_FRACTION = 0.2
#: Longest time that a repeat may wait at a silent backend server until it arrives, seconds. Repeats that were
#: sent over a longer time than the window may arrive within it.
MAX_ARRIVAL_DELAY_S = 1.5
#: Window of the cold limit, seconds. Slightly longer than the one second of the limit, because
#: requests sent further apart may arrive within one second.
COLD_WINDOW_S = 1.15


class SlidingCount:
    """Counts events in a sliding window.

    >>> count = SlidingCount(window_s=1.0)
    >>> count.add(now=0.0); count.add(now=0.5)
    >>> count.total(now=0.9), count.total(now=1.1)
    (2, 1)
    """

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._times: collections.deque[float] = collections.deque()

    def add(self, *, now: float) -> None:
        """Count an event."""
        self._times.append(now)

    def take_back(self, *, at: float) -> None:
        """Forget an event that was counted at a time, if it is still in the window."""
        with contextlib.suppress(ValueError):
            self._times.remove(at)

    def total(self, *, now: float) -> int:
        """Return the number of events in the window that ends now."""
        while self._times and self._times[0] <= now - self._window_s:
            self._times.popleft()
        return len(self._times)


class ColdLimit:
    """Limits the requests that all entries together send to a cold backend server.

    A cold backend server that can handle ``per_s`` requests per second may get at most ``per_s *
    overshoot + slack`` per second. The entries share it in equal parts of whole requests.
    """

    def __init__(self, *, overshoot: float, slack: float) -> None:
        self._overshoot = overshoot
        self._slack = slack
        self._sent: dict[str, SlidingCount] = {}

    def allows(self, backend: str, *, per_s: float, shares: EntryShares, now: float) -> bool:
        """Return whether one more request may be sent to ``backend`` now."""
        allowance = max(1, int((per_s * self._overshoot + self._slack) * COLD_ALLOWANCE_FRACTION))
        sharers = shares.sharers(backend, most=allowance)
        return bool(sharers) and self.sent(backend, now=now) < allowance // sharers

    def sent(self, backend: str, *, now: float) -> int:
        """Return the requests that this entry sent to ``backend`` in the window that ends now."""
        count = self._sent.get(backend)
        return 0 if count is None else count.total(now=now)

    def note_sent(self, backend: str, *, now: float) -> None:
        """Count a request sent to ``backend``."""
        if backend not in self._sent:
            if len(self._sent) > 256:
                self._sent = {
                    name: count for name, count in self._sent.items() if count.total(now=now)
                }
            self._sent[backend] = SlidingCount(window_s=COLD_WINDOW_S)
        self._sent[backend].add(now=now)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryCharge:
    """One retry that was taken from a budget."""

    service: str
    taken_at: float


class SharedRetryBudget:
    """Limits the retries of all entries to a ratio of the requests plus a shared slack.

    Each entry earns retries by its own requests and gets an equal share of the slack. Unused
    retries expire, so that the sum over all entries stays within the budget even while they can't
    communicate.
    """

    def __init__(
        self, *, ratio: float, window_s: float, slack: float, now: float, first_start: bool = False
    ) -> None:
        # Before the first start of the deployment, no entry can have used the slack.
        self._slack_available_at = now if first_start else now + window_s
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._requests: dict[str, SlidingCount] = {}
        self._retries: dict[str, SlidingCount] = {}
        self._max_entries_seen = 1

    def note_entries(self, entries: int) -> None:
        """Record how many entries share the slack; the highest number seen counts."""
        self._max_entries_seen = max(self._max_entries_seen, entries)

    def note_request(self, service: str, *, now: float) -> None:
        """Count a request of a caller."""
        _counter(self._requests, service, self._window_s).add(now=now)

    def try_take(
        self, service: str, *, now: float, spares_reserve: bool = False
    ) -> RetryCharge | None:
        """Use one retry if the budget allows it; return None if it doesn't.

        ``spares_reserve`` leaves a part for requests that are lost without a retry.
        """
        earned = self._ratio * _counter(self._requests, service, self._window_s).total(now=now)
        total = earned + self._slack_share(now)
        used = self._retry_counter(service).total(now=now)
        reserve = int(RESERVE_FRACTION * total) if spares_reserve else 0
        if used + 1 > total - reserve:
            return None
        self._retry_counter(service).add(now=now)
        return RetryCharge(service=service, taken_at=now)

    def give_back(self, charge: RetryCharge) -> None:
        """Return a retry that was taken and not sent.

        The others keep the times at which they were taken, by which they expire.
        """
        self._retry_counter(charge.service).take_back(at=charge.taken_at)

    def remaining(self, *, now: float) -> dict[str, float]:
        """Return the retries that this entry may still make in the current window, by service."""
        slack = self._slack_share(now)
        return {
            service: max(
                0.0,
                self._ratio * requests.total(now=now)
                + slack
                - self._retry_counter(service).total(now=now),
            )
            for service, requests in list(self._requests.items())
        }

    def used(self, *, now: float) -> dict[str, int]:
        """Return the retries in the current window, by service."""
        return {service: count.total(now=now) for service, count in self._retries.items()}

    def _slack_share(self, now: float) -> float:
        """Return this entry's share of the slack.

        There is none during the first window, since the entry may have used it before a restart.
        """
        if now < self._slack_available_at:
            return 0.0
        return self._slack * SLACK_FRACTION / self._max_entries_seen

    def _retry_counter(self, service: str) -> SlidingCount:
        return _counter(self._retries, service, self._window_s + MAX_ARRIVAL_DELAY_S)


def _counter(counts: dict[str, SlidingCount], service: str, window_s: float) -> SlidingCount:
    if service not in counts:
        counts[service] = SlidingCount(window_s=window_s)
    return counts[service]
