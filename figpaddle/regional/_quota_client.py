"""Charges the quotas of workspaces at an entry, with grants of the voters."""

from __future__ import annotations

import dataclasses
import itertools
import random
from collections.abc import Callable
from typing import Any

import anyio

from figpaddle.deployment import Workspace
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._request_context import RequestContext
from figpaddle.regional._settings import ProcessSettings
from figpaddle.routing import (
    MAX_REMEMBERED_S,
    QuotaCharge,
    QuotaParcel,
    QuotaStock,
    highest_ranked,
    jittered_retry_after,
)
from figpaddle.telemetry import Log, MetricsRegistry
from figpaddle.wire import Message, QuotaAsk, QuotaGrant, QuotaItem

#: Longest time that a request waits for a grant, seconds, and as a fraction of what it has left.
MAX_WAIT_S, MAX_WAIT_FRACTION = 1.0, 0.2
#: Time in which a voter of the own region, or of another one, says something before another is asked, seconds.
#: Under load the event loops at both ends are late.
NEAR_REPLY_S, FAR_REPLY_S = 0.4, 0.6
#: Time for which a voter that said nothing is asked last, seconds; then it counts as silent if it is.
SILENT_HOLDER_S = 2.5
#: Time by which a request outwaits the voter that it waits for, seconds: a voter decides at intervals of 0.1 s,
#: and its answer takes a while.
ANSWER_MARGIN_S = 0.15
#: Least fraction of the time of a request that its voter may take.
MIN_VOTER_WAIT_FRACTION = 1 / 3
#: Interval at which an entry asks ahead for one workspace, seconds.
TOP_UP_INTERVAL_S = 0.1
#: Time after which questions and unused stocks are forgotten, seconds; no grant lives as long.
RETENTION_S = 2.0
#: Shortest interval between log lines about refusals of one workspace, seconds.
REFUSAL_LOG_INTERVAL_S = 0.2
#: Base of Retry-After while no voter answers, seconds.
NO_ANSWER_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaRefusal:
    """Why a request may not be sent to a backend server."""

    #: 429 if nothing of the quota is left, 503 if that isn't known.
    status: int
    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaOutlook:
    """What the quota of a workspace leaves for a request now."""

    cost: float
    #: What this entry may spend without a question.
    available: float
    #: Time for which a refusal by a voter is remembered, seconds; None if none is.
    refill_s: float | None
    #: The voter that would be asked; None if none can be.
    holder: str | None


@dataclasses.dataclass(kw_only=True)
class _Waiter:
    """A request that waits for the answer to one item, or a question ahead for which nothing waits."""

    workspace: str
    cost: float
    settled: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    is_refused: bool = False
    is_unknown: bool = False
    refill_s: float = 0.0
    charge: QuotaCharge | None = None
    #: Whether its request still waits.
    is_waiting: bool = True


