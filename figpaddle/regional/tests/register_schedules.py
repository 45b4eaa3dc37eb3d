"""Control instances on a simulated network in simulated time, with losses, restarts and lost disks.

The register host, its store, its voter and the follower are the real ones. Time passes only when all
tasks wait, so that a minute takes about a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import selectors
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any

import anyio
import anyio.abc
import structlog

from figpaddle.coordination import HEARTBEAT_TIMEOUT_S
from figpaddle.deployment import ClusterState
from figpaddle.errors import PeerUnreachableError
from figpaddle.regional import Bounds, ProcessSettings
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._mesh import QueryHandler
from figpaddle.regional._register_host import RegisterHost
from figpaddle.regional._register_store import RegisterStore
from figpaddle.regional._tasks import ContainedTasks
from figpaddle.telemetry import MetricsRegistry
from figpaddle.wire import InstanceRole, Message, StateChange, decode, encode

#: Interval of heartbeats, seconds.
HEARTBEAT_INTERVAL_S = 0.3
#: Shortest and longest delay of a message, and that of a late one, seconds.
DELAY_S = (0.001, 0.08)
LATE_DELAY_S = (0.5, 4.0)
#: Longest duration of a write to a disk, seconds.
MAX_WRITE_S = 0.02


class _JumpingSelector(selectors.DefaultSelector):
    """Never waits; tells the loop how long it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is not None and timeout > 0:
            self.skipped_s += timeout
            timeout = 0
        return super().select(timeout)


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when there is nothing to do."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return 1000.0 + self._jumping.skipped_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class SimulatedHeartbeat:
    """The fields of a heartbeat that the register and the follower read."""

    name: str
    founding: bool
    revision: int
    region: str = "north"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heard:
    """A heartbeat and when it arrived."""

    heartbeat: SimulatedHeartbeat
    received_at: float


class Disk:
    """Records of one instance in memory; they outlive its process."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.size_bytes = 0

    def open(self) -> tuple[bytes, ...]:
        return tuple(self.records)

    def append(self, payloads: Iterable[bytes]) -> None:
        self.records.extend(payloads)

    def replace(self, payloads: Iterable[bytes]) -> None:
        self.records = list(payloads)


class AnyDocument:
    """Accepts every configuration."""

    def read_configuration(self, document: bytes) -> object:
        return object()


class SimulatedMesh:
    """One instance's view of the network."""

    def __init__(self, name: str, network: Network) -> None:
        self._name = name
        self._network = network
        self.heard: dict[str, Heard] = {}
        self.handlers: dict[type[Message], QueryHandler] = {}

    def on_query(self, kind: type[Message], query_handler: QueryHandler) -> None:
        self.handlers[kind] = query_handler

    def live_controls(self) -> list[SimulatedHeartbeat]:
        oldest = anyio.current_time() - HEARTBEAT_TIMEOUT_S
        return [item.heartbeat for item in self.heard.values() if item.received_at >= oldest]

    live_heartbeats = live_controls

    def last_heard(self, name: str) -> Heard | None:
        return self.heard.get(name)

    def send_heartbeats_now(self) -> None: ...

    async def send_query(self, name: str, query: Message, *, timeout_s: float) -> Message:
        return await self._network.exchange(self._name, name, query, timeout_s=timeout_s)


@dataclasses.dataclass(kw_only=True)
class Instance:
    """A running control instance."""

    mesh: SimulatedMesh
    store: RegisterStore
    follower: ClusterFollower
    register: RegisterHost
    founding: bool
    scope: anyio.CancelScope


