"""Changes of the cluster state are confirmed only once they survive the loss of a voter's disk."""

from __future__ import annotations

import contextlib
import dataclasses
import pathlib
import random
from collections.abc import AsyncIterator
from typing import Any

import anyio
import anyio.abc
import pytest
import structlog

from figpaddle.deployment import ClusterState
from figpaddle.errors import NoMajorityError, OrderOvertakenError, PeerUnreachableError
from figpaddle.regional import Bounds, ProcessSettings
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._mesh import QueryHandler
from figpaddle.regional._register_host import RegisterHost
from figpaddle.regional._register_store import RegisterStore
from figpaddle.regional._tasks import ContainedTasks
from figpaddle.telemetry import MetricsRegistry
from figpaddle.wire import AcceptRequest, InstanceRole, Message, StateChange

pytestmark = pytest.mark.anyio

NAMES = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
#: Time from the start until the voters are decided, seconds.
BOOTSTRAP_S = 10.0
#: Time within which the instances agree, seconds.
TIMEOUT_S = 10.0
CHANGE = StateChange(kind="evacuate", version=0, document=b"", zone="z")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    name: str
    founding: bool = True
    region: str = "north"
    revision: int = 0


@dataclasses.dataclass(frozen=True)
class ReceivedHeartbeat:
    received_at: float


class Network:
    """Delivers queries between instances in memory."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict[type[Message], QueryHandler]] = {name: {} for name in NAMES}
        #: Types of queries that don't arrive.
        self.lost: set[type[Message]] = set()
        #: Instances to which sending a query raises an error that nothing anticipates.
        self.failing: set[str] = set()
        #: Instances that are cut off from the others.
        self.cut_off: set[str] = set()
        self.offset_s = 0.0

    def clock(self) -> float:
        return anyio.current_time() + self.offset_s


class MemoryMesh:
    """One instance's view of the network; all others are heard."""

    def __init__(self, name: str, network: Network) -> None:
        self._name = name
        self._network = network

    def on_query(self, kind: type[Message], query_handler: QueryHandler) -> None:
        self._network.handlers[self._name][kind] = query_handler

    def live_controls(self) -> list[Heartbeat]:
        return [Heartbeat(name=name) for name in NAMES if name != self._name]

    live_heartbeats = live_controls

    def last_heard(self, name: str) -> ReceivedHeartbeat:
        return ReceivedHeartbeat(received_at=self._network.clock())

    def send_heartbeats_now(self) -> None: ...

    async def send_query(self, name: str, query: Message, *, timeout_s: float) -> Message:
        await anyio.sleep(0)
        if name in self._network.failing:
            raise RuntimeError("sending failed")
        if type(query) in self._network.lost or self._network.cut_off & {self._name, name}:
            raise PeerUnreachableError(what="no reply", where=name)
        return await self._network.handlers[name][type(query)](query)


@dataclasses.dataclass(kw_only=True)
class Control:
    """One control instance: its voter and the register."""

    store: RegisterStore
    register: RegisterHost


def make_control(
    name: str, network: Network, tasks: anyio.abc.TaskGroup, folder: pathlib.Path
) -> Control:
    settings = ProcessSettings(
        label=name,
        ip=name,
        role=InstanceRole.CONTROL,
        region="north",
        zone="z",
        zones={"z": "north"},
        caller_address="",
        readiness_address="",
        control_address="",
        lookup_address="",
        peer_port=0,
        metrics_port=0,
        seeds=NAMES,
        first_start=True,
        data_folder=folder,
        max_descriptors=100,
        bounds=Bounds(),
    )
    log = structlog.get_logger()
    mesh: Any = MemoryMesh(name, network)
    dialect: Any = None
    store = RegisterStore(folder=folder, name=name)
    store.open(first_start=True)
    follower = ClusterFollower(
        name=name,
        region="north",
        dialect=dialect,
        mesh=mesh,
        clock=network.clock,
        rng=random.Random(name),
        log=log,
    )
    contained = ContainedTasks(tasks=tasks, log=log, metrics=MetricsRegistry())
    register = RegisterHost(
        settings=settings,
        mesh=mesh,
        follower=follower,
        store=store,
        tasks=contained,
        clock=network.clock,
        rng=random.Random(name),
        log=log,
    )
    contained.start_service(register.run)
    contained.start_service(follower.run)
    return Control(store=store, register=register)


