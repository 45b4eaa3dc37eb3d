"""Which instances relay the configuration, and which ones each instance asks for it."""

from __future__ import annotations

import random

import pytest

from figpaddle.coordination import relay_by_zone, revision_sources
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


def first_sources(
    own: str, leader: str | None, instances: tuple[InstanceInfo, ...] = ALL
) -> set[str]:
    """Return the first sources that ``own`` chooses over all seeds."""
    return {
        revision_sources(
            instances, own=info(own), voters=VOTERS, leader=leader, rng=random.Random(seed)
        )[0]
        for seed in SEEDS
    }


@pytest.mark.parametrize(
    ("own", "leader", "expected"),
    [
        ("seoul-1", "busan-1", ("busan-1",)),
        ("seoul-1", None, ("busan-1", "busan-2")),
        ("seoul-2", None, ("seoul-1",)),
        ("jeju-2", None, ("jeju-1",)),
        ("jeju-1", None, VOTERS),
    ],
)
def test_first_source_is_the_leader_a_voter_or_the_relay(
    own: str, leader: str | None, expected: tuple[str, ...]
) -> None:
    assert first_sources(own, leader) == set(expected)


@pytest.mark.parametrize("state", [InstanceState.LEAVING, InstanceState.GONE])
def test_next_instance_takes_over_from_a_relay_that_leaves(state: InstanceState) -> None:
    instances = tuple(info(known.name, state) if known.name == "jeju-1" else known for known in ALL)
    assert relay_by_zone(instances)[("jeju", "jeju-a")].name == "jeju-2"
    assert first_sources("jeju-2", None, instances) == set(VOTERS)


def test_own_name_is_never_a_source() -> None:
    for own in ALL:
        for seed in SEEDS:
            rng = random.Random(seed)
            names = revision_sources(ALL, own=own, voters=VOTERS, leader=own.name, rng=rng)
            assert own.name not in names and names
