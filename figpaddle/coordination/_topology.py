"""Which instances keep a link to each other, so that their number stays bounded at any size."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from figpaddle.wire import InstanceInfo, InstanceState

#: Up to this many instances, each keeps a link to each.
FULL_MESH_INSTANCES = 27
#: Instances of a zone that keep links beyond it.
RELAYS_PER_ZONE = 2
#: Relays of a region that keep links to other regions.
RELAYS_PER_REGION = 2


class Topology:
    """The links of a set of instances, the same in all instances that know the same set.

    An instance is linked with its whole availability zone. The relays of a zone are linked with
    the relays of the region's other zones, and the region's relays, which are among them, with
    those of all other regions. Relays are chosen by a digest of their names, so that another
    instance's death or return moves no relay but its own.

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
        full_mesh_instances: int = FULL_MESH_INSTANCES,
    ) -> None:
        usable = [info for info in instances if info.state is not InstanceState.GONE]
        self._by_name = {info.name: info for info in usable}
        self._full_mesh = len(usable) <= full_mesh_instances
        self._zones = _grouped((info.zone, info.name) for info in usable)
        self._zone_relays = {
            zone: _first_by_digest(names, RELAYS_PER_ZONE) for zone, names in self._zones.items()
        }
        self._regions = _grouped(
            (self._by_name[name].region, name)
            for names in self._zone_relays.values()
            for name in names
        )
        self._region_relays = {
            region: self._spread_over_zones(names) for region, names in self._regions.items()
        }

    @property
    def full_mesh(self) -> bool:
        """Whether each instance is linked with each."""
        return self._full_mesh

    def zone_relays(self, zone: str) -> tuple[str, ...]:
        """Return the instances of ``zone`` that keep links beyond it."""
        return self._zone_relays.get(zone, ())

    def region_relays(self, region: str) -> tuple[str, ...]:
        """Return the instances of ``region`` that keep links to other regions."""
        return self._region_relays.get(region, ())

    def links_of(self, name: str) -> tuple[str, ...]:
        """Return the instances that ``name`` is linked with, in order."""
        own = self._by_name.get(name)
        if own is None:
            return ()
        linked = set(self._by_name) if self._full_mesh else self._linked(own)
        return tuple(sorted(linked - {name}))

    def _linked(self, own: InstanceInfo) -> set[str]:
        linked = set(self._zones[own.zone])
        if own.name in self._zone_relays[own.zone]:
            linked.update(self._regions[own.region])
        if own.name in self._region_relays[own.region]:
            for relays in self._region_relays.values():
                linked.update(relays)
        return linked

    def _spread_over_zones(self, names: list[str]) -> tuple[str, ...]:
        """Return the region's relays, of different zones where there are several."""
        firsts = [name for name in names if self._is_first_of_zone(name)]
        chosen = _first_by_digest(firsts, RELAYS_PER_REGION)
        missing = RELAYS_PER_REGION - len(chosen)
        rest = [name for name in names if name not in chosen]
        return chosen + _first_by_digest(rest, missing)

    def _is_first_of_zone(self, name: str) -> bool:
        return self._zone_relays[self._by_name[name].zone][0] == name


def _grouped(pairs: Iterable[tuple[str, str]]) -> dict[str, list[str]]:
    groups: dict[str, list[str]] = {}
    for key, name in pairs:
        groups.setdefault(key, []).append(name)
    return groups


def _first_by_digest(names: list[str], count: int) -> tuple[str, ...]:
    return tuple(sorted(names, key=lambda name: (zlib.crc32(name.encode()), name))[:count])
