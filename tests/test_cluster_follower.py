"""The agreed state only moves forward in one process."""

from __future__ import annotations

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
from tests.platform_standin import configuration
from tests.regional_parts import make_mesh

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def follower() -> ClusterFollower:
    mesh = make_mesh(ConnectionPool(clock=anyio.current_time, silence_s=1.0))
    return ClusterFollower(
        name="127.0.0.1",
        region="north",
        dialect=PlatformDialect(),
        mesh=mesh,
        clock=anyio.current_time,
        rng=random.Random(1),
        log=structlog.get_logger(),
    )


def state(version: int, previous: ClusterState = EMPTY_STATE) -> ClusterState:
    document = json.dumps(configuration(version)).encode()
    return previous.with_configuration(version, document)


async def test_an_older_revision_that_comes_late_changes_nothing() -> None:
    one = follower()
    older = state(3)
    newer = older.with_evacuation("n-a").with_configuration(
        4, json.dumps(configuration(4)).encode()
    )
    one.install(newer, source="x")
    one.install(older, source="y")
    assert one.state == newer
    assert one.configuration is not None and one.configuration.version == 4


async def test_a_revision_that_can_not_be_read_leaves_the_one_before_in_force() -> None:
    one = follower()
    held = state(3)
    one.install(held, source="x")
    one.install(held.with_configuration(4, b"{"), source="x")
    assert one.configuration is not None and one.configuration.version == 3


async def test_a_hop_waits_for_the_senders_revision_and_no_longer() -> None:
    async with anyio.create_task_group() as tasks:
        one = follower()
        assert not await one.wait_for_revision(1, timeout_s=0.05)

        async def install_soon() -> None:
            await anyio.sleep(0.05)
            one.install(state(3), source="x")

        tasks.start_soon(install_soon)
        assert await one.wait_for_revision(1, timeout_s=5.0)
