"""Admission control: refuses requests that can't be answered in time."""

from __future__ import annotations

import dataclasses
import random

from figpaddle.errors import OverloadedError
from figpaddle.routing._demand import Demand
from figpaddle.routing._policy import Placement

#: Longest expected time to the first token that is admitted, as a fraction of the deadline.
ADMISSION_DEADLINE_FRACTION = 0.9
#: Expected time to the first token above which capacity counts as contended, as a fraction of the
#: deadline.
CONTENTION_DEADLINE_FRACTION = 0.4
#: Half-life of recorded work, seconds.
WORK_HALF_LIFE_S = 10.0
#: How long a contended or refused request counts as unmet demand of its member and priority class,
#: seconds.
UNMET_DEMAND_TTL_S = 5.0
#: Fraction of a member's served work that is guaranteed to its lower-priority classes while they
#: have unmet demand.
LOWER_PRIORITY_MIN_FRACTION = 0.1
#: Factor by which a member may exceed its agreed share before it is refused in favour of another
#: member.
SHARE_TOLERANCE = 1.1
#: Number of usage records above which those without waiting requests are dropped.
MAX_USAGE_RECORDS = 4096
#: Shortest retry delay given to a refused caller, seconds, before jitter.
MIN_RETRY_AFTER_S = 0.25
#: Longest retry delay given to a refused caller, seconds.
MAX_RETRY_AFTER_S = 30.0


# Decaying work and unmet demand of one target, member and priority class.
@dataclasses.dataclass(kw_only=True, slots=True)
class _Usage:
    recorded_work_s: float = 0.0
    updated_at: float = 0.0
    unmet_demand_until: float = float("-inf")
    refusal_counts_until: float = float("-inf")
    waiting: int = 0

    def decayed_work_s(self, now: float) -> float:
        return float(self.recorded_work_s * 0.5 ** ((now - self.updated_at) / WORK_HALF_LIFE_S))

    def add(self, work_s: float, now: float) -> None:
        self.recorded_work_s = self.decayed_work_s(now) + work_s
        self.updated_at = now


class Admission:
    """Refuses requests that would be late, and enforces shares while capacity is contended.

    Work is recorded by target (backend server or region), member and priority class, with a
    half-life of WORK_HALF_LIFE_S. Members compete at each target, whichever services they use.
    While capacity is not contended, no request is refused in favour of another: other members may
    use an idle share until its owner has demand again.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._usage: dict[tuple[str, str, int], _Usage] = {}

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

        ``shares`` are the agreed shares of all members, by member. ``room`` is the number of
        requests from other regions that still fit; it is given only for such requests.
        """
        expected_s = 0.0
        if placement is not None and placement.expected_s is not None:
            expected_s = placement.expected_s
        target = placement.target if placement is not None else ""
        request_usage = self._usage_of(demand, target)
        late_s = expected_s - ADMISSION_DEADLINE_FRACTION * demand.deadline_s
        contended = expected_s > CONTENTION_DEADLINE_FRACTION * demand.deadline_s
        full = room is not None and room <= 0
        if contended and not demand.forwarded:
            request_usage.unmet_demand_until = now + UNMET_DEMAND_TTL_S
        if late_s > 0 or full:
            if not demand.forwarded:
                request_usage.refusal_counts_until = now + UNMET_DEMAND_TTL_S
            raise self._overloaded(demand, late_s)
        if contended and (
            self._exceeds_agreed_share(demand, target, shares, now)
            or self._starves_lower_priorities(demand, target, now)
        ):
            raise self._overloaded(demand, expected_s)
        if self._delays_higher_priorities(demand, target, now):
            raise self._overloaded(demand, expected_s)
        request_usage.waiting += 1

    def note_response_started(
        self, demand: Demand, *, target: str, work_s: float, now: float
    ) -> None:
        """Record the work of an admitted request when its response begins."""
        request_usage = self._usage_of(demand, target)
        request_usage.waiting = max(0, request_usage.waiting - 1)
        request_usage.add(work_s, now)

    def note_failed(self, demand: Demand, *, target: str) -> None:
        """Record that an admitted request ended before its response began."""
        request_usage = self._usage_of(demand, target)
        request_usage.waiting = max(0, request_usage.waiting - 1)

    def _usage_of(self, demand: Demand, target: str) -> _Usage:
        if len(self._usage) > MAX_USAGE_RECORDS:
            self._usage = {key: usage for key, usage in self._usage.items() if usage.waiting}
        key = (target, demand.member, demand.priority)
        return self._usage.setdefault(key, _Usage())

    def _exceeds_agreed_share(
        self, demand: Demand, target: str, shares: dict[str, float], now: float
    ) -> bool:
        work_by_member: dict[str, float] = {}
        members_with_unmet_demand: set[str] = set()
        for (usage_target, member, _), usage in self._usage.items():
            if usage_target == target:
                work_by_member[member] = work_by_member.get(member, 0.0) + usage.decayed_work_s(now)
                if usage.unmet_demand_until > now:
                    members_with_unmet_demand.add(member)
        competitors = members_with_unmet_demand - {demand.member}
        if not competitors:
            return False
        present = competitors | {demand.member}
        agreed = sum(shares.get(member, 0.0) for member in present)
        total = sum(work_by_member.get(member, 0.0) for member in present)
        if agreed <= 0 or total <= 0:
            return False
        agreed_fraction = shares.get(demand.member, 0.0) / agreed
        return work_by_member.get(demand.member, 0.0) > SHARE_TOLERANCE * agreed_fraction * total

    def _starves_lower_priorities(self, demand: Demand, target: str, now: float) -> bool:
        lower_work_s = total = 0.0
        has_unmet_demand = False
        for (usage_target, member, priority), usage in self._usage.items():
            if usage_target != target or member != demand.member:
                continue
            decayed_s = usage.decayed_work_s(now)
            total += decayed_s
            if priority > demand.priority:
                lower_work_s += decayed_s
                has_unmet_demand = (
                    has_unmet_demand or usage.waiting > 0 or usage.unmet_demand_until > now
                )
        return has_unmet_demand and lower_work_s < LOWER_PRIORITY_MIN_FRACTION * total

    def _delays_higher_priorities(self, demand: Demand, target: str, now: float) -> bool:
        same_or_lower_s = total = 0.0
        higher_priority_refused = False
        for (usage_target, member, priority), usage in self._usage.items():
            if usage_target != target or member != demand.member:
                continue
            decayed_s = usage.decayed_work_s(now)
            total += decayed_s
            if priority >= demand.priority:
                same_or_lower_s += decayed_s
            elif usage.refusal_counts_until > now:
                higher_priority_refused = True
        return higher_priority_refused and same_or_lower_s > LOWER_PRIORITY_MIN_FRACTION * total

    def _overloaded(self, demand: Demand, wait_s: float) -> OverloadedError:
        retry_s = min(
            MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s) * self._rng.uniform(1.0, 2.0)
        )
        return OverloadedError(service=demand.service, retry_after_s=round(retry_s, 3))
