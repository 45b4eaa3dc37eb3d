"""Costs of a workspace's recent requests, by which a quota is kept in reserve for the largest of them."""

from __future__ import annotations

from figpaddle.routing._recent_maximum import RecentMaximum

#: Time in which the largest cost is found, seconds. Large requests are rare, so a short time would forget them
#: between two.
SPAN_S = 5.0
#: Weight of a new cost in the mean.
MEAN_WEIGHT = 0.1


class RequestCosts:
    """The largest and the mean cost of recent requests.

    Whoever grants each cost that is there lets small requests take what a large one still waits for: a bucket
    that is refilled slowly never holds the cost of a large one. Granting only while it holds the largest cost
    refuses requests regardless of their own.

    >>> costs = RequestCosts()
    >>> for cost in (10.0, 90.0):
    ...     costs.note(cost, now=0.0)
    >>> costs.largest(now=4.0), costs.mean
    (90.0, 18.0)
    """

    def __init__(self) -> None:
        self._mean = 0.0
        self._largest = RecentMaximum(span_s=SPAN_S)

    @property
    def mean(self) -> float:
        """Mean cost; 0 before the first request."""
        return self._mean

    def note(self, cost: float, *, now: float) -> None:
        """Count a request."""
        self._largest.note(cost, now=now)
        self._mean = self._mean + (cost - self._mean) * MEAN_WEIGHT if self._mean else cost

    def largest(self, *, now: float) -> float:
        """Return the largest recent cost; 0 without any."""
        return self._largest.value(now=now)
