"""The follower's side of the log: entries and snapshots from the leader."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from figpaddle.coordination._log import Log
from figpaddle.wire import AppendReply, AppendRequest, Peer, Snapshot, SnapshotRequest

if TYPE_CHECKING:
    from figpaddle.coordination._replica import Replica


class Followership:
    """Takes what the leader of the current term sends, and answers it."""

    def __init__(self, *, replica: Replica, log: Log) -> None:
        self._replica = replica
        self._log = log
        self._partial: Snapshot | None = None
        self._origin: tuple[Peer, int, int] | None = None

    def refuse(self, message: AppendRequest | SnapshotRequest) -> None:
        """Tell a leader of an earlier term the present one."""
        self._reply_append(message, accepted=False, match_index=0)

    def on_append(self, message: AppendRequest) -> None:
        """Append the leader's entries if they follow what is held."""
        previous = message.previous_index
        base = self._log.snapshot.index
        if previous >= base and self._log.term_at(previous) != message.previous_term:
            hint = max(self._replica.commit_index, min(self._log.last_index, previous - 1))
            self._reply_append(message, accepted=False, match_index=hint)
            return
        for entry in message.entries:
            if entry.index > base and self._log.term_at(entry.index) != entry.term:
                self._replica.append(entry)
        match_index = previous + len(message.entries)
        self._replica.commit(min(message.commit, match_index))
        self._reply_append(message, accepted=True, match_index=match_index)

    def on_snapshot(self, message: SnapshotRequest) -> None:
        """Take a piece of the leader's snapshot, and the snapshot once it is whole."""
        snapshot = message.snapshot
        if self._log.term_at(snapshot.index) == snapshot.term:
            self._replica.commit(snapshot.index)
        elif snapshot.index > self._replica.commit_index:
            whole = self._collect(message)
            if whole is None:
                self._ask_for_rest(message)
                return
            self._partial = None
            self._replica.restore(whole)
        self._reply_append(message, accepted=True, match_index=snapshot.index)

    def _collect(self, message: SnapshotRequest) -> Snapshot | None:
        """Return the snapshot once all its pieces have arrived in order."""
        part = self._partial
        piece = message.snapshot
        origin = (message.sender, message.term, piece.index)
        if part is None or self._origin != origin:
            self._origin = origin
            part = dataclasses.replace(piece, data=b"")
        fits = message.offset == len(part.data)
        if fits:
            part = dataclasses.replace(part, data=part.data + piece.data)
        self._partial = part
        return part if fits and message.last else None

    def _ask_for_rest(self, message: SnapshotRequest) -> None:
        received = 0 if self._partial is None else len(self._partial.data)
        self._replica.send(
            AppendReply(
                term=self._replica.term,
                sender=self._replica.peer,
                receiver=message.sender,
                accepted=False,
                match_index=0,
                round=message.round,
                snapshot_index=message.snapshot.index,
                snapshot_offset=received,
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
