"""A stand-in for the platform on loopback addresses: machines, engines, operators and callers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel

from figpaddle.errors import ConnectFailedError, TransportError
from figpaddle.http1 import (
    Channel,
    ConnectionPool,
    Headers,
    HttpClientConnection,
    HttpListener,
    HttpRequest,
    Responder,
    ResponseHead,
    connect,
    header,
)
from tests.failure_logs import keep_logs
from tests.socket_inodes import inode_of

ROOT = pathlib.Path(__file__).parent.parent
#: Timeout of each wait for a condition or a response, seconds.
WAIT_TIMEOUT_S = 15.0
#: Interval of an engine's heartbeats, seconds.
HEARTBEAT_INTERVAL_S = 0.3
#: Time to the first event of a slow response, seconds.
SLOW_FIRST_EVENT_S = 2.6
#: Interval between the bytes of a stalled stream, seconds; shorter than a server may be silent.
DRIP_INTERVAL_S = 0.2
#: Pause in the middle of a stream; longer than a server may be silent while another is free.
PAUSE_S = 2.0
#: Size of the pieces of an answer without end, bytes.
ENDLESS_PIECE_BYTES = 16 * 1024
#: How often a silent engine checks whether its silence has been ended, seconds.
SILENCE_CHECK_INTERVAL_S = 0.01
#: How often the test's event loop is timed, and how late it is when that is recorded, seconds.
LOOP_CHECK_INTERVAL_S, LATE_LOOP_S = 0.05, 0.2
#: Lines in /proc/PID/status with the masks of the ignored and of the handled signals.
SIGNAL_MASK_FIELDS = ("SigIgn:", "SigCgt:")
#: Value of SO_LINGER with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
#: The region of each availability zone.
ZONES = {"n-a": "north", "s-a": "south"}
HEALTH_PATH = b"/health"
MODEL_SERVICE, PLAIN_SERVICE = "model", "plain"
HOST = "guide.example"
PROMPT_PARTS_HEADER = b"x-figpaddle-prompt-prefix"
#: Statuses of an engine's failures after a run, by the names of the failures.
FAILED_STATUSES = {"error": 500, "unavailable": 503}
#: Header field of requests that crash an engine with ``crash_paths``, whatever their path.
CRASH_HEADER = b"crash"

#: Draws addresses and ports, so that deployments of concurrent test processes don't collide.
_rng = random.SystemRandom()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """A response as a caller received it; status 0 if there was none."""

    status: int
    headers: dict[str, str]
    body: bytes
    #: Whether the body is whole; a body that isn't is kept only on request.
    complete: bool = True


@dataclasses.dataclass(kw_only=True)
class Engine:
    """A stand-in backend server that records which requests it ran and which were cancelled."""

    name: str
    service: str
    address: str
    zone: str
    incarnation: int
    #: Version of its software in its heartbeats, and a text that its events have after their number.
    version: str = "v1"
    event_text: str = ""
    #: Whether its events have ids.
    has_event_ids: bool = True
    event_count: int = 3
    event_interval_s: float = 0.01
    #: Bytes of padding after the number in each event.
    padding_bytes: int = 0
    #: Time from the start of a run to the beginning of its answer, seconds.
    work_s: float = 0.0
    #: When its answers begin, time of the event loop; None for ``work_s`` after the start of a run.
    answers_at: float | None = None
    #: Failure of every request, such as "reset" or "mute", or the status of its answer; empty for none.
    failure: str = ""
    #: Draws the failure of each request, empty for none; used unless ``failure`` is set.
    draw_failure: Callable[[], str] = str
    #: Request body that crashes the engine permanently; empty for none.
    crash_body: bytes = b""
    #: Paths of requests that crash the engine once it runs one of them, whatever their query.
    crash_paths: frozenset[str] = frozenset()
    #: Parts of a prompt that crash the engine once it begins to answer a request with one of them
    #: that isn't the last part.
    crash_parts: frozenset[str] = frozenset()
    #: Time from the start of a run to the crash by a path or a part, seconds.
    crash_delay_s: float = 0.05
    crashed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    #: Arrival time and id of each request, including requests that the engine then rejected.
    arrivals: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    executed: list[str] = dataclasses.field(default_factory=list)
    #: Status of each request that failed after its run.
    failed: dict[str, int] = dataclasses.field(default_factory=dict)
    #: When the engine stopped working on each request.
    ended_at: dict[str, float] = dataclasses.field(default_factory=dict)
    cancelled: list[str] = dataclasses.field(default_factory=list)
    request_headers: dict[str, dict[str, str]] = dataclasses.field(default_factory=dict)
    #: Bytes after the last event of its streams.
    partial_event: bytes = b""
    #: Whether its streams have neither a length nor chunks and end with their connection.
    unmarked_ends: bool = False
    #: Limit that it names in its answers, requests a second; empty for none.
    limit: str = ""
    #: When it is no longer cold.
    cold_until: float = 0.0
    #: When it sends again; until then it is sound and silent.
    silent_until: float = 0.0
    #: Refusals in a second that it says it bears, for want of room; empty for none.
    brittle: str = ""
    #: Slots that its heartbeats state.
    slots: int = 8
    #: Requests that it runs at a time; beyond it, it refuses.
    room: int = 1000
    running: int = 0
    #: When it refused a request for want of room.
    refused_at: list[float] = dataclasses.field(default_factory=list)
    sequence: int = 0
    state: str = "ready"

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        request_id = (header(request.headers, b"x-figpaddle-request-id") or b"").decode()
        expected = header(request.headers, b"x-figpaddle-expect-instance")
        echoed_headers: Headers = ((b"X-Figpaddle-Request-Id", request_id.encode()),)
        await self._wait_while_silent()
        if self.limit:
            echoed_headers = (*echoed_headers, (b"Server-Limit", self.limit.encode()))
        if expected not in (None, self.name.encode()):
            await responder.answer(421, echoed_headers, b"")
            return
        self.arrivals.append((anyio.current_time(), request_id))
        if request.path == HEALTH_PATH:
            await self._answer_health_check(responder)
            return
        if self.brittle:
            echoed_headers = (*echoed_headers, (b"Server-Brittle", self.brittle.encode()))
        if self.running >= self.room:
            self.refused_at.append(anyio.current_time())
            refusal = (b"X-Figpaddle-Not-Executed", b"full")
            await responder.answer(503, (*echoed_headers, refusal), b"")
            return
        self.running += 1
        try:
            await self._run(request, request_id, echoed_headers, responder)
        finally:
            self.running -= 1
            self.ended_at[request_id] = anyio.current_time()

    async def _wait_while_silent(self) -> None:
        await anyio.lowlevel.checkpoint()
        while (left_s := self.silent_until - anyio.current_time()) > 0.0:
            await anyio.sleep(min(left_s, SILENCE_CHECK_INTERVAL_S))

    async def _answer_health_check(self, responder: Responder) -> None:
        state: Headers = ((b"X-Figpaddle-Instance-Id", self.name.encode()),)
        cold_ms = int(1000 * (self.cold_until - anyio.current_time()))
        if cold_ms > 0:
            state = (*state, (b"X-Figpaddle-Cold-Ms", str(cold_ms).encode()))
        await responder.answer(200 if self.state == "ready" else 503, state, b"")

    async def _run(
        self, request: HttpRequest, request_id: str, echoed_headers: Headers, responder: Responder
    ) -> None:
        failure = self.failure or self.draw_failure()
        if failure == "busy":
            refusal = ((b"X-Figpaddle-Not-Executed", b"full"), (b"Retry-After", b"1.5"))
            await responder.answer(503, (*echoed_headers, *refusal), b"")
            return
        if failure == "leaving":
            echoed_headers = (*echoed_headers, (b"Server-Leaving", b"1"))
        if failure == "full":
            await responder.answer(
                503, (*echoed_headers, (b"X-Figpaddle-Not-Executed", b"full")), b""
            )
            return
        self.executed.append(request_id)
        self.request_headers[request_id] = {
            name.decode().lower(): value.decode() for name, value in request.headers
        }
        if self.crash_body and request.body == self.crash_body:
            self.crashed.set()
            return
        is_crash_path = request.path.decode() in self.crash_paths
        if is_crash_path or (self.crash_paths and header(request.headers, CRASH_HEADER)):
            await anyio.sleep(self.crash_delay_s)
            self.crashed.set()
            return
        if self.crash_parts & set(_shared_parts(request)):
            if self.unmarked_ends:
                # The crash falls between two events, so that the answer looks complete.
                responder = UnmarkedResponder(responder)
                seal = (b"X-Figpaddle-Server-Seal", f"seal-{request_id}".encode())
                await responder.start(200, (*echoed_headers, seal), length=None)
                await responder.write(b"id: 1\ndata: 1\n\n")
                await responder.finish()
            else:
                await anyio.sleep(self.crash_delay_s)
            self.crashed.set()
            return
        if failure == "reset":
            return
        if failure == "endless":
            await self._answer_without_end(echoed_headers, request_id, responder)
        if failure == "mute":
            await self._never_respond(request_id)
        if failure.isdigit():
            await responder.answer(int(failure), echoed_headers, b"odd")
            return
        if failure in FAILED_STATUSES:
            self.failed[request_id] = FAILED_STATUSES[failure]
            seal = (b"X-Figpaddle-Server-Seal", b"e")
            await responder.answer(FAILED_STATUSES[failure], (*echoed_headers, seal), b"error")
            return
        sealed_headers = (
            *echoed_headers,
            (b"X-Figpaddle-Server-Seal", f"seal-{request_id}".encode()),
        )
        if self.work_s or self.answers_at is not None:
            try:
                if self.answers_at is not None:
                    await anyio.sleep_until(self.answers_at)
                else:
                    await anyio.sleep(self.work_s)
            except anyio.get_cancelled_exc_class():
                self.cancelled.append(request_id)
                raise
        await self._wait_while_silent()
        if self.service == PLAIN_SERVICE:
            await responder.answer(200, sealed_headers, request.body + b" done")
            return
        first = int(header(request.headers, b"last-event-id") or b"0") + 1
        try:
            if failure == "slow":
                await anyio.sleep(SLOW_FIRST_EVENT_S)
            if self.unmarked_ends:
                responder = UnmarkedResponder(responder)
            await responder.start(
                200, (*sealed_headers, (b"Content-Type", b"text/event-stream")), length=None
            )
            for number in range(first, self.event_count + 1):
                padding = "x" * self.padding_bytes
                data = f"{number}{self.event_text}{padding}"
                id_line = f"id: {number}\n" if self.has_event_ids else ""
                await self._wait_while_silent()
                await responder.write(f"{id_line}data: {data}\n\n".encode())
                if failure == "midway" and number == 2:
                    return
                if failure == "stall" and number == 2:
                    await anyio.sleep_forever()
                if failure == "drip" and number == 2:
                    # Bytes of a third event that never ends.
                    while True:
                        await responder.write(b"x")
                        await anyio.sleep(DRIP_INTERVAL_S)
                if failure == "pause" and number == 2:
                    await anyio.sleep(PAUSE_S)
                await anyio.sleep(self.event_interval_s)
            if self.partial_event:
                await responder.write(self.partial_event)
            await responder.finish()
        except anyio.get_cancelled_exc_class():
            self.cancelled.append(request_id)
            raise

    async def _answer_without_end(
        self, headers: Headers, request_id: str, responder: Responder
    ) -> None:
        """Begin an answer and send bytes without an event's end until the connection closes."""
        try:
            await responder.start(
                200, (*headers, (b"X-Figpaddle-Server-Seal", b"endless")), length=None
            )
            while True:
                await responder.write(bytes(ENDLESS_PIECE_BYTES))
        except (TransportError, anyio.get_cancelled_exc_class()):
            self.cancelled.append(request_id)
            raise

    async def _never_respond(self, request_id: str) -> None:
        """Send no response, and record when the request is cancelled."""
        try:
            await anyio.sleep_forever()
        except anyio.get_cancelled_exc_class():
            self.cancelled.append(request_id)
            raise


