"""Instances that exchange real messages over a simulated network, in simulated time."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import structlog

from figpaddle.errors import PeerUnreachableError
from figpaddle.http1 import ConnectionPool
from figpaddle.regional._heartbeat_sender import HEARTBEAT_CHECK_INTERVAL_S, HeartbeatSender
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._peer_reports import PeerReports
from figpaddle.regional._relaying import RELAY_INTERVAL_S, Relaying
from figpaddle.regional._settings import Bounds, ProcessSettings
from figpaddle.routing import BackendLoadTracker, NamedLimits
from figpaddle.telemetry import MetricsRegistry
from figpaddle.wire import (
    BackendWork,
    InstanceHeartbeat,
    InstanceRole,
    Message,
    Readiness,
    RegionalLoad,
    decode,
    encode,
)

#: Regions and their zones.
ZONES = {f"{region}-{zone}": region for region in ("north", "east", "south") for zone in "ab"}
#: Number of control instances, spread over the zones; the first three are seeds.
CONTROLS = 9
#: Delay of a datagram within a region and between two, seconds.
IN_REGION_S, BETWEEN_REGIONS_S = 0.0015, 0.08
#: Bytes of the headers of a datagram.
HEADER_BYTES = 28


class Network:
    """Carries datagrams and queries; ``blocks`` and ``loss`` disturb it."""

    def __init__(self, *, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.instances: dict[str, SimulatedInstance] = {}
        #: Returns whether nothing gets from the first instance to the second.
        self.blocks: Callable[[str, str], bool] = lambda sender, receiver: False
        #: Fraction of the datagrams that are lost.
        self.loss = 0.0
        #: Bytes that the link of an entry carries in a second, each way.
        self.entry_link_bytes_per_s = float("inf")
        self._link_free_at: dict[tuple[str, str], float] = collections.defaultdict(float)
        #: Longest time that a datagram has waited for a link, by instance and way, seconds.
        self.longest_wait_s: dict[tuple[str, str], float] = {}
        self.sent: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.bytes_between_zones = 0
        self.bytes_between_regions = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], Any]]] = []

    def at(self, moment: float, action: Callable[[], Any]) -> None:
        """Call ``action`` at ``moment``."""
        heapq.heappush(self._events, (moment, next(self._order), action))

    def send(self, sender: str, data: bytes, receiver: str) -> None:
        """Carry a datagram."""
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(data) + HEADER_BYTES
        target = self.instances.get(receiver)
        if target is None:
            return
        source = self.instances[sender]
        if source.settings.region != target.settings.region:
            self.bytes_between_regions += len(data) + HEADER_BYTES
        elif source.settings.zone != target.settings.zone:
            self.bytes_between_zones += len(data) + HEADER_BYTES
        if self.blocks(sender, receiver) or self.rng.random() < self.loss:
            return
        delay_s = (
            IN_REGION_S if source.settings.region == target.settings.region else BETWEEN_REGIONS_S
        )
        sent_at = self._carry(source, "out", len(data), self.now)
        arrives_at = self._carry(target, "in", len(data), sent_at + delay_s)
        self.at(arrives_at, lambda: self._deliver(target, data))

    async def run(self, duration_s: float) -> None:
        """Let ``duration_s`` pass."""
        end = self.now + duration_s
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            result = action()
            if result is not None:
                await result
        self.now = end

    def _carry(self, instance: SimulatedInstance, way: str, size: int, now: float) -> float:
        """Return when a datagram that comes to a link at ``now`` has passed it."""
        if instance.settings.role is InstanceRole.CONTROL:
            return now
        link = (instance.name, way)
        begins_at = max(now, self._link_free_at[link])
        ends_at = begins_at + (size + HEADER_BYTES) / self.entry_link_bytes_per_s
        self._link_free_at[link] = ends_at
        self.longest_wait_s[link] = max(begins_at - now, self.longest_wait_s.get(link, 0.0))
        return ends_at

    def _deliver(self, target: SimulatedInstance, data: bytes) -> None:
        if target.alive:
            self.received[target.name] += 1
            target.mesh.receive_datagram(data)


class _Socket:
    """The part of a datagram socket that the mesh sends with."""

    def __init__(self, network: Network, name: str) -> None:
        self._network = network
        self._name = name

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Carry ``data`` to the instance at ``address``."""
        self._network.send(self._name, data, address[0])


