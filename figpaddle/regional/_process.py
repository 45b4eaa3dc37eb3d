"""The base of entries and control instances: ports, heartbeats, start and stop."""

from __future__ import annotations

import abc
import contextlib
import functools
import json
import random
import signal
import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from figpaddle.charts import LifeCycle
from figpaddle.errors import SettingsError
from figpaddle.http1 import (
    ClientAccount,
    ConnectionPool,
    FailureResponse,
    Handler,
    HandlerFailure,
    HttpListener,
    HttpRequest,
    Responder,
    TurnTimes,
    UnansweredRequest,
)
from figpaddle.http1 import RequestLimits as HttpLimits
from figpaddle.regional._client_limits import EndedClients, client_limits
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._dialect import Dialect
from figpaddle.regional._forwarding import NOT_RUN, OUTCOME_FIELD, UNKNOWN, is_forwarded
from figpaddle.regional._heartbeat_sender import HeartbeatSender
from figpaddle.regional._mesh import QUERY_PATH, Mesh
from figpaddle.regional._open_requests import OpenRequests
from figpaddle.regional._relaying import Relaying
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._tasks import ContainedTasks
from figpaddle.regional._unsent_requests import UnsentRequestError, unsent_on_error
from figpaddle.regional._wake_ups import sleep_until_shared
from figpaddle.routing import CLOSE_MARGIN_S, CLOSE_RESERVE_S, boot_time, jittered_retry_after
from figpaddle.telemetry import BoundedWriter, Log, MetricsRegistry
from figpaddle.wire import InstanceHeartbeat, Readiness

#: TCP user timeout of connections within the region, seconds. It also decides when keep-alive probes
#: give up; with three seconds or less, the third probe would end a connection.
SAME_REGION_ACK_TIMEOUT_S = 3.5
#: TCP user timeout between regions, seconds; two retransmissions over the longest round trip.
CROSS_REGION_ACK_TIMEOUT_S = 2.5
#: Interval at which buffered log lines are written, seconds.
LOG_INTERVAL_S = 0.1
#: Interval of housekeeping, seconds.
HOUSEKEEPING_INTERVAL_S = 0.5
#: Interval at which the settings file is read again without a signal, seconds.
RELOAD_INTERVAL_S = 3.0
#: Descriptors reserved for files and listeners.
SPARE_DESCRIPTORS = 400
#: Limits of requests by other instances, bytes. What they forward was read by the limits in force there,
#: and the terms come on top of it.
PEER_LIMITS = HttpLimits(header_bytes=1 << 20, body_bytes=1 << 30)
#: Path of the state dump on the port of the metrics.
STATE_PATH = b"/state"
#: Path at which an operator pardons a prompt part; its query is the part's digest in hexadecimal.
PARDON_PATH = b"/quarantine/pardon"
#: Path before that of a request of which an operator asks where it would go.
EXPLAIN_PATH = b"/explain"
#: Header field with the name of the workspace whose key the caller of such a request would have.
EXPLAIN_WORKSPACE = b"figpaddle-explain-workspace"
#: Base of Retry-After on connections beyond the limit, seconds; another instance may have room.
OVER_LIMIT_RETRY_AFTER_S = 0.1
#: Base of Retry-After for a request that an internal error ended before it was sent, seconds.
INTERNAL_ERROR_RETRY_AFTER_S = 0.6
#: Shortest interval between log lines about connections beyond the limit, seconds.
OVER_LIMIT_LOG_INTERVAL_S = 1.0
#: Turns of the event loop from the poll that finds an answer until its handler sends it on, with one to spare.
LAST_ANSWER_TURNS = 3
#: Interval between checks of what a stopping process waits for, seconds.
DRAIN_CHECK_INTERVAL_S = 0.05
#: Event-loop lag that is logged, seconds.
LAG_WARNING_S = 0.25

#: Reads the settings file; raises SettingsError.
SettingsReader = Callable[[], ProcessSettings]


