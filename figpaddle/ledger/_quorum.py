"""Sizes of sets of slots that must overlap."""

from __future__ import annotations


def majority(slots: int) -> int:
    """Return how many votes grant an attempt; any two such sets share a slot.

    >>> [majority(slots) for slots in (1, 2, 3, 5)]
    [1, 2, 2, 3]
    """
    return slots // 2 + 1


def recovery_size(slots: int) -> int:
    """Return how many other intact slots hold, together, every grant that one slot took part in.

    A slot without others can never be recovered, since more are asked for than there are:

    >>> [recovery_size(slots) for slots in (1, 2, 3, 5)]
    [1, 1, 2, 3]
    """
    return slots - majority(slots) + 1
