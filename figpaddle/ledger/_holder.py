"""One slot (replica) of a region's ledger: votes on attempts and stores their records."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from figpaddle.ledger._digests import is_same_request
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

#: A recovery page ends once the estimated size of its records reaches this, bytes.
PAGE_SIZE_BYTES = 512 * 1024
#: Estimated size of a record without its answer's body, bytes.
RECORD_OVERHEAD_BYTES = 256
#: Abandoned attempts that a recovering slot remembers; further ones keep their keys until they expire.
MAX_ABANDONED_ATTEMPTS = 4096


@dataclasses.dataclass(frozen=True, kw_only=True)
class HolderOutput:
    """Outcome of one event: entries to store, then a reply to send."""

    #: Entries that must be durable before the reply is sent.
    store: tuple[Message, ...] = ()
    #: The reply, if the event is a request.
    reply: Message | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class HolderSettings:
    """Settings of a holder."""

    #: Its own slot.
    slot: str
    #: All slots of the region in the order in which coordinators contact them.
    slots: tuple[str, ...]
    #: How long a record is kept, seconds.
    retention_s: float
    #: Wall-clock time before which no process of the slot votes, seconds; None if unknown. A process
    #: that starts earlier therefore can't have lost votes of a previous one.
    voting_from: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecoverySource:
    """State of another intact slot, read in full by a recovering holder."""

    #: The slot that was read.
    slot: str
    #: Its records.
    records: tuple[LedgerRecord, ...]
    #: The newest incarnations that it knew, its own included.
    known: tuple[SlotVote, ...]


class Holder:
    """State of one slot.

    The state is a write-once register for each key: the first attempt that arrives is accepted,
    and every later one gets the record of the first in reply. A holder whose state may have been
    lost doesn't vote until it has read the records that it may have lost from enough other slots,
    or until all of them have expired.

    >>> settings = HolderSettings(slot="a", slots=("a",), retention_s=60.0, voting_from=10.0)
    >>> holder = Holder(settings=settings, incarnation=1, started_at=9.0)
    >>> holder.poll(now=9.5), holder.voting
    (HolderOutput(store=(), reply=None), False)
    >>> holder.poll(now=10.0).store[0].voting, holder.voting
    (True, True)
    """

    def __init__(self, *, settings: HolderSettings, incarnation: int, started_at: float) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._started_at = started_at
        self._voting = False
        self._records: dict[RecordKey, LedgerRecord] = {}
        self._known_incarnations: dict[str, int] = {}
        #: For each recovering slot, its incarnation and the keys of the records to send to it.
        self._recovery_snapshots: dict[str, tuple[int, tuple[RecordKey, ...]]] = {}
        #: Attempts that were abandoned during a recovery, whose records may have been read before.
        self._abandoned_attempts: set[tuple[RecordKey, str]] = set()

    @property
    def voting(self) -> bool:
        """Whether the state is complete, so that the slot may vote."""
        return self._voting

    @property
    def incarnation(self) -> int:
        """Incarnation of the slot's state; increases each time the state is lost."""
        return self._incarnation

    @property
    def records(self) -> int:
        """Number of records."""
        return len(self._records)

    def load(self, entries: Iterable[Message]) -> None:
        """Restore the state from entries that an earlier process of this slot stored, in order.

        An incomplete recovery lacks the last entry, which lets the slot vote; its records are
        dropped.
        """
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
                self._known_incarnations[entry.known.slot] = entry.known.incarnation
        if not self._voting:
            self._records.clear()
            self._known_incarnations.clear()

    def snapshot(self, *, now: float) -> tuple[Message, ...]:
        """Return entries from which ``load`` restores the state, without expired records."""
        self._remove_expired(now)
        known = tuple(StoredIncarnation(known=vote) for vote in self._known_slot_incarnations())
        records = tuple(StoredRecord(record=record) for record in self._records.values())
        return (self._state_entry(), *known, *records)

    def poll(self, *, now: float) -> HolderOutput:
        """Start voting once every record that may have been lost has expired.

        That is the case if the slot has never voted before this process, or if this process has
        run for at least the retention time.
        """
        self._remove_expired(now)
        if self._voting:
            return HolderOutput()
        voting_from = self._settings.voting_from
        never_voted_before = voting_from is not None and self._started_at < voting_from <= now
        lost_records_expired = now - self._started_at >= self._settings.retention_s
        if not never_voted_before and not lost_records_expired:
            return HolderOutput()
        self._voting = True
        self._abandoned_attempts.clear()
        return HolderOutput(store=(self._state_entry(),))

    def raise_incarnation(self, at_least: int) -> None:
        """Raise the incarnation to ``at_least``, unless the slot votes already."""
        if not self._voting:
            self._incarnation = max(self._incarnation, at_least)

    def recover_from(self, sources: tuple[RecoverySource, ...]) -> HolderOutput:
        """Recover from the state of other intact slots and start voting, if there are enough.

        The entry that lets the slot vote comes last, so that a partly stored recovery is not
        mistaken for a complete state.
        """
        if self._voting or len(sources) < recovery_size(len(self._settings.slots)):
            return HolderOutput()
        for source in sources:
            for record in source.records:
                if not record.finished and (record.key, record.attempt) in self._abandoned_attempts:
                    continue
                existing = self._records.get(record.key)
                self._records[record.key] = (
                    record if existing is None else _merge_records(existing, record)
                )
            for vote in source.known:
                if vote.slot != self._settings.slot:
                    newest_known = max(self._known_incarnations.get(vote.slot, 0), vote.incarnation)
                    self._known_incarnations[vote.slot] = newest_known
        self._records = dict(sorted(self._records.items(), key=lambda item: item[1].begun_at))
        self._voting = True
        self._abandoned_attempts.clear()
        records = tuple(StoredRecord(record=record) for record in self._records.values())
        known_entries = tuple(
            StoredIncarnation(known=vote) for vote in self._known_slot_incarnations()
        )
        return HolderOutput(store=(*records, *known_entries, self._state_entry()))

    def handle(self, event: Message, *, now: float) -> HolderOutput:
        """Process a ledger message and return its outcome."""
        self._remove_expired(now)
        if isinstance(event, LedgerBegin):
            return self._begin(event, now)
        if isinstance(event, LedgerFinish):
            return self._finish(event, now)
        if isinstance(event, LedgerAbandon):
            return self._abandon(event)
        if isinstance(event, LedgerLook):
            return HolderOutput(reply=LedgerSeen(record=self._records.get(event.key)))
        if isinstance(event, LedgerRecover):
            return self._recover(event)
        return HolderOutput()

    def _begin(self, begin: LedgerBegin, now: float) -> HolderOutput:
        if not self._voting or begin.slots != self._settings.slots:
            return self._vote_reply(Verdict.NOT_VOTING)
        if any(
            vote.incarnation < self._known_incarnations.get(vote.slot, 0) for vote in begin.votes
        ):
            return self._vote_reply(Verdict.STALE)
        existing = self._records.get(begin.key)
        if existing is None:
            record = LedgerRecord(
                key=begin.key,
                digest=begin.digest,
                exact_digest=begin.exact_digest,
                attempt=begin.attempt,
                begun_at=now,
            )
            self._records[begin.key] = record
            stored = StoredRecord(record=record)
            return dataclasses.replace(self._vote_reply(Verdict.ACCEPTED), store=(stored,))
        if existing.attempt == begin.attempt and not existing.finished:
            return self._vote_reply(Verdict.ACCEPTED)
        if not is_same_request(existing, begin):
            existing = dataclasses.replace(existing, answer=None)
        return self._vote_reply(Verdict.CONFLICT, existing)

    def _vote_reply(self, verdict: Verdict, record: LedgerRecord | None = None) -> HolderOutput:
        return HolderOutput(
            reply=LedgerVote(verdict=verdict, incarnation=self._incarnation, record=record)
        )

    def _finish(self, finish: LedgerFinish, now: float) -> HolderOutput:
        record = finish.record
        existing = self._records.get(record.key)
        if not self._voting or (existing is not None and existing.attempt != record.attempt):
            return HolderOutput(reply=LedgerKept(kept=False))
        begun_at = now if existing is None else existing.begun_at
        kept = dataclasses.replace(record, finished=True, begun_at=begun_at)
        self._records[record.key] = kept
        return HolderOutput(store=(StoredRecord(record=kept),), reply=LedgerKept(kept=True))

    def _abandon(self, abandon: LedgerAbandon) -> HolderOutput:
        if not self._voting and len(self._abandoned_attempts) < MAX_ABANDONED_ATTEMPTS:
            self._abandoned_attempts.add((abandon.key, abandon.attempt))
        existing = self._records.get(abandon.key)
        if existing is None or existing.finished or existing.attempt != abandon.attempt:
            return HolderOutput(reply=LedgerKept(kept=False))
        del self._records[abandon.key]
        return HolderOutput(store=(StoredRelease(key=abandon.key),), reply=LedgerKept(kept=True))

    def _recover(self, event: LedgerRecover) -> HolderOutput:
        newest_known = self._known_incarnations.get(event.slot, 0)
        if not self._voting or event.slot not in self._settings.slots:
            return HolderOutput(reply=LedgerPage(intact=False))
        if event.incarnation < newest_known:
            return HolderOutput(
                reply=LedgerPage(intact=False, known=self._known_slot_incarnations())
            )
        store: tuple[Message, ...] = ()
        if event.incarnation > newest_known:
            self._known_incarnations[event.slot] = event.incarnation
            vote = SlotVote(slot=event.slot, incarnation=event.incarnation)
            store = (StoredIncarnation(known=vote),)
        if event.offset == 0:
            self._recovery_snapshots[event.slot] = (event.incarnation, tuple(self._records))
        return HolderOutput(store=store, reply=self._recovery_page(event))

    def _recovery_page(self, event: LedgerRecover) -> LedgerPage:
        incarnation, snapshot_keys = self._recovery_snapshots.get(event.slot, (0, ()))
        if incarnation != event.incarnation:
            return LedgerPage(intact=False)
        records: list[LedgerRecord] = []
        size = 0
        offset = event.offset
        while offset < len(snapshot_keys) and size < PAGE_SIZE_BYTES:
            record = self._records.get(snapshot_keys[offset])
            offset += 1
            if record is not None:
                records.append(record)
                size += RECORD_OVERHEAD_BYTES + (len(record.answer.body) if record.answer else 0)
        is_last = offset >= len(snapshot_keys)
        if is_last:
            del self._recovery_snapshots[event.slot]
        return LedgerPage(
            intact=True,
            records=tuple(records),
            known=(*self._known_slot_incarnations(), self._own_slot_incarnation()),
            next_offset=None if is_last else offset,
        )

    def _state_entry(self) -> StoredMemory:
        return StoredMemory(
            slot=self._settings.slot,
            slots=self._settings.slots,
            incarnation=self._incarnation,
            voting=self._voting,
        )

    def _known_slot_incarnations(self) -> tuple[SlotVote, ...]:
        return tuple(
            SlotVote(slot=slot, incarnation=number)
            for slot, number in sorted(self._known_incarnations.items())
        )

    def _own_slot_incarnation(self) -> SlotVote:
        return SlotVote(slot=self._settings.slot, incarnation=self._incarnation)

    def _remove_expired(self, now: float) -> None:
        expired_before = now - self._settings.retention_s
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.begun_at > expired_before:
                return
            del self._records[key]


def _merge_records(first: LedgerRecord, second: LedgerRecord) -> LedgerRecord:
    """Return the record that a recovering slot keeps for a key that two other slots know.

    A finished record wins. Otherwise the lost state may have accepted either of two attempts, so
    the merged record names neither and conflicts with both.
    """
    if first.finished or second.finished:
        return first if first.finished else second
    if first.attempt == second.attempt:
        return first if first.begun_at >= second.begun_at else second
    return dataclasses.replace(first, attempt="", begun_at=max(first.begun_at, second.begun_at))
