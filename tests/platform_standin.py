"""A small stand-in of the platform: machines on loopback addresses, engines, an operator, callers."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import anyio.abc

from figpaddle.errors import ConnectFailedError, TransportError
from figpaddle.http1 import (
    AnswerHead,
    BackendConnection,
    Channel,
    ConnectionPool,
    Headers,
    HttpListener,
    HttpRequest,
    Responder,
    connect,
    header,
)

ROOT = pathlib.Path(__file__).parent.parent
#: Longest time that the stand-in waits for something to come true, seconds.
PATIENCE_S = 15.0
#: Interval of an engine's heartbeats, seconds.
BEAT_S = 0.3
#: Time to the first event of a slow answer, seconds.
SLOW_S = 2.6
#: Lines of a process's status that show which signals it ignores and which it handles.
MASKS = ("SigIgn:", "SigCgt:")
#: Regions and their zones.
ZONES = {"n-a": "north", "s-a": "south"}
MODEL, PLAIN = "model", "plain"
HOST = "guide.example"

#: Draws addresses and ports: deployments of several test processes run beside each other.
_rng = random.SystemRandom()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(kw_only=True)
class Engine:
    """A stand-in backend server that notes which requests it ran and which were cut off."""

    name: str
    service: str
    address: str
    zone: str
    born: int
    events: int = 3
    gap_s: float = 0.01
    #: Bytes that each event has beside its number.
    padding: int = 0
    failing: str = ""
    #: Draws for each request how it fails by itself; empty for not at all.
    mood: Callable[[], str] = str
    #: A body that makes the engine crash for good.
    crashing: bytes = b""
    crashed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    #: Requests with their times of arrival, those that it rejected too.
    arrived: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    ran: list[str] = dataclasses.field(default_factory=list)
    #: When the work on a request ended, by request.
    ended: dict[str, float] = dataclasses.field(default_factory=dict)
    left: list[str] = dataclasses.field(default_factory=list)
    fields: dict[str, dict[str, str]] = dataclasses.field(default_factory=dict)
    sequence: int = 0
    state: str = "ready"

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        request_id = (header(request.headers, b"x-figpaddle-request-id") or b"").decode()
        expected = header(request.headers, b"x-figpaddle-expect-instance")
        echo = ((b"X-Figpaddle-Request-Id", request_id.encode()),)
        if expected not in (None, self.name.encode()):
            await responder.answer(421, echo, b"")
            return
        self.arrived.append((anyio.current_time(), request_id))
        try:
            await self._run(request, request_id, echo, responder)
        finally:
            self.ended[request_id] = anyio.current_time()

    async def _run(
        self, request: HttpRequest, request_id: str, echo: Headers, responder: Responder
    ) -> None:
        failing = self.failing or self.mood()
        if failing == "full":
            await responder.answer(503, (*echo, (b"X-Figpaddle-Not-Executed", b"full")), b"")
            return
        self.ran.append(request_id)
        self.fields[request_id] = {
            name.decode().lower(): value.decode() for name, value in request.headers
        }
        if self.crashing and request.body == self.crashing:
            self.crashed.set()
            return
        if failing == "reset":
            return
        if failing == "mute":
            await self._keep_silent(request_id)
        if failing == "error":
            await responder.answer(500, (*echo, (b"X-Figpaddle-Server-Seal", b"e")), b"error")
            return
        sealed = (*echo, (b"X-Figpaddle-Server-Seal", f"seal-{request_id}".encode()))
        if self.service == PLAIN:
            await responder.answer(200, sealed, request.body + b" done")
            return
        first = int(header(request.headers, b"last-event-id") or b"0") + 1
        try:
            if failing == "slow":
                await anyio.sleep(SLOW_S)
            await responder.start(
                200, (*sealed, (b"Content-Type", b"text/event-stream")), length=None
            )
            for number in range(first, self.events + 1):
                padding = "x" * self.padding
                await responder.write(f"id: {number}\ndata: {number}{padding}\n\n".encode())
                if failing == "midway" and number == 2:
                    return
                if failing == "stall" and number == 2:
                    await anyio.sleep_forever()
                await anyio.sleep(self.gap_s)
            await responder.finish()
        except anyio.get_cancelled_exc_class():
            self.left.append(request_id)
            raise

    async def _keep_silent(self, request_id: str) -> None:
        """Never answer, and note the end of the connection."""
        try:
            await anyio.sleep_forever()
        except anyio.get_cancelled_exc_class():
            self.left.append(request_id)
            raise


class Deployment:
    """Processes of figpaddle on loopback addresses and the platform around them."""

    def __init__(self, *, folder: pathlib.Path, tasks: anyio.abc.TaskGroup) -> None:
        self._folder = folder
        self._tasks = tasks
        self._pool = ConnectionPool(clock=anyio.current_time, silence_s=2.0)
        self._network = f"127.{_rng.randrange(20, 250)}"
        #: Third number of the instances' addresses; engines have the next one.
        self._net = _rng.randrange(0, 250, 2)
        port = _rng.randrange(12000, 30000)
        self._ports = {
            name: port + 7 * index
            for index, name in enumerate(("front", "ready", "control", "lookup", "peer"))
        }
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._roles: dict[str, tuple[str, str]] = {}
        self._ids = itertools.count(1)
        self.engines: list[Engine] = []
        #: Whether a caller's request was refused for good.
        self.refused = False

    def ip(self, name: str) -> str:
        return f"{self._network}.{self._net}.{10 + int(name.rpartition('-')[2])}"

    def address(self, name: str, port: str) -> str:
        return f"{self.ip(name)}:{self._ports[port]}"

    def reach(self, name: str, port: str) -> str:
        """Return where callers and operators connect to a process."""
        return self.address(name, port)

    def announced(self, engine: Engine) -> str:
        """Return the address that an engine gives as its own."""
        return engine.address

    def start(self, name: str, role: str, zone: str, *, first: bool = True) -> None:
        """Start a process; its log goes to a file in the folder."""
        self._roles[name] = (role, zone)
        control = role == "control"
        seeds = ",".join(self.address(f"m-{number}", "control") for number in (1, 2, 3))
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
            "bounds.grace-s=4",
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
        settings = self._folder / f"{name}.conf"
        settings.write_text("\n".join(lines), encoding="utf-8")
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "serve.py")],
                env={**os.environ, "FIGPADDLE_CONFIG": str(settings)},
                stdout=log,
                stderr=log,
            )

    def spoil_folder(self, name: str) -> None:
        """Put a file where a process expects its data folder."""
        (self._folder / name).write_text("no folder", encoding="utf-8")

    def signal(self, name: str, number: signal.Signals) -> None:
        self._processes[name].send_signal(number)

    def holds_off_reloads(self, name: str) -> bool:
        """Return whether a process ignores or handles SIGHUP, as the system shows it."""
        status = pathlib.Path(f"/proc/{self._processes[name].pid}/status").read_text("utf-8")
        masks = [line.split()[1] for line in status.splitlines() if line[:7] in MASKS]
        return any(int(mask, 16) & 1 << signal.SIGHUP - 1 for mask in masks)

    def modules(self, name: str) -> str:
        """Return the files that a process has mapped, its compiled modules among them."""
        return pathlib.Path(f"/proc/{self._processes[name].pid}/maps").read_text("utf-8")

    async def stopped(self, name: str) -> int:
        """Return the exit code of a process once it has ended."""
        with anyio.fail_after(PATIENCE_S):
            while (code := self._processes[name].poll()) is None:
                await anyio.sleep(0.02)
        return code

    async def restart(self, name: str, *, wiped: bool = False) -> None:
        """Start a process again that was killed."""
        await self.stopped(name)
        if wiped:
            for path in (self._folder / name).glob("*"):
                path.unlink()
        role, zone = self._roles[name]
        self.start(name, role, zone, first=False)

    def close(self) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def log(self, name: str) -> str:
        return (self._folder / f"{name}.log").read_text(encoding="utf-8")

    async def add_engine(self, service: str, zone: str, **behaviour: Any) -> Engine:
        """Start an engine that beats to control."""
        number = len(self.engines) + 1
        address = f"{self._network}.{self._net + 1}.{number}:{self._ports['front']}"
        engine = Engine(
            name=f"i-{number}",
            service=service,
            address=address,
            zone=zone,
            born=1000 + number,
            **behaviour,
        )
        listener = HttpListener(
            address=address,
            handler=engine.handle,
            clock=anyio.current_time,
            silence_s=2.0,
            max_connections=64,
        )
        self.engines.append(engine)
        self._tasks.start_soon(self._live, engine, listener)
        return engine

    async def _live(self, engine: Engine, listener: HttpListener) -> None:
        """Serve and beat until the engine crashes."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.run)
            tasks.start_soon(self._beat, engine)
            await engine.crashed.wait()
            tasks.cancel_scope.cancel()

    async def _beat(self, engine: Engine) -> None:
        while True:
            await self.beat(engine)
            await anyio.sleep(BEAT_S)

    async def beat(self, engine: Engine) -> bool:
        """Send one heartbeat to the first control instance that takes it; return whether one did."""
        engine.sequence += 1
        said = {
            "service": engine.service,
            "address": self.announced(engine),
            "zone": engine.zone,
            "slots": 8,
            "state": engine.state,
            "warmup-left-ms": 0,
            "seq": engine.sequence,
            "born": engine.born,
        }
        path = f"/v1/instances/{engine.name}/heartbeat"
        for name, (role, _) in self._roles.items():
            if role == "control" and (await self.call(name, "POST", path, said)).status == 200:
                return True
        return False

    async def call(self, name: str, method: str, path: str, said: Any = None) -> Reply:
        """Call a control instance; status 0 where nothing answers."""
        body = b"" if said is None else json.dumps(said).encode()
        return await self._exchange(self.reach(name, "control"), method, path, (), body)

    async def order(self, method: str, path: str, said: Any = None) -> Reply:
        """Send an operator's order to one instance after the other until one takes it."""
        with anyio.fail_after(PATIENCE_S):
            while True:
                for name, (role, _) in self._roles.items():
                    if role != "control":
                        continue
                    reply = await self.call(name, method, path, said)
                    if reply.status and reply.status < 500:
                        return reply
                await anyio.sleep(0.05)

    async def ready(self, name: str) -> bool:
        address = self.address(name, "ready")
        return (await self._exchange(address, "GET", "/v1/ready", (), b"")).status == 200

    async def until_ready(self, *names: str) -> None:
        with anyio.fail_after(PATIENCE_S):
            for name in names:
                while not await self.ready(name):
                    await anyio.sleep(0.05)

    async def lookup(self, name: str, region: str) -> Reply:
        path = f"/v1/resolve?name={HOST}&region={region}&zone="
        return await self._exchange(self.address(name, "lookup"), "GET", path, (), b"")

    async def metrics(self, name: str, path: str) -> Reply:
        address = f"{self.ip(name)}:{self._ports['peer'] + 1}"
        return await self._exchange(address, "GET", path, (), b"")

    async def ask(
        self,
        name: str,
        path: str,
        *,
        body: bytes = b"prompt",
        deadline_ms: int = 4000,
        request_id: str = "",
        more: Headers = (),
    ) -> tuple[str, Reply]:
        """Send a caller's request; return its id and the answer."""
        request_id = request_id or f"r{next(self._ids)}"
        fields = (
            (b"X-Figpaddle-Request-Id", request_id.encode()),
            (b"X-Figpaddle-Deadline-Ms", str(deadline_ms).encode()),
            *more,
        )
        address = self.reach(name, "front")
        return request_id, await self._exchange(address, "POST", path, fields, body)

    async def open(self, name: str) -> Channel:
        """Return a caller's connection for bytes of the test's own."""
        return await connect(self.reach(name, "front"), timeout_s=1.0, silence_s=2.0)

    async def _exchange(
        self, address: str, method: str, path: str, fields: Any, body: bytes
    ) -> Reply:
        try:
            connection = await self._pool.open(address, timeout_s=0.5)
        except ConnectFailedError:
            return Reply(status=0, headers={}, body=b"")
        try:
            return await _over(connection, method, path, fields, body)
        except (TransportError, TimeoutError):
            return Reply(status=0, headers={}, body=b"")
        finally:
            connection.close()


