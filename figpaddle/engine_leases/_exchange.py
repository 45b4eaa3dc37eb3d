"""Exchanges questions and leases between the entries of a region."""

from __future__ import annotations

import abc
import collections
import dataclasses
import itertools
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import anyio

from figpaddle.engine_leases._account import EngineAccount
from figpaddle.engine_leases._book import (
    ASK_INTERVAL_S,
    EngineState,
    LeaseBook,
    LeasedRequest,
)
from figpaddle.engine_leases._lease import EngineLease
from figpaddle.engine_leases._owners import account_owner
from figpaddle.engine_leases._pace import EngineUse
from figpaddle.telemetry import Log
from figpaddle.wire import (
    EngineLeaseAsk,
    EngineLeaseGrant,
    EngineLeaseItem,
    GrantedLease,
    Message,
    number,
)

#: Number of accounts that are asked for one loan.
MAX_LENDERS = 2
#: Time for which a request waits for a loan, seconds; the keeper's event loop may be late.
LOAN_TIMEOUT_S = 0.1
#: Interval between log lines about each account, seconds.
LOG_INTERVAL_S = 2.0
#: Time after which an account that nobody asks, and a question without an answer, are forgotten, seconds.
RETENTION_S = 5.0
#: Largest amount that a message may state of anything; sums of such ones stay finite.
MAX_AMOUNT = 1e9


@dataclasses.dataclass(frozen=True, kw_only=True)
class AskedEngine:
    """An engine at which this entry asks for a lease."""

    name: str
    zone: str
    slots: int
    state: EngineState


class LeaseSurroundings(abc.ABC):
    """What the exchange needs of the process that it runs in."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Name of this entry."""

    @property
    @abc.abstractmethod
    def incarnation(self) -> int:
        """Start of its process, milliseconds of Unix time."""

    @abc.abstractmethod
    def send(self, message: Message, name: str) -> None:
        """Send a datagram to another entry."""

    @abc.abstractmethod
    def expect_reply(self, within_s: float) -> Callable[[], object]:
        """Have datagrams read soon while a request waits for one; return what ends that."""

    @abc.abstractmethod
    def on_message(self, kind: type[Message], handler: Callable[[Message], None]) -> None:
        """Have a handler called for each message of a type."""

    @abc.abstractmethod
    def keepers(self) -> Mapping[str, str]:
        """Return the zones of the entries of the region that keep accounts, this one included, by name."""

    @abc.abstractmethod
    def count_entries(self) -> int:
        """Return the number of entries that share limits in the region, silent ones included."""

    @abc.abstractmethod
    def classes(self) -> Mapping[str, int]:
        """Return the number of classes of each service whose engines are leased."""

    @abc.abstractmethod
    def asked_engines(self, service: str) -> list[AskedEngine]:
        """Return the engines of a service that this entry uses in the first place."""

    @abc.abstractmethod
    def engine_names(self) -> list[str]:
        """Return the names of all engines of the region."""

    @abc.abstractmethod
    def zone_of(self, engine: str) -> str | None:
        """Return the zone of an engine; None for one that isn't known."""


@dataclasses.dataclass(kw_only=True)
class _Borrower:
    """A request that waits for the answer to its question for a loan."""

    answered: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    is_lent: bool = False


