"""Which entries a caller is told to connect to."""

from __future__ import annotations

import dataclasses

from figpaddle.deployment import GatewayConfiguration


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownEntry:
    """An entry that callers may be told of."""

    address: str
    region: str
    #: Whether it wants callers.
    ready: bool
    #: Whether it is stopping and still takes callers for a while.
    stopping: bool


def open_regions(configuration: GatewayConfiguration, regions: frozenset[str]) -> frozenset[str]:
    """Return the regions whose entries may see requests of every route."""
    return frozenset(
        region for region in regions if all(route.allows(region) for route in configuration.routes)
    )


def entries_for(
    region: str, entries: list[KnownEntry], *, open_to_all: frozenset[str], settled: bool
) -> list[str]:
    """Return the addresses for a caller in ``region``, the best kind that there is.

    The region's own ready entries; else, while these are stopped in turn or lost, ready ones of
    regions that may see every request; else the region's own that are stopping; else any, unless
    the region may have entries that just aren't heard yet (``settled`` is False or some start).
    """
    own = [entry for entry in entries if entry.region == region]
    kinds = [
        [entry for entry in own if entry.ready],
        [entry for entry in entries if entry.ready and entry.region in open_to_all and settled],
        [entry for entry in own if entry.stopping],
        [entry for entry in entries if entry.ready and settled and not own],
    ]
    found = next((kind for kind in kinds if kind), [])
    return sorted(entry.address for entry in found)