class Network:
    """The instances, their disks, and the links between them."""

    def __init__(self, *, seeds: tuple[str, ...], seed: int, tasks: anyio.abc.TaskGroup) -> None:
        self.seeds = seeds
        self.rng = random.Random(seed)
        self._tasks = tasks
        self.running: dict[str, Instance] = {}
        self.disks: dict[str, Disk] = {}
        #: Group of each instance during a partition; instances of different groups hear nothing.
        self.groups: dict[str, int] = {}
        self.lost_share = 0.0
        self.late_share = 0.0
        #: The state that was first installed as each revision, and the revisions of which another
        #: state was installed.
        self.states: dict[int, ClusterState] = {}
        self.forks: list[int] = []

    def connected(self, first: str, second: str) -> bool:
        return self.groups.get(first, 0) == self.groups.get(second, 0)

    def start(self, name: str, *, first_start: bool = False) -> None:
        """Start an instance on the disk that it has, or on an empty one."""
        disk = self.disks.setdefault(name, Disk())
        self._tasks.start_soon(self._run, name, disk, first_start)

    def kill(self, name: str) -> None:
        instance = self.running.pop(name, None)
        if instance is not None:
            instance.scope.cancel()

    async def exchange(
        self, sender: str, name: str, query: Message, *, timeout_s: float
    ) -> Message:
        """Deliver a query and its reply, each of which may be lost or late."""
        replies: list[Message] = []
        arrived = anyio.Event()

        async def deliver() -> None:
            if not await self._travel(sender, name):
                return
            instance = self.running.get(name)
            if instance is None:
                return
            with contextlib.suppress(Exception):
                reply = await instance.mesh.handlers[type(query)](decode(encode(query)))
                if await self._travel(name, sender) and self.running.get(name) is instance:
                    replies.append(decode(encode(reply)))
                    arrived.set()

        self._tasks.start_soon(deliver)
        with anyio.move_on_after(timeout_s):
            await arrived.wait()
        if not replies:
            raise PeerUnreachableError(what="no reply", where=name)
        return replies[0]

    async def _travel(self, sender: str, receiver: str) -> bool:
        late = self.rng.random() < self.late_share
        await anyio.sleep(self.rng.uniform(*(LATE_DELAY_S if late else DELAY_S)))
        return self.connected(sender, receiver) and self.rng.random() >= self.lost_share

    async def _run(self, name: str, disk: Disk, first_start: bool) -> None:
        log = structlog.get_logger()
        mesh: Any = SimulatedMesh(name, self)
        dialect: Any = AnyDocument()
        store = RegisterStore(folder=pathlib.Path("unused"), name=name)
        store._file = disk  # type: ignore[assignment]
        store.open(first_start=first_start)
        clock: Callable[[], float] = anyio.current_time
        follower = ClusterFollower(
            name=name,
            region="north",
            dialect=dialect,
            mesh=mesh,
            clock=clock,
            rng=random.Random(self.rng.random()),
            log=log,
        )
        installed = follower.install

        def install(state: ClusterState, *, source: str) -> None:
            installed(state, source=source)
            known = self.states.setdefault(state.revision, state)
            if known != state:
                self.forks.append(state.revision)

        follower.install = install  # type: ignore[method-assign]
        async with anyio.create_task_group() as tasks:
            register = RegisterHost(
                settings=self._settings(name, first_start),
                mesh=mesh,
                follower=follower,
                store=store,
                tasks=ContainedTasks(tasks=tasks, log=log, metrics=MetricsRegistry()),
                clock=clock,
                rng=random.Random(self.rng.random()),
                log=log,
            )
            self.running[name] = Instance(
                mesh=mesh,
                store=store,
                follower=follower,
                register=register,
                founding=first_start,
                scope=tasks.cancel_scope,
            )
            tasks.start_soon(register.run)
            tasks.start_soon(follower.run)
            tasks.start_soon(self._send_heartbeats, name, self.running[name])

    async def _send_heartbeats(self, name: str, sender: Instance) -> None:
        while True:
            heartbeat = SimulatedHeartbeat(
                name=name, founding=sender.founding, revision=sender.follower.state.revision
            )
            heard = Heard(heartbeat=heartbeat, received_at=anyio.current_time())
            for other, instance in self.running.items():
                if other != name and self.connected(name, other):
                    instance.mesh.heard[name] = heard
            await anyio.sleep(HEARTBEAT_INTERVAL_S)

    def _settings(self, name: str, first_start: bool) -> ProcessSettings:
        return ProcessSettings(
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
            seeds=self.seeds,
            first_start=first_start,
            data_folder=pathlib.Path("unused"),
            max_descriptors=100,
            bounds=Bounds(),
        )


@contextlib.asynccontextmanager
async def network(names: tuple[str, ...], *, seed: int) -> AsyncIterator[Network]:
    """Start instances together for the first time; the first three of them are the seeds."""
    async with anyio.create_task_group() as tasks:
        simulated = Network(seeds=names[:3], seed=seed, tasks=tasks)
        for name in names:
            simulated.start(name, first_start=True)
        yield simulated
        tasks.cancel_scope.cancel()


def configuration_change(version: int) -> StateChange:
    """Return the change to a configuration with this version."""
    document = f"document {version}".encode()
    return StateChange(kind="configuration", version=version, document=document, zone="")
