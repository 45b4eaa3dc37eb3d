"""Order in which the waiting requests of a service start at its backend servers."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

#: Latency targets within this factor of the shortest one at the service form a band.
TARGET_BAND_FACTOR = 1.5
#: Largest urgency; 0 is first.
MAX_URGENCY_CLASS = 9


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class _Rank:
    band: int
    priority: int


class UrgencyOrder:
    """Orders the routes of a service by the time that their callers can wait, then by priority.

    Under load a backend server starts what is urgent first. If the order were the operator's priority
    alone, requests with a long target would start at once while those with a short one begin late, and
    the slack of the former would serve nobody. Routes whose targets are alike keep the order of their
    priorities. Who is refused when there is too little room still follows the priority.

    Where the two orders agree, the urgency is the priority.

    >>> order = UrgencyOrder(routes=[(0, 2.5), (1, 1.5), (2, 1.2)])
    >>> order.urgency(priority=0, target_s=2.5), order.urgency(priority=2, target_s=1.2)
    (2, 1)
    >>> order.urgency(priority=1, target_s=1.5)
    0
    """

    def __init__(self, *, routes: Iterable[tuple[int, float]]) -> None:
        known = [(priority, target_s) for priority, target_s in routes if target_s > 0]
        self._shortest_s = min((target_s for _, target_s in known), default=0.0)
        self._ranks = sorted({self._rank(priority, target_s) for priority, target_s in known})
        priorities = [rank.priority for rank in self._ranks]
        self._agrees = priorities == sorted(priorities)

    def urgency(self, *, priority: int, target_s: float) -> int:
        """Return the urgency of requests of a route; 0 is first."""
        if self._agrees or target_s <= 0:
            return priority
        rank = self._rank(priority, target_s)
        return min(MAX_URGENCY_CLASS, sum(other < rank for other in self._ranks))

    def _rank(self, priority: int, target_s: float) -> _Rank:
        ratio = max(1.0, target_s / self._shortest_s)
        return _Rank(band=math.floor(math.log(ratio, TARGET_BAND_FACTOR)), priority=priority)
