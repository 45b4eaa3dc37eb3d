"""Where an entry that is cut off from all backend servers of its region has a request sent."""

from __future__ import annotations

import dataclasses
import random
from typing import cast

import pytest
import structlog

from figpaddle.deployment import Workspace
from figpaddle.http1 import ConnectionPool
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._dialect import Dialect
from figpaddle.regional._placer import MAX_NEIGHBOURS, MAX_NEIGHBOURS_AT_LAST, Placer
from figpaddle.regional._request_context import RequestContext
from figpaddle.regional.tests.simulated_instances import Network, make_instances
from figpaddle.regional.tests.test_request_context import context
from figpaddle.routing import Choice
from figpaddle.telemetry import MetricsRegistry
from figpaddle.wire import BackendRecord, BackendState, InstanceRole

pytestmark = pytest.mark.anyio

#: Instances, few enough to do without relays, and the time in which they know each other, seconds.
INSTANCES, START_S = 24, 4.0
#: Time for which a backend server that has just started is cold, seconds.
COLD_S = 3.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def server_record(number: int, *, warmup_s: float) -> BackendRecord:
    """Return the record of a backend server in region north that has just started."""
    return BackendRecord(
        name=f"i-{number}",
        born=1,
        sequence=1,
        service="draft",
        address=f"10.3.0.{number}:80",
        zone="north-a",
        state=BackendState.SERVING,
        slots=4,
        warmup_s=warmup_s,
        age_s=0.0,
    )


async def cut_off_placer(
    *,
    warmups_s: tuple[float, ...],
    earlier_regions: tuple[str, ...] = (),
    count: int = INSTANCES,
) -> Placer:
    """Return the placer of a cut-off entry in region north, whose servers stay cold for these times.

    The entries of ``earlier_regions`` run a build that states nothing of requests that they are offered, and
    reads no workspaces.
    """
    network = Network(seed=1)
    instances = make_instances(network, count)
    for instance in instances:
        instance.states_offers = instance.settings.region not in earlier_regions
        instance.states_workspaces = instance.states_offers
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
    for number, warmup_s in enumerate(warmups_s):
        placer.fleet.apply(server_record(number, warmup_s=warmup_s), now=network.now)
    names = [f"i-{number}" for number in range(len(warmups_s))]
    placer.contact.note_check(servers=names, reached=False, now=network.now)
    return placer


def request(*, home_regions: tuple[str, ...] = ()) -> RequestContext:
    new = context(last_event="")
    new.service = dataclasses.replace(
        new.service, name="draft", cold_per_s=4.0, is_model=False, memory_tokens=0
    )
    new.route = dataclasses.replace(new.route, home_regions=home_regions)
    new.deadline_at = START_S + 10.0
    return new


def server_choice(placer: Placer, name: str) -> Choice:
    backend = placer.fleet.get(name)
    assert backend is not None
    return Choice(backend=backend, region="", expected_s=0.1, wait_s=0.0, prefill=0.0, score=0.1)


def place(placer: Placer, new: RequestContext) -> str:
    """Return the region in which an entry is to send a request, empty for none."""
    choice = placer.place(new)
    assert choice is None or choice.backend is None
    return "" if choice is None else choice.region


async def test_a_cut_off_entry_does_not_take_cold_servers_for_idle_ones() -> None:
    placer = await cut_off_placer(warmups_s=(COLD_S, COLD_S, COLD_S))
    assert place(placer, request()) in ("east", "south")


async def test_a_cut_off_entry_has_a_neighbour_use_warm_servers() -> None:
    placer = await cut_off_placer(warmups_s=(COLD_S, 0.0, COLD_S))
    assert place(placer, request()) == "north"


async def test_a_cut_off_entry_has_a_neighbour_use_cold_servers_if_no_other_place_is_left() -> None:
    placer = await cut_off_placer(warmups_s=(COLD_S, COLD_S, COLD_S))
    assert place(placer, request(home_regions=("north",))) == "north"


async def test_a_request_of_a_workspace_goes_to_no_entry_of_a_build_that_reads_none() -> None:
    placer = await cut_off_placer(warmups_s=(COLD_S,), earlier_regions=("east",))
    new = request()
    assert placer.pick_entry("east", new) is not None
    new.workspace = Workspace(name="desk")
    assert placer.pick_entry("east", new) is None
    assert placer.pick_entry("south", new) is not None


async def test_a_server_that_has_joined_since_the_last_check_gets_requests_at_once() -> None:
    # Guards against refusals where the crash of a region's only server looked like a cut.
    placer = await cut_off_placer(warmups_s=(0.0,))
    placer.fleet.apply(server_record(1, warmup_s=0.0), now=START_S)
    choice = placer.place(request(home_regions=("north",)))
    assert choice is not None and choice.backend is not None and choice.backend.name == "i-1"


@pytest.mark.parametrize("forwarded", [False, True])
async def test_a_server_that_has_joined_gets_requests_also_where_the_one_before_was_faster(
    forwarded: bool,
) -> None:
    # Guards against refusals for want of a neighbour, as the server that crashed had the better score.
    placer = await cut_off_placer(warmups_s=(0.0,))
    placer.fleet.apply(server_record(1, warmup_s=0.0), now=START_S)
    for number in range(3):
        earlier = request()
        earlier.caller = dataclasses.replace(earlier.caller, request_id=f"r{number}")
        placer.note_sent(earlier, server_choice(placer, "i-1"))
    new = request(home_regions=("north",))
    if forwarded:
        new.origin = "south"
    else:
        new.entries_tried = set(placer._mesh.known_entries("north")[:MAX_NEIGHBOURS])
    choice = placer.place(new)
    assert choice is not None and choice.backend is not None and choice.backend.name == "i-1"


def tried(placer: Placer, *, neighbours: int, others: int) -> RequestContext:
    """Return a request that was sent to entries of its own region and of another one, and refused."""
    new = request()
    new.entries_tried = set(placer._mesh.known_entries("north")[:neighbours])
    new.entries_tried |= set(placer._mesh.known_entries("east")[:others])
    return new


async def test_a_cut_off_entry_asks_further_neighbours_for_what_no_other_region_takes() -> None:
    # Guards against refusals while a neighbour that wasn't asked could have sent the request.
    placer = await cut_off_placer(warmups_s=(0.0,), count=INSTANCES + 2)
    assert len(placer._mesh.known_entries("north")) > MAX_NEIGHBOURS_AT_LAST
    for neighbours, expected in ((0, "north"), (1, "north"), (2, "other"), (3, "other")):
        new = tried(placer, neighbours=neighbours, others=0)
        assert place(placer, new) in (("north",) if expected == "north" else ("east", "south"))
        new.regions_tried = {"east", "south"}
        assert place(placer, new) == "north"
    new = tried(placer, neighbours=MAX_NEIGHBOURS_AT_LAST, others=0)
    new.regions_tried = {"east", "south"}
    assert place(placer, new) == ""


async def test_entries_of_other_regions_are_no_neighbours() -> None:
    # Guards against a request that asks fewer neighbours as another region has refused it.
    placer = await cut_off_placer(warmups_s=(0.0,))
    new = tried(placer, neighbours=0, others=2)
    new.regions_tried = {"east"}
    assert place(placer, new) == "north"


async def test_a_suspect_request_is_sent_through_further_neighbours_of_a_cut_off_entry() -> None:
    placer = await cut_off_placer(warmups_s=(0.0,))
    new = tried(placer, neighbours=2, others=0)
    new.confined_by = new.traits.fingerprint
    assert place(placer, new) == "north"
