"""How the work to place requests grows with the backend servers and with the requests."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import Any, cast

import pytest
import structlog

from figpaddle.http1 import ConnectionPool
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._dialect import Dialect
from figpaddle.regional._placer import Placer
from figpaddle.regional._request_context import RequestContext
from figpaddle.regional.tests.simulated_instances import Network, make_instances
from figpaddle.regional.tests.test_request_context import context
from figpaddle.telemetry import MetricsRegistry
from figpaddle.wire import BackendRecord, BackendState, InstanceRole

pytestmark = pytest.mark.anyio

#: Instances, the time in which they know each other, and a silence of the control instances after which
#: an entry takes all backend servers for cold, seconds.
INSTANCES, START_S, SILENCE_S = 24, 4.0, 1.2
#: Requests that are placed at the same moment.
REQUESTS = 20


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def placer_out_of_contact(*, servers: int) -> Placer:
    """Return the placer of an entry that has heard of no backend server for ``SILENCE_S``."""
    network = Network(seed=1)
    instances = make_instances(network, INSTANCES)
    entry = next(
        item
        for item in instances
        if item.settings.region == "north" and item.settings.role is InstanceRole.ENTRY
    )

    def clock() -> float:
        return network.now

    rng = random.Random(1)
    log = structlog.wrap_logger(structlog.ReturnLogger(), processors=[])
    follower = ClusterFollower(
        name=entry.name,
        region="north",
        dialect=cast(Dialect, None),
        mesh=entry.mesh,
        clock=clock,
        rng=rng,
        log=log,
    )
    placer = Placer(
        settings=entry.settings,
        mesh=entry.mesh,
        follower=follower,
        pool=ConnectionPool(clock=clock, ack_timeout_s=1.0),
        clock=clock,
        rng=rng,
        log=log,
        metrics=MetricsRegistry(),
    )
    await network.run(START_S)
    for number in range(servers):
        record = BackendRecord(
            name=f"i-{number}",
            born=1,
            sequence=1,
            service="draft",
            address=f"10.3.0.{number}:80",
            zone="north-a",
            state=BackendState.SERVING,
            slots=4,
            warmup_s=0.0,
            age_s=0.0,
        )
        placer.fleet.apply(record, now=network.now)
    network.now += SILENCE_S
    return placer


def request() -> RequestContext:
    new = context(last_event="")
    new.service = dataclasses.replace(
        new.service, name="draft", cold_per_s=4.0, is_model=False, memory_tokens=0
    )
    new.deadline_at = START_S + SILENCE_S + 10.0
    return new


def counted(monkeypatch: pytest.MonkeyPatch, target: object, name: str, counts: list[str]) -> None:
    """Append ``name`` to ``counts`` at each call of a method of ``target``."""
    method: Callable[..., Any] = getattr(target, name)

    def call(*args: Any, **kwargs: Any) -> Any:
        counts.append(name)
        return method(*args, **kwargs)

    monkeypatch.setattr(target, name, call)


@pytest.mark.parametrize("servers", [4, 46])
async def test_the_servers_of_a_service_are_listed_once_for_all_requests_of_a_moment(
    servers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a list of all servers for each server that may be cold.
    placer = await placer_out_of_contact(servers=servers)
    lists: list[str] = []
    counted(monkeypatch, placer.fleet, "serving_names", lists)
    for _ in range(REQUESTS):
        placer.place(request())
    assert placer.count_by_state()["cold"] == servers
    assert len(lists) <= 1
