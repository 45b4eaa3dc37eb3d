"""Drives real holders and coordinators of one key through a random interleaving."""

from __future__ import annotations

import dataclasses
import random

from figpaddle.ledger import (
    Ask,
    Coordinator,
    Granted,
    Holder,
    HolderSettings,
    RecoveredSlot,
    Settled,
    Step,
)
from figpaddle.wire import (
    LedgerFinish,
    LedgerPage,
    LedgerRecord,
    LedgerRecover,
    Message,
    RecordKey,
)

KEY = RecordKey(member="hanbit", client="desk", key="f-1")
RETENTION_S = 1e9
STEPS = 60


@dataclasses.dataclass(kw_only=True)
class Slot:
    """One holder, what is durable of it, and its recovery so far."""

    holder: Holder
    disk: bool
    durable: list[Message] = dataclasses.field(default_factory=list)
    sources: dict[str, RecoveredSlot] = dataclasses.field(default_factory=dict)
    pages: dict[str, list[LedgerRecord]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """One entry instance's attempt."""

    coordinator: Coordinator
    ask: Ask | None = None
    state: str = "new"


class RandomRun:
    """Some slots and attempts that a seeded generator moves."""

    def __init__(self, *, slots: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._now = 1.0
        self._incarnation = 0
        self._names = tuple(f"slot-{number}" for number in range(slots))
        self._slots = {name: self._first(name) for name in self._names}
        self._attempts = [self._attempt(number) for number in range(3)]
        self.runs = 0

    def run(self) -> int:
        """Return how often the request was sent to a backend server."""
        for _ in range(STEPS):
            self._now += 1.0
            move = self._rng.choices(
                (self._move_attempt, self._lose, self._restart, self._recover),
                weights=(6, 1, 1, 6),
            )[0]
            move()
        return self.runs

    def _settings(self, name: str, voting_from: float | None) -> HolderSettings:
        return HolderSettings(
            slot=name, slots=self._names, retention_s=RETENTION_S, voting_from=voting_from
        )

    def _first(self, name: str) -> Slot:
        holder = Holder(settings=self._settings(name, 1.0), incarnation=0, started_at=0.0)
        slot = Slot(holder=holder, disk=self._rng.random() < 0.5)
        self._keep(slot, holder.poll(now=1.0))
        return slot

    def _attempt(self, number: int) -> Attempt:
        coordinator = Coordinator(
            slots=self._names, key=KEY, service="s", digest=b"d", attempt=f"attempt-{number}"
        )
        return Attempt(coordinator=coordinator)

    def _keep(self, slot: Slot, step: Step) -> None:
        if slot.disk:
            slot.durable.extend(step.store)

    def _deliver(self, name: str, item: Message) -> Message | None:
        slot = self._slots[name]
        step = slot.holder.handle(item, now=self._now)
        if slot.disk and step.store and self._rng.random() < 0.05:
            self._start(name, slot.durable)
            return None
        self._keep(slot, step)
        return None if self._rng.random() < 0.2 else step.reply

    def _move_attempt(self) -> None:
        attempt = self._rng.choice(self._attempts)
        if attempt.state == "new":
            attempt.ask = attempt.coordinator.start()
            attempt.state = "asking"
        elif attempt.state == "asking" and attempt.ask is not None:
            reply = None
            if self._rng.random() < 0.85:
                reply = self._deliver(attempt.ask.slot, attempt.ask.item)
            self._follow(attempt, attempt.coordinator.handle(reply))
        elif attempt.state == "granted":
            self.runs += 1
            attempt.state = "sent"
        elif attempt.state == "sent":
            record = attempt.coordinator.finished_record(now=self._now)
            self._deliver(self._rng.choice(self._names), LedgerFinish(record=record, service="s"))
        elif attempt.state == "refused":
            self._deliver(self._rng.choice(self._names), attempt.coordinator.abandonment())

    def _follow(self, attempt: Attempt, step: object) -> None:
        if isinstance(step, Ask):
            attempt.ask = step
        elif isinstance(step, Granted):
            attempt.state = "granted" if self._rng.random() < 0.9 else "refused"
        else:
            attempt.state = "settled" if isinstance(step, Settled) else "refused"

    def _lose(self) -> None:
        self._start(self._rng.choice(self._names), [])

    def _restart(self) -> None:
        name = self._rng.choice(self._names)
        self._start(name, self._slots[name].durable)

    def _start(self, name: str, durable: list[Message]) -> None:
        self._incarnation += 1
        holder = Holder(
            settings=self._settings(name, None),
            incarnation=self._incarnation,
            started_at=self._now,
        )
        holder.load(durable)
        self._slots[name] = Slot(holder=holder, disk=self._slots[name].disk, durable=list(durable))

    def _recover(self) -> None:
        name = self._rng.choice(self._names)
        slot = self._slots[name]
        self._keep(slot, slot.holder.poll(now=self._now))
        others = [other for other in self._names if other != name and other not in slot.sources]
        if slot.holder.voting or not others:
            return
        other = self._rng.choice(others)
        read = slot.pages.setdefault(other, [])
        question = LedgerRecover(slot=name, incarnation=slot.holder.incarnation, offset=len(read))
        page = self._deliver(other, question)
        if not isinstance(page, LedgerPage) or not page.intact:
            slot.pages.pop(other, None)
            return
        read.extend(page.records)
        if page.next_offset is None:
            slot.sources[other] = RecoveredSlot(slot=other, records=tuple(read), known=page.known)
        self._keep(slot, slot.holder.adopt(tuple(slot.sources.values())))
