"""Events that a replica takes, effects that it gives, and its durable state."""

from __future__ import annotations

import dataclasses
import enum

from figpaddle.wire import (
    Entry,
    JoinRequest,
    LogMembership,
    LogMessage,
    Peer,
    Snapshot,
)


class Role(enum.Enum):
    """What a replica does in its term."""

    #: Follows a leader or waits for one.
    FOLLOWER = "follower"
    #: Asks whether it could win an election.
    TRIAL_CANDIDATE = "trial-candidate"
    #: Asks for votes.
    CANDIDATE = "candidate"
    #: Appends and commits.
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogSettings:
    """Intervals and sizes of a replica."""

    #: Interval of heartbeats, seconds.
    heartbeat_s: float = 0.25
    #: Shortest time without a leader before an election, seconds; the longest is twice that.
    election_s: float = 1.5
    #: Interval at which a replica outside the membership asks to join, seconds.
    join_s: float = 0.5
    #: Most bytes of commands in one message, unless a single one is larger.
    batch_bytes: int = 512 * 1024
    #: Bytes of a snapshot in one message.
    chunk_bytes: int = 256 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class HardState:
    """Term and vote, durable before either is told to anyone."""

    #: Latest term seen.
    term: int = 0
    #: Whom this replica voted for in that term.
    vote: Peer | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class DurableState:
    """All that a replica finds again after a crash."""

    #: Identity, made with the log.
    peer: Peer
    #: Term and vote.
    hard: HardState = HardState()
    #: Snapshot that the entries follow.
    snapshot: Snapshot = Snapshot(index=0, term=0, membership=None, data=b"")
    #: Entries after the snapshot.
    entries: tuple[Entry, ...] = ()

    @property
    def blank(self) -> bool:
        """Whether it has never voted nor held anything."""
        return self.hard == HardState() and not self.entries and self.snapshot.membership is None

    def with_change(self, change: Persist) -> DurableState:
        """Return the state after ``change`` has become durable."""
        if change.snapshot is not None:
            return DurableState(
                peer=self.peer, hard=change.hard, snapshot=change.snapshot, entries=change.entries
            )
        entries = self.entries
        if change.entries:
            kept = change.entries[0].index - self.snapshot.index - 1
            entries = entries[:kept] + change.entries
        return dataclasses.replace(self, hard=change.hard, entries=entries)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Received:
    """A message arrived."""

    #: The message.
    message: LogMessage | JoinRequest


@dataclasses.dataclass(frozen=True, kw_only=True)
class Propose:
    """Append a command; only the leader may."""

    #: The command.
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeMembership:
    """Append a membership that differs by at most one voter; only the leader may."""

    #: The new membership.
    membership: LogMembership


@dataclasses.dataclass(frozen=True, kw_only=True)
class Read:
    """Confirm by a quorum that no other leader has committed anything; only the leader may."""

    #: Number that pairs it with its answer.
    token: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Compact:
    """Replace the applied entries by a snapshot of the machine."""

    #: Last entry that the machine has applied.
    index: int
    #: State of the machine after it.
    data: bytes


Event = Tick | Received | Propose | ChangeMembership | Read | Compact


@dataclasses.dataclass(frozen=True, kw_only=True)
class Persist:
    """Make state durable before any other effect of the same batch is carried out.

    Entries replace all from the index of the first one on. With a snapshot, the snapshot and
    the entries replace everything.
    """

    #: Term and vote.
    hard: HardState
    #: Entries.
    entries: tuple[Entry, ...] = ()
    #: Snapshot.
    snapshot: Snapshot | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Send a message."""

    #: Name of the receiving instance.
    receiver: str
    #: The message.
    message: LogMessage | JoinRequest


@dataclasses.dataclass(frozen=True, kw_only=True)
class Apply:
    """A committed entry for the machine, in order and once."""

    #: The entry.
    entry: Entry


@dataclasses.dataclass(frozen=True, kw_only=True)
class Restore:
    """Replace the state of the machine by a snapshot."""

    #: The snapshot.
    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadReady:
    """A read is safe once the machine has applied ``index``."""

    #: Number of the read.
    token: int
    #: Last committed entry when it was asked.
    index: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoleChanged:
    """The replica has another role, term or leader."""

    #: The role.
    role: Role
    #: The term.
    term: int
    #: Name of the leader, as far as known.
    leader: str | None


Effect = Persist | Send | Apply | Restore | ReadReady | RoleChanged
