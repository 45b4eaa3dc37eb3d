"""Ranking of the entry instances that a caller connects to."""

from __future__ import annotations

import dataclasses
import zlib

from figpaddle.wire import InstanceInfo, InstanceState

#: How long a caller may cache an answer, seconds.
ENTRY_TTL_S = 5.0
#: Maximum number of entry instances in one answer.
MAX_ENTRIES = 6


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryAnswer:
    """Ranked entry instances and the lifetime of the ranking."""

    #: Entry instances, best first.
    entries: tuple[InstanceInfo, ...]
    #: How long the caller may cache them, seconds.
    ttl_s: float = ENTRY_TTL_S


def rank_entries(
    instances: tuple[InstanceInfo, ...],
    *,
    preferred_region: str,
    allowed_regions: tuple[str, ...],
    caller: str,
) -> EntryAnswer:
    """Return the entry instances for ``caller``, those of its preferred region first.

    Instances that are not serving or that are in a region that may not hold the caller's data are
    left out.
    Within a region the order depends on a digest of the caller's name, which spreads callers over
    the instances.
    """
    usable = [
        info
        for info in instances
        if info.state is InstanceState.SERVING and info.region in allowed_regions
    ]
    usable.sort(
        key=lambda info: (info.region != preferred_region, _spread_digest(caller, info.name))
    )
    return EntryAnswer(entries=tuple(usable[:MAX_ENTRIES]))


def _spread_digest(caller: str, instance: str) -> int:
    return zlib.crc32(f"{caller}/{instance}".encode())
