"""Links are bounded, connect all instances and change little when one fails."""

from __future__ import annotations

import dataclasses
import random

from figpaddle.coordination import Topology
from figpaddle.wire import InstanceInfo, InstanceState

REGIONS = 15
ZONES = 51
INSTANCES = 400


def full_size() -> list[InstanceInfo]:
    """Return 400 instances in 51 availability zones and 15 regions."""
    infos = []
    for number in range(INSTANCES):
        zone = number % ZONES
        infos.append(
            InstanceInfo(
                name=f"instance-{number}",
                region=f"region-{zone % REGIONS}",
                zone=f"zone-{zone}",
                peer_address=f"10.0.0.1:{number}",
                caller_address=f"10.0.0.2:{number}",
                incarnation=1,
            )
        )
    return infos


def reachable(topology: Topology, start: str) -> set[str]:
    visited = {start}
    pending = [start]
    while pending:
        for name in topology.links_of(pending.pop()):
            if name not in visited:
                visited.add(name)
                pending.append(name)
    return visited


def test_links_of_an_instance_are_bounded_at_full_size() -> None:
    infos = full_size()
    topology = Topology(instances=infos)
    counts = [len(topology.links_of(info.name)) for info in infos]
    assert max(counts) <= 45
    assert sum(counts) / len(counts) <= 13


def test_links_connect_all_instances_when_one_relay_per_zone_is_dead() -> None:
    infos = full_size()
    victims = {Topology(instances=infos).zone_relays(f"zone-{zone}")[0] for zone in range(ZONES)}
    live = [info for info in infos if info.name not in victims]
    assert reachable(Topology(instances=live), live[0].name) == {info.name for info in live}


def test_links_are_mutual() -> None:
    infos = full_size()
    topology = Topology(instances=infos)
    for info in infos:
        for name in topology.links_of(info.name):
            assert info.name in topology.links_of(name)


def test_same_instances_in_another_order_give_the_same_links() -> None:
    infos = full_size()
    shuffled = random.Random(1).sample(infos, len(infos))
    ordered, reordered = Topology(instances=infos), Topology(instances=shuffled)
    assert all(ordered.links_of(info.name) == reordered.links_of(info.name) for info in infos)


def test_death_of_an_instance_that_is_no_relay_changes_only_its_own_links() -> None:
    infos = full_size()
    before = Topology(instances=infos)
    victim = next(info for info in infos if info.name not in before.zone_relays(info.zone))
    gone = victim.with_state(InstanceState.GONE)
    after = Topology(instances=[gone if info is victim else info for info in infos])
    for info in infos:
        if info is not victim:
            expected = set(before.links_of(info.name)) - {victim.name}
            assert set(after.links_of(info.name)) == expected


def test_region_relays_are_in_different_zones() -> None:
    infos = full_size()
    topology = Topology(instances=infos)
    zones = {info.name: info.zone for info in infos}
    for number in range(REGIONS):
        relays = topology.region_relays(f"region-{number}")
        assert len({zones[name] for name in relays}) == 2


def test_small_deployment_is_a_full_mesh() -> None:
    infos = full_size()[:27]
    topology = Topology(instances=infos)
    assert topology.full_mesh
    assert all(len(topology.links_of(info.name)) == 26 for info in infos)
    additional = dataclasses.replace(infos[0], name="another")
    assert not Topology(instances=[*infos, additional]).full_mesh
