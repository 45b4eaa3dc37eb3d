"""What an entry and a control instance have in common: ports, heartbeats, start and stop."""

from __future__ import annotations

import abc
import json
import random
import signal
import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from figpaddle.charts import LifeCycle
from figpaddle.errors import FigpaddleError, SettingsError
from figpaddle.http1 import ConnectionPool, Handler, HttpListener, HttpRequest, Responder
from figpaddle.http1 import RequestLimits as HttpLimits
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._dialect import Dialect
from figpaddle.regional._mesh import QUESTION_PATH, Mesh
from figpaddle.regional._settings import ProcessSettings
from figpaddle.telemetry import BoundedWriter, Counters, Log
from figpaddle.wire import InstanceHeartbeat, Readiness

#: Longest time without an acknowledgement on a connection within the region, seconds.
NEAR_SILENCE_S = 1.5
#: The same between regions, seconds; two retransmissions over the longest way.
FAR_SILENCE_S = 2.5
#: Interval at which lines of the log are written, seconds.
LOG_INTERVAL_S = 0.1
#: Interval of housekeeping, seconds.
HOUSEKEEPING_INTERVAL_S = 0.5
#: Interval at which the settings file is read again without a signal, seconds.
RELOAD_INTERVAL_S = 3.0
#: Descriptors kept for files and listeners.
SPARE_DESCRIPTORS = 400
#: Path of the state dump on the port of the metrics.
STATE_PATH = b"/state"
#: Event-loop lag that is logged, seconds.
LAG_WARNING_S = 0.25

#: Reads the settings file; raises SettingsError.
SettingsReader = Callable[[], ProcessSettings]


