"""Rendezvous hashing: instances that know the same names agree on a choice without coordination."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def highest_ranked(subject: str, names: Iterable[str], *, count: int) -> list[str]:
    """Return the ``count`` names with the highest hash weight for ``subject``.

    All callers that know the same names get the same result, and adding or removing a name changes
    the result only if that name is chosen.

    >>> highest_ranked("engine", ["a", "b", "c"], count=1) in (["a"], ["b"], ["c"])
    True
    """
    return sorted(names, key=lambda name: _weight(subject, name), reverse=True)[:count]


def unit_weight(subject: str, name: str) -> float:
    """Return the hash weight of one name for ``subject``, from 0 to 1.

    >>> unit_weight("prefix", "north") == unit_weight("prefix", "north")
    True
    """
    return int.from_bytes(_weight(subject, name), "big") / 2**64


def _weight(subject: str, name: str) -> bytes:
    return hashlib.blake2b(f"{subject} {name}".encode(), digest_size=8).digest()