class EngineListener(HttpListener):
    """Accepts connections from the processes that aren't cut off from the engines.

    ``owner_of`` returns the name of the process at the other end of a connection.
    """

    def __init__(self, *, owner_of: Callable[[socket.socket], str], **options: Any) -> None:
        # A stand-in that answers nothing resets the connection.
        super().__init__(on_failure=lambda _: None, **options)
        self._owner_of = owner_of
        self._sockets: dict[str, list[socket.socket]] = {}
        #: Processes whose connections are reset, and how long after they are accepted, seconds.
        self.cut_off: set[str] = set()
        self.reset_after_s = 0.0

    def reset_connections(self, name: str) -> None:
        """Reset the connections of a process."""
        for accepted in self._sockets.pop(name, []):
            with contextlib.suppress(OSError):
                accepted.shutdown(socket.SHUT_RDWR)

    async def _serve_connection(self, accepted: socket.socket, arrived_after: float) -> None:
        owner = self._owner_of(accepted)
        if owner in self.cut_off:
            await anyio.sleep(self.reset_after_s)
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            accepted.close()
            return
        self._sockets.setdefault(owner, []).append(accepted)
        await super()._serve_connection(accepted, arrived_after)


class UnmarkedResponder(Responder):
    """Sends a body that has neither a length nor chunks, and ends it with the connection."""

    def __init__(self, responder: Responder) -> None:
        self._channel: Channel = responder._channel  # type: ignore[attr-defined]
        self._started = False

    @property
    def started(self) -> bool:
        return self._started

    def caller_left(self) -> bool:
        return self._channel.peer_close is not None

    def on_caller_left(self, callback: Callable[[], None] | None) -> None:
        self._channel.on_peer_close(callback)

    def on_start(self, callback: Callable[[], None] | None) -> None:
        pass

    async def start(self, status: int, headers: Headers, *, length: int | None) -> None:
        self._started = True
        lines = [b"HTTP/1.1 %d OK" % status, b"Connection: close"]
        lines += [name + b": " + value for name, value in headers]
        await self._channel.send(b"\r\n".join(lines) + b"\r\n\r\n")

    async def write(self, data: bytes) -> None:
        await self._channel.send(data)

    async def finish(self) -> None:
        self._channel.finish_sending()


