"""Assignment of the backend servers of a region to its entry instances."""

from __future__ import annotations

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

    The entries take equal parts of a sequence of shuffles in turn, so about the same number of them
    uses each backend server. Entries that know the same instances agree without coordination.

    >>> entries = ["a", "b", "c", "d"]
    >>> [backend_subset(name, entries, list("vwxyz")).size for name in entries]
    [4, 4, 4, 4]
    """
    ordered_entries, ordered_backends = sorted({*entries, name}), sorted(backends)
    count = len(ordered_backends)
    size = max(MIN_SUBSET, math.ceil(MIN_COVERAGE * count / len(ordered_entries)))
    order: dict[str, None] = {}
    position = ordered_entries.index(name) * size
    while len(order) < count:
        order[_shuffled(ordered_backends, position // count)[position % count]] = None
        position += 1
    return BackendSubset(order=tuple(order), size=size)


def _shuffled(backends: list[str], round_number: int) -> list[str]:
    shuffled = list(backends)
    random.Random(round_number).shuffle(shuffled)
    return shuffled
