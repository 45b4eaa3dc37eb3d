"""Quorum sizes for voting and for recovery."""

from __future__ import annotations


def majority(slots: int) -> int:
    """Return how many votes grant an attempt; any two sets of that many slots overlap.

    >>> [majority(slots) for slots in (1, 2, 3, 5)]
    [1, 2, 2, 3]
    """
    return slots // 2 + 1


def recovery_size(slots: int) -> int:
    """Return how many intact slots must be read to recover a slot that lost its state.

    Together they know every granted attempt that the lost state had voted for.

    A region's only slot can never be recovered, since that takes one other slot:

    >>> [recovery_size(slots) for slots in (1, 2, 3, 5)]
    [1, 1, 2, 3]
    """
    return slots - majority(slots) + 1