@dataclasses.dataclass(kw_only=True)
class _Question:
    holder: str
    asked_at: float
    waiters: tuple[_Waiter, ...]
    #: Indices of the items that were answered.
    answered: set[int] = dataclasses.field(default_factory=set)
    #: Set once the voter has said anything.
    heard: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class QuotaClient:
    """Holds this entry's grants and asks voters for more.

    A request is charged just before each attempt that it makes at a backend server, at the entry that
    sends it there.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        mesh: Mesh,
        follower: ClusterFollower,
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
        rng: random.Random,
        log: Log,
        metrics: MetricsRegistry,
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._follower = follower
        self._clock = clock
        self._boot_clock = boot_clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._stocks: dict[str, QuotaStock] = {}
        self._numbers = itertools.count(1)
        self._questions: dict[int, _Question] = {}
        self._silent_until: dict[str, float] = {}
        self._topped_up_at: dict[str, float] = {}
        self._logged_at: dict[str, float] = {}
        # When each workspace last got a grant, and from which voter.
        self._granted: dict[str, tuple[float, str]] = {}
        # Until when it counts that another region refused a request of each workspace.
        self._refused_elsewhere: dict[tuple[str, str], float] = {}
        mesh.on_datagram(QuotaGrant, self._take_grant)

    def try_charge(self, context: RequestContext) -> bool:
        """Charge the next attempt with what this entry has; return whether it may be sent.

        A charge that was made before and not spent serves again.
        """
        workspace = context.workspace
        if workspace is None or workspace.quota is None:
            return True
        now = self._boot_clock()
        if context.quota_charge is not None:
            if context.quota_charge.expires_at > now:
                return True
            context.quota_charge = None
        context.quota_charge = self._take(workspace, _cost(workspace, context), now=now)
        return context.quota_charge is not None

    def known_refusal(self, context: RequestContext) -> QuotaRefusal | None:
        """Return the refusal of a request for which a voter has just had nothing left; None if it may ask.

        Under a load many times the quota, each request that is placed or asks first would delay all others.
        """
        workspace = context.workspace
        if workspace is None or workspace.quota is None or context.quota_charge is not None:
            return None
        now, cost = self._boot_clock(), _cost(workspace, context)
        stock = self._stocks.get(workspace.name)
        refill_s = None if stock is None else stock.refill_left_s(now=now)
        if stock is None or refill_s is None or stock.serves(cost, now=now):
            return None
        stock.note_request(cost, now=now)
        return self._refuse(context, workspace, 429, "over quota", refill_s, holder="")

    def note_refused_elsewhere(
        self, context: RequestContext, region: str, *, refill_s: float
    ) -> None:
        """Record that an entry of another region got nothing of the quota for a request.

        The voters of the own region may have more, so only requests to that region are refused.
        """
        workspace = context.workspace
        if workspace is not None and workspace.quota is not None:
            refilled_at = self._boot_clock() + min(refill_s, MAX_REMEMBERED_S)
            self._refused_elsewhere[workspace.name, region] = refilled_at

    def refusal_of_region(self, context: RequestContext, region: str) -> QuotaRefusal | None:
        """Return the refusal of a request to a region that has just refused one; None to ask there."""
        workspace = context.workspace
        if workspace is None or workspace.quota is None:
            return None
        now = self._boot_clock()
        refilled_at = self._refused_elsewhere.get((workspace.name, region), now)
        if now >= refilled_at:
            return None
        return self._refuse(
            context, workspace, 429, "over quota elsewhere", refilled_at - now, holder=""
        )

    def charge_offer(self, context: RequestContext) -> QuotaCharge | None:
        """Return a charge for a further attempt, which begins at once; ask for one if there is none."""
        workspace = context.workspace
        assert workspace is not None and workspace.quota is not None
        now = self._boot_clock()
        cost = _cost(workspace, context)
        charge = self._take(workspace, cost, now=now)
        if charge is None:
            self._ask_ahead(workspace.name, cost, now=now)
        return charge

    async def wait(self, context: RequestContext) -> QuotaRefusal | None:
        """Wait for a grant for the next attempt; return None once there is one.

        Another voter is asked if one says nothing.
        """
        workspace = context.workspace
        assert workspace is not None and workspace.quota is not None
        cost = _cost(workspace, context)
        began_at = self._clock()
        patience_s = min(MAX_WAIT_S, MAX_WAIT_FRACTION * context.remaining_s(now=began_at))
        refusal = self.known_refusal(context)
        if refusal is not None:
            return refusal
        stock = self._stock(workspace.name, now=self._boot_clock())
        stock.note_request(cost, now=self._boot_clock())
        tried: set[str] = set()
        while (left_s := began_at + patience_s - self._clock()) > 0.0:
            holder = self._holder(workspace.name, tried)
            if holder is None:
                break
            tried.add(holder)
            waiter = _Waiter(workspace=workspace.name, cost=cost)
            waits_s = max(MIN_VOTER_WAIT_FRACTION * left_s, left_s - ANSWER_MARGIN_S)
            asked_at = self._clock()
            question = self._ask(holder, [waiter], waits_s=waits_s)
            is_heard = await self._await_answer(question, waiter, left_s=left_s)
            if waiter.charge is not None:
                context.quota_charge = waiter.charge
                self._metrics.record_duration(
                    "quota_wait_seconds", self._clock() - began_at, workspace=workspace.name
                )
                return None
            if waiter.is_refused:
                if self._clock() - asked_at < waits_s:
                    # Otherwise its own time ended, and the voter may have enough for others.
                    stock.note_refused(refill_s=waiter.refill_s, now=self._boot_clock())
                return self._refuse(
                    context, workspace, 429, "over quota", waiter.refill_s, holder=holder
                )
            if not is_heard:
                self._silent_until[holder] = self._clock() + SILENT_HOLDER_S
        if self.try_charge(context):
            return None
        return self._refuse(
            context,
            workspace,
            503,
            "quota not known",
            NO_ANSWER_RETRY_AFTER_S,
            holder=",".join(sorted(tried)),
        )

    def outlook(self, context: RequestContext) -> QuotaOutlook | None:
        """Return what is left for a request, without a charge or a question; None if it needs no quota."""
        workspace = context.workspace
        if workspace is None or workspace.quota is None:
            return None
        now, cost = self._boot_clock(), _cost(workspace, context)
        stock = self._stocks.get(workspace.name)
        return QuotaOutlook(
            cost=cost,
            available=0.0 if stock is None else stock.available(now=now),
            refill_s=None if stock is None else stock.refill_left_s(now=now),
            holder=self._holder(workspace.name, set()),
        )

    def settle(self, context: RequestContext, *, may_have_run: bool) -> None:
        """End the charge of an attempt; what certainly didn't run is given back."""
        charge, context.quota_charge = context.quota_charge, None
        if charge is not None and not may_have_run:
            self.give_back(charge)

    def give_back(self, charge: QuotaCharge) -> None:
        """Return the charge of an attempt that certainly didn't run."""
        self._stock(charge.workspace, now=self._boot_clock()).give_back(charge)

    def run_housekeeping(self) -> None:
        """Forget old questions, and stocks of workspaces without requests."""
        now = self._boot_clock()
        self._questions = {
            number: question
            for number, question in self._questions.items()
            if now - question.asked_at < RETENTION_S
        }
        self._refused_elsewhere = {
            key: refilled_at
            for key, refilled_at in self._refused_elsewhere.items()
            if refilled_at > now
        }
        for workspace in [name for name, stock in self._stocks.items() if stock.is_idle(now=now)]:
            del self._stocks[workspace]
            for times in (self._topped_up_at, self._logged_at, self._granted):
                times.pop(workspace, None)

    def available(self) -> dict[str, float]:
        """Return what this entry may spend, by workspace."""
        now = self._boot_clock()
        return {name: stock.available(now=now) for name, stock in self._stocks.items()}

    def dump(self) -> dict[str, Any]:
        """Return the state of the stocks for operators."""
        now = self._boot_clock()
        return {
            workspace: {
                "available": round(stock.available(now=now), 1),
                "wanted_ahead": round(stock.wanted_ahead(now=now), 1),
                "granted_by": self._granted.get(workspace, (now, ""))[1],
                "grant_age_s": round(now - self._granted.get(workspace, (now, ""))[0], 3),
            }
            for workspace, stock in self._stocks.items()
        }

    def _take(self, workspace: Workspace, cost: float, *, now: float) -> QuotaCharge | None:
        stock = self._stock(workspace.name, now=now)
        charge = stock.take(cost, now=now) if stock.serves(cost, now=now) else None
        if charge is not None:
            stock.note_request(cost, now=now)
            self._ask_ahead(workspace.name, stock.wanted_ahead(now=now), now=now)
        return charge

    def _stock(self, workspace: str, *, now: float) -> QuotaStock:
        stock = self._stocks.get(workspace)
        if stock is None:
            stock = self._stocks[workspace] = QuotaStock(workspace=workspace, now=now)
        return stock

    def _ask_ahead(self, workspace: str, amount: float, *, now: float) -> None:
        """Ask for an amount for which no request waits, at most once an interval."""
        last_at = self._topped_up_at.get(workspace, float("-inf"))
        if amount <= 0.0 or now - last_at < TOP_UP_INTERVAL_S:
            return
        self._topped_up_at[workspace] = now
        holder = self._holder(workspace, set())
        if holder is not None:
            self._ask(holder, [_Waiter(workspace=workspace, cost=0.0)], ahead=amount)

    def _holder(self, workspace: str, tried: set[str]) -> str | None:
        """Return the voter to ask next: of the own region first, by rank, those that are silent last."""
        now = self._clock()
        voters = set(self._follower.voters) - tried
        live = [item for item in self._mesh.live_controls() if item.name in voters]
        ranks = highest_ranked(workspace, [item.name for item in live], count=len(live))
        if not ranks:
            return None
        near = {item.name for item in live if item.region == self._settings.region}
        silent = {name for name in ranks if self._silent_until.get(name, 0.0) > now}
        return min(ranks, key=lambda name: (name in silent, name not in near, ranks.index(name)))

    def _ask(
        self, holder: str, waiters: list[_Waiter], *, waits_s: float = 0.0, ahead: float = 0.0
    ) -> _Question:
        number, now = next(self._numbers), self._boot_clock()
        question = _Question(holder=holder, asked_at=now, waiters=tuple(waiters))
        self._questions[number] = question
        items = tuple(
            QuotaItem(
                workspace=waiter.workspace,
                cost=waiter.cost,
                ahead=ahead or self._stock(waiter.workspace, now=now).wanted_ahead(now=now),
                waits_s=waits_s,
            )
            for waiter in waiters
        )
        self._metrics.count("quota_questions_total")
        ask = QuotaAsk(
            sender=self._settings.ip,
            number=number,
            incarnation=self._mesh.incarnation,
            items=items,
        )
        self._mesh.send_datagrams(ask, [holder])
        return question

    async def _await_answer(self, question: _Question, waiter: _Waiter, *, left_s: float) -> bool:
        """Wait until an item is answered; return whether the voter has said anything."""
        is_near = any(
            item.name == question.holder and item.region == self._settings.region
            for item in self._mesh.live_controls()
        )
        reply_s = NEAR_REPLY_S if is_near else FAR_REPLY_S
        end_expectation = self._mesh.expect_reply(reply_s)
        try:
            with anyio.move_on_after(reply_s):
                await question.heard.wait()
            if question.heard.is_set() and not waiter.settled.is_set():
                end_expectation()
                end_expectation = self._mesh.expect_reply(left_s)
                with anyio.move_on_after(left_s):
                    await waiter.settled.wait()
        except BaseException:
            if waiter.charge is not None:
                self.give_back(waiter.charge)
            raise
        finally:
            end_expectation()
            waiter.is_waiting = False
        return question.heard.is_set()

    def _take_grant(self, grant: Message) -> None:
        assert isinstance(grant, QuotaGrant)
        question = self._questions.get(grant.number)
        is_own = grant.incarnation == self._mesh.incarnation
        if question is None or not is_own or question.holder != grant.sender:
            return
        question.heard.set()
        for result in grant.results:
            if result.item in question.answered or result.item >= len(question.waiters):
                continue
            question.answered.add(result.item)
            waiter = question.waiters[result.item]
            now = self._boot_clock()
            stock = self._stock(waiter.workspace, now=now)
            parcels = [
                QuotaParcel(amount=amount, life_s=life_s)
                for amount, life_s in zip(result.amounts, result.lives_s, strict=False)
            ]
            stock.add(parcels, asked_at=question.asked_at)
            if parcels:
                self._granted[waiter.workspace] = (now, grant.sender)
            waiter.is_refused, waiter.refill_s = result.refused, result.refill_s
            waiter.is_unknown = result.unknown
            if waiter.cost and parcels and waiter.is_waiting:
                waiter.charge = stock.take(waiter.cost, now=now)
            waiter.settled.set()

    def _refuse(
        self,
        context: RequestContext,
        workspace: Workspace,
        status: int,
        reason: str,
        wait_s: float,
        *,
        holder: str,
    ) -> QuotaRefusal:
        retry_after_s = jittered_retry_after(wait_s, rng=self._rng)
        self._metrics.count("quota_refusals_total", workspace=workspace.name, reason=reason)
        now = self._boot_clock()
        if now - self._logged_at.get(workspace.name, float("-inf")) >= REFUSAL_LOG_INTERVAL_S:
            self._logged_at[workspace.name] = now
            granted_at, granted_by = self._granted.get(workspace.name, (None, ""))
            self._log.warning(
                "quota_refused",
                request=context.request_id,
                workspace=workspace.name,
                reason=reason,
                cost=_cost(workspace, context),
                available=round(self._stock(workspace.name, now=now).available(now=now), 1),
                holder=holder,
                granted_by=granted_by,
                grant_age_s=None if granted_at is None else round(now - granted_at, 3),
                refill_s=round(wait_s, 3),
                retry_after_s=retry_after_s,
            )
        return QuotaRefusal(status=status, reason=reason, retry_after_s=retry_after_s)


def _cost(workspace: Workspace, context: RequestContext) -> float:
    assert workspace.quota is not None
    return workspace.quota.cost(
        prompt_tokens=context.caller.prompt_tokens, output_tokens=context.caller.output_tokens
    )
