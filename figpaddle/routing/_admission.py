"""Which requests are refused at once because they can't be answered in time."""

from __future__ import annotations

import dataclasses
import random

from figpaddle.errors import OverloadedError
from figpaddle.routing._demand import Demand
from figpaddle.routing._policy import Placement

#: Part of the deadline that the expected time to the first token may take.
ADMITTED_DEADLINE = 0.9
#: Part of the deadline from which capacity counts as contended.
CONTENDED_DEADLINE = 0.4
#: Time in which recorded work loses half of its weight, seconds.
WORK_HALF_LIFE_S = 10.0
#: Time for which a refusal shows that a member or class wants more than it gets, seconds.
WANTING_S = 5.0
#: Part of a member's served work that its later classes get while they want it.
LATER_CLASSES_PART = 0.1
#: A member may exceed its share by this factor before it is refused for another's sake.
SHARE_TOLERANCE = 1.1
#: Accounts above which those with nothing in progress are dropped.
MAX_ACCOUNTS = 4096
#: Shortest time to come back after, seconds.
MIN_RETRY_S = 0.25
#: Most time to come back after, seconds.
MAX_RETRY_S = 30.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Work:
    amount: float = 0.0
    at: float = 0.0
    wanting_until: float = float("-inf")
    refused_until: float = float("-inf")
    waiting: int = 0

    def now(self, now: float) -> float:
        return float(self.amount * 0.5 ** ((now - self.at) / WORK_HALF_LIFE_S))

    def add(self, work: float, now: float) -> None:
        self.amount = self.now(now) + work
        self.at = now


class Admission:
    """Refuses what would be late, and keeps shares where capacity is contended.

    Work is accounted by backend server or region, member and priority class, and halves every
    WORK_HALF_LIFE_S; members are compared where they meet, whatever their services are called. Nothing is refused for another's sake while capacity is not contended:
    a share that isn't used is lent, and comes back as soon as its owner wants it.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._work: dict[tuple[str, str, int], _Work] = {}

    def admit(
        self,
        demand: Demand,
        placement: Placement | None,
        *,
        shares: dict[str, float],
        room: int | None = None,
        now: float,
    ) -> None:
        """Count ``demand`` as admitted and waiting, or raise OverloadedError.

        ``shares`` are the agreed shares of all members; ``room`` is what work from other
        regions may still take, given for such work alone.
        """
        expected_s = 0.0
        if placement is not None and placement.expected_s is not None:
            expected_s = placement.expected_s
        target = placement.target if placement is not None else ""
        own = self._of(demand, target)
        late_s = expected_s - ADMITTED_DEADLINE * demand.deadline_s
        contended = expected_s > CONTENDED_DEADLINE * demand.deadline_s
        full = room is not None and room <= 0
        if contended and not demand.forwarded:
            own.wanting_until = now + WANTING_S
        if late_s > 0 or full:
            if not demand.forwarded:
                own.refused_until = now + WANTING_S
            raise self._refusal(demand, late_s)
        if contended and (
            self._exceeds_share(demand, target, shares, now)
            or self._starves_later(demand, target, now)
        ):
            raise self._refusal(demand, expected_s)
        if self._delays_earlier(demand, target, now):
            raise self._refusal(demand, expected_s)
        own.waiting += 1

    def served(self, demand: Demand, *, target: str, work_s: float, now: float) -> None:
        """Account the work of an admitted request whose answer began."""
        own = self._of(demand, target)
        own.waiting = max(0, own.waiting - 1)
        own.add(work_s, now)

    def failed(self, demand: Demand, *, target: str) -> None:
        """Note that an admitted request ended before its answer began."""
        own = self._of(demand, target)
        own.waiting = max(0, own.waiting - 1)

    def _of(self, demand: Demand, target: str) -> _Work:
        if len(self._work) > MAX_ACCOUNTS:
            self._work = {key: work for key, work in self._work.items() if work.waiting}
        key = (target, demand.member, demand.priority)
        return self._work.setdefault(key, _Work())

    def _exceeds_share(
        self, demand: Demand, target: str, shares: dict[str, float], now: float
    ) -> bool:
        used: dict[str, float] = {}
        wanting: set[str] = set()
        for (place, member, _), work in self._work.items():
            if place == target:
                used[member] = used.get(member, 0.0) + work.now(now)
                if work.wanting_until > now:
                    wanting.add(member)
        rivals = wanting - {demand.member}
        if not rivals:
            return False
        present = rivals | {demand.member}
        agreed = sum(shares.get(member, 0.0) for member in present)
        total = sum(used.get(member, 0.0) for member in present)
        if agreed <= 0 or total <= 0:
            return False
        part = shares.get(demand.member, 0.0) / agreed
        return used.get(demand.member, 0.0) > SHARE_TOLERANCE * part * total

    def _starves_later(self, demand: Demand, target: str, now: float) -> bool:
        later = total = 0.0
        wanted = False
        for (place, member, priority), work in self._work.items():
            if place != target or member != demand.member:
                continue
            amount = work.now(now)
            total += amount
            if priority > demand.priority:
                later += amount
                wanted = wanted or work.waiting > 0 or work.wanting_until > now
        return wanted and later < LATER_CLASSES_PART * total

    def _delays_earlier(self, demand: Demand, target: str, now: float) -> bool:
        own = total = 0.0
        wanted = False
        for (place, member, priority), work in self._work.items():
            if place != target or member != demand.member:
                continue
            amount = work.now(now)
            total += amount
            if priority >= demand.priority:
                own += amount
            elif work.refused_until > now:
                wanted = True
        return wanted and own > LATER_CLASSES_PART * total

    def _refusal(self, demand: Demand, late_s: float) -> OverloadedError:
        retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, late_s) * self._rng.uniform(1.0, 2.0))
        return OverloadedError(service=demand.service, retry_after_s=round(retry_s, 3))
