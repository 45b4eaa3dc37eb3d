"""Messages and stored entries of the ledger of non-idempotent requests."""

from __future__ import annotations

import dataclasses
import enum

from figpaddle.wire._codec import Message, message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordKey:
    """What a record is found by; the key of a client means nothing to another client."""

    #: Member whose request it is.
    member: str
    #: Client whose request it is.
    client: str
    #: Idempotency key that the client chose.
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordedAnswer:
    """A whole answer, kept to be replayed."""

    #: HTTP status.
    status: int
    #: HTTP headers of the backend server.
    headers: tuple[tuple[str, str], ...]
    #: Body, whole.
    body: bytes
    #: Backend server that answered.
    backend: str
    #: Instance that talked to the backend server.
    instance: str
    #: Region that the request was served in.
    region: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LedgerRecord:
    """What one holder knows of one request."""

    #: What it is found by.
    key: RecordKey
    #: Digest of method, target and body.
    digest: bytes
    #: Attempt that the holder accepted; empty where it is not known which one it was.
    attempt: str
    #: When the holder accepted it, seconds of wall-clock time.
    begun_at: float
    #: Whether the request has run to its end.
    finished: bool = False
    #: The answer; None while not finished and for answers too large to keep.
    answer: RecordedAnswer | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotVote:
    """A vote that an attempt already has."""

    #: Holder that accepted the attempt.
    slot: str
    #: Incarnation of its memory at that time.
    incarnation: int


class Verdict(enum.Enum):
    """Answer of a holder to an attempt."""

    #: The attempt is recorded.
    ACCEPTED = "accepted"
    #: Another attempt of the same key is recorded.
    CONFLICT = "conflict"
    #: A vote that the attempt relies on was given by a memory that was lost since.
    STALE = "stale"
    #: The holder may not vote, or knows another list of slots.
    NOT_VOTING = "not voting"


@message("ledger.begin")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerBegin(Message):
    """Asks a holder to record an attempt; the reply is a LedgerVote."""

    #: What the record is found by.
    key: RecordKey
    #: Service that the request is for.
    service: str
    #: Digest of method, target and body.
    digest: bytes
    #: Unique identifier of the attempt.
    attempt: str
    #: Votes that the attempt already has, in order.
    votes: tuple[SlotVote, ...]
    #: All slots of the region as the sender knows them.
    slots: tuple[str, ...]


@message("ledger.vote")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerVote(Message):
    """Reply to LedgerBegin."""

    #: What the holder decided.
    verdict: Verdict
    #: Incarnation of the holder's memory.
    incarnation: int
    #: The record that stands in the way of the attempt.
    record: LedgerRecord | None = None


@message("ledger.look")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerLook(Message):
    """Asks a holder what it knows of a key; the reply is a LedgerSeen."""

    #: What the record is found by.
    key: RecordKey
    #: Service that the request is for.
    service: str


@message("ledger.seen")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerSeen(Message):
    """Reply to LedgerLook."""

    #: The record, if there is one.
    record: LedgerRecord | None


@message("ledger.finish")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerFinish(Message):
    """Records the end of a granted attempt; the reply is a LedgerKept."""

    #: The record with its answer.
    record: LedgerRecord
    #: Service that the request was for.
    service: str


@message("ledger.abandon")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerAbandon(Message):
    """Releases a key: the attempt never sent a byte and never will; the reply is a LedgerKept."""

    #: What the record is found by.
    key: RecordKey
    #: The attempt that gives up.
    attempt: str


@message("ledger.kept")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerKept(Message):
    """Reply to LedgerFinish and LedgerAbandon."""

    #: Whether the holder now knows what it was told.
    kept: bool


@message("ledger.recover")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerRecover(Message):
    """Asks for records on behalf of a slot that lost its memory; the reply is a LedgerPage."""

    #: Slot that recovers.
    slot: str
    #: Incarnation of its new memory.
    incarnation: int
    #: Number of records of the snapshot already read.
    offset: int


@message("ledger.page")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerPage(Message):
    """Reply to LedgerRecover: a part of the holder's records."""

    #: Whether the holder's own memory is intact; the page is worth nothing otherwise.
    intact: bool
    #: Records, in the order of the snapshot.
    records: tuple[LedgerRecord, ...] = ()
    #: Newest incarnations that the holder knows.
    known: tuple[SlotVote, ...] = ()
    #: Where the next page begins; None after the last one.
    next_offset: int | None = None


@message("ledger.stored.memory")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredMemory(Message):
    """First entry of a holder's file, and again when it may vote."""

    #: Slot whose memory it is.
    slot: str
    #: All slots of the region.
    slots: tuple[str, ...]
    #: Incarnation of the memory.
    incarnation: int
    #: Whether the memory is complete, so that the slot may vote.
    voting: bool


@message("ledger.stored.record")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredRecord(Message):
    """A new record, or a new state of one."""

    #: The record.
    record: LedgerRecord


@message("ledger.stored.release")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredRelease(Message):
    """A record was released by its attempt."""

    #: What it was found by.
    key: RecordKey


@message("ledger.stored.incarnation")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredIncarnation(Message):
    """Another slot has a new memory."""

    #: The slot and its incarnation.
    known: SlotVote