class RegionalProcess(abc.ABC):
    """One process of a regional deployment.

    ``turns`` has the times of the event loop that runs it, see ``timed_event_loop``.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        read_settings: SettingsReader,
        dialect: Dialect,
        log: Log,
        writer: BoundedWriter,
        turns: TurnTimes | None = None,
        clock: Callable[[], float] = time.monotonic,
        boot_clock: Callable[[], float] = boot_time,
    ) -> None:
        self._turns = turns or TurnTimes()
        self._settings = settings
        self._read_settings = read_settings
        self._dialect = dialect
        self._log = log
        self._writer = writer
        self._clock = clock
        self._boot_clock = boot_clock
        self._rng = random.Random()
        self._metrics = MetricsRegistry()
        self._lifecycle = LifeCycle(chart="instance")
        self._stop_requested = anyio.Event()
        #: Time since when the stop request can have come; None before it.
        self._stop_requested_since: float | None = None
        #: When the log writer last ran, and when before that.
        self._ran_at = (clock(), clock())
        self._tasks: anyio.abc.TaskGroup | None = None
        self._listeners: list[HttpListener] = []
        self._requests = OpenRequests()
        self._ended_clients = EndedClients(clock=clock, log=log, metrics=self._metrics)
        self._clients = ClientAccount(
            limits=client_limits(
                memory_bytes=settings.memory_bytes, connections=self._max_connections
            ),
            on_ended=self._ended_clients.note,
        )
        self._over_limit_logged_at = float("-inf")
        #: Connections beyond a limit since the last log line about them.
        self._over_limit_count = 0

    @property
    def leaving(self) -> bool:
        """Whether the process was told to stop."""
        return self._stop_requested.is_set()

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
            peer_pool = ConnectionPool(clock=self._clock, ack_timeout_s=CROSS_REGION_ACK_TIMEOUT_S)
            self._mesh = Mesh(
                settings=self._settings,
                incarnation=time.time_ns() // 1_000_000,
                pool=peer_pool,
                clock=self._clock,
                rng=self._rng,
                log=self._log,
                metrics=self._metrics,
                boot_clock=self._boot_clock,
            )
            self._mesh.set_heartbeat_source(
                lambda same_region: self.heartbeat(same_region=same_region)
            )
            self._relaying = Relaying(
                settings=self._settings,
                mesh=self._mesh,
                clock=self._clock,
                rng=self._rng,
                log=self._log,
                metrics=self._metrics,
                boot_clock=self._boot_clock,
            )
            heartbeat_sender = HeartbeatSender(
                settings=self._settings,
                mesh=self._mesh,
                relaying=self._relaying,
                clock=self._clock,
            )
            self._follower = ClusterFollower(
                name=self._settings.ip,
                region=self._settings.region,
                dialect=self._dialect,
                mesh=self._mesh,
                clock=self._clock,
                rng=self._rng,
                log=self._log,
            )
            self._metrics.gauge("client_bytes_held", lambda: self._clients.held_bytes)
            self._metrics.gauge("client_connections", lambda: self._clients.connections)
            self._metrics.gauge("log_lines_dropped", lambda: self._writer.dropped_total)
            self._metrics.gauge("state_revision", lambda: self._follower.state.revision)
            self._metrics.gauge("configuration_version", lambda: self._follower.state.version)
            self._metrics.gauge("instances_live", lambda: len(self._mesh.live_heartbeats()))
            tasks.start_soon(self._handle_signals)
            contained = ContainedTasks(tasks=tasks, log=self._log, metrics=self._metrics)
            contained.start_service(self._write_logs)
            contained.start_service(self._mesh.run)
            contained.start_service(heartbeat_sender.run)
            contained.start_service(self._relaying.run)
            contained.start_service(self._follower.run)
            contained.start_service(self._housekeeping_loop, peer_pool)
            self._listen(
                f"{self._settings.ip}:{self._settings.peer_port}",
                self._handle_peer,
                limits=lambda: PEER_LIMITS,
                for_peers=True,
            )
            if self._settings.metrics_port:
                self._listen(
                    f"{self._settings.ip}:{self._settings.metrics_port}", self._handle_metrics
                )
            self.start(contained)
            await self._stop_requested.wait()
            since = self._stop_requested_since
            await self.drain(since=self._clock() if since is None else since)
            self._lifecycle.handle("idle" if self.active == 0 else "drain_timeout")
            self._log.info("process_stopped", active=self.active, life=self._lifecycle.state)
            self._writer.write_available()
            tasks.cancel_scope.cancel()

    @abc.abstractmethod
    def prepare(self) -> None:
        """Open required resources before ``run``; raises FigpaddleError."""

    @abc.abstractmethod
    def start(self, tasks: ContainedTasks) -> None:
        """Start the tasks and listeners of this kind of process."""

    @abc.abstractmethod
    async def drain(self, *, since: float) -> None:
        """Serve until others can, and return once each request is answered, within the grace time.

        The grace time begins at ``since``, as the process may have read the stop request late.
        """

    @property
    def active(self) -> int:
        """Requests in progress."""
        return self._requests.count

    @abc.abstractmethod
    def heartbeat(self, *, same_region: bool) -> InstanceHeartbeat:
        """Return the heartbeat to send now, to instances of the same region or of others."""

    @abc.abstractmethod
    async def handle_forwarded(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a request that an entry of another region forwarded."""

    def readiness(self) -> Readiness:
        """Return whether the process accepts callers' requests."""
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
        ack_timeout_s: float = CROSS_REGION_ACK_TIMEOUT_S,
        for_peers: bool = False,
        keeps_body: bool = True,
    ) -> HttpListener:
        """Open a port; on one ``for_peers`` refusals state whether the request ran.

        What is held for clients of the other ports counts toward one limit.
        """
        listener = HttpListener(
            address=address,
            handler=handler,
            refusal_handler=functools.partial(self._refuse_over_limit, for_peers=for_peers),
            on_over_limit=lambda answered: self._note_over_limit(address, answered=answered),
            on_failure=functools.partial(self._answer_failure, for_peers=for_peers),
            on_unanswered=self._note_unanswered,
            clock=self._clock,
            limits=limits,
            close_after_response=lambda: self.leaving,
            ack_timeout_s=ack_timeout_s,
            max_connections=self._max_connections,
            account=None if for_peers else self._clients,
            keeps_body=keeps_body,
            on_accept_error=self._note_accept_error,
            on_connection_error=lambda error: self._note_connection_error(address, error),
            arrived_after=lambda: self._turns.arrived_after(now=self._clock()),
        )
        assert self._tasks is not None
        self._tasks.start_soon(listener.run)
        self._listeners.append(listener)
        return listener

    @property
    def _max_connections(self) -> int:
        return max(64, self._settings.max_descriptors - SPARE_DESCRIPTORS)

    def _interruptible(self, handler: Handler) -> Handler:
        """Wrap a handler so that its requests are answered if the process ends before it does.

        A change may have been made all the same, so the status promises nothing.
        """

        async def handle(request: HttpRequest, responder: Responder) -> None:
            interrupted = await self._requests.run(
                responder, functools.partial(handler, request, responder)
            )
            if interrupted and not responder.started:
                await responder.answer(502, (), b"")

        return handle

    async def finish_requests(self, *, ends_at: float) -> None:
        """Wait for the requests in progress, answer those that don't end, and close the connections.

        ``ends_at`` is the end of the grace period, time of the clock. Streams go on for longest and are
        then left unterminated.
        """
        await self._wait_while(self._has_unanswered, until=ends_at - CLOSE_RESERVE_S)
        # Answers that have come are read in the next turn, and sent on in the one after it.
        for _ in range(LAST_ANSWER_TURNS):
            await anyio.sleep(0)
        unanswered = self._requests.interrupt_unanswered()
        if unanswered:
            self._log.warning("requests_interrupted", unanswered=unanswered, active=self.active)
        for listener in self._listeners:
            listener.drain()
        await self._wait_while(self._has_connections, until=ends_at - CLOSE_MARGIN_S)
        self._requests.interrupt_all()
        await self._wait_while(self._has_unanswered, until=ends_at - CLOSE_MARGIN_S / 2)

    async def _wait_while(self, condition: Callable[[], bool], *, until: float) -> None:
        while condition() and self._clock() < until:
            await anyio.sleep(DRAIN_CHECK_INTERVAL_S)

    def _has_unanswered(self) -> bool:
        return bool(self.active) or any(listener.busy_connections for listener in self._listeners)

    def _has_connections(self) -> bool:
        return any(listener.open_connections for listener in self._listeners)

    def _note_accept_error(self, reason: str) -> None:
        self._metrics.count("connections_reset_early_total")
        self._log.debug("connection_reset_early", reason=reason)

    def _note_connection_error(self, address: str, error: Exception) -> None:
        """Log a fault of this process that reset a connection, with any request that was being read."""
        self._metrics.count("connections_failed_total")
        self._log.error("connection_failed", address=address, reason=repr(error), exc_info=error)

    def _note_over_limit(self, address: str, *, answered: bool) -> None:
        self._metrics.count("connections_over_limit_total", answered=str(answered))
        self._over_limit_count += 1
        now = self._clock()
        if now - self._over_limit_logged_at >= OVER_LIMIT_LOG_INTERVAL_S:
            self._log.warning(
                "connections_over_limit",
                address=address,
                answered=answered,
                since_last=self._over_limit_count,
            )
            self._over_limit_logged_at, self._over_limit_count = now, 0

    async def _refuse_over_limit(
        self, request: HttpRequest, responder: Responder, *, for_peers: bool
    ) -> None:
        """Refuse a request on a connection beyond the limit; it hasn't been handled."""
        with unsent_on_error(responder):
            self._log.warning(
                "request_ended",
                request=self._dialect.request_id(request),
                outcome="refused: too many connections",
                revision=self._follower.state.revision,
            )
            refusal = self._refusal(OVER_LIMIT_RETRY_AFTER_S, for_peers=for_peers)
            await responder.answer(refusal.status, refusal.headers, b"")

    def _refusal(self, wait_s: float, *, for_peers: bool) -> FailureResponse:
        """Return the answer that a request has not run and may be sent again in ``wait_s``, seconds."""
        retry_after_s = jittered_retry_after(wait_s, rng=self._rng)
        headers = [(b"Retry-After", f"{retry_after_s:.3f}".encode())]
        if for_peers:
            headers.append((OUTCOME_FIELD, NOT_RUN))
        return FailureResponse(status=503, headers=tuple(headers))

    def _answer_failure(self, failure: HandlerFailure, *, for_peers: bool) -> FailureResponse:
        """Log a request that its handler left unanswered; return the answer."""
        error = failure.error
        unsent = isinstance(error, UnsentRequestError)
        # What can't be logged has its truthful answer all the same.
        with contextlib.suppress(Exception):
            if isinstance(error, UnsentRequestError):
                error = error.error
            self._note_failure(failure, error, may_have_run=not unsent)
        if unsent:
            return self._refusal(INTERNAL_ERROR_RETRY_AFTER_S, for_peers=for_peers)
        headers = ((OUTCOME_FIELD, UNKNOWN),) if for_peers else ()
        return FailureResponse(headers=headers)

    def _note_failure(
        self, failure: HandlerFailure, error: Exception | None, *, may_have_run: bool
    ) -> None:
        request = failure.request
        answered = not failure.started and not failure.caller_left
        self._metrics.count("internal_errors_total")
        self._metrics.count("requests_failed_internally_total", answered=str(answered))
        self._log.error(
            "internal_error",
            request=self._dialect.request_id(request),
            target=request.target.decode("latin-1"),
            reason=repr(error) if error is not None else "no answer",
            answered=answered,
            may_have_run=may_have_run,
            caller_left=failure.caller_left,
            took_s=round(self._clock() - request.received_at, 3),
            revision_before=self._follower.revision_at(request.received_at),
            revision=self._follower.state.revision,
            exc_info=error,
        )

    def _note_unanswered(self, unanswered: UnansweredRequest) -> None:
        """Log and count a request whose connection ends without an answer while its caller waits."""
        request = unanswered.request
        self._metrics.count("requests_unanswered_total", reason=unanswered.reason)
        self._log.error(
            "request_unanswered",
            request=self._dialect.request_id(request),
            target=request.target.decode("latin-1"),
            reason=unanswered.reason,
            caller=request.caller,
            leaving=self.leaving,
            took_s=round(self._clock() - request.received_at, 3),
            revision_before=self._follower.revision_at(request.received_at),
            revision=self._follower.state.revision,
        )

    async def _handle_peer(self, request: HttpRequest, responder: Responder) -> None:
        # A forwarded request has its caller's path, which may be any.
        if not is_forwarded(request) and request.target == QUERY_PATH:
            await self._interruptible(self._mesh.answer_query)(request, responder)
        else:
            await self.handle_forwarded(request, responder)

    async def _handle_metrics(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == STATE_PATH:
            await _answer_document(responder, self.dump())
            return
        if request.path.startswith(EXPLAIN_PATH + b"/"):
            explanation = self._explain(request)
            if explanation is None:
                await responder.answer(404, (), b"")
                return
            await _answer_document(responder, explanation)
            return
        if (request.method, request.path) == (b"POST", PARDON_PATH):
            await responder.answer(200 if self._pardon(request.query) else 404, (), b"")
            return
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        await responder.answer(200, headers, self._metrics.render().encode())

    def _pardon(self, digest: bytes) -> bool:
        """Pardon a quarantined prompt part; return whether this process knows it."""
        return False

    def _explain(self, request: HttpRequest) -> dict[str, Any] | None:
        """Return where a request would go; None for a process that handles none of callers."""
        return None

    def dump(self) -> dict[str, Any]:
        """Return the state of the process for operators, as a JSON object."""
        now = self._clock()
        state = self._follower.state
        instances = []
        for name in self._mesh.known_names():
            heard = self._mesh.last_heard(name)
            if heard is not None:
                instances.append(
                    {
                        "name": name,
                        "role": heard.heartbeat.role.value,
                        "region": heard.heartbeat.region,
                        "readiness": heard.heartbeat.readiness.value,
                        "revision": heard.heartbeat.revision,
                        "age_s": round(now - heard.received_at, 2),
                    }
                )
        return {
            "label": self._settings.label,
            "role": self._settings.role.value,
            "life": self._lifecycle.state,
            "active": self.active,
            "revision": state.revision,
            "configuration_version": state.version,
            "evacuated": list(state.evacuated),
            "relays": list(self._relaying.relays),
            "voters": list(self._follower.voters),
            "instances": instances,
        }

    async def _write_logs(self) -> None:
        while True:
            self._ran_at = (self._clock(), self._ran_at[0])
            self._writer.write_available()
            await sleep_until_shared(LOG_INTERVAL_S)

    async def _housekeeping_loop(self, peer_pool: ConnectionPool) -> None:
        reload_at = self._clock() + RELOAD_INTERVAL_S
        while True:
            due_at = self._clock() + HOUSEKEEPING_INTERVAL_S
            await anyio.sleep(HOUSEKEEPING_INTERVAL_S)
            lag_s = self._clock() - due_at
            self._metrics.record_duration("event_loop_lag_seconds", max(0.0, lag_s))
            datagram_seconds = self._mesh.take_datagram_seconds()
            turn_s = self._turns.lateness_s(now=self._clock())
            if max(lag_s, turn_s) > LAG_WARNING_S:
                self._log.warning(
                    "event_loop_late",
                    lag_s=round(lag_s, 3),
                    turn_s=round(turn_s, 3),
                    **datagram_seconds,
                )
            if self._lifecycle.state == "starting" and self.readiness() is Readiness.READY:
                self._lifecycle.handle("ready")
                self._log.info("process_ready", version=self._follower.state.version)
            peer_pool.close_expired()
            await self.run_housekeeping()
            if self._clock() >= reload_at:
                reload_at = self._clock() + RELOAD_INTERVAL_S
                self._reload(reason="interval")

    @abc.abstractmethod
    async def run_housekeeping(self) -> None:
        """Expire outdated state; called every ``HOUSEKEEPING_INTERVAL_S``."""

    async def _handle_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            async for signal_number in received:
                if signal_number is signal.SIGHUP:
                    self._reload(reason="signal")
                    continue
                self._log.info("process_stopping", signal=signal_number.name, active=self.active)
                if not self.leaving:
                    # After a pause, the log writer may have run once before this.
                    self._stop_requested_since = self._ran_at[1]
                    self._lifecycle.handle("stop")
                    self._lifecycle.handle("grace_over")
                self._stop_requested.set()
                self._mesh.send_heartbeats_now()

    def _reload(self, *, reason: str) -> None:
        """Add new seeds from the settings file; other changes take effect only after a restart."""
        try:
            new_settings = self._read_settings()
        except SettingsError as error:
            self._log.error("settings_not_reloaded", reason=str(error))
            return
        added = self._mesh.add_seeds(new_settings.seeds)
        if reason == "signal" or added:
            self._log.info("settings_reloaded", reason=reason, new_seeds=",".join(added))


async def _answer_document(responder: Responder, document: dict[str, Any]) -> None:
    headers = ((b"Content-Type", b"application/json"),)
    await responder.answer(200, headers, json.dumps(document, indent=2).encode())
