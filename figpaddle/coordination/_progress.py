"""The leader's record of each follower, and what a quorum of them has confirmed."""

from __future__ import annotations

import dataclasses

from figpaddle.wire import LogMembership, Peer


@dataclasses.dataclass(kw_only=True)
class Progress:
    """The replication state of one follower."""

    #: Index of the next entry to send.
    next_index: int
    #: Index of the last entry that is known to be durable at the follower.
    match_index: int = 0
    #: Whether entries or a snapshot chunk await a reply; new entries are sent after that reply or
    #: with the next heartbeat.
    in_flight: bool = False
    #: Last heartbeat round that the follower answered.
    round: int = 0
    #: Last entry of the snapshot that is being sent, and the bytes that the follower has received.
    snapshot_index: int = 0
    snapshot_offset: int = 0
    #: Time from which the next chunk of the snapshot may be sent, seconds.
    next_chunk_at: float = float("-inf")


class ProgressTracker:
    """The progress of all followers of one leader in one term."""

    def __init__(self, *, own: Peer, now: float) -> None:
        self._own = own
        self._progress_by_peer: dict[Peer, Progress] = {}
        self._round_started_at = {0: now}
        self._round = 0

    @property
    def round(self) -> int:
        """Number of the current heartbeat round."""
        return self._round

    def find(self, peer: Peer) -> Progress | None:
        """Return the progress of ``peer``, or None if it is not a follower."""
        return self._progress_by_peer.get(peer)

    def set_followers(self, membership: LogMembership, *, last_index: int) -> None:
        """Track exactly the followers in ``membership``."""
        followers = [peer for peer in membership.peers if peer != self._own]
        for peer in set(self._progress_by_peer) - set(followers):
            del self._progress_by_peer[peer]
        for peer in followers:
            self._progress_by_peer.setdefault(peer, Progress(next_index=last_index + 1))

    def start_round(self, now: float) -> None:
        """Start a heartbeat round."""
        self._round += 1
        self._round_started_at[self._round] = now

    def confirmed_round(self, membership: LogMembership) -> int:
        """Return the number of the last round that a quorum has answered."""
        rounds = [self._answered_round(peer) for peer in membership.voters]
        return _reached_by_majority(rounds)

    def last_quorum_contact(self, membership: LogMembership) -> float:
        """Return when the last round that a quorum has answered was started, seconds."""
        confirmed = self.confirmed_round(membership)
        for number in [number for number in self._round_started_at if number < confirmed]:
            del self._round_started_at[number]
        return self._round_started_at[min(self._round_started_at)]

    def committed_index(self, membership: LogMembership, *, last_index: int) -> int:
        """Return the index of the last entry that is durable at a quorum."""
        return _reached_by_majority(
            [
                last_index if peer == self._own else self._match_index(peer)
                for peer in membership.voters
            ]
        )

    def _answered_round(self, peer: Peer) -> int:
        if peer == self._own:
            return self._round
        progress = self._progress_by_peer.get(peer)
        return 0 if progress is None else progress.round

    def _match_index(self, peer: Peer) -> int:
        progress = self._progress_by_peer.get(peer)
        return 0 if progress is None else progress.match_index


def _reached_by_majority(values: list[int]) -> int:
    """Return the highest number that a majority of ``values`` reach."""
    return sorted(values, reverse=True)[len(values) // 2]
