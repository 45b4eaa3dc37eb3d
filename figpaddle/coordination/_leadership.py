"""The leader's side of the log: replication, commits, reads and membership changes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from figpaddle.coordination._log import Log
from figpaddle.coordination._log_types import LogSettings, ReadReady
from figpaddle.coordination._progress import Progress, Progresses
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

#: Most entries in one message.
MAX_BATCH_ENTRIES = 64
#: Most voters; one more acknowledgement a commit for every second voter beyond that.
MAX_VOTERS = 23


class Leadership:
    """What a replica holds while it leads one term."""

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
        self._followers = Progresses(own=replica.peer, now=now)
        self._heartbeat_due = now
        self._reads: list[tuple[int, int, int]] = []

    @property
    def heartbeat_due(self) -> float:
        """When the next heartbeat is due, seconds."""
        return self._heartbeat_due

    @property
    def _membership(self) -> LogMembership:
        membership = self._log.membership
        assert membership is not None
        return membership

    @property
    def _committed_own_term(self) -> bool:
        return self._log.term_at(self._replica.commit_index) == self._replica.term

    @property
    def _membership_settled(self) -> bool:
        return self._committed_own_term and self._log.membership_index <= self._replica.commit_index

    def begin(self, now: float) -> None:
        """Take up the term with an entry of its own."""
        self._followers.follow(self._membership, last_index=self._log.last_index)
        self._append(EntryKind.EMPTY)
        self._broadcast(now)
        self._advance_commit(now)

    def quorum_contact(self) -> float:
        """Return when the last round that a quorum answered began, seconds."""
        return self._followers.quorum_contact(self._membership)

    def has_lost_quorum(self, now: float) -> bool:
        """Return whether no quorum has answered for an election timeout."""
        alone = self._membership.is_quorum({self._replica.peer})
        return not alone and now - self.quorum_contact() > self._settings.election_s

    def tick(self, now: float) -> None:
        """Send heartbeats if they are due."""
        if now >= self._heartbeat_due:
            self._broadcast(now)

    def propose(self, data: bytes, now: float) -> None:
        """Append a command."""
        self._append(EntryKind.COMMAND, data=data)
        self._after_append(now)

    def change_membership(self, membership: LogMembership, now: float) -> None:
        """Append a membership; raises CoordinationError if it may not be changed now."""
        changed = set(membership.voters) ^ set(self._membership.voters)
        if len(changed) > 1 or len(membership.voters) > MAX_VOTERS or not membership.voters:
            raise CoordinationError(
                what="a membership change may add or remove one voter", where="membership"
            )
        if not self._membership_settled:
            raise CoordinationError(
                what="another membership change is not committed yet",
                where="membership",
                mend="try again later",
            )
        self._append(EntryKind.MEMBERSHIP, membership=membership)
        self._followers.follow(membership, last_index=self._log.last_index)
        self._after_append(now)

    def read(self, token: int, now: float) -> None:
        """Confirm by a round of heartbeats that this leader still leads."""
        if not self._committed_own_term:
            raise CoordinationError(
                what="the leader has not committed an entry yet", where="read", mend="try again"
            )
        self._broadcast(now)
        self._reads.append((token, self._followers.round, self._replica.commit_index))
        self._answer_reads()

    def on_join(self, peer: Peer, now: float) -> None:
        """Add a replica that has nothing yet as a learner."""
        membership = self._membership
        known = peer.name in self._eligible or membership.voter_named(peer.name) is not None
        if not known or peer in membership.peers or peer.name == self._replica.peer.name:
            return
        if self._membership_settled:
            self.change_membership(membership.with_learner(peer), now)

    def on_reply(self, reply: AppendReply, now: float) -> None:
        """Take a follower's answer."""
        progress = self._followers.of(reply.sender)
        if progress is None:
            return
        progress.round = max(progress.round, reply.round)
        progress.in_flight = False
        if self._takes_snapshot(reply, progress):
            progress.snapshot_offset = reply.snapshot_offset
            progress.snapshot_due = now
        elif reply.accepted:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        else:
            lower = min(progress.next_index - 1, reply.match_index + 1)
            progress.next_index = max(progress.match_index + 1, lower)
        self._advance_commit(now)
        self._answer_reads()
        self._promote_learner(reply.sender, progress, now)
        if not reply.accepted or progress.next_index <= self._log.last_index:
            self._send_to(reply.sender, progress, now)

    def _takes_snapshot(self, reply: AppendReply, progress: Progress) -> bool:
        sent = reply.snapshot_index == progress.snapshot_index == self._log.snapshot.index
        return not reply.accepted and reply.snapshot_index > 0 and sent

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

    def _after_append(self, now: float) -> None:
        for peer in self._membership.peers:
            progress = self._followers.of(peer)
            if progress is not None and not progress.in_flight:
                self._send_to(peer, progress, now)
        self._advance_commit(now)

    def _broadcast(self, now: float) -> None:
        self._heartbeat_due = now + self._settings.heartbeat_s
        self._followers.next_round(now)
        for peer in self._membership.peers:
            progress = self._followers.of(peer)
            if progress is not None:
                self._send_to(peer, progress, now)

    def _send_to(self, peer: Peer, progress: Progress, now: float) -> None:
        previous = progress.next_index - 1
        previous_term = self._log.term_at(previous)
        if previous_term is None:
            self._send_snapshot(peer, progress, now)
            return
        entries = self._batch(previous)
        progress.in_flight = bool(entries)
        self._replica.send(
            AppendRequest(
                term=self._replica.term,
                sender=self._replica.peer,
                receiver=peer,
                previous_index=previous,
                previous_term=previous_term,
                entries=entries,
                commit=self._replica.commit_index,
                round=self._followers.round,
            )
        )

    def _batch(self, previous: int) -> tuple[Entry, ...]:
        entries = self._log.after(previous, limit=MAX_BATCH_ENTRIES)
        size = 0
        for count, entry in enumerate(entries):
            size += len(entry.data)
            if count and size > self._settings.batch_bytes:
                return entries[:count]
        return entries

    def _send_snapshot(self, peer: Peer, progress: Progress, now: float) -> None:
        snapshot = self._log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index, progress.snapshot_offset = snapshot.index, 0
        elif now < progress.snapshot_due:
            return
        offset = progress.snapshot_offset
        end = offset + self._settings.chunk_bytes
        progress.in_flight = True
        progress.snapshot_due = now + self._settings.election_s
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
        index = self._followers.committed(self._membership, last_index=self._log.last_index)
        own_term = self._log.term_at(index) == self._replica.term
        if index > self._replica.commit_index and own_term:
            self._replica.commit(index)
        if self._membership_settled and self._replica.peer not in self._membership.voters:
            self._replica.step_down(now)

    def _answer_reads(self) -> None:
        confirmed = self._followers.confirmed_round(self._membership)
        for token, _, index in [read for read in self._reads if read[1] <= confirmed]:
            self._replica.emit(ReadReady(token=token, index=index))
        self._reads = [read for read in self._reads if read[1] > confirmed]

    def _promote_learner(self, peer: Peer, progress: Progress, now: float) -> None:
        """Make a learner that holds everything a voter, once its lost predecessor is removed."""
        membership = self._membership
        caught_up = progress.match_index >= self._replica.commit_index
        if peer not in membership.learners or not caught_up or not self._membership_settled:
            return
        predecessor = membership.voter_named(peer.name)
        if predecessor is not None:
            self.change_membership(membership.without(predecessor), now)
        elif len(membership.voters) < MAX_VOTERS:
            self.change_membership(membership.with_voter(peer), now)
