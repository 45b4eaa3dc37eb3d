"""The parts of workspaces' quotas that one voter owns, lends and grants."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection, Mapping

from figpaddle.deployment import QuotaUnit, WorkspaceQuota
from figpaddle.routing._recent_maximum import RecentMaximum
from figpaddle.routing._request_costs import SPAN_S, RequestCosts

#: Part of what the bounds allow beyond rate and burst that the lifetime of grants uses; the rest makes
#: the buckets larger.
LIFETIME_FRACTION = 0.6
#: Shortest and longest lifetime of a grant, seconds. The shortest covers a question between regions.
MIN_LIFETIME_S, MAX_LIFETIME_S = 0.4, 1.0
#: Smallest capacity of all buckets together, as the time in which they fill, seconds.
MIN_FILL_S = 0.5
#: Time for which a holder asks ahead, seconds: a round trip between regions and the pauses at both ends.
HORIZON_S = 0.35
#: Time constant of the measured demand, seconds.
DEMAND_S = 1.0
#: Time after which a loan that hasn't come is asked of others, seconds.
LOAN_TIMEOUT_S = 0.5
#: Time for which a voter that didn't answer isn't asked again, seconds.
SILENT_PEER_S = 1.0
#: A voter isn't asked for less than its part gains in this time, seconds, so that a workspace far beyond
#: its quota doesn't cost a question for each request.
MIN_LOAN_S = 0.1
#: Multiple of the largest cost that is kept in reserve, as others grant what this voter still counts on, and the
#: largest part of what all buckets hold that is reserved.
RESERVE_FACTOR, MAX_RESERVE_FRACTION = 1.25, 0.5
#: Remaining lifetime below which an amount counts as expired, seconds.
MIN_LIFE_S = 0.02
#: Tolerance of sums of amounts, as a fraction.
TOLERANCE = 1e-9

#: Identifies a demand: the entry, the start of its process, the number of its question, and the item.
QuotaKey = tuple[str, int, int, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaTerms:
    """How a quota is issued, so that its bound holds whatever the instances know of each other.

    All buckets together issue at most ``per_s * t + capacity`` in any time ``t``, and what is issued has
    to be spent within ``lifetime_s``.
    """

    per_s: float
    capacity: float
    lifetime_s: float


def quota_terms(
    quota: WorkspaceQuota, *, window_s: float, overshoot: float, slack: float
) -> QuotaTerms:
    """Return the terms under which what is spent in any window stays within the bound of a quota.

    >>> quota = WorkspaceQuota(per_s=100.0, burst=100.0)
    >>> quota_terms(quota, window_s=8.0, overshoot=0.1, slack=110.0)
    QuotaTerms(per_s=100.0, capacity=200.0, lifetime_s=1.0)
    """
    per_s = quota.per_s
    bound = (per_s * window_s + quota.burst) * (1.0 + overshoot) + slack
    beyond = bound - per_s * window_s - quota.burst
    lifetime_s = MAX_LIFETIME_S
    if per_s > 0.0:
        lifetime_s = min(MAX_LIFETIME_S, max(MIN_LIFETIME_S, LIFETIME_FRACTION * beyond / per_s))
    smallest = max(quota.burst / 2, MIN_FILL_S * per_s)
    if quota.unit is QuotaUnit.REQUESTS:
        smallest = max(1.0, smallest)
    capacity = max(min(bound, smallest), bound - per_s * (window_s + lifetime_s))
    per_s = min(per_s, (bound - capacity) / (window_s + lifetime_s))
    return QuotaTerms(per_s=per_s, capacity=capacity, lifetime_s=lifetime_s)


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaParcel:
    """An amount of a quota that may be spent for a limited time."""

    amount: float
    #: Time left to spend it, seconds.
    life_s: float


class DemandEstimate:
    """Cost asked for a second, with a memory of about ``DEMAND_S``."""

    def __init__(self, *, now: float) -> None:
        self._sum = 0.0
        self._updated_at = now

    def note(self, cost: float, *, now: float) -> None:
        """Count a request."""
        self._sum = self.per_s(now=now) * DEMAND_S + cost
        self._updated_at = now

    def per_s(self, *, now: float) -> float:
        """Return the demand, cost a second."""
        return self._sum / DEMAND_S * math.exp(-max(0.0, now - self._updated_at) / DEMAND_S)


class QuotaShare:
    """One voter's part of the quota of a workspace: a bucket, and amounts lent by other voters.

    The bucket is empty at first: what this voter issued before a restart isn't known.

    >>> share = QuotaShare(now=0.0)
    >>> share.set_part(per_s=10.0, capacity=30.0, now=0.0)
    >>> share.take(5.0, lifetime_s=1.0, now=1.0)
    (QuotaParcel(amount=5.0, life_s=1.0),)
    >>> share.lend(10.0, keep=2.0, now=1.0)
    3.0
    """

    def __init__(self, *, now: float) -> None:
        self._level = 0.0
        self._per_s = 0.0
        self._capacity = 0.0
        self._filled_at = now
        # What was lent: when it expires, and the amount.
        self._loans: list[tuple[float, float]] = []
        #: What was asked for, and what of it was granted.
        self.demand, self.granted = DemandEstimate(now=now), DemandEstimate(now=now)
        self.costs = RequestCosts()
        # The largest costs that other voters stated as they asked for loans, and as they answered.
        self._asked_for = RecentMaximum(span_s=SPAN_S)
        self._answered = RecentMaximum(span_s=SPAN_S)
        #: When a demand was refused last.
        self.refused_at = float("-inf")

    @property
    def per_s(self) -> float:
        """Cost that becomes available a second."""
        return self._per_s

    @property
    def capacity(self) -> float:
        """Largest amount in the bucket."""
        return self._capacity

    def note_largest_asked(self, cost: float, *, now: float) -> None:
        """Record the largest recent cost that another voter stated as it asked for a loan."""
        self._asked_for.note(cost, now=now)

    def note_largest_answered(self, cost: float, *, now: float) -> None:
        """Record the largest recent cost that another voter stated as it answered."""
        self._answered.note(cost, now=now)

    def largest_to_answer(self, *, now: float) -> float:
        """Return the largest recent cost here and at the voters that asked.

        What others answered isn't passed on, or it would go round for ever.
        """
        return max(self.costs.largest(now=now), self._asked_for.value(now=now))

    def largest(self, *, now: float) -> float:
        """Return the largest recent cost that is known of any voter."""
        return max(self.largest_to_answer(now=now), self._answered.value(now=now))

    def set_part(self, *, per_s: float, capacity: float, now: float) -> None:
        """Change the rate and the size of the bucket; what it holds never exceeds the new size."""
        self._fill(now)
        self._per_s, self._capacity = per_s, capacity
        self._level = min(self._level, capacity)

    def level(self, *, now: float) -> float:
        """Return what is in the bucket."""
        self._fill(now)
        return self._level

    def available(self, *, now: float) -> float:
        """Return what may be granted, loans included."""
        self._fill(now)
        self._loans = [loan for loan in self._loans if loan[0] - now > MIN_LIFE_S]
        return self._level + sum(amount for _, amount in self._loans)

    def take(self, amount: float, *, lifetime_s: float, now: float) -> tuple[QuotaParcel, ...]:
        """Take an amount, that which expires first at first; nothing if there isn't as much."""
        available = self.available(now=now)
        if amount > available * (1.0 + TOLERANCE):
            return ()
        left, parcels, kept = amount, [], []
        for expires_at, lent in sorted(self._loans):
            taken = min(lent, left)
            left -= taken
            if taken > 0.0:
                parcels.append(QuotaParcel(amount=taken, life_s=expires_at - now))
            if lent > taken:
                kept.append((expires_at, lent - taken))
        self._loans = kept
        taken = min(left, self._level)
        if taken > 0.0:
            self._level -= taken
            parcels.append(QuotaParcel(amount=taken, life_s=lifetime_s))
        return tuple(parcels)

    def lend(self, amount: float, *, keep: float, now: float) -> float:
        """Take up to ``amount`` from the bucket for another voter, and leave ``keep`` in it."""
        self._fill(now)
        lent = max(0.0, min(amount, self._level - keep))
        self._level -= lent
        return lent

    def add_loan(self, amount: float, *, expires_at: float) -> None:
        """Add an amount that another voter lent."""
        if amount > 0.0:
            self._loans.append((expires_at, amount))

    def _fill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        self._level = min(self._capacity, self._level + self._per_s * elapsed_s)


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaDemand:
    """What one entry asks for: the cost of one request, or 0, and an amount for later ones."""

    key: QuotaKey
    workspace: str
    cost: float
    ahead: float
    #: When it came, and until when its request waits, seconds of the clock.
    arrived_at: float
    waits_until: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaDecision:
    """The decision about a demand: an amount, or a refusal."""

    key: QuotaKey
    parcels: tuple[QuotaParcel, ...] = ()
    #: Whether nothing is left.
    is_refused: bool = False
    #: Whether this voter knows no quota of the workspace, or may grant none.
    is_unknown: bool = False
    #: Time until there is enough again, seconds.
    refill_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _LoanQuestion:
    peer: str
    asked_at: float
    amounts: dict[str, float]


