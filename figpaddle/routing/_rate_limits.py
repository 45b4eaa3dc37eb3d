"""Limits that all entries keep together without asking each other for every request."""

from __future__ import annotations

import collections

from figpaddle.routing._ranking import highest_ranked

#: Part of the allowance of a cold backend server that entries use; the rest covers entries whose
#: views of each other differ for a moment.
COLD_PART = 0.75
#: Most entries that send to one cold backend server.
MAX_COLD_SENDERS = 4
#: Part of the common slack of retries that entries use; the rest covers entries that are new.
SLACK_PART = 0.8
#: Length of the window of the cold limit, seconds; a little over the second that is counted, so
#: that requests sent apart don't arrive together.
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

    def total(self, *, now: float) -> int:
        """Return the events in the window that ends now."""
        while self._times and self._times[0] <= now - self._window_s:
            self._times.popleft()
        return len(self._times)


class ColdLimit:
    """Lets a few entries send a little to a backend server that is still cold.

    The entries that may are picked by a digest of their names and the backend server's, so all
    entries pick the same ones as long as they know the same entries.
    """

    def __init__(self, *, name: str, overshoot: float, slack: float) -> None:
        self._name = name
        self._overshoot = overshoot
        self._slack = slack
        self._sent: dict[str, SlidingCount] = {}

    def allows(self, backend: str, *, per_s: float, entries: list[str], now: float) -> bool:
        """Return whether one more request may be sent to ``backend`` now."""
        total = (per_s * self._overshoot + self._slack) * COLD_PART
        senders = min(MAX_COLD_SENDERS, max(1, int(total)), max(1, len(entries)))
        if entries and self._name not in highest_ranked(backend, entries, count=senders):
            return False
        count = self._sent.get(backend)
        return count is None or count.total(now=now) < int(total / senders)

    def note_sent(self, backend: str, *, now: float) -> None:
        """Count a request sent to ``backend``."""
        if backend not in self._sent:
            if len(self._sent) > 256:
                self._sent = {
                    name: count for name, count in self._sent.items() if count.total(now=now)
                }
            self._sent[backend] = SlidingCount(window_s=COLD_WINDOW_S)
        self._sent[backend].add(now=now)


class SharedRetryBudget:
    """Keeps the retries of all entries within a share of the requests and a common slack.

    Each entry earns retries by its own requests and takes a part of the slack that the number of
    entries decides. What it doesn't use is lost, so that the sum over all entries stays within
    the budget also while they can't hear each other.
    """

    def __init__(
        self, *, ratio: float, window_s: float, slack: float, now: float, first_start: bool = False
    ) -> None:
        # Nobody can have used the slack before the deployment's first start.
        self._slack_from = now if first_start else now + window_s
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._first: dict[str, SlidingCount] = {}
        self._again: dict[str, SlidingCount] = {}
        self._most_entries = 1

    def note_entries(self, entries: int) -> None:
        """Note how many entries share the slack; the most ever seen counts."""
        self._most_entries = max(self._most_entries, entries)

    def note_request(self, service: str, *, now: float) -> None:
        """Count a request of a caller."""
        self._count(self._first, service).add(now=now)

    def take(self, service: str, *, now: float) -> bool:
        """Take one retry if one is left; return whether it was."""
        again = self._count(self._again, service)
        earned = self._ratio * self._count(self._first, service).total(now=now)
        if again.total(now=now) + 1 > earned + self._part_of_slack(now):
            return False
        again.add(now=now)
        return True

    def left(self, *, now: float) -> dict[str, float]:
        """Return the retries that this entry may still make in the present window, by service."""
        slack = self._part_of_slack(now)
        return {
            service: max(
                0.0,
                self._ratio * first.total(now=now)
                + slack
                - self._count(self._again, service).total(now=now),
            )
            for service, first in list(self._first.items())
        }

    def used(self, *, now: float) -> dict[str, int]:
        """Return the retries in the present window, by service."""
        return {service: count.total(now=now) for service, count in self._again.items()}

    def _part_of_slack(self, now: float) -> float:
        """Return this entry's part; none for a window, as it may have used it before a restart."""
        if now < self._slack_from:
            return 0.0
        return self._slack * SLACK_PART / self._most_entries

    def _count(self, counts: dict[str, SlidingCount], service: str) -> SlidingCount:
        if service not in counts:
            counts[service] = SlidingCount(window_s=self._window_s)
        return counts[service]
