"""Selection of the entry instances whose addresses a caller gets."""

from __future__ import annotations

import dataclasses

from figpaddle.deployment import GatewayConfiguration


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownEntry:
    """An entry instance that may be offered to callers."""

    address: str
    region: str
    #: Whether it accepts new callers.
    ready: bool
    #: Whether it is stopping and still accepts callers for a while.
    stopping: bool


def unrestricted_regions(
    configuration: GatewayConfiguration, regions: frozenset[str]
) -> frozenset[str]:
    """Return the regions whose entry instances may handle requests of every route and workspace."""
    return frozenset(
        region
        for region in regions
        if all(route.allows(region) for route in configuration.routes)
        and all(workspace.allows(region) for workspace in configuration.workspaces)
    )


def entries_for(
    region: str, entries: list[KnownEntry], *, unrestricted: frozenset[str], view_is_complete: bool
) -> list[str]:
    """Return the addresses to offer to a caller in ``region``.

    These are all entry instances of the first non-empty group in this order: ready instances of the
    region; ready instances of regions that may handle every request, while the region's own are
    restarted or lost; stopping instances of the region; any ready instance, if the region has none
    at all. Other regions are used only if ``view_is_complete``: shortly after the start, the
    region's instances may not be known yet.
    """
    local_entries = [entry for entry in entries if entry.region == region]
    groups = [
        [entry for entry in local_entries if entry.ready],
        [
            entry
            for entry in entries
            if entry.ready and entry.region in unrestricted and view_is_complete
        ],
        [entry for entry in local_entries if entry.stopping],
        [entry for entry in entries if entry.ready and view_is_complete and not local_entries],
    ]
    selected = next((group for group in groups if group), [])
    return sorted(entry.address for entry in selected)