class QuotaShares:
    """One voter's parts of all quotas; answers entries, and lends to and borrows from other voters.

    A demand that this voter can't meet waits if the other voters, by what they stated last, have the
    rest, and is refused at once otherwise. Demands on one workspace are met in their order. Whether one is
    refused doesn't depend on its cost: ``reserve_factor`` times the largest recent cost has to be within reach
    for each of them. With 0 each is granted what is there.
    """

    def __init__(self, *, reserve_factor: float = RESERVE_FACTOR) -> None:
        self._reserve_factor = reserve_factor
        self._terms: dict[str, QuotaTerms] = {}
        self._shares: dict[str, QuotaShare] = {}
        self._waiting: dict[str, list[QuotaDemand]] = {}
        # Spare amounts of other voters by workspace: when they were stated, and the amount.
        self._spare: dict[tuple[str, str], tuple[float, float]] = {}
        self._questions: dict[int, _LoanQuestion] = {}
        self._silent_until: dict[str, float] = {}
        self._next_question = 1
        self._peers: tuple[str, ...] = ()
        self._near: frozenset[str] = frozenset()
        self._parts = 0

    @property
    def shares(self) -> Mapping[str, QuotaShare]:
        """The own part of each quota, by workspace."""
        return self._shares

    def configure(
        self,
        terms: Mapping[str, QuotaTerms],
        *,
        parts: int,
        owns_part: bool,
        peers: Collection[str],
        near: Collection[str] = (),
        now: float,
    ) -> None:
        """Set the quotas, the number of equal parts, and the other voters that may be asked.

        The voter has a part of its own only if it ``owns_part``. Those voters that are ``near`` are asked
        first, as they answer sooner.
        """
        self._terms = dict(terms)
        self._parts = max(1, parts)
        self._peers, self._near = tuple(sorted(peers)), frozenset(near)
        for workspace in [name for name in self._shares if name not in self._terms]:
            del self._shares[workspace]
        for workspace, item in self._terms.items():
            share = self._shares.get(workspace)
            if share is None:
                share = self._shares[workspace] = QuotaShare(now=now)
            factor = 1.0 / self._parts if owns_part else 0.0
            share.set_part(per_s=item.per_s * factor, capacity=item.capacity * factor, now=now)
        self._silent_until = {
            peer: until for peer, until in self._silent_until.items() if until > now
        }
        self._spare = {
            key: stated
            for key, stated in self._spare.items()
            if key[0] in self._peers and key[1] in self._terms
        }

    def decide(self, demand: QuotaDemand, *, now: float) -> QuotaDecision | None:
        """Return the decision about a demand, or None while it waits for loans."""
        share = self._shares.get(demand.workspace)
        if share is None:
            return QuotaDecision(key=demand.key, is_unknown=True)
        waiting = self._waiting.get(demand.workspace, [])
        if not demand.cost:
            if waiting:
                return QuotaDecision(key=demand.key)
            return self._grant(share, demand, now=now)
        share.demand.note(demand.cost, now=now)
        share.costs.note(demand.cost, now=now)
        needed = max(demand.cost, self._reserve(demand.workspace, share, now=now))
        missing = sum(item.cost for item in waiting) + needed
        missing -= self._within_reach(demand.workspace, share, now=now)
        if missing > 0.0:
            return self._refusal(demand, missing, now=now)
        decision = None if waiting else self._grant(share, demand, now=now)
        if decision is None:
            self._waiting.setdefault(demand.workspace, []).append(demand)
        return decision

    def settle(self, *, now: float) -> list[QuotaDecision]:
        """Return the decisions about waiting demands that can be made now."""
        decisions = []
        for workspace, waiting in list(self._waiting.items()):
            share = self._shares.get(workspace)
            while waiting:
                demand = waiting[0]
                decision: QuotaDecision | None
                if share is None:
                    decision = QuotaDecision(key=demand.key, is_unknown=True)
                else:
                    decision = self._grant(share, demand, now=now)
                    if decision is None:
                        missing = demand.cost - self._within_reach(workspace, share, now=now)
                        # A large one that may still be met isn't given up for the small ones behind it.
                        left_s = max(0.0, demand.waits_until - now)
                        if missing > left_s * self._gain_per_s(workspace) or not left_s:
                            decision = self._refusal(demand, missing, now=now)
                if decision is None:
                    break
                decisions.append(decision)
                waiting.pop(0)
            # One that waits behind a larger one may have less time.
            overdue = [demand for demand in waiting if now >= demand.waits_until]
            decisions += [self._refusal(demand, demand.cost, now=now) for demand in overdue]
            waiting[:] = [demand for demand in waiting if now < demand.waits_until]
            if not waiting:
                del self._waiting[workspace]
        return decisions

    def ask_loans(self, *, now: float, ahead: bool) -> list[tuple[str, int, dict[str, float]]]:
        """Return what to ask of which voters: the voter, the question's number and the amounts.

        A voter asks for what waits, and ``ahead`` for what its entries will need beyond its own part.
        """
        amounts: dict[str, dict[str, float]] = {}
        for workspace in self._shares if ahead else self._waiting:
            share = self._shares.get(workspace)
            if share is None:
                continue
            needed = sum(item.cost for item in self._waiting.get(workspace, ()))
            is_scarce = now - share.refused_at < DEMAND_S
            if ahead and not is_scarce:
                # What is borrowed for requests that are refused would expire unused.
                beyond_per_s = max(0.0, share.granted.per_s(now=now) - share.per_s)
                needed += beyond_per_s * HORIZON_S
            needed -= share.available(now=now) + self._outstanding(workspace, now=now)
            if needed <= 0.0:
                continue
            spare = {peer: self._spare_of(peer, workspace, now=now) for peer in self._peers}
            # Where the quota is scarce, what the fullest buckets gain beyond their size would be lost.
            order = sorted(
                (not is_scarce and name not in self._near, -spare[name], name)
                for name in self._peers
            )
            for _, _, peer in order:
                amount = min(needed, spare[peer])
                if amount <= 0.0:
                    continue
                amounts.setdefault(peer, {})[workspace] = amount
                needed -= amount
                if needed <= 0.0:
                    break
        questions = []
        for peer, asked in amounts.items():
            number = self._next_question
            self._next_question += 1
            self._questions[number] = _LoanQuestion(peer=peer, asked_at=now, amounts=asked)
            for workspace, amount in asked.items():
                # It doesn't have what it is asked for twice.
                left = self._spare_of(peer, workspace, now=now) - amount
                self._spare[peer, workspace] = (now, max(0.0, left))
            questions.append((peer, number, asked))
        return questions

    def largest_cost(self, workspace: str, *, now: float) -> float:
        """Return the largest recent cost of a request here, which a question for a loan states."""
        share = self._shares.get(workspace)
        return 0.0 if share is None else share.costs.largest(now=now)

    def exchange_largest(self, workspace: str, cost: float, *, now: float) -> float:
        """Record the largest cost that a question for a loan states; return what the answer states."""
        share = self._shares.get(workspace)
        if share is None:
            return 0.0
        share.note_largest_asked(cost, now=now)
        return share.largest_to_answer(now=now)

    def note_largest(self, workspace: str, cost: float, *, now: float) -> None:
        """Record the largest cost that an answer to a question for a loan states."""
        share = self._shares.get(workspace)
        if share is not None:
            share.note_largest_answered(cost, now=now)

    def lend(self, workspace: str, amount: float, *, now: float) -> tuple[float, float]:
        """Return what is lent to another voter, and what could be lent beyond that."""
        share = self._shares.get(workspace)
        if share is None:
            return 0.0, 0.0
        keep = share.granted.per_s(now=now) * HORIZON_S
        keep += sum(item.cost for item in self._waiting.get(workspace, ()))
        lent = share.lend(amount, keep=keep, now=now)
        return lent, max(0.0, share.level(now=now) - keep)

    def note_loans(
        self, peer: str, number: int, loans: Mapping[str, tuple[float, float]], *, now: float
    ) -> None:
        """Add what another voter lent, by workspace with what it could lend beyond that.

        A loan expires by the time of its question, which is never later than when it was issued.
        """
        question = self._questions.get(number)
        if question is None or question.peer != peer:
            return
        del self._questions[number]
        self._silent_until.pop(peer, None)
        for workspace, (amount, spare) in loans.items():
            share, terms = self._shares.get(workspace), self._terms.get(workspace)
            if share is None or terms is None:
                continue
            share.add_loan(amount, expires_at=question.asked_at + terms.lifetime_s)
            self._spare[peer, workspace] = (now, spare)

    def expire(self, *, now: float) -> None:
        """Forget questions whose loans would have expired, and note which voters don't answer."""
        for question in self._questions.values():
            if now - question.asked_at >= LOAN_TIMEOUT_S:
                self._silent_until[question.peer] = now + SILENT_PEER_S
        self._questions = {
            number: question
            for number, question in self._questions.items()
            if now - question.asked_at < MAX_LIFETIME_S
        }

    def dump(self, *, now: float) -> dict[str, dict[str, float]]:
        """Return the state of each quota for operators."""
        return {
            workspace: {
                "level": round(share.level(now=now), 1),
                "available": round(share.available(now=now), 1),
                "per_s": round(share.per_s, 1),
                "capacity": round(share.capacity, 1),
                "demand_per_s": round(share.demand.per_s(now=now), 1),
                "waiting": len(self._waiting.get(workspace, ())),
                "lifetime_s": round(self._terms[workspace].lifetime_s, 3),
            }
            for workspace, share in self._shares.items()
        }

    def _grant(self, share: QuotaShare, demand: QuotaDemand, *, now: float) -> QuotaDecision | None:
        lifetime_s = self._terms[demand.workspace].lifetime_s
        available = share.available(now=now)
        if demand.cost > available * (1.0 + TOLERANCE):
            return None
        # What is granted ahead may expire unused, so the larger part stays for other entries, and all of it
        # where it is scarce: an entry's stock serves those that are small enough.
        spare = min(available, self._unreserved(demand.workspace, share, now=now)) - demand.cost
        ahead = max(0.0, min(demand.ahead, spare / 2))
        # The entry counts lifetimes from when it asked, which is no later than when the demand came.
        waited_s = max(0.0, now - demand.arrived_at)
        parcels = tuple(
            dataclasses.replace(parcel, life_s=parcel.life_s + waited_s)
            for parcel in share.take(demand.cost + ahead, lifetime_s=lifetime_s, now=now)
        )
        share.granted.note(demand.cost, now=now)
        return QuotaDecision(key=demand.key, parcels=parcels)

    def _refusal(self, demand: QuotaDemand, missing: float, *, now: float) -> QuotaDecision:
        self._shares[demand.workspace].refused_at = now
        per_s = self._terms[demand.workspace].per_s
        refill_s = math.inf
        if per_s > 0.0:
            # Others that were refused come back, too.
            share = self._shares[demand.workspace]
            excess = share.demand.per_s(now=now) / per_s
            refill_s = max(missing, share.costs.mean) / per_s * max(1.0, excess)
        return QuotaDecision(key=demand.key, is_refused=True, refill_s=refill_s)

    def _within_reach(self, workspace: str, share: QuotaShare, *, now: float) -> float:
        """Return what this voter has or may get from others in the next moments."""
        spare = sum(self._spare_of(peer, workspace, now=now) for peer in self._peers)
        return share.available(now=now) + self._outstanding(workspace, now=now) + spare

    def _reserve(self, workspace: str, share: QuotaShare, *, now: float) -> float:
        """Return what has to be within reach for a request of any cost to be met.

        It is the cost of a large request at any voter, so that a smaller one is met no sooner, here or there.
        """
        held = self._terms[workspace].capacity * self._reached_fraction()
        largest = share.largest(now=now)
        return min(self._reserve_factor * largest, MAX_RESERVE_FRACTION * held)

    def _unreserved(self, workspace: str, share: QuotaShare, *, now: float) -> float:
        reach = self._within_reach(workspace, share, now=now)
        return reach - self._reserve(workspace, share, now=now)

    def _gain_per_s(self, workspace: str) -> float:
        """Return what this voter and those that it may ask gain a second."""
        return self._terms[workspace].per_s * self._reached_fraction()

    def _reached_fraction(self) -> float:
        return min(1.0, (1 + len(self._peers)) / self._parts)

    def _outstanding(self, workspace: str, *, now: float) -> float:
        return sum(
            question.amounts.get(workspace, 0.0)
            for question in self._questions.values()
            if now - question.asked_at < LOAN_TIMEOUT_S
        )

    def _spare_of(self, peer: str, workspace: str, *, now: float) -> float:
        """Return what another voter can lend by its last statement and what its part has gained since."""
        if now < self._silent_until.get(peer, float("-inf")):
            return 0.0
        terms = self._terms[workspace]
        capacity, per_s = terms.capacity / self._parts, terms.per_s / self._parts
        stated_at, spare = self._spare.get((peer, workspace), (now, capacity))
        spare = min(capacity, spare + per_s * max(0.0, now - stated_at))
        return spare if spare >= MIN_LOAN_S * per_s else 0.0
