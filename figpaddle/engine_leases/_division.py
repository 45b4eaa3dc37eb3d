"""Division of one capacity among the entries that ask for parts of it."""

from __future__ import annotations

from collections.abc import Mapping


def divide(capacity: float, wanted: Mapping[str, float]) -> dict[str, float]:
    """Return each entry's part of ``capacity``: all that it wants where that suffices, else equal parts at most.

    What is left beyond all wishes is lent in equal parts, so that an entry can begin something at once.

    >>> divide(10.0, {"a": 2.0, "b": 9.0, "c": 9.0})
    {'a': 2.0, 'b': 4.0, 'c': 4.0}
    >>> divide(10.0, {"a": 2.0, "b": 4.0})
    {'a': 4.0, 'b': 6.0}
    """
    parts = dict.fromkeys(wanted, 0.0)
    left = max(0.0, capacity)
    unmet = sorted(wanted, key=lambda name: wanted[name])
    while unmet:
        name = unmet.pop(0)
        parts[name] = min(max(0.0, wanted[name]), left / (len(unmet) + 1))
        left -= parts[name]
    spare = left / len(parts) if parts else 0.0
    return {name: part + spare for name, part in parts.items()}