async def _over(
    connection: BackendConnection, method: str, path: str, fields: Any, body: bytes
) -> Reply:
    headers = (
        (b"Host", HOST.encode()),
        (b"Content-Length", str(len(body)).encode()),
        *fields,
    )
    with anyio.fail_after(PATIENCE_S):
        await connection.send(
            method=method.encode(), target=path.encode(), headers=headers, body=body
        )

        def any_answer(head: AnswerHead) -> bool:
            return True

        head = await connection.read_head(any_answer)
        data = b"".join([piece async for piece in connection.read_body()])
    said = {name.decode().lower(): value.decode() for name, value in head.headers}
    return Reply(status=head.status, headers=said, body=data)


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a stream, a resumable one, a write and a read."""

    def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
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
            **more,
        }

    routes = [
        route("chat", "streaming", MODEL),
        route("plan", "streaming", MODEL, **{"max-attempts": 2, "resumable": True}),
        route("home", "streaming", MODEL, **{"home-regions": ["north"]}),
        route("hold", "non_idempotent", PLAIN),
        route("read", "idempotent", PLAIN, **{"max-attempts": 2}),
    ]
    services = [
        {"name": MODEL, "max-conns": 60, "engine": {"slots": 8, "kv-capacity-tokens": 90000}},
        {"name": PLAIN, "max-conns": 60},
    ]
    return {"version": version, "routes": routes, "services": services, "limits": {}, **changes}


@contextlib.asynccontextmanager
async def deployment(
    *, engines: bool = True, make: Callable[..., Deployment] = Deployment
) -> AsyncIterator[Deployment]:
    """Start three control instances and three entries in two regions, configured and ready."""
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as tasks:
            one = make(folder=pathlib.Path(folder), tasks=tasks)
            try:
                for number, zone in ((1, "n-a"), (2, "n-a"), (3, "s-a")):
                    one.start(f"m-{number}", "control", zone)
                for number, zone in ((4, "n-a"), (5, "n-a"), (6, "s-a")):
                    one.start(f"m-{number}", "entry", zone)
                if engines:
                    for zone in ZONES:
                        await one.add_engine(MODEL, zone)
                        await one.add_engine(PLAIN, zone)
                await one.order("POST", "/v1/config/put", configuration())
                await one.until_ready("m-4", "m-5", "m-6")
                yield one
            finally:
                one.close()
                tasks.cancel_scope.cancel()