def _shared_parts(request: HttpRequest) -> list[str]:
    """Return the ids of the parts of a request's prompt without the last, which is its own."""
    parts = (header(request.headers, PROMPT_PARTS_HEADER) or b"").decode().split(",")
    return [part.partition(":")[0] for part in parts[:-1]]


class PlatformDeployment:
    """Processes of figpaddle on loopback addresses, with the engines of the stand-in platform."""

    def __init__(self, *, folder: pathlib.Path, tasks: anyio.abc.TaskGroup) -> None:
        self._folder = folder
        self._tasks = tasks
        self._pool = ConnectionPool(clock=anyio.current_time, ack_timeout_s=2.0)
        self._network = f"127.{_rng.randrange(20, 250)}"
        #: Third octet of the instances' addresses; the engines use the next value.
        self._third_octet = _rng.randrange(0, 250, 2)
        port = _rng.randrange(12000, 30000)
        self._ports = {
            name: port + 7 * index
            for index, name in enumerate(("front", "ready", "control", "lookup", "peer"))
        }
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._roles: dict[str, tuple[str, str]] = {}
        #: Grace period of the processes, seconds.
        self.grace_s = 4
        #: Control instances whose addresses processes get at their start.
        self.seeds = ("m-1", "m-2", "m-3")
        self._ids = itertools.count(1)
        #: Starts and signals of processes, replies to callers and late turns of the test's event loop,
        #: as lines of a log.
        self._notes: list[str] = []
        self.engines: list[Engine] = []
        self._engine_listeners: list[EngineListener] = []
        #: Whether the request that crashes engines was refused as quarantined.
        self.poison_refused = False

    def ip(self, name: str) -> str:
        return f"{self._network}.{self._third_octet}.{10 + int(name.rpartition('-')[2])}"

    def address(self, name: str, port: str) -> str:
        return f"{self.ip(name)}:{self._ports[port]}"

    def connect_address(self, name: str, port: str) -> str:
        """Return the address to which callers and operators of a process connect."""
        return self.address(name, port)

    def advertised_address(self, engine: Engine) -> str:
        """Return the address that an engine advertises in its heartbeats."""
        return engine.address

    def start(self, name: str, role: str, zone: str, *, first: bool = True) -> None:
        """Start a process that writes its log to a file in the deployment's folder."""
        self._note(f"start process={name}")
        self._roles[name] = (role, zone)
        control = role == "control"
        seeds = ",".join(self.address(seed, "control") for seed in self.seeds)
        lines = [
            f"node-name={name}",
            f"serves={'control' if control else 'front,directory'}",
            f"ip={self.ip(name)}",
            f"zone={zone}",
            f"region={ZONES[zone]}",
            *(f"zones.{key}={region}" for key, region in ZONES.items()),
            f"internal-ports={self._ports['peer']},{self._ports['peer'] + 3}",
            f"seeds={seeds}",
            f"bootstrap={'true' if first else 'false'}",
            f"bounds.grace-s={self.grace_s}",
        ]
        if control:
            lines += [f"listen.control={self.address(name, 'control')}"]
            lines += [f"data-dir={self._folder / name}"]
        else:
            lines += [
                f"listen.front={self.address(name, 'front')}",
                f"listen.readiness-addr={self.address(name, 'ready')}",
                f"listen.directory={self.address(name, 'lookup')}",
            ]
        lines += self.limits_of(name)
        settings = self._folder / f"{name}.conf"
        settings.write_text("\n".join(lines), encoding="utf-8")
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, str(self.program_of(name))],
                env={**os.environ, "FIGPADDLE_CONFIG": str(settings), **self.environment_of(name)},
                stdout=log,
                stderr=log,
            )

    def root_of(self, name: str) -> pathlib.Path:
        """Return the folder of the build that a process runs."""
        return ROOT

    def program_of(self, name: str) -> pathlib.Path:
        """Return the program that a process runs."""
        return self.root_of(name) / "platform" / "serve.py"

    def limits_of(self, name: str) -> list[str]:
        """Return further lines for the settings file of a process."""
        return []

    def pid(self, name: str) -> int:
        return self._processes[name].pid

    def environment_of(self, name: str) -> dict[str, str]:
        """Return environment variables for a process."""
        return {}

    def reset_connections(self, engine: Engine, name: str) -> None:
        """Reset the connections of a process to an engine, which goes on."""
        self._engine_listeners[self.engines.index(engine)].reset_connections(name)

    def cut_off_from_engines(self, *names: str, refuse: bool = False) -> None:
        """Cut processes off from all engines.

        New connections are reset; the present ones too unless ``refuse`` is set.
        """
        for listener in self._engine_listeners:
            listener.cut_off.update(names)
            for name in () if refuse else names:
                listener.reset_connections(name)

    def reset_late(self, delay_s: float) -> None:
        """Reset the connections of processes that are cut off only some time after they are accepted."""
        for listener in self._engine_listeners:
            listener.reset_after_s = delay_s

    def rejoin_engines(self) -> None:
        """Let all processes reach the engines again."""
        for listener in self._engine_listeners:
            listener.cut_off.clear()

    def _owner_of(self, accepted: socket.socket) -> str:
        with contextlib.suppress(OSError):
            return self.owner_of_end(accepted.getpeername(), accepted.getsockname())
        return ""

    def owner_of_end(self, peer: tuple[str, int], own: tuple[str, int]) -> str:
        """Return the process at the other end of a connection, by the inode of its socket."""
        inode = inode_of(peer, own)
        return "" if inode is None else self._owner_of_inode(inode)

    def _owner_of_inode(self, inode: int) -> str:
        for name, process in self._processes.items():
            for path in pathlib.Path(f"/proc/{process.pid}/fd").glob("*"):
                with contextlib.suppress(OSError):
                    if os.readlink(path) == f"socket:[{inode}]":
                        return name
        return ""

    def block_data_folder(self, name: str) -> None:
        """Create a file at the path of a process's data folder, so that it can't be used."""
        (self._folder / name).write_text("no folder", encoding="utf-8")

    def settings(self, name: str) -> bytes:
        """Return the settings file of a process."""
        return (self._folder / f"{name}.conf").read_bytes()

    def write_settings(self, name: str, text: bytes) -> None:
        """Replace the settings file of a process."""
        (self._folder / f"{name}.conf").write_bytes(text)

    def signal(self, name: str, number: signal.Signals) -> None:
        exit_code = self._processes[name].poll()
        self._note(f"signal process={name} signal={number.name} exit_code={exit_code}")
        self._processes[name].send_signal(number)

    def handles_sighup(self, name: str) -> bool:
        """Return whether a process ignores or handles SIGHUP, according to /proc."""
        status = pathlib.Path(f"/proc/{self._processes[name].pid}/status").read_text("utf-8")
        masks = [line.split()[1] for line in status.splitlines() if line[:7] in SIGNAL_MASK_FIELDS]
        return any(int(mask, 16) & 1 << signal.SIGHUP - 1 for mask in masks)

    def memory_bytes(self, name: str) -> int:
        """Return the resident memory of a process, bytes."""
        status = pathlib.Path(f"/proc/{self._processes[name].pid}/status").read_text("utf-8")
        (line,) = (line for line in status.splitlines() if line.startswith("VmRSS:"))
        return int(line.split()[1]) * 1024

    def mapped_files(self, name: str) -> str:
        """Return the memory map of a process, which lists the extension modules it has loaded."""
        return pathlib.Path(f"/proc/{self._processes[name].pid}/maps").read_text("utf-8")

    async def wait_for_exit(self, name: str) -> int:
        """Wait until a process has exited and return its exit code."""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while (code := self._processes[name].poll()) is None:
                await anyio.sleep(0.02)
        return code

    async def restart(self, name: str, *, wipe: bool = False) -> None:
        """Restart a process that was killed; with ``wipe``, delete its data folder's files first."""
        await self.wait_for_exit(name)
        if wipe:
            for path in (self._folder / name).glob("*"):
                path.unlink()
        role, zone = self._roles[name]
        self.start(name, role, zone, first=False)

    async def replace_control(self, gone: str, successor: str) -> None:
        """Remove a control instance for good and start another one with an empty disk in its place."""
        self.signal(gone, signal.SIGKILL)
        await self.wait_for_exit(gone)
        role, zone = self._roles.pop(gone)
        self.seeds = tuple(successor if seed == gone else seed for seed in self.seeds)
        await anyio.sleep(1.0)
        self.start(successor, role, zone, first=False)

    async def wait_for_voter(self, name: str, *, timeout_s: float = WAIT_TIMEOUT_S) -> None:
        """Wait until a control instance logs that it is one of the voters."""
        with anyio.fail_after(timeout_s):
            while not any(
                "event=voters_changed" in line and self.ip(name) in line
                for line in self.log(name).splitlines()
            ):
                await anyio.sleep(0.1)

    def ended(self) -> list[str]:
        """Return the names of the processes that have exited."""
        return [name for name, process in self._processes.items() if process.poll() is not None]

    def close(self, *, raised: bool = False) -> None:
        """End the processes, and keep their logs if the test failed."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self._write_notes()
        keep_logs(self._folder, raised=raised)

    async def watch_loop(self) -> None:
        """Record when the test's event loop, which serves engines and callers, is late."""
        while True:
            due_at = anyio.current_time() + LOOP_CHECK_INTERVAL_S
            await anyio.sleep_until(due_at)
            late_s = anyio.current_time() - due_at
            if late_s > LATE_LOOP_S:
                self._note(f"event_loop_late late_s={late_s:.3f}")

    def _write_notes(self) -> None:
        runs = [f"{engine.name} ran {engine.executed}" for engine in self.engines]
        notes = "\n".join([*self._notes, *runs])
        (self._folder / "test.log").write_text(notes, encoding="utf-8")

    def _note(self, text: str) -> None:
        now = datetime.datetime.now(datetime.UTC)
        self._notes.append(f"{now:%H:%M:%S.%f} {text}")

    def log(self, name: str) -> str:
        return (self._folder / f"{name}.log").read_text(encoding="utf-8")

    def unanswered_requests(self) -> list[str]:
        """Return the log lines about requests that got no answer, or may have got none, while callers waited."""
        return [
            line
            for name in self._processes
            for line in self.log(name).splitlines()
            if "event=request_unanswered" in line or "event=connection_failed" in line
        ]

    async def add_engine(self, service: str, zone: str, **behaviour: Any) -> Engine:
        """Start an engine that sends heartbeats to the control instances."""
        number = len(self.engines) + 1
        address = f"{self._network}.{self._third_octet + 1}.{number}:{self._ports['front']}"
        engine = Engine(
            name=f"i-{number}",
            service=service,
            address=address,
            zone=zone,
            incarnation=1000 + number,
            **behaviour,
        )
        listener = EngineListener(
            owner_of=self._owner_of,
            address=address,
            handler=engine.handle,
            clock=anyio.current_time,
            ack_timeout_s=2.0,
            max_connections=64,
        )
        self.engines.append(engine)
        self._engine_listeners.append(listener)
        self._tasks.start_soon(self._run_engine, engine, listener)
        return engine

    async def _run_engine(self, engine: Engine, listener: HttpListener) -> None:
        """Serve requests and send heartbeats until the engine crashes."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.run)
            tasks.start_soon(self._send_heartbeats, engine)
            await engine.crashed.wait()
            tasks.cancel_scope.cancel()

    async def _send_heartbeats(self, engine: Engine) -> None:
        while True:
            await self.send_heartbeat(engine)
            await anyio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeat(self, engine: Engine) -> bool:
        """Send a heartbeat to one control instance after another; return whether one accepted it."""
        engine.sequence += 1
        payload = {
            "service": engine.service,
            "address": self.advertised_address(engine),
            "zone": engine.zone,
            "version": engine.version,
            "slots": engine.slots,
            "state": engine.state,
            "warmup-left-ms": max(0, int(1000 * (engine.cold_until - anyio.current_time()))),
            "seq": engine.sequence,
            "born": engine.incarnation,
        }
        path = f"/v1/instances/{engine.name}/heartbeat"
        for name, (role, _) in self._roles.items():
            if (
                role == "control"
                and (await self.call_control(name, "POST", path, payload)).status == 200
            ):
                return True
        return False

    async def call_control(self, name: str, method: str, path: str, payload: Any = None) -> Reply:
        """Send a request to a control instance."""
        body = b"" if payload is None else json.dumps(payload).encode()
        return await self._exchange(self.connect_address(name, "control"), method, path, (), body)

    async def send_operator_command(self, method: str, path: str, payload: Any = None) -> Reply:
        """Send a command to one control instance after another until one accepts or rejects it."""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while True:
                for name, (role, _) in self._roles.items():
                    if role != "control":
                        continue
                    reply = await self.call_control(name, method, path, payload)
                    if reply.status and reply.status < 500:
                        return reply
                await anyio.sleep(0.05)

    async def ready(self, name: str) -> bool:
        address = self.address(name, "ready")
        return (await self._exchange(address, "GET", "/v1/ready", (), b"")).status == 200

    async def wait_until_ready(self, *names: str) -> None:
        with anyio.fail_after(WAIT_TIMEOUT_S):
            for name in names:
                while not await self.ready(name):
                    await anyio.sleep(0.05)

    async def lookup(self, name: str, region: str) -> Reply:
        path = f"/v1/resolve?name={HOST}&region={region}&zone="
        return await self._exchange(self.address(name, "lookup"), "GET", path, (), b"")

    async def metrics(self, name: str, path: str, *, method: str = "GET") -> Reply:
        return await self._exchange(self.metrics_address(name), method, path, (), b"")

    def metrics_address(self, name: str) -> str:
        """Return the address of the metrics port of a process."""
        return f"{self.ip(name)}:{self._ports['peer'] + 1}"

    async def send_request(
        self,
        name: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"prompt",
        deadline_ms: int = 4000,
        request_id: str = "",
        extra_headers: Headers = (),
        caller: str = "",
        keep_partial: bool = False,
    ) -> tuple[str, Reply]:
        """Send a caller's request; return its id and the reply.

        ``caller`` is the IP address from which it is sent; callers without one share an address. With
        ``keep_partial`` the reply has the part of a body that arrived before its connection ended.
        """
        request_id = request_id or f"r{next(self._ids)}"
        headers = (
            (b"X-Figpaddle-Request-Id", request_id.encode()),
            (b"X-Figpaddle-Deadline-Ms", str(deadline_ms).encode()),
            *extra_headers,
        )
        address = self.connect_address(name, "front")
        self._note(f"sent request={request_id} entry={name} path={path}")
        reply = await self._exchange(
            address, method, path, headers, body, caller, keep_partial=keep_partial
        )
        self._note(f"reply request={request_id} status={reply.status} complete={reply.complete}")
        return request_id, reply

    def caller_ip(self, number: int) -> str:
        """Return an IP address that no other caller and no process has."""
        return f"{self._network}.251.{number}"

    async def open(self, name: str) -> Channel:
        """Return a caller's connection on which the test sends raw bytes."""
        return await connect(self.connect_address(name, "front"), timeout_s=1.0, ack_timeout_s=2.0)

    async def _exchange(
        self,
        address: str,
        method: str,
        path: str,
        headers: Any,
        body: bytes,
        caller: str = "",
        *,
        keep_partial: bool = False,
    ) -> Reply:
        try:
            if caller:
                connection = await _connect_from(caller, address)
            else:
                connection = await self._pool.open(address, timeout_s=0.5)
        except (ConnectFailedError, OSError):
            return Reply(status=0, headers={}, body=b"")
        try:
            return await _exchange_on(
                connection, method, path, headers, body, keep_partial=keep_partial
            )
        except (TransportError, TimeoutError):
            return Reply(status=0, headers={}, body=b"")
        finally:
            connection.close()


