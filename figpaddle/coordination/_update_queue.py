"""Queue of membership updates that are piggybacked on probes."""

from __future__ import annotations

import math

from figpaddle.wire import MemberNews

#: How often an update is sent for each doubling of the number of members.
TRANSMISSIONS_PER_DOUBLING = 3


class UpdateQueue:
    """The newest update of each instance, ordered by how often it was sent.

    An update leaves the queue after ``transmission_limit`` transmissions.

    >>> queue = UpdateQueue()
    >>> queue.next_batch(limit=8, member_count=9)
    ()
    """

    def __init__(self) -> None:
        self._updates: dict[str, MemberNews] = {}
        self._transmissions: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._updates)

    def put(self, update: MemberNews) -> None:
        """Queue ``update`` in place of an older one of the same instance."""
        self._updates[update.info.name] = update
        self._transmissions[update.info.name] = 0

    def remove(self, name: str) -> None:
        """Remove the update of ``name``, if there is one."""
        self._updates.pop(name, None)
        self._transmissions.pop(name, None)

    def next_batch(self, *, limit: int, member_count: int) -> tuple[MemberNews, ...]:
        """Return at most ``limit`` updates to send now and count them as sent."""
        if not self._updates:
            return ()
        names = sorted(self._updates, key=lambda name: (self._transmissions[name], name))[:limit]
        chosen = tuple(self._updates[name] for name in names)
        max_transmissions = transmission_limit(member_count)
        for name in names:
            self._transmissions[name] += 1
            if self._transmissions[name] >= max_transmissions:
                self.remove(name)
        return chosen


def transmission_limit(member_count: int) -> int:
    """Return how often an update is sent in a group of ``member_count`` instances."""
    return TRANSMISSIONS_PER_DOUBLING * max(1, math.ceil(math.log2(member_count + 1)))
