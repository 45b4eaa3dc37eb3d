"""One slot of a region's ledger: it votes on attempts and keeps their records."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from figpaddle.ledger._quorum import recovery_size
from figpaddle.wire import (
    LedgerAbandon,
    LedgerBegin,
    LedgerFinish,
    LedgerKept,
    LedgerLook,
    LedgerPage,
    LedgerRecord,
    LedgerRecover,
    LedgerSeen,
    LedgerVote,
    Message,
    RecordKey,
    SlotVote,
    StoredIncarnation,
    StoredMemory,
    StoredRecord,
    StoredRelease,
    Verdict,
)

#: A page of a recovery ends after this much, bytes.
PAGE_BYTES = 512 * 1024
#: What a record counts for besides its answer, bytes.
RECORD_BYTES = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """What follows from an event: entries to store first, then a reply."""

    #: Entries that must be durable before the reply leaves.
    store: tuple[Message, ...] = ()
    #: The reply, if the event asks for one.
    reply: Message | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class HolderSettings:
    """What a holder is told at its start."""

    #: Its own slot.
    slot: str
    #: All slots of the region in the order in which they are asked.
    slots: tuple[str, ...]
    #: How long a record is kept, seconds.
    retention_s: float
    #: The slot gives no vote before this moment, seconds of wall-clock time; None if unknown.
    voting_from: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecoveredSlot:
    """All that another intact holder returned to a recovering one."""

    #: The slot that was read.
    slot: str
    #: Its records.
    records: tuple[LedgerRecord, ...]
    #: The incarnations that it knew.
    known: tuple[SlotVote, ...]


class Holder:
    """Memory of one slot.

    The memory is a write-once register for each key: the first attempt that arrives is accepted,
    and every later one is shown the record of the first. A holder whose memory may have been
    lost doesn't vote until it has read what it may have forgotten from enough other slots.

    >>> settings = HolderSettings(slot="a", slots=("a",), retention_s=60.0, voting_from=10.0)
    >>> holder = Holder(settings=settings, incarnation=1, started_at=9.0)
    >>> holder.poll(now=9.5), holder.voting
    (Step(store=(), reply=None), False)
    >>> holder.poll(now=10.0).store[0].voting, holder.voting
    (True, True)
    """

    def __init__(self, *, settings: HolderSettings, incarnation: int, started_at: float) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._started_at = started_at
        self._voting = False
        self._records: dict[RecordKey, LedgerRecord] = {}
        self._known: dict[str, int] = {}
        self._snapshots: dict[str, tuple[int, tuple[RecordKey, ...]]] = {}

    @property
    def voting(self) -> bool:
        """Whether the memory is complete, so that the slot may vote."""
        return self._voting

    @property
    def incarnation(self) -> int:
        """Number of the memory; a lost memory is followed by one with a higher number."""
        return self._incarnation

    @property
    def records(self) -> int:
        """How many records it keeps."""
        return len(self._records)

    def load(self, entries: Iterable[Message]) -> None:
        """Take in what an earlier process of this slot stored, in order."""
        for entry in entries:
            if isinstance(entry, StoredMemory):
                self._incarnation = max(self._incarnation, entry.incarnation)
                if entry.voting:
                    self._incarnation = entry.incarnation
                self._voting = entry.voting
            elif isinstance(entry, StoredRecord):
                self._records[entry.record.key] = entry.record
            elif isinstance(entry, StoredRelease):
                self._records.pop(entry.key, None)
            elif isinstance(entry, StoredIncarnation):
                self._known[entry.known.slot] = entry.known.incarnation
        if not self._voting:
            self._records.clear()
            self._known.clear()

    def snapshot(self, *, now: float) -> tuple[Message, ...]:
        """Return entries from which ``load`` makes the present memory, without expired records."""
        self._expire(now)
        known = tuple(StoredIncarnation(known=vote) for vote in self._known_votes())
        records = tuple(StoredRecord(record=record) for record in self._records.values())
        return (self._memory(), *known, *records)

    def poll(self, *, now: float) -> Step:
        """Begin to vote if nothing can have been forgotten that still counts."""
        self._expire(now)
        if self._voting:
            return Step()
        voting_from = self._settings.voting_from
        never_voted = voting_from is not None and self._started_at < voting_from <= now
        all_expired = now - self._started_at >= self._settings.retention_s
        if not never_voted and not all_expired:
            return Step()
        self._voting = True
        return Step(store=(self._memory(),))

    def raise_incarnation(self, at_least: int) -> None:
        """Take a higher number for a memory that does not vote yet."""
        if not self._voting:
            self._incarnation = max(self._incarnation, at_least)

    def adopt(self, sources: tuple[RecoveredSlot, ...]) -> Step:
        """Take in the memories of other intact slots; vote again if they are enough."""
        if self._voting or len(sources) < recovery_size(len(self._settings.slots)):
            return Step()
        for source in sources:
            for record in source.records:
                known = self._records.get(record.key)
                self._records[record.key] = record if known is None else _merge(known, record)
            for vote in source.known:
                if vote.slot != self._settings.slot:
                    newest = max(self._known.get(vote.slot, 0), vote.incarnation)
                    self._known[vote.slot] = newest
        self._records = dict(sorted(self._records.items(), key=lambda item: item[1].begun_at))
        self._voting = True
        records = tuple(StoredRecord(record=record) for record in self._records.values())
        known_entries = tuple(StoredIncarnation(known=vote) for vote in self._known_votes())
        return Step(store=(*records, *known_entries, self._memory()))

    def handle(self, event: Message, *, now: float) -> Step:
        """Return what follows from a message of the ledger."""
        self._expire(now)
        if isinstance(event, LedgerBegin):
            return self._begin(event, now)
        if isinstance(event, LedgerFinish):
            return self._finish(event, now)
        if isinstance(event, LedgerAbandon):
            return self._abandon(event)
        if isinstance(event, LedgerLook):
            return Step(reply=LedgerSeen(record=self._records.get(event.key)))
        if isinstance(event, LedgerRecover):
            return self._recover(event)
        return Step()

    def _begin(self, begin: LedgerBegin, now: float) -> Step:
        if not self._voting or begin.slots != self._settings.slots:
            return self._vote(Verdict.NOT_VOTING)
        if any(vote.incarnation < self._known.get(vote.slot, 0) for vote in begin.votes):
            return self._vote(Verdict.STALE)
        known = self._records.get(begin.key)
        if known is None:
            record = LedgerRecord(
                key=begin.key, digest=begin.digest, attempt=begin.attempt, begun_at=now
            )
            self._records[begin.key] = record
            stored = StoredRecord(record=record)
            return dataclasses.replace(self._vote(Verdict.ACCEPTED), store=(stored,))
        if known.attempt == begin.attempt and not known.finished:
            return self._vote(Verdict.ACCEPTED)
        if known.digest != begin.digest:
            known = dataclasses.replace(known, answer=None)
        return self._vote(Verdict.CONFLICT, known)

    def _vote(self, verdict: Verdict, record: LedgerRecord | None = None) -> Step:
        return Step(reply=LedgerVote(verdict=verdict, incarnation=self._incarnation, record=record))

    def _finish(self, finish: LedgerFinish, now: float) -> Step:
        record = finish.record
        known = self._records.get(record.key)
        if not self._voting or (known is not None and known.attempt != record.attempt):
            return Step(reply=LedgerKept(kept=False))
        begun_at = now if known is None else known.begun_at
        kept = dataclasses.replace(record, finished=True, begun_at=begun_at)
        self._records[record.key] = kept
        return Step(store=(StoredRecord(record=kept),), reply=LedgerKept(kept=True))

    def _abandon(self, abandon: LedgerAbandon) -> Step:
        known = self._records.get(abandon.key)
        if known is None or known.finished or known.attempt != abandon.attempt:
            return Step(reply=LedgerKept(kept=False))
        del self._records[abandon.key]
        return Step(store=(StoredRelease(key=abandon.key),), reply=LedgerKept(kept=True))

    def _recover(self, event: LedgerRecover) -> Step:
        newest = self._known.get(event.slot, 0)
        if not self._voting or event.slot not in self._settings.slots:
            return Step(reply=LedgerPage(intact=False))
        if event.incarnation < newest:
            return Step(reply=LedgerPage(intact=False, known=self._known_votes()))
        store: tuple[Message, ...] = ()
        if event.incarnation > newest:
            self._known[event.slot] = event.incarnation
            vote = SlotVote(slot=event.slot, incarnation=event.incarnation)
            store = (StoredIncarnation(known=vote),)
        if event.offset == 0:
            self._snapshots[event.slot] = (event.incarnation, tuple(self._records))
        return Step(store=store, reply=self._page(event))

    def _page(self, event: LedgerRecover) -> LedgerPage:
        incarnation, keys = self._snapshots.get(event.slot, (0, ()))
        if incarnation != event.incarnation:
            return LedgerPage(intact=False)
        records: list[LedgerRecord] = []
        size = 0
        offset = event.offset
        while offset < len(keys) and size < PAGE_BYTES:
            record = self._records.get(keys[offset])
            offset += 1
            if record is not None:
                records.append(record)
                size += RECORD_BYTES + (len(record.answer.body) if record.answer else 0)
        last = offset >= len(keys)
        if last:
            del self._snapshots[event.slot]
        return LedgerPage(
            intact=True,
            records=tuple(records),
            known=(*self._known_votes(), self._own_vote()),
            next_offset=None if last else offset,
        )

    def _memory(self) -> StoredMemory:
        return StoredMemory(
            slot=self._settings.slot,
            slots=self._settings.slots,
            incarnation=self._incarnation,
            voting=self._voting,
        )

    def _known_votes(self) -> tuple[SlotVote, ...]:
        return tuple(
            SlotVote(slot=slot, incarnation=number) for slot, number in sorted(self._known.items())
        )

    def _own_vote(self) -> SlotVote:
        return SlotVote(slot=self._settings.slot, incarnation=self._incarnation)

    def _expire(self, now: float) -> None:
        oldest = now - self._settings.retention_s
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.begun_at > oldest:
                return
            del self._records[key]


def _merge(one: LedgerRecord, other: LedgerRecord) -> LedgerRecord:
    """Return what a recovering slot may say of a key that two others know."""
    if one.finished or other.finished:
        return one if one.finished else other
    if one.attempt == other.attempt:
        return one if one.begun_at >= other.begun_at else other
    return dataclasses.replace(one, attempt="", begun_at=max(one.begun_at, other.begun_at))