async def _connect_from(ip: str, address: str) -> HttpClientConnection:
    """Open a connection from the IP address ``ip``."""
    host, _, port = address.rpartition(":")
    raw = socket.socket()
    raw.setblocking(False)
    raw.bind((ip, 0))
    await asyncio.get_running_loop().sock_connect(raw, (host, int(port)))
    return HttpClientConnection(channel=Channel(raw=raw), opened_at=anyio.current_time())


async def _exchange_on(
    connection: HttpClientConnection,
    method: str,
    path: str,
    extra_headers: Any,
    body: bytes,
    *,
    keep_partial: bool,
) -> Reply:
    headers = (
        (b"Host", HOST.encode()),
        (b"Content-Length", str(len(body)).encode()),
        *extra_headers,
    )
    with anyio.fail_after(WAIT_TIMEOUT_S):
        await connection.send(
            method=method.encode(), target=path.encode(), headers=headers, body=body
        )

        def accept_any_status(head: ResponseHead) -> bool:
            return True

        head = await connection.read_head(accept_any_status)
        data, complete = b"", True
        try:
            async for piece in connection.read_body():
                data += piece
        except TransportError:
            if not keep_partial:
                raise
            complete = False
    response_headers = {name.decode().lower(): value.decode() for name, value in head.headers}
    return Reply(status=head.status, headers=response_headers, body=data, complete=complete)


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with plain, resumable and home-region streams, a write and a read."""

    def route(name: str, kind: str, service: str, **overrides: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "path-prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": 5000,
            "target-latency-ms": 600,
            "priority": 1,
            "service": service,
            "max-attempts": 1,
            "resumable": False,
            "target-gap-ms": 300,
            "home-regions": [],
            **overrides,
        }

    routes = [
        route("chat", "streaming", MODEL_SERVICE),
        route("plan", "streaming", MODEL_SERVICE, **{"max-attempts": 2, "resumable": True}),
        route("home", "streaming", MODEL_SERVICE, **{"home-regions": ["north"]}),
        route("hold", "non_idempotent", PLAIN_SERVICE),
        route("read", "idempotent", PLAIN_SERVICE, **{"max-attempts": 2}),
    ]
    services = [
        {
            "name": MODEL_SERVICE,
            "max-conns": 60,
            "engine": {"slots": 8, "kv-capacity-tokens": 90000},
        },
        {"name": PLAIN_SERVICE, "max-conns": 60},
    ]
    return {"version": version, "routes": routes, "services": services, "limits": {}, **changes}


@contextlib.asynccontextmanager
async def control_instances() -> AsyncIterator[PlatformDeployment]:
    """Run three control instances in two regions, which may not have decided the voters yet."""
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as tasks:
            platform = PlatformDeployment(folder=pathlib.Path(folder), tasks=tasks)
            tasks.start_soon(platform.watch_loop)
            try:
                for number, zone in ((1, "n-a"), (2, "n-a"), (3, "s-a")):
                    platform.start(f"m-{number}", "control", zone)
                yield platform
                assert not platform.unanswered_requests()
            except BaseException:
                platform.close(raised=True)
                raise
            finally:
                platform.close()
                tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def platform_deployment(
    *, engines: bool = True, make_deployment: Callable[..., PlatformDeployment] = PlatformDeployment
) -> AsyncIterator[PlatformDeployment]:
    """Run three control instances and three entries in two regions, configured and ready."""
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as tasks:
            platform = make_deployment(folder=pathlib.Path(folder), tasks=tasks)
            tasks.start_soon(platform.watch_loop)
            try:
                for number, zone in ((1, "n-a"), (2, "n-a"), (3, "s-a")):
                    platform.start(f"m-{number}", "control", zone)
                for number, zone in ((4, "n-a"), (5, "n-a"), (6, "s-a")):
                    platform.start(f"m-{number}", "entry", zone)
                if engines:
                    for zone in ZONES:
                        await platform.add_engine(MODEL_SERVICE, zone)
                        await platform.add_engine(PLAIN_SERVICE, zone)
                await platform.send_operator_command("POST", "/v1/config/put", configuration())
                await platform.wait_until_ready("m-4", "m-5", "m-6")
                yield platform
                assert not platform.unanswered_requests()
            except BaseException:
                platform.close(raised=True)
                raise
            finally:
                platform.close()
                tasks.cancel_scope.cancel()
