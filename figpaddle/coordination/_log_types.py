"""Events that a replica handles, effects that it returns, and its durable state."""

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
    """The role of a replica in its current term."""

    #: Replicates the log of a leader or waits for one.
    FOLLOWER = "follower"
    #: Asks whether it could win an election (pre-vote).
    TRIAL_CANDIDATE = "trial-candidate"
    #: Requests votes.
    CANDIDATE = "candidate"
    #: Appends and commits entries.
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogSettings:
    """Intervals, timeouts and size limits of a replica."""

    #: Interval between heartbeats of the leader, seconds.
    heartbeat_interval_s: float = 0.25
    #: Minimum election timeout, seconds; each one is drawn from between this and twice as long.
    election_timeout_s: float = 1.5
    #: Interval at which a replica outside the membership asks to join, seconds.
    join_interval_s: float = 0.5
    #: Maximum total size of the commands in one message, bytes; a larger one is sent alone.
    max_batch_bytes: int = 512 * 1024
    #: Maximum size of the snapshot chunk in one message, bytes.
    snapshot_chunk_bytes: int = 256 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class HardState:
    """Term and vote; both are durable before any message reveals them."""

    #: Latest term seen.
    term: int = 0
    #: Replica that received the vote in that term, if any.
    vote: Peer | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class DurableState:
    """The state from which a replica restarts after a crash."""

    #: Identity of the replica, created together with its log.
    peer: Peer
    #: Term and vote.
    hard: HardState = HardState()
    #: Snapshot that precedes the entries.
    snapshot: Snapshot = Snapshot(index=0, term=0, membership=None, data=b"")
    #: Entries after the snapshot.
    entries: tuple[Entry, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the replica has never voted and its log holds nothing."""
        return self.hard == HardState() and not self.entries and self.snapshot.membership is None

    def with_change(self, change: Persist) -> DurableState:
        """Return the state after ``change`` has become durable."""
        if change.snapshot is not None:
            return DurableState(
                peer=self.peer, hard=change.hard, snapshot=change.snapshot, entries=change.entries
            )
        entries = self.entries
        if change.entries:
            kept_count = change.entries[0].index - self.snapshot.index - 1
            entries = entries[:kept_count] + change.entries
        return dataclasses.replace(self, hard=change.hard, entries=entries)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tick:
    """Time has passed; timers may be due."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Received:
    """A message arrived."""

    #: The message.
    message: LogMessage | JoinRequest


@dataclasses.dataclass(frozen=True, kw_only=True)
class Propose:
    """Append a command; raises NotLeaderError unless the replica leads."""

    #: The command.
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeMembership:
    """Append a membership that adds or removes at most one voter.

    Raises NotLeaderError unless the replica leads.
    """

    #: The new membership.
    membership: LogMembership


@dataclasses.dataclass(frozen=True, kw_only=True)
class Read:
    """Confirm through a quorum that this replica still leads, for a linearizable read.

    Raises NotLeaderError unless the replica leads.
    """

    #: Number that pairs the read with its ReadReady.
    token: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Compact:
    """Replace the applied entries by a snapshot of the state machine."""

    #: Index of the last entry that the state machine has applied.
    index: int
    #: Serialized state of the state machine after that entry.
    data: bytes


Event = Tick | Received | Propose | ChangeMembership | Read | Compact


@dataclasses.dataclass(frozen=True, kw_only=True)
class Persist:
    """Make state durable before any other effect of the same batch is carried out.

    The entries replace all entries from the index of the first one on. If there is a snapshot,
    the snapshot and the entries replace the whole log.
    """

    #: Term and vote.
    hard: HardState
    #: Entries.
    entries: tuple[Entry, ...] = ()
    #: Snapshot.
    snapshot: Snapshot | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Send a message to another replica."""

    #: Name of the receiving instance.
    receiver: str
    #: The message.
    message: LogMessage | JoinRequest


@dataclasses.dataclass(frozen=True, kw_only=True)
class Apply:
    """Apply a committed entry to the state machine; entries come once and in order."""

    #: The entry.
    entry: Entry


@dataclasses.dataclass(frozen=True, kw_only=True)
class Restore:
    """Replace the state of the state machine by a snapshot."""

    #: The snapshot.
    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadReady:
    """A read is linearizable once the state machine has applied ``index``."""

    #: Token of the read.
    token: int
    #: Index of the last committed entry when the read was requested.
    index: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoleChanged:
    """The role, the term or the known leader of the replica has changed."""

    #: The role.
    role: Role
    #: The term.
    term: int
    #: Name of the leader, or None if it is not known.
    leader: str | None


Effect = Persist | Send | Apply | Restore | ReadReady | RoleChanged