@contextlib.asynccontextmanager
async def controls(network: Network, folder: pathlib.Path) -> AsyncIterator[list[Control]]:
    """Run three control instances at the moment at which the first decides the voters."""
    async with anyio.create_task_group() as tasks:
        instances = [make_control(name, network, tasks, folder / name) for name in NAMES]
        await anyio.sleep(0.05)
        network.offset_s = BOOTSTRAP_S
        with anyio.fail_after(TIMEOUT_S):
            yield instances
        tasks.cancel_scope.cancel()


async def confirmed_change(control: Control) -> ClusterState:
    """Return the state after a change, which is sent again until it is confirmed."""
    while True:
        with contextlib.suppress(NoMajorityError):
            return await control.register.change(CHANGE)
        await anyio.sleep(0.01)


async def test_a_change_is_confirmed_once_a_majority_knows_the_voters(
    tmp_path: pathlib.Path,
) -> None:
    async with controls(Network(), tmp_path) as instances:
        await confirmed_change(instances[0])
        assert sum(instance.store.voters == NAMES for instance in instances) >= 2


async def test_no_change_is_confirmed_while_only_one_disk_names_the_voters(
    tmp_path: pathlib.Path,
) -> None:
    network = Network()
    network.lost.add(AcceptRequest)
    async with controls(network, tmp_path) as instances:
        with anyio.move_on_after(1.0) as unconfirmed:
            await confirmed_change(instances[0])
        assert unconfirmed.cancelled_caught
        assert not any(instance.store.voter.state.value for instance in instances[1:])
        network.lost.clear()
        await confirmed_change(instances[0])


async def test_an_error_in_asking_the_voters_holds_up_no_later_change(
    tmp_path: pathlib.Path,
) -> None:
    network = Network()
    async with controls(network, tmp_path) as instances:
        await confirmed_change(instances[0])
        network.failing.update(NAMES[1:])
        with anyio.move_on_after(0.2):
            await instances[0].register.change(CHANGE)
        network.failing.clear()
        await confirmed_change(instances[0])


async def test_an_error_in_a_round_leaves_no_change_without_an_answer(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(self: RegisterHost, transforms: object) -> ClusterState:
        raise RuntimeError("the round failed")

    async with controls(Network(), tmp_path) as instances:
        await confirmed_change(instances[0])
        with monkeypatch.context() as patch:
            patch.setattr(RegisterHost, "_run_rounds", fail)
            with anyio.fail_after(1.0), pytest.raises(NoMajorityError):
                await instances[0].register.change(CHANGE)
        await confirmed_change(instances[0])


def order(kind: str, *, base: int) -> StateChange:
    return StateChange(kind=kind, version=0, document=b"", zone="z", base=base)


async def order_count(control: Control) -> int:
    return (await control.register.read()).order_count("z")


async def settle(instances: list[Control]) -> None:
    """Evacuate the zone by an order that all instances know of."""
    for instance in instances:
        await confirmed_change(instance)


async def test_an_order_that_waited_for_a_round_undoes_none_that_followed_it(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against a withdrawal that is proposed again after its caller went elsewhere, and undoes
    # an evacuation that was confirmed since (review case 2).
    network = Network()
    async with controls(network, tmp_path) as instances:
        await settle(instances)
        stale = order("return", base=await order_count(instances[0]))
        overtaken: list[bool] = []

        async def send_stale() -> None:
            try:
                await instances[0].register.change(stale)
            except OrderOvertakenError:
                overtaken.append(True)

        async with anyio.create_task_group() as tasks:
            network.cut_off.add(NAMES[0])
            tasks.start_soon(send_stale)
            await anyio.sleep(0.05)
            await instances[1].register.change(stale)
            base = await order_count(instances[1])
            await instances[2].register.change(order("evacuate", base=base))
            network.cut_off.clear()
        assert overtaken
        assert (await instances[2].register.read()).evacuated == ("z",)


async def test_an_order_that_is_sent_again_is_confirmed_again(tmp_path: pathlib.Path) -> None:
    async with controls(Network(), tmp_path) as instances:
        await settle(instances)
        repeated = order("return", base=await order_count(instances[0]))
        for instance in instances:
            assert (await instance.register.change(repeated)).evacuated == ()


async def test_a_confirmed_order_that_changes_nothing_overtakes_one_that_waits(
    tmp_path: pathlib.Path,
) -> None:
    async with controls(Network(), tmp_path) as instances:
        await settle(instances)
        base = await order_count(instances[0])
        await instances[1].register.change(order("evacuate", base=base))
        with pytest.raises(OrderOvertakenError):
            await instances[2].register.change(order("return", base=base))
        assert (await instances[0].register.read()).evacuated == ("z",)
