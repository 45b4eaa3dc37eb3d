"""Ranks names for a subject, so that instances agree on a few of them without a word."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def highest_ranked(subject: str, names: Iterable[str], *, count: int) -> list[str]:
    """Return the ``count`` names with the highest random weight for ``subject``.

    Whoever knows the same names picks the same ones, and a name that comes or goes changes the
    choice only where it is itself chosen.

    >>> highest_ranked("engine", ["a", "b", "c"], count=1) in (["a"], ["b"], ["c"])
    True
    """
    return sorted(names, key=lambda name: _weight(subject, name), reverse=True)[:count]


def unit_weight(subject: str, name: str) -> float:
    """Return the weight of one name for ``subject``, from 0 to 1.

    >>> unit_weight("part", "north") == unit_weight("part", "north")
    True
    """
    return int.from_bytes(_weight(subject, name), "big") / 2**64


def _weight(subject: str, name: str) -> bytes:
    return hashlib.blake2b(f"{subject} {name}".encode(), digest_size=8).digest()
