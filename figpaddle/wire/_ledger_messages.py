"""Messages and stored entries of the ledger of non-idempotent requests."""

from __future__ import annotations

import dataclasses
import enum

from figpaddle.wire._codec import Message, message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordKey:
    """Key of a record; each client has its own idempotency keys."""

    #: Member to which the client belongs.
    member: str
    #: Client that sent the request.
    client: str
    #: Idempotency key that the client chose.
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordedAnswer:
    """A complete answer, stored for replay."""

    #: HTTP status.
    status: int
    #: HTTP headers of the backend server.
    headers: tuple[tuple[str, str], ...]
    #: The complete body.
    body: bytes
    #: Backend server that answered.
    backend: str
    #: Instance that sent the request to the backend server.
    instance: str
    #: Region in which the request was served.
    region: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LedgerRecord:
    """One holder's record of one request."""

    #: Key of the record.
    key: RecordKey
    #: Digest of method, target without escapes in its path, and body.
    digest: bytes
    #: Attempt that the holder accepted; empty if a recovery couldn't determine which one.
    attempt: str
    #: Time at which the holder accepted it, seconds of wall-clock time.
    begun_at: float
    #: Whether the request has been completed.
    finished: bool = False
    #: The answer; None before the request has finished and for answers too large to store.
    answer: RecordedAnswer | None = None
    #: Digest that has the target as it was sent; empty in records of earlier builds.
    exact_digest: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotVote:
    """A slot and the incarnation of its state, for example of a vote that it gave."""

    #: The slot.
    slot: str
    #: Incarnation of its state at that time.
    incarnation: int


class Verdict(enum.Enum):
    """Decision of a holder about an attempt."""

    #: The attempt is recorded.
    ACCEPTED = "accepted"
    #: Another attempt of the same key is recorded.
    CONFLICT = "conflict"
    #: A vote that the attempt relies on came from a slot that has since lost its state.
    STALE = "stale"
    #: The holder may not vote, or has another list of slots in its settings.
    NOT_VOTING = "not voting"


@message("ledger.begin")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerBegin(Message):
    """Asks a holder to record an attempt; the reply is a LedgerVote."""

    #: Key of the record.
    key: RecordKey
    #: Service that the request is for.
    service: str
    #: Digest of method, target without escapes in its path, and body.
    digest: bytes
    #: Unique identifier of the attempt.
    attempt: str
    #: Votes received by the attempt so far, in order.
    votes: tuple[SlotVote, ...]
    #: All slots of the region according to the sender.
    slots: tuple[str, ...]
    #: Digest that has the target as it was sent; empty from earlier builds.
    exact_digest: bytes = b""


@message("ledger.vote")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerVote(Message):
    """Reply to LedgerBegin."""

    #: The holder's decision.
    verdict: Verdict
    #: Incarnation of the holder's state.
    incarnation: int
    #: The record that conflicts with the attempt, if one does.
    record: LedgerRecord | None = None


@message("ledger.look")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerLook(Message):
    """Asks a holder for the record of a key; the reply is a LedgerSeen."""

    #: Key of the record.
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
    """Asks a holder to record that a granted attempt has finished; the reply is a LedgerKept."""

    #: The record, with its answer.
    record: LedgerRecord
    #: Service that the request was for.
    service: str


@message("ledger.abandon")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerAbandon(Message):
    """Releases a key whose attempt has sent no byte and never will; the reply is a LedgerKept."""

    #: Key of the record.
    key: RecordKey
    #: The abandoned attempt.
    attempt: str


@message("ledger.kept")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerKept(Message):
    """Reply to LedgerFinish and LedgerAbandon."""

    #: Whether the holder has applied the change.
    kept: bool


@message("ledger.recover")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerRecover(Message):
    """Requests a page of records for a slot that lost its state; the reply is a LedgerPage."""

    #: The recovering slot.
    slot: str
    #: Incarnation of its new state.
    incarnation: int
    #: Position in the holder's snapshot at which the page begins.
    offset: int


@message("ledger.page")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerPage(Message):
    """Reply to LedgerRecover: a page of the holder's records."""

    #: Whether the page can be used; False if the holder's own state is incomplete or the request
    #: doesn't match its snapshot.
    intact: bool
    #: Records, in the order of the snapshot.
    records: tuple[LedgerRecord, ...] = ()
    #: Newest incarnations that the holder knows.
    known: tuple[SlotVote, ...] = ()
    #: Position at which the next page begins; None on the last page.
    next_offset: int | None = None


@message("ledger.stored.memory")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredMemory(Message):
    """Identity of a holder's state; first in its file, and repeated when it starts to vote."""

    #: Slot to which the state belongs.
    slot: str
    #: All slots of the region.
    slots: tuple[str, ...]
    #: Incarnation of the state.
    incarnation: int
    #: Whether the state is complete, so that the slot may vote.
    voting: bool


@message("ledger.stored.record")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredRecord(Message):
    """A new or updated record."""

    #: The record.
    record: LedgerRecord


@message("ledger.stored.release")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredRelease(Message):
    """Removal of a record whose attempt was abandoned."""

    #: Key of the record.
    key: RecordKey


@message("ledger.stored.incarnation")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredIncarnation(Message):
    """Newest known incarnation of another slot."""

    #: The slot and its incarnation.
    known: SlotVote
