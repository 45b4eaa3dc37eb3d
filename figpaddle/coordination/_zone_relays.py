"""Selects the relays of an availability zone from the heartbeats of its instances."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable

from figpaddle.wire import InstanceHeartbeat, InstanceRole, Readiness

#: Number of relays of a zone: one may fail while the other goes on.
RELAYS_PER_ZONE = 2
#: Number of known instances from which heartbeats go through relays. Among fewer, heartbeats to all
#: cost little and arrive sooner.
MIN_RELAYED_INSTANCES = 40


def zone_relays(
    zone: str, instances: Iterable[InstanceHeartbeat], *, silent: frozenset[str] = frozenset()
) -> tuple[str, ...]:
    """Return the names of the relays of ``zone``, at most ``RELAYS_PER_ZONE``.

    They are one control instance, which has no callers, and one entry if the zone has both, so that a
    fault of all control instances leaves a relay. While the control instance is silent, the entry
    comes first, since it knows the zone already, and another control instance doesn't. Instances that
    know the same others agree without coordination; they pass over those in ``silent``, from which
    they hear nothing, and those that are leaving.
    """
    in_zone = [instance for instance in instances if instance.zone == zone and instance.relays]
    ranked = sorted(in_zone, key=lambda instance: _weight(zone, instance.name))
    staying = [item for item in ranked if item.readiness is not Readiness.LEAVING]
    fit = [item for item in staying if item.name not in silent] or ranked
    entries = [item.name for item in fit if item.role is InstanceRole.ENTRY]
    controls = [item.name for item in fit if item.role is InstanceRole.CONTROL]
    usual = next((item.name for item in staying if item.role is InstanceRole.CONTROL), "")
    if usual in silent:
        return (*entries, *controls)[:RELAYS_PER_ZONE]
    return (*controls[:1], *entries[:1], *controls[1:], *entries[1:])[:RELAYS_PER_ZONE]


@functools.lru_cache(maxsize=4096)
def _weight(zone: str, name: str) -> bytes:
    return hashlib.blake2b(f"{zone} {name}".encode(), digest_size=8).digest()
