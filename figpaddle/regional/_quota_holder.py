"""Grants quotas of workspaces to entries, at a control instance that is a voter."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable
from typing import Any

from figpaddle.deployment import GatewayConfiguration
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._wake_ups import sleep_until_shared
from figpaddle.routing import (
    LOAN_TIMEOUT_S,
    QuotaDecision,
    QuotaDemand,
    QuotaParts,
    QuotaShares,
    QuotaTerms,
    quota_terms,
)
from figpaddle.telemetry import Log, MetricsRegistry
from figpaddle.wire import (
    Message,
    QuotaAsk,
    QuotaGrant,
    QuotaLoan,
    QuotaLoanAsk,
    QuotaLoanItem,
    QuotaResult,
)

#: Interval at which a voter asks others for loans and decides what waits, seconds.
HOLDER_INTERVAL_S = 0.1
#: The same while no workspace has a quota.
IDLE_INTERVAL_S = 0.5


class QuotaHolder:
    """Answers entries from this voter's parts, and exchanges loans with the other voters.

    ``boot_clock`` goes on while the machine is suspended, so that nothing is spent beyond its lifetime.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        mesh: Mesh,
        follower: ClusterFollower,
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
        log: Log,
        metrics: MetricsRegistry,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._mesh = mesh
        self._follower = follower
        self._boot_clock = boot_clock
        self._log = log
        self._metrics = metrics
        self._shares = QuotaShares()
        self._parts = QuotaParts(name=settings.ip)
        self._configuration: GatewayConfiguration | None = None
        self._terms: dict[str, QuotaTerms] = {}
        self._owned_part: bool | None = None
        # The revision of the cluster state that was taken in.
        self._revision: int | None = None
        mesh.on_datagram(QuotaAsk, self._answer_entry)
        mesh.on_datagram(QuotaLoanAsk, self._answer_voter)
        mesh.on_datagram(QuotaLoan, self._take_loans)
        metrics.labeled_gauge("quota_part_level", "workspace", self._levels)

    async def run(self) -> None:
        """Follow the configuration and the voters, and ask for loans, until cancelled."""
        while True:
            now = self._boot_clock()
            self._refresh(now)
            if self._terms:
                self._shares.expire(now=now)
                self._settle(now)
                self._ask_loans(now, ahead=True)
            await sleep_until_shared(HOLDER_INTERVAL_S if self._terms else IDLE_INTERVAL_S)

    def dump(self) -> dict[str, Any]:
        """Return the state of this voter's parts for operators."""
        return {
            "parts": self._parts.count,
            "owns_part": self._parts.owns_part,
            "workspaces": self._shares.dump(now=self._boot_clock()),
        }

    def _levels(self) -> dict[str, float]:
        now = self._boot_clock()
        return {name: share.level(now=now) for name, share in self._shares.shares.items()}

    def _refresh(self, now: float) -> None:
        """Take in the quotas in force, the voters, and which of them are heard."""
        follower, state = self._follower, self._follower.state
        self._revision = state.revision
        self._parts.note_voters(
            {*follower.voters, *state.previous_voters, *state.voters},
            revision=state.revision,
            now=now,
        )
        if follower.configuration is not self._configuration:
            self._configuration = follower.configuration
            self._terms = self._read_terms(follower.configuration)
        if not self._terms and not self._shares.shares:
            return
        revisions: dict[str, int] = {}
        heard_at: dict[str, float] = {}
        offset_s = now - self._clock()
        for heartbeat in self._mesh.known_controls():
            revisions[heartbeat.name] = heartbeat.revision
            heard = self._mesh.last_heard(heartbeat.name)
            if heard is not None:
                heard_at[heartbeat.name] = heard.received_at + offset_s
        self._parts.update(revisions, heard_at=heard_at, now=now)
        voters = set(follower.voters)
        live = [item for item in self._mesh.live_controls() if item.name in voters]
        self._shares.configure(
            self._terms,
            parts=self._parts.count,
            owns_part=self._parts.owns_part,
            peers=[item.name for item in live],
            near=[item.name for item in live if item.region == self._settings.region],
            now=now,
        )
        if self._parts.owns_part != self._owned_part:
            self._owned_part = self._parts.owns_part
            self._log.info("quota_part_changed", owned=self._owned_part, parts=self._parts.count)

    def _refresh_if_changed(self, now: float) -> None:
        if self._follower.state.revision != self._revision:
            self._refresh(now)

    def _read_terms(self, configuration: GatewayConfiguration | None) -> dict[str, QuotaTerms]:
        bounds = self._settings.bounds
        workspaces = () if configuration is None else configuration.workspaces
        return {
            workspace.name: quota_terms(
                workspace.quota,
                window_s=bounds.quota_window_s,
                overshoot=bounds.quota_overshoot,
                slack=bounds.quota_slack,
            )
            for workspace in workspaces
            if workspace.quota is not None
        }

    def _answer_entry(self, ask: Message) -> None:
        assert isinstance(ask, QuotaAsk)
        now = self._boot_clock()
        self._refresh_if_changed(now)
        decisions = []
        for index, item in enumerate(ask.items):
            demand = QuotaDemand(
                key=(ask.sender, ask.incarnation, ask.number, index),
                workspace=item.workspace,
                cost=item.cost,
                ahead=item.ahead,
                arrived_at=now,
                waits_until=now + item.waits_s,
            )
            decision = self._shares.decide(demand, now=now)
            if decision is not None:
                decisions.append(decision)
        self._send_decisions(decisions)
        if len(decisions) < len(ask.items):
            if not decisions:
                self._send_grant(ask.sender, ask.incarnation, ask.number, ())
            # Also where it relies on a loan that was asked for ahead.
            self._mesh.expect_reply(LOAN_TIMEOUT_S)
            self._ask_loans(now)

    def _answer_voter(self, ask: Message) -> None:
        assert isinstance(ask, QuotaLoanAsk)
        now = self._boot_clock()
        self._refresh_if_changed(now)
        items = []
        for item in ask.items:
            lent, spare = self._shares.lend(item.workspace, item.amount, now=now)
            largest = self._shares.exchange_largest(item.workspace, item.largest, now=now)
            items.append(
                QuotaLoanItem(workspace=item.workspace, amount=lent, spare=spare, largest=largest)
            )
        self._mesh.send_datagrams(
            QuotaLoan(
                sender=self._settings.ip,
                number=ask.number,
                incarnation=ask.incarnation,
                items=tuple(items),
            ),
            [ask.sender],
        )

    def _take_loans(self, loan: Message) -> None:
        assert isinstance(loan, QuotaLoan)
        if loan.incarnation != self._mesh.incarnation:
            return
        now = self._boot_clock()
        loans = {item.workspace: (item.amount, item.spare) for item in loan.items}
        for item in loan.items:
            self._shares.note_largest(item.workspace, item.largest, now=now)
        self._shares.note_loans(loan.sender, loan.number, loans, now=now)
        self._settle(now)
        self._ask_loans(now)

    def _settle(self, now: float) -> None:
        self._send_decisions(self._shares.settle(now=now))

    def _ask_loans(self, now: float, *, ahead: bool = False) -> None:
        questions = self._shares.ask_loans(now=now, ahead=ahead)
        for peer, number, amounts in questions:
            items = tuple(
                QuotaLoanItem(
                    workspace=workspace,
                    amount=amount,
                    largest=self._shares.largest_cost(workspace, now=now),
                )
                for workspace, amount in amounts.items()
            )
            self._metrics.count("quota_loans_asked_total")
            self._mesh.send_datagrams(
                QuotaLoanAsk(
                    sender=self._settings.ip,
                    number=number,
                    incarnation=self._mesh.incarnation,
                    items=items,
                ),
                [peer],
            )

    def _send_decisions(self, decisions: Iterable[QuotaDecision]) -> None:
        by_question: dict[tuple[str, int, int], list[QuotaResult]] = collections.defaultdict(list)
        for decision in decisions:
            sender, incarnation, number, index = decision.key
            by_question[sender, incarnation, number].append(
                QuotaResult(
                    item=index,
                    amounts=tuple(parcel.amount for parcel in decision.parcels),
                    lives_s=tuple(parcel.life_s for parcel in decision.parcels),
                    refused=decision.is_refused,
                    refill_s=decision.refill_s,
                    unknown=decision.is_unknown,
                )
            )
        for (sender, incarnation, number), results in by_question.items():
            self._send_grant(sender, incarnation, number, tuple(results))

    def _send_grant(
        self, entry: str, incarnation: int, number: int, results: tuple[QuotaResult, ...]
    ) -> None:
        grant = QuotaGrant(
            sender=self._settings.ip, number=number, incarnation=incarnation, results=results
        )
        self._mesh.send_datagrams(grant, [entry])
