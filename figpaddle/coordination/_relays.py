"""Selects the relays that distribute the configuration: one in each availability zone."""

from __future__ import annotations

import random

from figpaddle.wire import InstanceInfo, InstanceState


def zone_key(info: InstanceInfo) -> tuple[str, str]:
    """Return the region and the availability zone of an instance."""
    return (info.region, info.zone)


def relay_by_zone(instances: tuple[InstanceInfo, ...]) -> dict[tuple[str, str], InstanceInfo]:
    """Return the relay of each zone: the serving instance with the lowest name.

    Instances with equal directories choose the same relays. Directories that differ for a moment
    cause an additional hop or a duplicate message, but no revision is lost.
    """
    relays: dict[tuple[str, str], InstanceInfo] = {}
    for info in sorted(instances, key=lambda info: info.name):
        if info.state is InstanceState.SERVING:
            relays.setdefault(zone_key(info), info)
    return relays


def revision_sources(
    instances: tuple[InstanceInfo, ...],
    *,
    own: InstanceInfo,
    voters: tuple[str, ...],
    leader: str | None,
    rng: random.Random,
) -> tuple[str, ...]:
    """Return the instances that ``own`` asks for newer revisions, in order.

    A voter first asks the leader if it is known, any other instance the relay of its zone unless
    it is the relay itself. A random voter and a random instance follow.
    """
    others = [
        info.name
        for info in instances
        if info.name != own.name and info.state is not InstanceState.GONE
    ]
    known_voters = [name for name in voters if name in others]
    rng.shuffle(known_voters)
    relay = relay_by_zone(instances).get(zone_key(own))
    names: list[str] = []
    if own.name in voters and leader in others:
        names.append(leader)
    elif own.name not in voters and relay is not None and relay.name != own.name:
        names.append(relay.name)
    if known_voters:
        names.append(known_voters[0])
    if others:
        names.append(rng.choice(others))
    return tuple(dict.fromkeys(names))
