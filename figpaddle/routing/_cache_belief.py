"""What a backend server's prefix cache is believed to hold."""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from collections.abc import Iterable

from figpaddle.wire import Prefix

#: Time in which an unconfirmed belief loses half of its weight, seconds.
HALF_LIFE_S = 1800.0
#: Weight that every belief keeps when cache events were lost.
GAP_FACTOR = 0.99
#: Most prefixes remembered for one backend server.
MAX_PREFIXES = 4096


@dataclasses.dataclass(kw_only=True, slots=True)
class _Belief:
    touched_at: float
    gaps: int


class CacheBelief:
    """Prefixes believed to be cached, from what was sent and from cache events.

    >>> belief = CacheBelief()
    >>> prompt = (Prefix(digest=1, tokens=64), Prefix(digest=2, tokens=128))
    >>> belief.assume(prompt[:1], now=0.0)
    >>> belief.cached_tokens(prompt, now=0.0)
    64.0
    """

    def __init__(self) -> None:
        self._beliefs: OrderedDict[int, _Belief] = OrderedDict()
        self._gaps = 0

    def assume(self, prefixes: Iterable[Prefix], *, now: float) -> None:
        """Take the prefixes of a request that was just sent as cached."""
        for prefix in prefixes:
            self._touch(prefix.digest, now)

    def stored(self, digest: int, *, now: float) -> None:
        """Take in the event that a prefix was cached."""
        self._touch(digest, now)

    def evicted(self, digest: int) -> None:
        """Take in the event that a prefix was dropped."""
        self._beliefs.pop(digest, None)

    def lost_events(self) -> None:
        """Trust every present belief less, since events went missing."""
        self._gaps += 1

    def clear(self) -> None:
        """Forget everything: the cache is cold."""
        self._beliefs.clear()

    def cached_tokens(self, prefixes: tuple[Prefix, ...], *, now: float) -> float:
        """Return the tokens of a prompt that are expected to be in the cache."""
        best = 0.0
        for prefix in reversed(prefixes):
            if prefix.tokens <= best:
                break
            belief = self._beliefs.get(prefix.digest)
            if belief is not None:
                best = max(best, prefix.tokens * self._weight(belief, now))
        return best

    def _touch(self, digest: int, now: float) -> None:
        self._beliefs[digest] = _Belief(touched_at=now, gaps=self._gaps)
        self._beliefs.move_to_end(digest)
        if len(self._beliefs) > MAX_PREFIXES:
            self._beliefs.popitem(last=False)

    def _weight(self, belief: _Belief, now: float) -> float:
        age = max(0.0, now - belief.touched_at)
        lost = self._gaps - belief.gaps
        return float(0.5 ** (age / HALF_LIFE_S) * GAP_FACTOR**lost)
