"""What a leader knows of each follower, and what a quorum of them has confirmed."""

from __future__ import annotations

import dataclasses

from figpaddle.wire import LogMembership, Peer


@dataclasses.dataclass(kw_only=True)
class Progress:
    """State of one follower as seen by the leader."""

    #: Next entry to send.
    next_index: int
    #: Last entry known to be durable there.
    match_index: int = 0
    #: Whether entries are on their way; further ones wait for the reply.
    in_flight: bool = False
    #: Last heartbeat round that it answered.
    round: int = 0
    #: Snapshot that is being sent, by its last entry, and the bytes known to have arrived.
    snapshot_index: int = 0
    snapshot_offset: int = 0
    #: When a piece of the snapshot may be sent again, seconds.
    snapshot_due: float = float("-inf")


class Progresses:
    """The followers of one leader in one term."""

    def __init__(self, *, own: Peer, now: float) -> None:
        self._own = own
        self._known: dict[Peer, Progress] = {}
        self._round_times = {0: now}
        self._round = 0

    @property
    def round(self) -> int:
        """Number of the current heartbeat round."""
        return self._round

    def of(self, peer: Peer) -> Progress | None:
        """Return the progress of ``peer``, or None where it is not followed."""
        return self._known.get(peer)

    def follow(self, membership: LogMembership, *, last_index: int) -> None:
        """Keep exactly the followers in ``membership``."""
        wanted = [peer for peer in membership.peers if peer != self._own]
        for peer in set(self._known) - set(wanted):
            del self._known[peer]
        for peer in wanted:
            self._known.setdefault(peer, Progress(next_index=last_index + 1))

    def next_round(self, now: float) -> None:
        """Begin a heartbeat round."""
        self._round += 1
        self._round_times[self._round] = now

    def confirmed_round(self, membership: LogMembership) -> int:
        """Return the last round that a quorum has answered."""
        rounds = [self._round_of(peer) for peer in membership.voters]
        return _majority(rounds)

    def quorum_contact(self, membership: LogMembership) -> float:
        """Return when the last round that a quorum answered began, seconds."""
        confirmed = self.confirmed_round(membership)
        for number in [number for number in self._round_times if number < confirmed]:
            del self._round_times[number]
        return self._round_times[min(self._round_times)]

    def committed(self, membership: LogMembership, *, last_index: int) -> int:
        """Return the last entry that a quorum holds durably."""
        return _majority(
            [
                last_index if peer == self._own else self._match_of(peer)
                for peer in membership.voters
            ]
        )

    def _round_of(self, peer: Peer) -> int:
        if peer == self._own:
            return self._round
        known = self._known.get(peer)
        return 0 if known is None else known.round

    def _match_of(self, peer: Peer) -> int:
        known = self._known.get(peer)
        return 0 if known is None else known.match_index


def _majority(values: list[int]) -> int:
    return sorted(values, reverse=True)[len(values) // 2]
