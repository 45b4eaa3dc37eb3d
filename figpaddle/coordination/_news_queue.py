"""News that waits to be sent along with probes, each item a limited number of times."""

from __future__ import annotations

import math

from figpaddle.wire import MemberNews

#: Transmissions of one item for each doubling of the number of members.
TRANSMISSIONS_PER_DOUBLING = 3


class NewsQueue:
    """Newest news of each instance, least often sent first.

    >>> queue = NewsQueue()
    >>> queue.take(limit=8, members=9)
    ()
    """

    def __init__(self) -> None:
        self._items: dict[str, MemberNews] = {}
        self._sent: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of items that wait."""
        return len(self._items)

    def put(self, news: MemberNews) -> None:
        """Spread ``news`` in place of older news of the same instance."""
        self._items[news.info.name] = news
        self._sent[news.info.name] = 0

    def drop(self, name: str) -> None:
        """Spread nothing about ``name`` any more."""
        self._items.pop(name, None)
        self._sent.pop(name, None)

    def take(self, *, limit: int, members: int) -> tuple[MemberNews, ...]:
        """Return at most ``limit`` items to send now and count them as sent."""
        if not self._items:
            return ()
        names = sorted(self._items, key=lambda name: (self._sent[name], name))[:limit]
        chosen = tuple(self._items[name] for name in names)
        most = transmission_limit(members)
        for name in names:
            self._sent[name] += 1
            if self._sent[name] >= most:
                self.drop(name)
        return chosen


def transmission_limit(members: int) -> int:
    """Return how often one item is sent in a group of ``members``."""
    return TRANSMISSIONS_PER_DOUBLING * max(1, math.ceil(math.log2(members + 1)))
