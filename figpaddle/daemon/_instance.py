"""Creates, runs and drains the ports and components of one process."""

from __future__ import annotations

import random
import signal
import time
from typing import Any

import anyio
import anyio.abc

from figpaddle.charts import LifeCycle
from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._at_most_once import CALLER_GONE_GRACE_S
from figpaddle.daemon._backend_announcements import BackendAnnouncements
from figpaddle.daemon._backend_client import BackendClient
from figpaddle.daemon._backends_port import BackendsPort
from figpaddle.daemon._callers import CallersPort
from figpaddle.daemon._client_account import BoundedApplication
from figpaddle.daemon._client_connections import ClientConnections
from figpaddle.daemon._component import Component
from figpaddle.daemon._control import Control, initial_configuration
from figpaddle.daemon._fault_reporter import FaultReporter
from figpaddle.daemon._forward_receiver import ForwardReceiver
from figpaddle.daemon._forwarder import Forwarder
from figpaddle.daemon._gateway import Gateway
from figpaddle.daemon._http_port import HttpPort
from figpaddle.daemon._ledger_factory import make_at_most_once, make_ledger_host
from figpaddle.daemon._membership import Membership
from figpaddle.daemon._metrics import Metrics
from figpaddle.daemon._operators import OperatorsPort
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.daemon._placer import Placer
from figpaddle.daemon._problem_boundary import ProblemBoundary
from figpaddle.daemon._quarantine import QuarantineComponent
from figpaddle.daemon._regions import RegionView
from figpaddle.daemon._settings import Settings, load_yaml
from figpaddle.daemon._sockets import Listener, listen, split_address
from figpaddle.deployment import read_directory
from figpaddle.http1 import ClientAccount, ClientLimits
from figpaddle.routing import Admission, BackendTable, make_policy
from figpaddle.telemetry import Log
from figpaddle.wire import Handshake, InstanceInfo

#: Interval at which a draining process checks for in-flight requests, seconds.
DRAIN_POLL_S = 0.05
#: Longest time for ending the requests that are in progress at the end of the drain time, seconds:
#: for the last answers that are recorded, and for sending each caller its outcome.
END_TIMEOUT_S = CALLER_GONE_GRACE_S + 1.0
#: Part of it in which answers that have begun may end by themselves, seconds.
ANSWER_END_TIMEOUT_S = 0.7

#: Shortest interval between log lines about clients that are refused for want of memory, seconds.
ENDED_CLIENTS_LOG_INTERVAL_S = 1.0