class LeaseExchange:
    """Asks for the leases of this entry, and keeps the accounts of some engines.

    Questions and answers are datagrams: a later one replaces one that is lost. The keeper of an account is the
    entry that all which know the same entries agree on; one that isn't doesn't answer.
    """

    def __init__(
        self,
        *,
        surroundings: LeaseSurroundings,
        book: LeaseBook,
        clock: Callable[[], float],
        rng: random.Random,
        log: Log,
    ) -> None:
        self._surroundings = surroundings
        self._book = book
        self._clock = clock
        self._rng = rng
        self._log = log
        self._logged_at = float("-inf")
        self._numbers = itertools.count(1)
        # When each question without an answer was asked, and of which entry, by its number.
        self._asked: dict[int, tuple[float, str]] = {}
        # Requests that wait for a loan, by the number of their question.
        self._waiting: dict[int, _Borrower] = {}
        # Accounts by engine, and when each was last used.
        self._accounts: dict[str, tuple[EngineAccount, float]] = {}
        surroundings.on_message(EngineLeaseAsk, self._answer)
        surroundings.on_message(EngineLeaseGrant, self._take)

    async def borrow(self, request: LeasedRequest) -> bool:
        """Ask for a loan for a request that no lease lets begin; return whether it may begin now.

        The accounts of a few engines are asked one after another. Which ones is drawn, as all entries would meet at
        the engine that looks best to them.
        """
        now = self._clock()
        held = set(self._book.lenders(request.service, now=now))
        engines = [
            engine
            for engine in self._surroundings.asked_engines(request.service)
            if engine.name in held
        ]
        states = {engine.name: engine.state for engine in engines}
        uses = self._book.uses(request.service, states, now=now)
        for engine in self._rng.sample(engines, min(MAX_LENDERS, len(engines))):
            item = dataclasses.replace(
                _item(engine, request.service, uses[engine.name]),
                borrower=request.urgency_class,
                borrowed_tokens=float(request.prompt_tokens),
            )
            if await self._ask_loan(engine, item):
                self._book.note_lent(
                    engine.name,
                    request.service,
                    request.urgency_class,
                    prompt_tokens=float(request.prompt_tokens),
                    now=self._clock(),
                )
                return True
        return False

    async def _ask_loan(self, engine: AskedEngine, item: EngineLeaseItem) -> bool:
        """Ask the keeper of an engine's account for a loan; return whether it lends."""
        now = self._clock()
        keeper = account_owner(engine.name, engine.zone, self._surroundings.keepers())
        if keeper is None:
            return False
        question = self._question((item,), keeper=keeper, now=now)
        waiting = self._waiting[question.number] = _Borrower()
        end_expectation = self._surroundings.expect_reply(LOAN_TIMEOUT_S)
        try:
            if keeper == self._surroundings.name:
                self._take(self._grant(question, now=now))
            else:
                self._surroundings.send(question, keeper)
            with anyio.move_on_after(LOAN_TIMEOUT_S):
                await waiting.answered.wait()
        finally:
            end_expectation()
            del self._waiting[question.number]
        return waiting.is_lent

    async def run(self) -> None:
        """Ask for leases until cancelled."""
        while True:
            now = self._clock()
            self.ask(now=now)
            if now - self._logged_at >= LOG_INTERVAL_S:
                self._logged_at = now
                self._log_accounts(now)
            await anyio.sleep(ASK_INTERVAL_S)

    def ask(self, *, now: float) -> None:
        """Ask for the leases of all engines that this entry uses."""
        self._forget(now)
        self._book.set_classes(self._surroundings.classes())
        keepers = self._surroundings.keepers()
        entries = self._surroundings.count_entries()
        items_by_keeper: dict[str, list[EngineLeaseItem]] = collections.defaultdict(list)
        for service in self._surroundings.classes():
            engines = {engine.name: engine for engine in self._surroundings.asked_engines(service)}
            states = {name: engine.state for name, engine in engines.items()}
            for name, use in self._book.uses(service, states, now=now).items():
                engine = engines[name]
                self._book.keep_unleased_part(
                    name,
                    service,
                    prompt_per_s=engine.state.prompt_per_s,
                    entries=entries,
                    now=now,
                )
                keeper = account_owner(name, engine.zone, keepers)
                if keeper is not None:
                    items_by_keeper[keeper].append(_item(engine, service, use))
        for keeper, items in items_by_keeper.items():
            question = self._question(tuple(items), keeper=keeper, now=now)
            if keeper == self._surroundings.name:
                self._take(self._grant(question, now=now))
            else:
                self._surroundings.send(question, keeper)

    def _log_accounts(self, now: float) -> None:
        for name, (account, _) in self._accounts.items():
            pace = account.pace(now=now)
            if pace.streams:
                self._log.info(
                    "engine_account",
                    backend=name,
                    gap_s=round(pace.gap_s, 4),
                    streams=pace.streams,
                    reading=round(pace.reading, 3),
                    wanted_per_s=[round(rate) for rate in account.wanted_per_s(now=now)],
                    granted_per_s=[round(rate) for rate in account.granted_per_s(now=now)],
                )

    def dump(self) -> dict[str, Any]:
        """Return the accounts that this entry keeps and its leases, for operators."""
        now = self._clock()
        paces = {name: account.pace(now=now) for name, (account, _) in self._accounts.items()}
        return {
            "accounts": {
                name: {
                    "gap_s": round(pace.gap_s, 4),
                    "streams": pace.streams,
                    "reading": round(pace.reading, 3),
                }
                for name, pace in paces.items()
            },
            "leases": self._book.dump(now=now),
        }

    def _question(
        self, items: tuple[EngineLeaseItem, ...], *, keeper: str, now: float
    ) -> EngineLeaseAsk:
        number = next(self._numbers)
        self._asked[number] = (now, keeper)
        return EngineLeaseAsk(
            sender=self._surroundings.name,
            incarnation=self._surroundings.incarnation,
            number=number,
            items=items,
        )

    def _answer(self, question: Message) -> None:
        assert isinstance(question, EngineLeaseAsk)
        grant = self._grant(question, now=self._clock())
        if grant.items:
            self._surroundings.send(grant, question.sender)

    def _grant(self, question: EngineLeaseAsk, *, now: float) -> EngineLeaseGrant:
        keepers = self._surroundings.keepers()
        granted = []
        for item in question.items:
            if not _is_usable_item(item):
                continue
            zone = self._surroundings.zone_of(item.engine)
            if zone is None or account_owner(item.engine, zone, keepers) != self._surroundings.name:
                continue
            account = self._account(question.sender, item, now=now)
            lease = account.grant(question.sender, _use(item), now=now)
            is_lent = item.borrower is not None and account.lend(
                item.borrower, prompt_tokens=item.borrowed_tokens, now=now
            )
            granted.append(
                GrantedLease(
                    engine=item.engine,
                    service=item.service,
                    prompt_per_s=lease.prompt_per_s,
                    starts_per_s=lease.starts_per_s,
                    life_s=lease.life_s,
                    lent=is_lent,
                )
            )
        return EngineLeaseGrant(
            sender=self._surroundings.name,
            incarnation=question.incarnation,
            number=question.number,
            items=tuple(granted),
        )

    def _take(self, grant: Message) -> None:
        assert isinstance(grant, EngineLeaseGrant)
        if grant.incarnation != self._surroundings.incarnation:
            return
        asked_at, keeper = self._asked.get(grant.number, (0.0, None))
        if grant.sender != keeper:
            return
        del self._asked[grant.number]
        for item in grant.items:
            if not _is_usable_grant(item):
                continue
            lease = EngineLease(
                prompt_per_s=item.prompt_per_s, starts_per_s=item.starts_per_s, life_s=item.life_s
            )
            self._book.renew(item.engine, item.service, lease, asked_at=asked_at)
        waiting = self._waiting.get(grant.number)
        if waiting is not None:
            waiting.is_lent = any(item.lent for item in grant.items)
            waiting.answered.set()

    def _account(self, entry: str, item: EngineLeaseItem, *, now: float) -> EngineAccount:
        account, _ = self._accounts.get(item.engine, (None, now))
        if account is None:
            account = EngineAccount(slots=item.slots, prompt_per_s=item.speed, now=now)
        account.note_capacity(entry, slots=item.slots, prompt_per_s=item.speed)
        self._accounts[item.engine] = (account, now)
        return account

    def _forget(self, now: float) -> None:
        self._accounts = {
            name: item for name, item in self._accounts.items() if now - item[1] <= RETENTION_S
        }
        self._asked = {
            question_number: asked
            for question_number, asked in self._asked.items()
            if now - asked[0] <= RETENTION_S
        }
        self._book.forget(self._surroundings.engine_names())


