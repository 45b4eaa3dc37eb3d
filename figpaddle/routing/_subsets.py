"""Assignment of the backend servers of a region to its entry instances."""

from __future__ import annotations

import math
import random

#: Backend servers that each entry uses, and entries that use each backend server, at least. With
#: fewer, an entry could not avoid a busy one; with more, it would know less of their load at first
#: hand and learn the rest late, from the reports of others.
MIN_SUBSET, MIN_COVERAGE = 3, 3


def backend_subset(name: str, entries: list[str], backends: list[str]) -> frozenset[str]:
    """Return the backend servers that the entry ``name`` uses in the first place.

    The entries take equal parts of a sequence of shuffles in turn, so about the same number of them
    uses each backend server. Entries that know the same instances agree without coordination.

    >>> entries = ["a", "b", "c", "d"]
    >>> subsets = [backend_subset(name, entries, list("vwxyz")) for name in entries]
    >>> [len(subset) for subset in subsets]
    [4, 4, 4, 4]
    """
    ordered_entries, ordered_backends = sorted({*entries, name}), sorted(backends)
    count = len(ordered_backends)
    size = max(MIN_SUBSET, math.ceil(MIN_COVERAGE * count / len(ordered_entries)))
    if size >= count:
        return frozenset(ordered_backends)
    subset: set[str] = set()
    position = ordered_entries.index(name) * size
    while len(subset) < size:
        subset.add(_shuffled(ordered_backends, position // count)[position % count])
        position += 1
    return frozenset(subset)


def _shuffled(backends: list[str], round_number: int) -> list[str]:
    shuffled = list(backends)
    random.Random(round_number).shuffle(shuffled)
    return shuffled
