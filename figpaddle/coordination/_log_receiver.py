"""The follower's side of replication: entries and snapshots from the leader."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from figpaddle.coordination._log import Log
from figpaddle.wire import AppendReply, AppendRequest, Peer, Snapshot, SnapshotRequest

if TYPE_CHECKING:
    from figpaddle.coordination._replica import Replica


class LogReceiver:
    """Handles and answers the messages of the leader of the current term."""

    def __init__(self, *, replica: Replica, log: Log) -> None:
        self._replica = replica
        self._log = log
        self._partial_snapshot: Snapshot | None = None
        self._partial_origin: tuple[Peer, int, int] | None = None

    def reject_stale_leader(self, message: AppendRequest | SnapshotRequest) -> None:
        """Answer a leader of an earlier term with the current term."""
        self._reply_append(message, accepted=False, match_index=0)

    def on_append(self, message: AppendRequest) -> None:
        """Append the leader's entries if the log contains the entry before them."""
        previous = message.previous_index
        snapshot_index = self._log.snapshot.index
        if previous >= snapshot_index and self._log.term_at(previous) != message.previous_term:
            retry_index = max(self._replica.commit_index, min(self._log.last_index, previous - 1))
            self._reply_append(message, accepted=False, match_index=retry_index)
            return
        for entry in message.entries:
            if entry.index > snapshot_index and self._log.term_at(entry.index) != entry.term:
                self._replica.append(entry)
        match_index = previous + len(message.entries)
        self._replica.commit(min(message.commit, match_index))
        self._reply_append(message, accepted=True, match_index=match_index)

    def on_snapshot(self, message: SnapshotRequest) -> None:
        """Store a chunk of the leader's snapshot; install the snapshot once it is complete."""
        snapshot = message.snapshot
        if self._log.term_at(snapshot.index) == snapshot.term:
            self._replica.commit(snapshot.index)
        elif snapshot.index > self._replica.commit_index:
            complete_snapshot = self._add_chunk(message)
            if complete_snapshot is None:
                self._request_next_chunk(message)
                return
            self._partial_snapshot = None
            self._replica.restore(complete_snapshot)
        self._reply_append(message, accepted=True, match_index=snapshot.index)

    def _add_chunk(self, message: SnapshotRequest) -> Snapshot | None:
        """Store a chunk; return the snapshot once all its chunks have arrived in order."""
        partial = self._partial_snapshot
        chunk = message.snapshot
        origin = (message.sender, message.term, chunk.index)
        if partial is None or self._partial_origin != origin:
            self._partial_origin = origin
            partial = dataclasses.replace(chunk, data=b"")
        is_next = message.offset == len(partial.data)
        if is_next:
            partial = dataclasses.replace(partial, data=partial.data + chunk.data)
        self._partial_snapshot = partial
        return partial if is_next and message.last else None

    def _request_next_chunk(self, message: SnapshotRequest) -> None:
        received_bytes = 0 if self._partial_snapshot is None else len(self._partial_snapshot.data)
        self._replica.send(
            AppendReply(
                term=self._replica.term,
                sender=self._replica.peer,
                receiver=message.sender,
                accepted=False,
                match_index=0,
                round=message.round,
                snapshot_index=message.snapshot.index,
                snapshot_offset=received_bytes,
            )
        )

    def _reply_append(
        self, message: AppendRequest | SnapshotRequest, *, accepted: bool, match_index: int
    ) -> None:
        self._replica.send(
            AppendReply(
                term=self._replica.term,
                sender=self._replica.peer,
                receiver=message.sender,
                accepted=accepted,
                match_index=match_index,
                round=message.round,
            )
        )
