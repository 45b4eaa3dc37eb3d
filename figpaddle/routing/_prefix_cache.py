"""Estimate of a backend server's prefix cache."""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from collections.abc import Iterable

from figpaddle.wire import Prefix

#: Half-life of an entry's weight without a new request or cache event, seconds.
ENTRY_HALF_LIFE_S = 1800.0
#: Factor applied to every entry's weight for each gap in the sequence of cache events.
EVENT_GAP_WEIGHT = 0.99
#: Maximum number of prefixes tracked for one backend server; the least recently updated is dropped.
MAX_CACHED_PREFIXES = 4096


@dataclasses.dataclass(kw_only=True, slots=True)
class _Entry:
    updated_at: float
    event_gaps: int


class PrefixCacheEstimate:
    """Prefixes expected in a backend server's cache, from requests sent and cache events.

    >>> cache = PrefixCacheEstimate()
    >>> prompt = (Prefix(digest=1, tokens=64), Prefix(digest=2, tokens=128))
    >>> cache.note_sent(prompt[:1], now=0.0)
    >>> cache.cached_tokens(prompt, now=0.0)
    64.0
    """

    def __init__(self) -> None:
        self._entries: OrderedDict[int, _Entry] = OrderedDict()
        self._event_gaps = 0

    def note_sent(self, prefixes: Iterable[Prefix], *, now: float) -> None:
        """Expect the prefixes of a request that was just sent to be cached."""
        for prefix in prefixes:
            self._record(prefix.digest, now)

    def note_stored(self, digest: int, *, now: float) -> None:
        """Record the cache event that a prefix was stored."""
        self._record(digest, now)

    def note_evicted(self, digest: int) -> None:
        """Record the cache event that a prefix was evicted."""
        self._entries.pop(digest, None)

    def note_event_gap(self) -> None:
        """Reduce the weight of all present entries because cache events were lost."""
        self._event_gaps += 1

    def clear(self) -> None:
        """Remove all entries; the cache is cold."""
        self._entries.clear()

    def cached_tokens(self, prefixes: tuple[Prefix, ...], *, now: float) -> float:
        """Return the expected number of cached prompt tokens, weighted by age and event gaps."""
        expected_tokens = 0.0
        for prefix in reversed(prefixes):
            if prefix.tokens <= expected_tokens:
                break
            entry = self._entries.get(prefix.digest)
            if entry is not None:
                expected_tokens = max(expected_tokens, prefix.tokens * self._weight(entry, now))
        return expected_tokens

    def _record(self, digest: int, now: float) -> None:
        self._entries[digest] = _Entry(updated_at=now, event_gaps=self._event_gaps)
        self._entries.move_to_end(digest)
        if len(self._entries) > MAX_CACHED_PREFIXES:
            self._entries.popitem(last=False)

    def _weight(self, entry: _Entry, now: float) -> float:
        age_s = max(0.0, now - entry.updated_at)
        gaps_since_update = self._event_gaps - entry.event_gaps
        return float(0.5 ** (age_s / ENTRY_HALF_LIFE_S) * EVENT_GAP_WEIGHT**gaps_since_update)
