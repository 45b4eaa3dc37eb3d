"""Assignment of the backend servers of a region to its entry instances."""

from __future__ import annotations

import collections
import dataclasses
import math
import random

#: Backend servers that each entry uses, and entries that use each backend server, at least. With
#: fewer, an entry could not avoid a busy one; with more, it would know less of their load at first
#: hand and learn the rest late, from the reports of others.
MIN_SUBSET, MIN_COVERAGE = 3, 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendSubset:
    """The backend servers that an entry uses in the first place.

    >>> subset = BackendSubset(order=("v", "w", "x", "y"), size=2)
    >>> sorted(subset.select({"v", "x", "y"}))
    ['v', 'x']
    """

    #: All backend servers, the first ones preferred.
    order: tuple[str, ...]
    #: How many of them the entry uses.
    size: int

    def uses(self, name: str) -> bool:
        """Return whether ``name`` is used while all are available."""
        return name in self.order[: self.size]

    def select(self, available: set[str]) -> set[str]:
        """Return the first ones of ``available``; one that isn't makes room for the next."""
        selected: set[str] = set()
        for name in self.order:
            if name in available:
                selected.add(name)
                if len(selected) == self.size:
                    break
        return selected


def backend_subset(name: str, entries: list[str], backends: list[str]) -> BackendSubset:
    """Return the backend servers that the entry ``name`` uses in the first place.

    The backend servers are dealt to the entries in turn, shuffled for each round, so that the same
    number of entries, give or take one, uses each. Entries that know the same instances agree
    without coordination.

    >>> entries = ["a", "b", "c", "d"]
    >>> [backend_subset(name, entries, list("vwxyz")).size for name in entries]
    [4, 4, 4, 4]
    """
    ordered_entries, ordered_backends = sorted({*entries, name}), sorted(backends)
    size = max(MIN_SUBSET, math.ceil(MIN_COVERAGE * len(backends) / len(ordered_entries)))
    index = ordered_entries.index(name)
    dealt = _deal(ordered_backends, min(size, len(ordered_backends)), index)
    others = [backend for backend in _shuffled(ordered_backends, index) if backend not in dealt]
    return BackendSubset(order=(*dealt, *others), size=size)


def _deal(backends: list[str], size: int, index: int) -> list[str]:
    """Return the part of the entry with the number ``index`` when ``size`` are dealt to each."""
    waiting: collections.deque[str] = collections.deque()
    part: list[str] = []
    rounds = 0
    for _ in range(index + 1):
        part = []
        repeated: list[str] = []
        while len(part) < size:
            if not waiting:
                waiting.extend(_shuffled(backends, rounds))
                rounds += 1
            backend = waiting.popleft()
            (repeated if backend in part else part).append(backend)
        waiting.extendleft(reversed(repeated))
    return part


def _shuffled(backends: list[str], round_number: int) -> list[str]:
    shuffled = list(backends)
    random.Random(round_number).shuffle(shuffled)
    return shuffled
