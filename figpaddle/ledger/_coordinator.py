"""One attempt of a non-idempotent request: collects the votes of a majority before dispatch."""

from __future__ import annotations

import dataclasses

from figpaddle.ledger._digests import RequestDigests, is_same_request
from figpaddle.ledger._quorum import majority
from figpaddle.wire import (
    LedgerAbandon,
    LedgerBegin,
    LedgerLook,
    LedgerRecord,
    LedgerSeen,
    LedgerVote,
    Message,
    RecordKey,
    SlotVote,
    Verdict,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotRequest:
    """A message to send to one slot; its reply, or None, goes to ``Coordinator.handle``."""

    #: Slot that receives the message.
    slot: str
    #: The message to send.
    message: Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """A majority accepted the attempt, which may now be sent to a backend server."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyTaken:
    """The key is recorded for another attempt; this attempt must not be sent."""

    #: Record of the other attempt, with its answer if that is known.
    record: LedgerRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """Too few slots voted; this attempt must not be sent, but an earlier one may have been."""


Decision = Granted | KeyTaken | Unavailable


class Coordinator:
    """Requests the votes of a region's slots one after another.

    Each vote request lists the votes received so far, so that a slot can refuse if it knows that
    one of those voters has since lost its state. Parallel requests could not carry that list.

    >>> key = RecordKey(member="hanbit", client="desk", key="f-1")
    >>> coordinator = Coordinator(
    ...     slots=("a",),
    ...     key=key,
    ...     service="filing",
    ...     digests=RequestDigests(digest=b""),
    ...     attempt="1",
    ... )
    >>> coordinator.start().slot
    'a'
    >>> coordinator.handle(LedgerVote(verdict=Verdict.ACCEPTED, incarnation=7))
    Granted()
    """

    def __init__(
        self,
        *,
        slots: tuple[str, ...],
        key: RecordKey,
        service: str,
        digests: RequestDigests,
        attempt: str,
    ) -> None:
        self._slots = slots
        self._key = key
        self._service = service
        self._digests = digests
        self._attempt = attempt
        self._next_index = 0
        self._votes: tuple[SlotVote, ...] = ()
        self._conflicting_record: LedgerRecord | None = None
        self._slots_to_read: list[str] = []

    def start(self) -> SlotRequest:
        """Return the first vote request."""
        return self._next_vote_request()

    def handle(self, reply: Message | None) -> SlotRequest | Decision:
        """Process the reply to the last message, None if there was none, and return the next step.

        After a conflict with an unfinished record, the other slots are read once each, since one
        of them may already know how that attempt finished.
        """
        if self._conflicting_record is not None:
            return self._handle_read_reply(self._conflicting_record, reply)
        slot = self._slots[self._next_index]
        self._next_index += 1
        if isinstance(reply, LedgerVote):
            if reply.verdict is Verdict.CONFLICT and reply.record is not None:
                return self._handle_conflict(reply.record, slot)
            if reply.verdict is Verdict.STALE:
                return Unavailable()
            if reply.verdict is Verdict.ACCEPTED:
                vote = SlotVote(slot=slot, incarnation=reply.incarnation)
                self._votes = (*self._votes, vote)
        if len(self._votes) >= majority(len(self._slots)):
            return Granted()
        if self._next_index == len(self._slots):
            return Unavailable()
        return self._next_vote_request()

    def abandon_message(self) -> LedgerAbandon:
        """Return the message that releases the key at every slot if the attempt is never sent."""
        return LedgerAbandon(key=self._key, attempt=self._attempt)

    def finished_record(self, *, now: float) -> LedgerRecord:
        """Return the record of the finished attempt, without an answer."""
        return LedgerRecord(
            key=self._key,
            digest=self._digests.digest,
            exact_digest=self._digests.exact_digest,
            attempt=self._attempt,
            begun_at=now,
            finished=True,
        )

    def _next_vote_request(self) -> SlotRequest:
        begin = LedgerBegin(
            key=self._key,
            service=self._service,
            digest=self._digests.digest,
            exact_digest=self._digests.exact_digest,
            attempt=self._attempt,
            votes=self._votes,
            slots=self._slots,
        )
        return SlotRequest(slot=self._slots[self._next_index], message=begin)

    def _handle_conflict(self, record: LedgerRecord, slot: str) -> SlotRequest | Decision:
        if record.finished or not is_same_request(record, self._digests):
            return KeyTaken(record=record)
        self._conflicting_record = record
        self._slots_to_read = [other for other in self._slots if other != slot]
        return self._read_next_slot(record)

    def _handle_read_reply(
        self, conflict: LedgerRecord, reply: Message | None
    ) -> SlotRequest | Decision:
        if isinstance(reply, LedgerSeen) and reply.record is not None and reply.record.finished:
            return KeyTaken(record=reply.record)
        return self._read_next_slot(conflict)

    def _read_next_slot(self, conflict: LedgerRecord) -> SlotRequest | Decision:
        if not self._slots_to_read:
            return KeyTaken(record=conflict)
        message = LedgerLook(key=self._key, service=self._service)
        return SlotRequest(slot=self._slots_to_read.pop(0), message=message)