class _Mesh(Mesh):
    """A mesh whose queries are calls."""

    network: Network

    def send_encoded(self, data: bytes, names: list[str]) -> None:
        """Send an encoded message; a build from before relays doesn't know the newer fields."""
        if self.network.instances[self._settings.ip].before_relays:
            heartbeat = decode(data)
            assert isinstance(heartbeat, InstanceHeartbeat)
            plain = dataclasses.replace(heartbeat, relays=False, asks_for_reply=False)
            data = encode(plain)
        super().send_encoded(data, names)

    def receive_datagram(self, data: bytes, *, arrived_at: float | None = None) -> None:
        """Handle a datagram; a build from before relays understands heartbeats only."""
        instance = self.network.instances[self._settings.ip]
        if not instance.before_relays or isinstance(decode(data), InstanceHeartbeat):
            super().receive_datagram(data, arrived_at=arrived_at)

    def request_reply(self, name: str) -> None:
        """Have one heartbeat sent; a build from before relays knows no such request."""
        if not self.network.instances[self._settings.ip].before_relays:
            super().request_reply(name)

    async def send_query(self, name: str, query: Message, *, timeout_s: float) -> Message:
        """Return the reply of another instance."""
        own = self._settings.ip
        target = self.network.instances.get(name)
        if target is None or not target.alive or self.network.blocks(own, name):
            raise PeerUnreachableError(what=f"no reply in {timeout_s} s", where=name)
        reply = await target.mesh._query_handlers[type(query)](decode(encode(query)))
        return decode(encode(reply))


class _NoRelaying(Relaying):
    """What a build from before relays does."""

    @property
    def enabled(self) -> bool:
        """Always False."""
        return False


