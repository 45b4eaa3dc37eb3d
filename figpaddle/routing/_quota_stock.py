"""Grants of workspaces' quotas that an entry has and hasn't spent yet."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from figpaddle.routing._quota_shares import MIN_LIFE_S, TOLERANCE, DemandEstimate, QuotaParcel
from figpaddle.routing._request_costs import RequestCosts

#: Requests that are expected within the time asked ahead from which on an entry asks ahead. A grant for
#: fewer would mostly expire.
MIN_REQUESTS_AHEAD = 2.0
#: Time for which an entry asks ahead, seconds; below the shortest lifetime of grants.
AHEAD_S = 0.3
#: Longest time for which a refusal is remembered, seconds. What others return or lend meanwhile isn't known here.
MAX_REMEMBERED_S = 0.25
#: Time after a refusal for which the quota counts as scarce, seconds: what an entry still has then serves
#: requests of any size or none.
SCARCE_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaCharge:
    """What one attempt of a request spends: when each amount expires, and the amounts."""

    workspace: str
    parcels: tuple[tuple[float, float], ...]

    @property
    def expires_at(self) -> float:
        """When it has to be spent, seconds of the clock."""
        return min((expires_at for expires_at, _ in self.parcels), default=float("inf"))


class QuotaStock:
    """An entry's grants of one workspace's quota.

    >>> stock = QuotaStock(workspace="acme", now=0.0)
    >>> stock.add([QuotaParcel(amount=5.0, life_s=1.0)], asked_at=0.0)
    >>> charge = stock.take(3.0, now=0.1)
    >>> charge is not None, stock.take(3.0, now=0.1) is None, stock.available(now=2.0)
    (True, True, 0)

    While a refusal is remembered, no request needs to ask again, whatever it costs: one that costs less
    would otherwise be served before one that costs more.

    >>> stock.note_refused(refill_s=0.2, now=2.0)
    >>> round(stock.refill_left_s(now=2.1), 3), stock.refill_left_s(now=2.3) is None
    (0.1, True)
    """

    def __init__(self, *, workspace: str, now: float) -> None:
        self._workspace = workspace
        self._parcels: list[tuple[float, float]] = []
        self._cost = DemandEstimate(now=now)
        self._requests = DemandEstimate(now=now)
        self._costs = RequestCosts()
        # When a voter refused last, and when the quota has refilled.
        self._refused_at = self._refilled_at = float("-inf")

    def note_request(self, cost: float, *, now: float) -> None:
        """Count a request for the demand."""
        self._cost.note(cost, now=now)
        self._requests.note(1.0, now=now)
        self._costs.note(cost, now=now)

    def note_refused(self, *, refill_s: float, now: float) -> None:
        """Record that a voter has nothing left, and for how long."""
        self._refused_at = now
        self._refilled_at = now + min(refill_s, MAX_REMEMBERED_S)

    def refill_left_s(self, *, now: float) -> float | None:
        """Return the time until it is worth asking, seconds; None for now."""
        return None if now >= self._refilled_at else self._refilled_at - now

    def add(self, parcels: Iterable[QuotaParcel], *, asked_at: float) -> None:
        """Add a grant; its lifetime counts from when it was asked for."""
        self._parcels.extend((asked_at + parcel.life_s, parcel.amount) for parcel in parcels)

    def available(self, *, now: float) -> float:
        """Return what may be spent."""
        self._parcels = [parcel for parcel in self._parcels if parcel[0] - now > MIN_LIFE_S]
        return sum(amount for _, amount in self._parcels)

    def serves(self, cost: float, *, now: float) -> bool:
        """Whether a request may be charged without asking a voter.

        While the quota is scarce, what would only do for a small request serves none.
        """
        is_scarce = now < self._refused_at + SCARCE_S
        needed = max(cost, self._costs.largest(now=now)) if is_scarce else cost
        return needed <= self.available(now=now) * (1.0 + TOLERANCE)

    def take(self, cost: float, *, now: float) -> QuotaCharge | None:
        """Take the cost of an attempt; None if there isn't as much."""
        if cost > self.available(now=now) * (1.0 + TOLERANCE):
            return None
        left, taken, kept = cost, [], []
        for expires_at, amount in sorted(self._parcels):
            part = min(amount, left)
            left -= part
            if part > 0.0:
                taken.append((expires_at, part))
            if amount > part:
                kept.append((expires_at, amount - part))
        self._parcels = kept
        return QuotaCharge(workspace=self._workspace, parcels=tuple(taken))

    def give_back(self, charge: QuotaCharge) -> None:
        """Return the charge of an attempt that certainly didn't run; it expires as before."""
        self._parcels.extend(charge.parcels)

    def wanted_ahead(self, *, now: float) -> float:
        """Return how much to ask for beyond what requests wait for."""
        if self._requests.per_s(now=now) * AHEAD_S < MIN_REQUESTS_AHEAD:
            return 0.0
        return max(0.0, self._cost.per_s(now=now) * AHEAD_S - self.available(now=now))

    def is_idle(self, *, now: float) -> bool:
        """Whether nothing is left of grants and demand."""
        return not self.available(now=now) and self._requests.per_s(now=now) < TOLERANCE
