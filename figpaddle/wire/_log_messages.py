"""Messages of the replicated log and the records that they carry."""

from __future__ import annotations

import dataclasses
import enum

from figpaddle.wire._codec import Message, message


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Peer:
    """Identity of a replica: its name and a random number made together with its log."""

    #: Name of the instance.
    name: str
    #: Random text made when the log was created; lost with the log.
    incarnation: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogMembership:
    """Who takes part in the log.

    >>> one = Peer(name="one", incarnation="a")
    >>> LogMembership(voters=(one,)).is_quorum({one})
    True
    """

    #: Replicas whose votes and acknowledgements count.
    voters: tuple[Peer, ...]
    #: Replicas that receive the log and don't count yet.
    learners: tuple[Peer, ...] = ()

    @property
    def peers(self) -> tuple[Peer, ...]:
        """All replicas, voters first."""
        return self.voters + self.learners

    def is_quorum(self, peers: set[Peer]) -> bool:
        """Return whether ``peers`` hold a majority of the voters."""
        return len(peers.intersection(self.voters)) * 2 > len(self.voters)

    def voter_named(self, name: str) -> Peer | None:
        """Return the voter called ``name``, whatever its incarnation, or None."""
        return next((peer for peer in self.voters if peer.name == name), None)

    def without(self, peer: Peer) -> LogMembership:
        """Return a copy without ``peer``."""
        return LogMembership(
            voters=tuple(kept for kept in self.voters if kept != peer),
            learners=tuple(kept for kept in self.learners if kept != peer),
        )

    def with_learner(self, peer: Peer) -> LogMembership:
        """Return a copy with ``peer`` as the only learner of its name."""
        others = tuple(kept for kept in self.learners if kept.name != peer.name)
        return LogMembership(voters=self.voters, learners=(*others, peer))

    def with_voter(self, peer: Peer) -> LogMembership:
        """Return a copy with ``peer`` as a voter and no longer a learner."""
        rest = self.without(peer)
        return LogMembership(voters=(*rest.voters, peer), learners=rest.learners)


class EntryKind(enum.Enum):
    """What an entry of the log holds."""

    #: Nothing; a new leader commits earlier entries with it.
    EMPTY = "empty"
    #: A command for the state machine.
    COMMAND = "command"
    #: A new membership, in force from the moment it is appended.
    MEMBERSHIP = "membership"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One entry of the log."""

    #: Position in the log, from 1.
    index: int
    #: Term of the leader that appended it.
    term: int
    #: What it holds.
    kind: EntryKind
    #: The command.
    data: bytes = b""
    #: The new membership.
    membership: LogMembership | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """State of the machine after the entry at ``index``."""

    #: Last entry that it covers, 0 for none.
    index: int
    #: Term of that entry.
    term: int
    #: Membership after that entry; None where it is not known.
    membership: LogMembership | None
    #: State of the machine.
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogMessage(Message):
    """Base of the messages between two replicas."""

    #: Term of the sender, or the term asked for.
    term: int
    #: Replica that sends.
    sender: Peer
    #: Replica that it is meant for; any other drops it.
    receiver: Peer


@message("log.vote_request")
@dataclasses.dataclass(frozen=True, kw_only=True)
class VoteRequest(LogMessage):
    """A candidate asks for a vote."""

    #: Last entry of the candidate's log.
    last_index: int
    #: Term of that entry.
    last_term: int
    #: Whether it only asks if it could win; changes no state.
    trial: bool


@message("log.vote_reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class VoteReply(LogMessage):
    """Answer to a vote request; ``term`` is the term voted on if granted, else the voter's."""

    #: Whether the vote is given.
    granted: bool
    #: Whether the request was a trial.
    trial: bool


@message("log.append_request")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AppendRequest(LogMessage):
    """The leader's entries after a position; without entries a heartbeat."""

    #: Entry right before the first one sent.
    previous_index: int
    #: Term of that entry.
    previous_term: int
    #: Entries to append, in order.
    entries: tuple[Entry, ...]
    #: Last entry that the leader knows to be committed.
    commit: int
    #: Number of the leader's heartbeat round.
    round: int


@message("log.append_reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AppendReply(LogMessage):
    """Answer to entries or a snapshot."""

    #: Whether the follower's log matches up to ``match_index``.
    accepted: bool
    #: Last entry known to match if accepted, else where to try next.
    match_index: int
    #: Round of the request.
    round: int
    #: Last entry of the snapshot that is being received, 0 for none.
    snapshot_index: int = 0
    #: Bytes of that snapshot received so far.
    snapshot_offset: int = 0


@message("log.snapshot_request")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotRequest(LogMessage):
    """A piece of the leader's snapshot, for a replica that needs entries no longer kept."""

    #: The snapshot, of its data only the bytes from ``offset`` on that fit.
    snapshot: Snapshot
    #: Where the piece begins in the data.
    offset: int
    #: Whether the data ends with it.
    last: bool
    #: Number of the leader's heartbeat round.
    round: int


@message("log.join_request")
@dataclasses.dataclass(frozen=True, kw_only=True)
class JoinRequest(Message):
    """A replica outside the membership asks the leader to be added as a learner."""

    #: The replica.
    peer: Peer