class SimulatedInstance:
    """One instance: its mesh, heartbeats and relaying, without callers."""

    def __init__(
        self,
        *,
        network: Network,
        name: str,
        role: InstanceRole,
        zone: str,
        seeds: tuple[str, ...],
        before_relays: bool = False,
    ) -> None:
        self.network = network
        self.name = name
        self.alive = True
        self.work: tuple[BackendWork, ...] = ()
        self.readiness = Readiness.READY
        self.cut_off = False
        self.states_offers = True
        self.states_workspaces = True
        self.revision = 0
        #: Whether it runs a build from before relays.
        self.before_relays = before_relays
        self.settings = ProcessSettings(
            label=name,
            ip=name,
            role=role,
            region=ZONES[zone],
            zone=zone,
            zones=ZONES,
            caller_address=f"{name}:80" if role is InstanceRole.ENTRY else "",
            readiness_address="",
            control_address="",
            lookup_address="",
            peer_port=1,
            metrics_port=0,
            seeds=seeds,
            first_start=False,
            data_folder=None,
            max_descriptors=100,
            bounds=Bounds(),
        )
        self.start()

    def start(self) -> None:
        """Start, or start again with nothing remembered."""
        network = self.network

        def clock() -> float:
            return network.now

        rng = random.Random(f"{self.name} {network.now}")
        self.clock_ahead_s = rng.uniform(-5000.0, 5000.0)

        def boot_clock() -> float:
            return network.now + self.clock_ahead_s

        log = structlog.wrap_logger(structlog.ReturnLogger(), processors=[])
        metrics = MetricsRegistry()
        self.alive = True
        self.mesh = _Mesh(
            settings=self.settings,
            incarnation=1 + int(network.now * 1000),
            pool=ConnectionPool(clock=clock, ack_timeout_s=1.0),
            clock=clock,
            rng=rng,
            log=log,
            metrics=metrics,
            boot_clock=boot_clock,
        )
        self.mesh.network = network
        self.mesh._socket = _Socket(network, self.name)  # type: ignore[assignment]
        relaying_class = _NoRelaying if self.before_relays else Relaying
        self.relaying = relaying_class(
            settings=self.settings,
            mesh=self.mesh,
            clock=clock,
            rng=rng,
            log=log,
            metrics=metrics,
            boot_clock=boot_clock,
        )
        self.sender = HeartbeatSender(
            settings=self.settings, mesh=self.mesh, relaying=self.relaying, clock=clock
        )
        self.trackers: dict[str, BackendLoadTracker] = {}
        self.mesh.set_heartbeat_source(lambda same_region: self._heartbeat(same_region))
        if self.settings.role is InstanceRole.ENTRY:
            self.reports = PeerReports(
                region=self.settings.region,
                mesh=self.mesh,
                trackers=self.trackers,
                named_limits=NamedLimits(),
                clock=clock,
            )
            self.relaying.on_work(self.reports.apply_relayed_work)
            self.relaying.on_load(self.reports.apply_relayed_load)
            self.relaying.set_load_source(self._loads)
        mesh = self.mesh

        def beat() -> None:
            if self.alive and self.mesh is mesh:
                self.sender.send_due(network.now)
                network.at(network.now + HEARTBEAT_CHECK_INTERVAL_S, beat)

        async def relay() -> None:
            if self.alive and self.mesh is mesh:
                if not self.before_relays:
                    self.relaying.send_due(network.now)
                    for source in sorted(self.relaying.take_sources(network.now)):
                        await self.relaying.fetch_rosters(source)
                network.at(network.now + RELAY_INTERVAL_S, relay)

        network.at(network.now + rng.uniform(0.0, 0.1), beat)
        network.at(network.now + rng.uniform(0.0, 0.1), relay)

    def known(self) -> set[str]:
        """Return the names of the live instances that it knows."""
        return {heartbeat.name for heartbeat in self.mesh.live_heartbeats()}

    def _heartbeat(self, same_region: bool) -> InstanceHeartbeat:
        settings = self.settings
        return InstanceHeartbeat(
            name=self.name,
            incarnation=self.mesh.incarnation,
            sequence=self.mesh.next_sequence(),
            role=settings.role,
            region=settings.region,
            zone=settings.zone,
            caller_address=settings.caller_address,
            readiness=self.readiness,
            stopping_s=0.0,
            revision=self.revision,
            founding=False,
            work=self.work if same_region else (),
            loads=() if same_region else self._loads(),
            acquaintances=self.mesh.sample_live_names(same_region=same_region),
            entry_counts=() if self.before_relays else self.mesh.entry_counts(),
            cut_off=self.cut_off,
            states_offers=self.states_offers,
            states_workspaces=self.states_workspaces,
            relays=not self.before_relays,
            relayed=self.relaying.enabled,
        )

    def _loads(self) -> tuple[RegionalLoad, ...]:
        if self.cut_off:
            return ()
        return (RegionalLoad(service="draft", backends=20, expected_s=0.2, room=9),)


def make_instances(
    network: Network, count: int, *, before_relays: frozenset[int] = frozenset()
) -> list[SimulatedInstance]:
    """Start ``count`` instances at once, control instances among them.

    Those with the numbers in ``before_relays`` run a build from before relays.
    """
    zones = list(ZONES)
    roles = [
        InstanceRole.CONTROL if number < CONTROLS else InstanceRole.ENTRY for number in range(count)
    ]
    names = [f"10.0.{number // 250}.{number % 250}" for number in range(count)]
    for number, (name, role) in enumerate(zip(names, roles, strict=True)):
        network.instances[name] = SimulatedInstance(
            network=network,
            name=name,
            role=role,
            zone=zones[number % len(zones)],
            seeds=tuple(names[:3]),
            before_relays=number in before_relays,
        )
    return list(network.instances.values())
