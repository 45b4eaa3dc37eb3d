"""The leader's side of the protocol: replication, commits, reads and membership changes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from figpaddle.coordination._log import Log
from figpaddle.coordination._log_types import LogSettings, ReadReady
from figpaddle.coordination._progress import Progress, ProgressTracker
from figpaddle.errors import CoordinationError
from figpaddle.wire import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    LogMembership,
    Peer,
    SnapshotRequest,
)

if TYPE_CHECKING:
    from figpaddle.coordination._replica import Replica

#: Maximum number of entries in one message.
MAX_BATCH_ENTRIES = 64
#: Maximum number of voters. Every two more would add one acknowledgement to each commit.
MAX_VOTERS = 23


class Leadership:
    """The state and the operations of a replica while it leads one term."""

    def __init__(
        self,
        *,
        replica: Replica,
        log: Log,
        settings: LogSettings,
        eligible: tuple[str, ...],
        now: float,
    ) -> None:
        self._replica = replica
        self._log = log
        self._settings = settings
        self._eligible = eligible
        self._followers = ProgressTracker(own=replica.peer, now=now)
        self._heartbeat_due = now
        #: Token, heartbeat round to be confirmed and commit index of each read.
        self._pending_reads: list[tuple[int, int, int]] = []

    @property
    def heartbeat_due(self) -> float:
        """Time of the next heartbeat, seconds."""
        return self._heartbeat_due

    @property
    def _membership(self) -> LogMembership:
        membership = self._log.membership
        assert membership is not None
        return membership

    @property
    def _has_committed_in_own_term(self) -> bool:
        return self._log.term_at(self._replica.commit_index) == self._replica.term

    @property
    def _is_membership_committed(self) -> bool:
        return (
            self._has_committed_in_own_term
            and self._log.membership_index <= self._replica.commit_index
        )

    def start(self, now: float) -> None:
        """Start the term by appending an empty entry.

        Earlier entries are committed together with it.
        """
        self._followers.set_followers(self._membership, last_index=self._log.last_index)
        self._append(EntryKind.EMPTY)
        self._send_to_all(now)
        self._advance_commit(now)

    def last_quorum_contact(self) -> float:
        """Return when the last round that a quorum has answered was started, seconds."""
        return self._followers.last_quorum_contact(self._membership)

    def has_lost_quorum(self, now: float) -> bool:
        """Return whether no quorum has answered for an election timeout."""
        is_sole_voter = self._membership.is_quorum({self._replica.peer})
        return (
            not is_sole_voter
            and now - self.last_quorum_contact() > self._settings.election_timeout_s
        )

    def tick(self, now: float) -> None:
        """Send heartbeats if they are due."""
        if now >= self._heartbeat_due:
            self._send_to_all(now)

    def propose(self, data: bytes, now: float) -> None:
        """Append a command and replicate it."""
        self._append(EntryKind.COMMAND, data=data)
        self._replicate_appended(now)

    def change_membership(self, membership: LogMembership, now: float) -> None:
        """Append a membership; raises CoordinationError if the change is not allowed now."""
        changed = set(membership.voters) ^ set(self._membership.voters)
        if len(changed) > 1 or len(membership.voters) > MAX_VOTERS or not membership.voters:
            raise CoordinationError(
                what="a membership change may add or remove only one voter", where="membership"
            )
        if not self._is_membership_committed:
            raise CoordinationError(
                what="the previous membership change is not committed yet",
                where="membership",
                hint="try again later",
            )
        self._append(EntryKind.MEMBERSHIP, membership=membership)
        self._followers.set_followers(membership, last_index=self._log.last_index)
        self._replicate_appended(now)

    def read(self, token: int, now: float) -> None:
        """Confirm by a heartbeat round that this replica still leads."""
        if not self._has_committed_in_own_term:
            raise CoordinationError(
                what="the leader has not committed an entry of its term yet",
                where="read",
                hint="try again",
            )
        self._send_to_all(now)
        self._pending_reads.append((token, self._followers.round, self._replica.commit_index))
        self._complete_reads()

    def on_join(self, peer: Peer, now: float) -> None:
        """Add an eligible replica that is outside the membership as a learner."""
        membership = self._membership
        is_eligible = peer.name in self._eligible or membership.voter_named(peer.name) is not None
        if not is_eligible or peer in membership.peers or peer.name == self._replica.peer.name:
            return
        if self._is_membership_committed:
            self.change_membership(membership.with_learner(peer), now)

    def on_reply(self, reply: AppendReply, now: float) -> None:
        """Record a follower's reply and send what it needs next."""
        progress = self._followers.find(reply.sender)
        if progress is None:
            return
        progress.round = max(progress.round, reply.round)
        progress.in_flight = False
        if self._acknowledges_chunk(reply, progress):
            progress.snapshot_offset = reply.snapshot_offset
            progress.next_chunk_at = now
        elif reply.accepted:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        else:
            retry_index = min(progress.next_index - 1, reply.match_index + 1)
            progress.next_index = max(progress.match_index + 1, retry_index)
        self._advance_commit(now)
        self._complete_reads()
        self._promote_learner(reply.sender, progress, now)
        if not reply.accepted or progress.next_index <= self._log.last_index:
            self._send_to(reply.sender, progress, now)

    def _acknowledges_chunk(self, reply: AppendReply, progress: Progress) -> bool:
        is_current = reply.snapshot_index == progress.snapshot_index == self._log.snapshot.index
        return not reply.accepted and reply.snapshot_index > 0 and is_current

    def _append(
        self, kind: EntryKind, *, data: bytes = b"", membership: LogMembership | None = None
    ) -> None:
        self._replica.append(
            Entry(
                index=self._log.last_index + 1,
                term=self._replica.term,
                kind=kind,
                data=data,
                membership=membership,
            )
        )

    def _replicate_appended(self, now: float) -> None:
        for peer in self._membership.peers:
            progress = self._followers.find(peer)
            if progress is not None and not progress.in_flight:
                self._send_to(peer, progress, now)
        self._advance_commit(now)

    def _send_to_all(self, now: float) -> None:
        self._heartbeat_due = now + self._settings.heartbeat_interval_s
        self._followers.start_round(now)
        for peer in self._membership.peers:
            progress = self._followers.find(peer)
            if progress is not None:
                self._send_to(peer, progress, now)

    def _send_to(self, peer: Peer, progress: Progress, now: float) -> None:
        previous_index = progress.next_index - 1
        previous_term = self._log.term_at(previous_index)
        if previous_term is None:
            self._send_snapshot(peer, progress, now)
            return
        entries = self._next_batch(previous_index)
        progress.in_flight = bool(entries)
        self._replica.send(
            AppendRequest(
                term=self._replica.term,
                sender=self._replica.peer,
                receiver=peer,
                previous_index=previous_index,
                previous_term=previous_term,
                entries=entries,
                commit=self._replica.commit_index,
                round=self._followers.round,
            )
        )

    def _next_batch(self, previous_index: int) -> tuple[Entry, ...]:
        entries = self._log.entries_after(previous_index, limit=MAX_BATCH_ENTRIES)
        size_bytes = 0
        for count, entry in enumerate(entries):
            size_bytes += len(entry.data)
            if count and size_bytes > self._settings.max_batch_bytes:
                return entries[:count]
        return entries

    def _send_snapshot(self, peer: Peer, progress: Progress, now: float) -> None:
        snapshot = self._log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index, progress.snapshot_offset = snapshot.index, 0
        elif now < progress.next_chunk_at:
            return
        offset = progress.snapshot_offset
        end = offset + self._settings.snapshot_chunk_bytes
        progress.in_flight = True
        progress.next_chunk_at = now + self._settings.election_timeout_s
        self._replica.send(
            SnapshotRequest(
                term=self._replica.term,
                sender=self._replica.peer,
                receiver=peer,
                snapshot=dataclasses.replace(snapshot, data=snapshot.data[offset:end]),
                offset=offset,
                last=end >= len(snapshot.data),
                round=self._followers.round,
            )
        )

    def _advance_commit(self, now: float) -> None:
        index = self._followers.committed_index(self._membership, last_index=self._log.last_index)
        is_own_term = self._log.term_at(index) == self._replica.term
        if index > self._replica.commit_index and is_own_term:
            self._replica.commit(index)
        if self._is_membership_committed and self._replica.peer not in self._membership.voters:
            self._replica.step_down(now)

    def _complete_reads(self) -> None:
        confirmed_round = self._followers.confirmed_round(self._membership)
        for token, _, index in [read for read in self._pending_reads if read[1] <= confirmed_round]:
            self._replica.emit(ReadReady(token=token, index=index))
        self._pending_reads = [read for read in self._pending_reads if read[1] > confirmed_round]

    def _promote_learner(self, peer: Peer, progress: Progress, now: float) -> None:
        """Make a learner that has all committed entries a voter.

        A voter of the same name is its predecessor whose disk was lost; it is removed first.
        """
        membership = self._membership
        is_caught_up = progress.match_index >= self._replica.commit_index
        if peer not in membership.learners or not is_caught_up or not self._is_membership_committed:
            return
        predecessor = membership.voter_named(peer.name)
        if predecessor is not None:
            self.change_membership(membership.without(predecessor), now)
        elif len(membership.voters) < MAX_VOTERS:
            self.change_membership(membership.with_voter(peer), now)
