"""Messages of the replicated log and the data classes that they contain."""

from __future__ import annotations

import dataclasses
import enum

from figpaddle.wire._codec import Message, message


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Peer:
    """Identity of a replica: its instance name and a random text created with its log."""

    #: Name of the instance.
    name: str
    #: Random text chosen when the log was created; a new log gets a new one.
    incarnation: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogMembership:
    """Voters and learners of the log.

    >>> one = Peer(name="one", incarnation="a")
    >>> LogMembership(voters=(one,)).is_quorum({one})
    True
    """

    #: Replicas whose votes and acknowledgements count.
    voters: tuple[Peer, ...]
    #: Replicas that receive the log but have no vote yet.
    learners: tuple[Peer, ...] = ()

    @property
    def peers(self) -> tuple[Peer, ...]:
        """All replicas, voters first."""
        return self.voters + self.learners

    def is_quorum(self, peers: set[Peer]) -> bool:
        """Return whether ``peers`` include a majority of the voters."""
        return len(peers.intersection(self.voters)) * 2 > len(self.voters)

    def voter_named(self, name: str) -> Peer | None:
        """Return the voter called ``name`` with any incarnation, or None."""
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
        """Return a copy with ``peer`` as a voter instead of a learner."""
        rest = self.without(peer)
        return LogMembership(voters=(*rest.voters, peer), learners=rest.learners)


class EntryKind(enum.Enum):
    """Content of a log entry."""

    #: Nothing; a new leader appends one to commit the entries of earlier terms.
    EMPTY = "empty"
    #: A command for the state machine.
    COMMAND = "command"
    #: A new membership, which takes effect as soon as it is appended.
    MEMBERSHIP = "membership"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One entry of the log."""

    #: Position in the log, from 1.
    index: int
    #: Term of the leader that appended it.
    term: int
    #: Kind of its content.
    kind: EntryKind
    #: The command.
    data: bytes = b""
    #: The new membership.
    membership: LogMembership | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """State of the state machine after the entry at ``index``."""

    #: Index of the last entry that it covers, 0 for none.
    index: int
    #: Term of that entry.
    term: int
    #: Membership after that entry; None if unknown.
    membership: LogMembership | None
    #: Encoded state of the state machine.
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogMessage(Message):
    """Base of the messages between two replicas."""

    #: Term of the sender, or the term for which a vote is requested.
    term: int
    #: Replica that sends the message.
    sender: Peer
    #: Replica to which it is addressed; any other ignores it.
    receiver: Peer


@message("log.vote_request")
@dataclasses.dataclass(frozen=True, kw_only=True)
class VoteRequest(LogMessage):
    """A candidate's request for a vote."""

    #: Index of the last entry of the candidate's log.
    last_index: int
    #: Term of that entry.
    last_term: int
    #: Whether this is a pre-vote, which changes no state of the voter.
    trial: bool


@message("log.vote_reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class VoteReply(LogMessage):
    """Reply to VoteRequest; ``term`` is the requested term if granted, else the voter's own."""

    #: Whether the vote is granted.
    granted: bool
    #: Whether the request was a pre-vote.
    trial: bool


@message("log.append_request")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AppendRequest(LogMessage):
    """The leader's entries after an index; without entries, a heartbeat."""

    #: Index of the entry just before the first one sent.
    previous_index: int
    #: Term of that entry.
    previous_term: int
    #: Entries to append, in order.
    entries: tuple[Entry, ...]
    #: Index of the last entry that the leader knows to be committed.
    commit: int
    #: Number of the leader's heartbeat round.
    round: int


@message("log.append_reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AppendReply(LogMessage):
    """Reply to AppendRequest or SnapshotRequest."""

    #: Whether the follower's log matches the leader's up to ``match_index``.
    accepted: bool
    #: Index of the last entry known to match if accepted, else the index to try next.
    match_index: int
    #: Heartbeat round of the request.
    round: int
    #: Index of the last entry covered by the snapshot being received, 0 for none.
    snapshot_index: int = 0
    #: Size of the part of that snapshot received so far, bytes.
    snapshot_offset: int = 0


@message("log.snapshot_request")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotRequest(LogMessage):
    """A chunk of the leader's snapshot, for a replica that needs entries already compacted."""

    #: The snapshot, with only one chunk of its data.
    snapshot: Snapshot
    #: Position of the chunk in the data, bytes.
    offset: int
    #: Whether this is the last chunk.
    last: bool
    #: Number of the leader's heartbeat round.
    round: int


@message("log.join_request")
@dataclasses.dataclass(frozen=True, kw_only=True)
class JoinRequest(Message):
    """Request of a replica outside the membership to be added as a learner."""

    #: The replica to add.
    peer: Peer
