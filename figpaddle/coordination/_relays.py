"""Which instances pass the configuration on: one relay in each availability zone."""

from __future__ import annotations

import random

from figpaddle.wire import InstanceInfo, InstanceState


def zone_of(info: InstanceInfo) -> tuple[str, str]:
    """Return region and availability zone of an instance."""
    return (info.region, info.zone)


def relays(instances: tuple[InstanceInfo, ...]) -> dict[tuple[str, str], InstanceInfo]:
    """Return the relay of each zone: the serving instance with the lowest name.

    Every instance chooses alike from an equal directory. Directories that differ for a moment
    cost a detour or a double message, never a revision.
    """
    chosen: dict[tuple[str, str], InstanceInfo] = {}
    for info in sorted(instances, key=lambda one: one.name):
        if info.state is InstanceState.SERVING:
            chosen.setdefault(zone_of(info), info)
    return chosen


def sources(
    instances: tuple[InstanceInfo, ...],
    *,
    own: InstanceInfo,
    voters: tuple[str, ...],
    leader: str | None,
    rng: random.Random,
) -> tuple[str, ...]:
    """Return whom ``own`` asks for newer revisions, in order.

    A voter asks the leader, a relay a voter, any other instance its relay; where that fails, a
    voter and then any instance.
    """
    others = [
        info.name
        for info in instances
        if info.name != own.name and info.state is not InstanceState.GONE
    ]
    known_voters = [name for name in voters if name in others]
    rng.shuffle(known_voters)
    relay = relays(instances).get(zone_of(own))
    wanted: list[str] = []
    if own.name in voters and leader in others:
        wanted.append(leader)
    elif own.name not in voters and relay is not None and relay.name != own.name:
        wanted.append(relay.name)
    if known_voters:
        wanted.append(known_voters[0])
    if others:
        wanted.append(rng.choice(others))
    return tuple(dict.fromkeys(wanted))
