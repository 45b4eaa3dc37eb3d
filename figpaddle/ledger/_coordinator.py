"""One attempt of a non-idempotent request: collects votes until it is granted or refused."""

from __future__ import annotations

import dataclasses

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
class Ask:
    """Send a message to one slot and hand its reply, or None, to ``Coordinator.handle``."""

    #: The slot to ask.
    slot: str
    #: What to ask.
    item: Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """The attempt may be sent to a backend server."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settled:
    """Another attempt has the key; the attempt must not be sent."""

    #: What is known of the other attempt.
    record: LedgerRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """Too few slots voted; the attempt must not be sent, and an earlier one may have been."""


Decision = Granted | Settled | Unavailable


class Coordinator:
    """Asks the slots of a region one after another.

    Each question lists the votes given so far, so that a slot which knows that one of the voters
    lost its memory since refuses. Asking several slots at once would lose that protection.

    >>> key = RecordKey(member="hanbit", client="desk", key="f-1")
    >>> one = Coordinator(slots=("a",), key=key, service="filing", digest=b"", attempt="1")
    >>> one.start().slot
    'a'
    >>> one.handle(LedgerVote(verdict=Verdict.ACCEPTED, incarnation=7))
    Granted()
    """

    def __init__(
        self, *, slots: tuple[str, ...], key: RecordKey, service: str, digest: bytes, attempt: str
    ) -> None:
        self._slots = slots
        self._key = key
        self._service = service
        self._digest = digest
        self._attempt = attempt
        self._position = 0
        self._votes: tuple[SlotVote, ...] = ()
        self._conflict: LedgerRecord | None = None
        self._to_look: list[str] = []

    def start(self) -> Ask:
        """Return the first question."""
        return self._ask()

    def handle(self, reply: Message | None) -> Ask | Decision:
        """Return what follows from the reply to the last question; None stands for no reply."""
        if self._conflict is not None:
            return self._look(self._conflict, reply)
        slot = self._slots[self._position]
        self._position += 1
        if isinstance(reply, LedgerVote):
            if reply.verdict is Verdict.CONFLICT and reply.record is not None:
                return self._meet(reply.record, slot)
            if reply.verdict is Verdict.STALE:
                return Unavailable()
            if reply.verdict is Verdict.ACCEPTED:
                vote = SlotVote(slot=slot, incarnation=reply.incarnation)
                self._votes = (*self._votes, vote)
        if len(self._votes) >= majority(len(self._slots)):
            return Granted()
        if self._position == len(self._slots):
            return Unavailable()
        return self._ask()

    def abandonment(self) -> LedgerAbandon:
        """Return what to tell every slot where the attempt will never be sent."""
        return LedgerAbandon(key=self._key, attempt=self._attempt)

    def finished_record(self, *, now: float) -> LedgerRecord:
        """Return the record of the finished attempt, without an answer."""
        return LedgerRecord(
            key=self._key,
            digest=self._digest,
            attempt=self._attempt,
            begun_at=now,
            finished=True,
        )

    def _ask(self) -> Ask:
        begin = LedgerBegin(
            key=self._key,
            service=self._service,
            digest=self._digest,
            attempt=self._attempt,
            votes=self._votes,
            slots=self._slots,
        )
        return Ask(slot=self._slots[self._position], item=begin)

    def _meet(self, record: LedgerRecord, slot: str) -> Ask | Decision:
        if record.finished or record.digest != self._digest:
            return Settled(record=record)
        self._conflict = record
        self._to_look = [other for other in self._slots if other != slot]
        return self._next_look(record)

    def _look(self, conflict: LedgerRecord, reply: Message | None) -> Ask | Decision:
        if isinstance(reply, LedgerSeen) and reply.record is not None and reply.record.finished:
            return Settled(record=reply.record)
        return self._next_look(conflict)

    def _next_look(self, conflict: LedgerRecord) -> Ask | Decision:
        if not self._to_look:
            return Settled(record=conflict)
        item = LedgerLook(key=self._key, service=self._service)
        return Ask(slot=self._to_look.pop(0), item=item)