def _item(engine: AskedEngine, service: str, use: EngineUse) -> EngineLeaseItem:
    return EngineLeaseItem(
        engine=engine.name,
        service=service,
        slots=engine.slots,
        speed=engine.state.prompt_per_s,
        prompt_per_s=use.prompt_per_s,
        starts_per_s=use.starts_per_s,
        begun_per_s=use.begun_per_s,
        streams=use.streams,
        gap_s=use.gap_s,
        stream_s=use.stream_s,
        owed_s=use.owed_s,
    )


def _are_amounts(values: Iterable[float]) -> bool:
    return all(number(value, most=MAX_AMOUNT) is not None for value in values)


def _is_usable_item(item: EngineLeaseItem) -> bool:
    """Return whether an account can count with what an entry states."""
    amounts = (
        item.slots,
        item.speed,
        item.streams,
        item.gap_s,
        item.stream_s,
        item.borrowed_tokens,
    )
    rates = item.prompt_per_s + item.starts_per_s + item.begun_per_s
    # Nothing is owed where the time is infinite; a comparison with NaN fails.
    owed_is_positive = all(owed_s > 0.0 for owed_s in item.owed_s)
    return item.speed > 0.0 and _are_amounts(amounts + rates) and owed_is_positive


def _is_usable_grant(item: GrantedLease) -> bool:
    """Return whether a lease has finite rates and ends soon."""
    is_short = number(item.life_s, most=RETENTION_S) is not None
    return is_short and _are_amounts(item.prompt_per_s + item.starts_per_s)


def _use(item: EngineLeaseItem) -> EngineUse:
    return EngineUse(
        prompt_per_s=item.prompt_per_s,
        starts_per_s=item.starts_per_s,
        begun_per_s=item.begun_per_s,
        streams=item.streams,
        gap_s=item.gap_s,
        stream_s=item.stream_s,
        owed_s=item.owed_s,
    )
