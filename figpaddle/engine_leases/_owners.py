"""Which entry keeps the account of an engine."""

from __future__ import annotations

from collections.abc import Mapping

from figpaddle.routing import highest_ranked


def account_owner(engine: str, zone: str, entries: Mapping[str, str]) -> str | None:
    """Return the entry that keeps the account of an engine, or None without entries.

    ``entries`` has the zone of each entry of the engine's region that keeps accounts. One of the engine's own
    zone shares its fate, so a cut between zones mostly leaves the account beside its engine. Rendezvous hashing
    makes entries that know the same others agree; one that joins or leaves moves only its own accounts.

    >>> account_owner("i-1", "a", {"x": "a", "y": "b"}), account_owner("i-1", "c", {})
    ('x', None)
    """
    near = [name for name, entry_zone in entries.items() if entry_zone == zone]
    names = near or list(entries)
    return highest_ranked(engine, names, count=1)[0] if names else None
