"""The agreed cluster state that a process holds never goes back to an older revision."""

from __future__ import annotations

import dataclasses
import json
import random

import anyio
import anyio.abc
import pytest
import structlog

import tests.platform_path  # noqa: F401

from wire_dialect import PlatformDialect  # isort: skip

from figpaddle.deployment import EMPTY_STATE, ClusterState
from figpaddle.http1 import ConnectionPool
from figpaddle.regional._cluster import ClusterFollower
from tests.mesh_factory import make_mesh
from tests.platform_standin import configuration

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def make_follower() -> ClusterFollower:
    mesh = make_mesh(ConnectionPool(clock=anyio.current_time, ack_timeout_s=1.0))
    return ClusterFollower(
        name="127.0.0.1",
        region="north",
        dialect=PlatformDialect(),
        mesh=mesh,
        clock=anyio.current_time,
        rng=random.Random(1),
        log=structlog.get_logger(),
    )


def make_state(version: int, previous: ClusterState = EMPTY_STATE) -> ClusterState:
    document = json.dumps(configuration(version)).encode()
    return previous.with_configuration(version, document)


async def test_an_older_revision_that_arrives_late_is_ignored() -> None:
    follower = make_follower()
    older = make_state(3)
    newer = older.with_evacuation("n-a").with_configuration(
        4, json.dumps(configuration(4)).encode()
    )
    follower.install(newer, source="x")
    follower.install(older, source="y")
    assert follower.state == newer
    assert follower.configuration is not None and follower.configuration.version == 4


async def test_voters_that_an_earlier_build_left_out_of_a_revision_are_taken_from_the_whole_one() -> (
    None
):
    # Guards against an instance that counts with voters that were replaced.
    follower = make_follower()
    whole = make_state(3).with_voters(("10.0.0.2",), previous=("10.0.0.1",)).with_settled_voters()
    follower.learn_voters(("10.0.0.1",))
    follower.install(dataclasses.replace(whole, voters=()), source="earlier build")
    assert follower.voters == ("10.0.0.1",)
    follower.install(whole, source="majority")
    assert follower.voters == ("10.0.0.2",) and follower.state == whole
    follower.install(dataclasses.replace(whole, voters=()), source="earlier build")
    assert follower.state == whole


async def test_an_unreadable_revision_leaves_the_previous_one_in_force() -> None:
    follower = make_follower()
    readable = make_state(3)
    follower.install(readable, source="x")
    follower.install(readable.with_configuration(4, b"{"), source="x")
    assert follower.configuration is not None and follower.configuration.version == 3


async def test_a_forwarded_request_waits_for_the_senders_revision_and_no_longer() -> None:
    async with anyio.create_task_group() as tasks:
        follower = make_follower()
        assert not await follower.wait_for_revision(1, timeout_s=0.05)

        async def install_soon() -> None:
            await anyio.sleep(0.05)
            follower.install(make_state(3), source="x")

        tasks.start_soon(install_soon)
        assert await follower.wait_for_revision(1, timeout_s=5.0)
