"""Selects which instances are linked, so that the links per instance stay bounded."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from figpaddle.wire import InstanceInfo, InstanceState

#: Up to this many instances, all of them are linked with each other.
MAX_FULL_MESH_INSTANCES = 27
#: Number of instances per zone that have links to other zones.
RELAYS_PER_ZONE = 2
#: Number of instances per region that have links to other regions.
RELAYS_PER_REGION = 2


class Topology:
    """The links between a set of instances; equal sets give the same links at every instance.

    Each instance is linked with all instances of its availability zone. The relays of a zone are
    also linked with the relays of the other zones of their region. Some of them are the relays of
    the region, which are also linked with those of all other regions. Relays are chosen by a
    digest of their names, so that the failure or return of an instance changes no relay but
    itself and the one that takes its place.

    A small deployment is a full mesh.

    >>> one, two = (
    ...     InstanceInfo(
    ...         name=name, region="seoul", zone="seoul-a", peer_address="127.0.0.1:1",
    ...         caller_address="127.0.0.1:2", incarnation=1,
    ...     )
    ...     for name in ("one", "two")
    ... )
    >>> Topology(instances=(one, two)).links_of("one")
    ('two',)
    """

    def __init__(
        self,
        *,
        instances: Iterable[InstanceInfo],
        max_full_mesh_instances: int = MAX_FULL_MESH_INSTANCES,
    ) -> None:
        active = [info for info in instances if info.state is not InstanceState.GONE]
        self._by_name = {info.name: info for info in active}
        self._full_mesh = len(active) <= max_full_mesh_instances
        self._zones = _group((info.zone, info.name) for info in active)
        self._zone_relays = {
            zone: _lowest_by_digest(names, RELAYS_PER_ZONE) for zone, names in self._zones.items()
        }
        self._regions = _group(
            (self._by_name[name].region, name)
            for names in self._zone_relays.values()
            for name in names
        )
        self._region_relays = {
            region: self._choose_region_relays(names) for region, names in self._regions.items()
        }

    @property
    def full_mesh(self) -> bool:
        """Whether all instances are linked with each other."""
        return self._full_mesh

    def zone_relays(self, zone: str) -> tuple[str, ...]:
        """Return the instances of ``zone`` that have links to other zones."""
        return self._zone_relays.get(zone, ())

    def region_relays(self, region: str) -> tuple[str, ...]:
        """Return the instances of ``region`` that have links to other regions."""
        return self._region_relays.get(region, ())

    def links_of(self, name: str) -> tuple[str, ...]:
        """Return the names of the instances that ``name`` is linked with, sorted."""
        own = self._by_name.get(name)
        if own is None:
            return ()
        linked = set(self._by_name) if self._full_mesh else self._linked_names(own)
        return tuple(sorted(linked - {name}))

    def _linked_names(self, own: InstanceInfo) -> set[str]:
        linked = set(self._zones[own.zone])
        if own.name in self._zone_relays[own.zone]:
            linked.update(self._regions[own.region])
        if own.name in self._region_relays[own.region]:
            for relays in self._region_relays.values():
                linked.update(relays)
        return linked

    def _choose_region_relays(self, names: list[str]) -> tuple[str, ...]:
        """Return the region's relays, from different zones where there are several."""
        first_relays = [name for name in names if self._is_first_zone_relay(name)]
        chosen = _lowest_by_digest(first_relays, RELAYS_PER_REGION)
        missing = RELAYS_PER_REGION - len(chosen)
        rest = [name for name in names if name not in chosen]
        return chosen + _lowest_by_digest(rest, missing)

    def _is_first_zone_relay(self, name: str) -> bool:
        return self._zone_relays[self._by_name[name].zone][0] == name


def _group(pairs: Iterable[tuple[str, str]]) -> dict[str, list[str]]:
    groups: dict[str, list[str]] = {}
    for key, name in pairs:
        groups.setdefault(key, []).append(name)
    return groups


def _lowest_by_digest(names: list[str], count: int) -> tuple[str, ...]:
    return tuple(sorted(names, key=lambda name: (zlib.crc32(name.encode()), name))[:count])