class RegionalProcess(abc.ABC):
    """One process of a regional deployment."""

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        read_settings: SettingsReader,
        dialect: Dialect,
        log: Log,
        writer: BoundedWriter,
    ) -> None:
        self._settings = settings
        self._read_settings = read_settings
        self._dialect = dialect
        self._log = log
        self._writer = writer
        self._clock = time.monotonic
        self._rng = random.Random()
        self._counters = Counters()
        self._life = LifeCycle(chart="instance")
        self._stopping = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def leaving(self) -> bool:
        """Whether the process was told to stop."""
        return self._stopping.is_set()

    async def run(self) -> None:
        """Run until told to stop."""
        self._log.info(
            "process_started",
            role=self._settings.role.value,
            region=self._settings.region,
            zone=self._settings.zone,
            first_start=self._settings.first_start,
            seeds=",".join(self._settings.seeds),
        )
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            peers = ConnectionPool(clock=self._clock, silence_s=FAR_SILENCE_S)
            self._mesh = Mesh(
                settings=self._settings,
                incarnation=time.time_ns() // 1_000_000,
                pool=peers,
                clock=self._clock,
                rng=self._rng,
                log=self._log,
                counters=self._counters,
            )
            self._mesh.compose_with(lambda near: self.heartbeat(near=near))
            self._follower = ClusterFollower(
                name=self._settings.ip,
                region=self._settings.region,
                dialect=self._dialect,
                mesh=self._mesh,
                clock=self._clock,
                rng=self._rng,
                log=self._log,
            )
            self._counters.gauge("log_lines_dropped", lambda: self._writer.dropped)
            self._counters.gauge("state_revision", lambda: self._follower.state.revision)
            self._counters.gauge("configuration_version", lambda: self._follower.state.version)
            self._counters.gauge("instances_live", lambda: len(self._mesh.live()))
            tasks.start_soon(self._write_logs)
            tasks.start_soon(self._signals)
            tasks.start_soon(self._mesh.run)
            tasks.start_soon(self._follower.run)
            tasks.start_soon(self._keep_house, peers)
            self._listen(f"{self._settings.ip}:{self._settings.peer_port}", self._handle_peer)
            if self._settings.metrics_port:
                self._listen(
                    f"{self._settings.ip}:{self._settings.metrics_port}", self._handle_metrics
                )
            self.start(tasks)
            await self._stopping.wait()
            await self.drain()
            self._life.handle("idle" if self.active == 0 else "drain_timeout")
            self._log.info("process_stopped", active=self.active, life=self._life.state)
            self._writer.flush_some()
            tasks.cancel_scope.cancel()

    @abc.abstractmethod
    def prepare(self) -> None:
        """Open what the process can't run without, before ``run``; raises FigpaddleError."""

    @abc.abstractmethod
    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start what this kind of process does."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Return once nothing that was begun is left, or the time is over."""

    @property
    @abc.abstractmethod
    def active(self) -> int:
        """Requests in progress."""

    @abc.abstractmethod
    def heartbeat(self, *, near: bool) -> InstanceHeartbeat:
        """Return the heartbeat to send now, to instances of the own region or to others."""

    @abc.abstractmethod
    async def handle_forwarded(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a request that another entry passed on."""

    def readiness(self) -> Readiness:
        """Return whether callers may come."""
        if self.leaving:
            return Readiness.LEAVING
        if self._follower.configuration is None:
            return Readiness.STARTING
        return Readiness.READY

    def _listen(
        self,
        address: str,
        handler: Handler,
        *,
        limits: Callable[[], HttpLimits] = HttpLimits,
        silence_s: float = FAR_SILENCE_S,
    ) -> HttpListener:
        listener = HttpListener(
            address=address,
            handler=self._guarded(handler),
            clock=self._clock,
            limits=limits,
            closing=lambda: self.leaving,
            silence_s=silence_s,
            max_connections=max(64, self._settings.max_descriptors - SPARE_DESCRIPTORS),
            on_reset=self._note_reset,
        )
        assert self._tasks is not None
        self._tasks.start_soon(listener.run)
        return listener

    def _note_reset(self, reason: str) -> None:
        self._counters.count("connections_reset_early_total")
        self._log.debug("connection_reset_early", reason=reason)

    def _guarded(self, handler: Handler) -> Handler:
        """Keep a fault in the handling of one request from ending the process."""

        async def handle(request: HttpRequest, responder: Responder) -> None:
            try:
                await handler(request, responder)
            except FigpaddleError:
                raise
            except Exception:  # noqa: BLE001
                self._counters.count("internal_errors_total")
                self._log.exception("internal_error", target=request.target.decode("latin-1"))
                if not responder.started:
                    await responder.answer(502, (), b"")

        return handle

    async def _handle_peer(self, request: HttpRequest, responder: Responder) -> None:
        if request.target == QUESTION_PATH:
            await self._mesh.answer(request, responder)
        else:
            await self.handle_forwarded(request, responder)

    async def _handle_metrics(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == STATE_PATH:
            headers = ((b"Content-Type", b"application/json"),)
            await responder.answer(200, headers, json.dumps(self.dump(), indent=2).encode())
            return
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        await responder.answer(200, headers, self._counters.page().encode())

    def dump(self) -> dict[str, Any]:
        """Return what the process knows, for a person to read."""
        now = self._clock()
        state = self._follower.state
        instances = []
        for name in self._mesh.known():
            heard = self._mesh.heard(name)
            if heard is not None:
                instances.append(
                    {
                        "name": name,
                        "role": heard.beat.role.value,
                        "region": heard.beat.region,
                        "readiness": heard.beat.readiness.value,
                        "revision": heard.beat.revision,
                        "age_s": round(now - heard.at, 2),
                    }
                )
        return {
            "label": self._settings.label,
            "role": self._settings.role.value,
            "life": self._life.state,
            "active": self.active,
            "revision": state.revision,
            "configuration_version": state.version,
            "evacuated": list(state.evacuated),
            "voters": list(self._follower.voters),
            "instances": instances,
        }

    async def _write_logs(self) -> None:
        while True:
            self._writer.flush_some()
            await anyio.sleep(LOG_INTERVAL_S)

    async def _keep_house(self, peers: ConnectionPool) -> None:
        reload_at = self._clock() + RELOAD_INTERVAL_S
        while True:
            due_at = self._clock() + HOUSEKEEPING_INTERVAL_S
            await anyio.sleep(HOUSEKEEPING_INTERVAL_S)
            lag_s = self._clock() - due_at
            self._counters.record("event_loop_lag_seconds", max(0.0, lag_s))
            if lag_s > LAG_WARNING_S:
                self._log.warning("event_loop_late", lag_s=round(lag_s, 3))
            if self._life.state == "starting" and self.readiness() is Readiness.READY:
                self._life.handle("ready")
                self._log.info("process_ready", version=self._follower.state.version)
            peers.sweep()
            await self.keep_house()
            if self._clock() >= reload_at:
                reload_at = self._clock() + RELOAD_INTERVAL_S
                self._reload(reason="interval")

    @abc.abstractmethod
    async def keep_house(self) -> None:
        """Forget what is out of date; called twice a second."""

    async def _signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            async for number in received:
                if number is signal.SIGHUP:
                    self._reload(reason="signal")
                    continue
                self._log.info("process_stopping", signal=number.name, active=self.active)
                if not self.leaving:
                    self._life.handle("stop")
                    self._life.handle("grace_over")
                self._stopping.set()
                self._mesh.send_soon()

    def _reload(self, *, reason: str) -> None:
        """Take over seeds that are new; what else changes needs a start."""
        try:
            fresh = self._read_settings()
        except SettingsError as error:
            self._log.error("settings_not_reloaded", reason=str(error))
            return
        added = self._mesh.add_seeds(fresh.seeds)
        if reason == "signal" or added:
            self._log.info("settings_reloaded", reason=reason, new_seeds=",".join(added))
