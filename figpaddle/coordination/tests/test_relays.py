"""Who passes the configuration on, and whom each instance asks for it."""

from __future__ import annotations

import random

import pytest

from figpaddle.coordination import relays, sources
from figpaddle.wire import InstanceInfo, InstanceState

VOTERS = ("seoul-1", "busan-1", "busan-2")
SEEDS = range(20)


def info(name: str, state: InstanceState = InstanceState.SERVING) -> InstanceInfo:
    region = name.split("-")[0]
    return InstanceInfo(
        name=name,
        region=region,
        zone=f"{region}-a",
        peer_address="127.0.0.1:1",
        caller_address="127.0.0.1:2",
        incarnation=1,
        state=state,
    )


ALL = tuple(info(name) for name in ("seoul-1", "seoul-2", "busan-1", "busan-2", "jeju-1", "jeju-2"))


def asked(own: str, leader: str | None, instances: tuple[InstanceInfo, ...] = ALL) -> set[str]:
    """Return the first source, over all seeds."""
    return {
        sources(instances, own=info(own), voters=VOTERS, leader=leader, rng=random.Random(seed))[0]
        for seed in SEEDS
    }


@pytest.mark.parametrize(
    ("own", "leader", "wanted"),
    [
        ("seoul-1", "busan-1", ("busan-1",)),
        ("seoul-1", None, ("busan-1", "busan-2")),
        ("seoul-2", None, ("seoul-1",)),
        ("jeju-2", None, ("jeju-1",)),
        ("jeju-1", None, VOTERS),
    ],
)
def test_first_source_is_the_leader_a_voter_or_the_relay(
    own: str, leader: str | None, wanted: tuple[str, ...]
) -> None:
    assert asked(own, leader) == set(wanted)


@pytest.mark.parametrize("state", [InstanceState.LEAVING, InstanceState.GONE])
def test_next_instance_takes_over_from_a_relay_that_leaves(state: InstanceState) -> None:
    left = tuple(info(one.name, state) if one.name == "jeju-1" else one for one in ALL)
    assert relays(left)[("jeju", "jeju-a")].name == "jeju-2"
    assert asked("jeju-2", None, left) == set(VOTERS)


def test_own_name_is_never_a_source() -> None:
    for one in ALL:
        for seed in SEEDS:
            rng = random.Random(seed)
            found = sources(ALL, own=one, voters=VOTERS, leader=one.name, rng=rng)
            assert one.name not in found and found