class Instance:
    """One figpaddled process."""

    def __init__(self, *, settings: Settings, log: Log) -> None:
        self._settings = settings
        self._log = log
        self._clock = time.monotonic
        self._rng = random.Random(f"{settings.instance}/{time.time_ns()}")
        self._life_cycle = LifeCycle(chart="instance")
        self._metrics = Metrics()
        self._stopping = anyio.Event()
        self._ports_closing = anyio.Event()
        self._configuration = initial_configuration(settings)
        self._faults = FaultReporter(configuration=self._configuration, log=log)
        self._clients = ClientAccount(
            limits=ClientLimits(held_bytes=settings.limits.client_bytes),
            on_ended=self._note_ended_client,
        )
        self._ended_clients = 0
        self._ended_logged_at = float("-inf")
        self._listeners = {
            name: listen(
                getattr(settings.listen, name),
                # Callers that are gone without a close are noticed like those that fall silent.
                ack_timeout_s=settings.limits.caller_idle_s if name == "callers" else None,
            )
            for name in ("callers", "backends", "operators", "peers")
        }
        self._directory = InstanceDirectory(own=self._own_info())
        self._backends = BackendTable()
        self._regions = RegionView(own_region=settings.region)
        self._network = PeerNetwork(
            name=settings.instance,
            handshake=Handshake(key=settings.deployment_key.encode()),
            listener=self._listeners["peers"],
            rng=self._rng,
            log=log,
            clock=self._clock,
        )
        own_ip, _ = split_address(self._listeners["peers"].address)
        self._client = BackendClient(
            own_ip=own_ip, region=settings.region, instance=settings.instance
        )
        self._placer = self._make_placer()
        self._ledger_host = make_ledger_host(
            settings, configuration=self._configuration, network=self._network, log=log
        )
        self._quarantine = self._make_quarantine()
        self._gateway = self._make_gateway()
        self._announcements = BackendAnnouncements(
            directory=self._directory,
            network=self._network,
            backends=self._backends,
            regions=self._regions,
            on_announcement=self._placer.record_announcement,
            clock=self._clock,
            log=log,
        )
        self._control = Control(
            settings=settings,
            state=self._configuration,
            directory=self._directory,
            network=self._network,
            rng=self._rng,
            clock=self._clock,
            log=log,
        )
        self._components = self._make_components()
        self._callers = self._make_callers_port()
        self._operators = self._make_operators_port()
        self._ports = {
            "callers": self._callers,
            "backends": BackendsPort(
                backends=self._backends,
                region=settings.region,
                publish=self._announcements.publish,
                clock=self._clock,
                log=log,
            ),
            "operators": self._operators,
        }
        self._receiver = ForwardReceiver(
            instance=settings.instance,
            serve=self._gateway.serve,
            check_permitted=self._gateway.check_forward_ask,
            configuration=self._configuration,
            faults=self._faults,
            clock=self._clock,
        )
        self._network.register_forward(self._receiver.handle)

    def _note_ended_client(self, short: str) -> None:
        self._ended_clients += 1
        now = self._clock()
        if now - self._ended_logged_at >= ENDED_CLIENTS_LOG_INTERVAL_S:
            self._log.warning("clients_ended", short=short, total=self._ended_clients)
            self._ended_logged_at = now

    def _own_info(self) -> InstanceInfo:
        settings = self._settings
        peers = settings.advertise.peers or self._listeners["peers"].address
        callers = settings.advertise.callers or self._listeners["callers"].address
        return InstanceInfo(
            name=settings.instance,
            region=settings.region,
            zone=settings.zone,
            peer_address=peers,
            caller_address=callers,
            incarnation=time.time_ns() // 1_000_000,
        )

    def _make_placer(self) -> Placer:
        return Placer(
            directory=self._directory,
            configuration=self._configuration,
            backends=self._backends,
            regions=self._regions,
            policy=make_policy(self._settings.policy, rng=self._rng),
            admission=Admission(rng=self._rng),
            clock=self._clock,
        )

    def _make_quarantine(self) -> QuarantineComponent:
        return QuarantineComponent(
            directory=self._directory,
            network=self._network,
            key=self._settings.deployment_key.encode(),
            rng=self._rng,
            clock=self._clock,
            log=self._log,
        )

    def _make_gateway(self) -> Gateway:
        forwarder = Forwarder(
            directory=self._directory,
            configuration=self._configuration,
            network=self._network,
            rng=self._rng,
            clock=self._clock,
        )
        return Gateway(
            directory=self._directory,
            configuration=self._configuration,
            backends=self._backends,
            placer=self._placer,
            client=self._client,
            forwarder=forwarder,
            at_most_once=make_at_most_once(
                self._settings,
                configuration=self._configuration,
                network=self._network,
                host=self._ledger_host,
                clock=self._clock,
                log=self._log,
            ),
            quarantine=self._quarantine,
            faults=self._faults,
            clock=self._clock,
            log=self._log,
        )

    def _make_callers_port(self) -> CallersPort:
        path = self._settings.directory
        return CallersPort(
            gateway=self._gateway,
            directory=self._directory,
            configuration=self._configuration,
            clients=read_directory(load_yaml(path), document=str(path)),
            body_limit_bytes=self._settings.limits.body_bytes,
            caller_idle_s=self._settings.limits.caller_idle_s,
            metrics=self._metrics,
            clock=self._clock,
            log=self._log,
        )

    def _make_operators_port(self) -> OperatorsPort:
        return OperatorsPort(
            operators=self._settings.operators,
            dump=self.dump,
            metrics=self._metrics,
            stop=self._stopping.set,
            configuration=self._control.configuration_port,
            lift_quarantine=self._quarantine.lift,
            instance=self._settings.instance,
        )

    def _make_components(self) -> tuple[Component, ...]:
        membership = Membership(
            directory=self._directory,
            network=self._network,
            join=self._settings.join,
            key=self._settings.deployment_key.encode(),
            own_ip=split_address(self._listeners["peers"].address)[0],
            rng=self._rng,
            clock=self._clock,
            log=self._log,
        )
        ledger = (self._ledger_host,) if self._ledger_host is not None else ()
        control = self._control.components
        return (membership, self._announcements, self._quarantine, *control, *ledger)

    def dump(self, member: str | None) -> dict[str, Any]:
        """Return the state of the process, without data and keys of clients.

        If ``member`` is given, the state of other members is left out.
        """
        now = self._clock()
        own = self._directory.own
        configuration = self._configuration.current
        sections = {
            component.name: component.dump(now=now, member=member) for component in self._components
        }
        return {
            "instance": own.name,
            "region": own.region,
            "zone": own.zone,
            "state": self._life_cycle.state,
            "incarnation": own.incarnation,
            "in_progress": self._gateway.in_progress,
            "configuration": {
                "revision": configuration.revision,
                "digest": configuration.digest(),
            },
            **sections,
        }

    async def run(self) -> None:
        """Run the process until a planned stop is complete."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._run_network)
            for component in self._components:
                tasks.start_soon(component.run)
            tasks.start_soon(self._watch_signals)
            async with anyio.create_task_group() as ports:
                for name, application in self._ports.items():
                    ports.start_soon(self._serve_port, application, self._listeners[name])
                addresses = {name: entry.address for name, entry in self._listeners.items()}
                self._life_cycle.handle("ready")
                self._log.info("ready", **addresses)
                await self._stopping.wait()
                await self._drain()
                self._ports_closing.set()
            tasks.cancel_scope.cancel()
        await self._client.close()
        self._log.info("stopped")

    async def _run_network(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        await self._network.run(task_status=task_status)

    async def _serve_port(self, application: Any, listener: Listener) -> None:
        guarded = ProblemBoundary(
            application=application, faults=self._faults, metrics=self._metrics, log=self._log
        )
        # Each port has room of its own: a crowd of callers mustn't keep backend servers and operators out.
        max_connections = self._settings.limits.client_connections
        connections = ClientConnections(
            account=ClientAccount(
                limits=ClientLimits(connections=max_connections), on_ended=self._note_ended_client
            ),
            held=self._clients,
            clock=self._clock,
        )
        port = HttpPort(
            application=BoundedApplication(
                application=guarded,
                account=self._clients,
                connections=connections,
                clock=self._clock,
            ),
            listener=listener,
            connections=connections,
            instance=self._settings.instance,
            clock=self._clock,
        )
        await port.run(self._ports_closing)

    async def _watch_signals(self) -> None:
        numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        try:
            with anyio.open_signal_receiver(*numbers) as signals:
                async for number in signals:
                    if number is signal.SIGHUP:
                        # The settings are read at the start only.
                        self._log.warning("signal_ignored", signal=number.name)
                        continue
                    self._stopping.set()
        finally:
            # The receiver restores the default, which would end the process.
            signal.signal(signal.SIGHUP, signal.SIG_IGN)

    async def _drain(self) -> None:
        """Withdraw from entry lookup, reject new requests, then wait for in-flight ones."""
        limits = self._settings.limits
        self._life_cycle.handle("stop")
        self._log.info("leaving", in_progress=self._gateway.in_progress)
        self._callers.leaving = True
        announced_at = self._clock() + limits.leave_grace_s
        self._gateway.stop_at(announced_at + limits.drain_s, announced_at=announced_at)
        for component in self._components:
            await component.announce_leaving()
        await anyio.sleep(limits.leave_grace_s)
        self._life_cycle.handle("grace_over")
        self._callers.closed = True
        with anyio.move_on_after(limits.drain_s) as drain_scope:
            await self._wait_until_idle()
        if drain_scope.cancelled_caught:
            await self._end_requests()
        # The ports close soon, and a change may take longer.
        self._operators.end_requests()
        self._life_cycle.handle("drain_timeout" if drain_scope.cancelled_caught else "idle")
        for component in self._components:
            await component.announce_departure()
        await anyio.sleep(DRAIN_POLL_S)

    async def _wait_until_idle(self) -> None:
        ports = (self._callers, self._receiver, self._operators)
        while any(port.in_progress for port in ports):
            await anyio.sleep(DRAIN_POLL_S)

    async def _end_requests(self) -> None:
        """End the remaining requests, each with its outcome, and wait until that was sent."""
        self._log.warning(
            "drain_timeout",
            callers=self._callers.in_progress,
            forwarded=self._receiver.in_progress,
            operators=self._operators.in_progress,
        )
        with anyio.move_on_after(END_TIMEOUT_S):
            self._callers.end_unanswered_requests()
            self._receiver.end_unanswered_requests()
            self._operators.end_requests()
            with anyio.move_on_after(ANSWER_END_TIMEOUT_S):
                await self._wait_until_idle()
            self._callers.end_requests()
            self._receiver.end_requests()
            await self._wait_until_idle()
