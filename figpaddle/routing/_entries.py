"""Which entry instances a caller should use."""

from __future__ import annotations

import dataclasses
import zlib

from figpaddle.wire import InstanceInfo, InstanceState

#: How long a caller may keep an answer, seconds.
ENTRY_TTL_S = 5.0
#: Most entry instances named in one answer.
MAX_ENTRIES = 6


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryAnswer:
    """Ranked entry instances and how long the ranking holds."""

    #: Best first.
    entries: tuple[InstanceInfo, ...]
    #: Seconds for which the caller may keep them.
    ttl_s: float = ENTRY_TTL_S


def rank_entries(
    instances: tuple[InstanceInfo, ...],
    *,
    preferred_region: str,
    allowed_regions: tuple[str, ...],
    caller: str,
) -> EntryAnswer:
    """Return the entry instances for ``caller``, those of its preferred region first.

    Instances that leave or are gone, and regions that may not hold the caller's data, are left
    out. Callers of one region are spread by a digest of their names, so that they don't all use
    the same instance first.
    """
    usable = [
        info
        for info in instances
        if info.state is InstanceState.SERVING and info.region in allowed_regions
    ]
    usable.sort(key=lambda info: (info.region != preferred_region, _spread(caller, info.name)))
    return EntryAnswer(entries=tuple(usable[:MAX_ENTRIES]))


def _spread(caller: str, instance: str) -> int:
    return zlib.crc32(f"{caller}/{instance}".encode())
