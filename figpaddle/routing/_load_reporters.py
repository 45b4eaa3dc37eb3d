"""The entries that report the load of their region to other regions."""

from __future__ import annotations

from figpaddle.routing._ranking import highest_ranked

#: Number of entries that report the load of their region to other regions. The others make up for a
#: lost heartbeat of one, and more would repeat the same figures.
LOAD_REPORTERS = 3


def reports_load(name: str, region: str, ready: list[str]) -> bool:
    """Return whether the entry ``name`` reports the load of ``region`` to other regions.

    ``ready`` are the other entries of the region that accept callers.

    >>> [reports_load("a", "north", ["b", "c"]), reports_load("a", "north", [])]
    [True, True]
    """
    return name in highest_ranked(region, {*ready, name}, count=LOAD_REPORTERS)
