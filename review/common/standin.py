"""A small deployment for the review's scripts: the project's programs, and stand-ins around them.

The programs are started with the commands of deploy/system.toml. Engines, the operator and callers
are plain asyncio code that speaks HTTP/1.1 as the users' pages describe it.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
#: Region of each zone, as in the deployment hanbit-intake.
ZONES = {"seoul-a": "kr-seoul", "busan-a": "kr-busan", "daejeon-a": "kr-daejeon"}
HOST = "intake.example"
SERVICE = "records"
#: Prefixes of the paths of requests that an engine answers with a stream of events.
STREAM_PREFIXES = ("/review/", "/chat/")
#: Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Time after which an operator or an engine tries another node, seconds (PROTOCOL: a second).
CALL_TIMEOUT_S = 1.0
HEARTBEAT_S = 1.2
BOUNDS = {
    "seed-lag-s": "3",
    "reuse-after-s": "2",
    "contact-ms": "6000",
    "ack-ms": "8000",
    "catch-up-s": "4",
    "drain-ms": "4000",
    "grace-s": "8",
    "loss-slack-ms": "200",
    "config-apply-ms": "4000",
    "rollback-slack-ms": "250",
    "max-skew-ms": "10000",
    "retry-budget-ratio": "0.2",
    "budget-window-s": "10",
    "retry-budget-slack": "58",
    "cold-overshoot": "1.5",
    "cold-slack": "3",
    "evacuate-ms": "5000",
    "recovery-s": "12",
    "ttl_max_s": "5",
}


class CannotRunError(Exception):
    """The case could not be played."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """An answer; status 0 if there was none, and ``whole`` tells whether its body is complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


NO_ANSWER = Answer(status=0, headers={}, body=b"", whole=False)


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        print(line, file=self._file, flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the fields of a message; raises IncompleteReadError."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> tuple[bytes, bool]:
    """Return the body of a message and whether it is complete."""
    body = b""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += piece[:-2]
        return await reader.readexactly(int(fields.get("content-length", "0"))), True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def call(
    address: str,
    method: str,
    path: str,
    *,
    headers: Iterable[tuple[str, str]] = (),
    body: bytes = b"",
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer:
    """Send a request on a new connection and return the answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            await writer.drain()
            first, fields = await read_head(reader)
            data, whole = await read_body(reader, fields)
        return Answer(status=int(first.split()[1]), headers=fields, body=data, whole=whole)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return NO_ANSWER
    finally:
        if writer is not None:
            writer.close()


@dataclasses.dataclass(kw_only=True)
class Engine:
    """A sound server of one service."""

    name: str
    zone: str
    address: str
    slots: int = 6
    work_s: float = 0.0225
    version: str = "v1"
    born: int = 0
    sequence: int = 0
    state: str = "ready"
    #: Events of a stream, and the time between two of them, seconds.
    events: int = 42
    event_interval_s: float = 0.25
    #: When it last worked on each stream.
    worked_at: dict[str, float] = dataclasses.field(default_factory=dict)
    #: Time and id of each request that it ran.
    runs: list[tuple[float, str]] = dataclasses.field(default_factory=list)


class Deployment:
    """Processes of the project, engines, and the operator."""

    def __init__(self, *, folder: pathlib.Path, record: Record) -> None:
        self._folder = folder
        self.record = record
        rng = random.SystemRandom()
        self._network = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}"
        base = rng.randrange(12000, 28000)
        self._ports = {name: base + 11 * i for i, name in enumerate(("front", "ready", "control"))}
        self._ports["directory"], self._ports["peer"] = base + 33, base + 44
        self._ports["engine"] = base + 55
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self._numbers: dict[str, int] = {}
        self._zones: dict[str, str] = {}
        self._role_of: dict[str, str] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.seeds: list[str] = []
        self.engines: list[Engine] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self._ids = itertools.count(1)

    def ip(self, name: str) -> str:
        """Return the address of a machine."""
        number = self._numbers.setdefault(name, len(self._numbers) + 1)
        return f"{self._network}.{number}"

    def address(self, name: str, port: str) -> str:
        """Return an address of a machine with its port."""
        return f"{self.ip(name)}:{self._ports[port]}"

    def names(self, role: str) -> list[str]:
        """Return the machines of a role that were started."""
        return [name for name, of in self._role_of.items() if of == role]

    def data_folder(self, name: str) -> pathlib.Path:
        """Return the disk folder of a core machine."""
        return self._folder / f"data-{name}"

    def settings(self, name: str, role: str, zone: str, *, first: bool) -> pathlib.Path:
        """Write the settings file of a machine and return its path."""
        control = role == "control"
        lines = {
            "node-name": name,
            "role": role,
            "machine-class": "core" if control else "front",
            "serves": ",".join(self._roles[role]["serves"]),
            "ip": self.ip(name),
            "zone": zone,
            "region": ZONES[zone],
            **{f"zones.{key}": region for key, region in ZONES.items()},
            "internal-ports": f"{self._ports['peer']},{self._ports['peer'] + 10}",
            "seeds": ",".join(self.address(seed, "control") for seed in self.seeds),
            "bootstrap": "true" if first else "false",
            "counts-as-loss": "true" if control else "false",
            "limits.cores": "1",
            "limits.memory-mb": "296",
            "limits.max-fds": "4096",
            "heartbeat-ms": str(int(HEARTBEAT_S * 1000)),
            "fault-tolerance.machines": "1",
            "fault-tolerance.zones": "1",
            "fault-tolerance.regions": "1",
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
        }
        if control:
            lines["listen.control"] = self.address(name, "control")
            lines["data-dir"] = str(self.data_folder(name))
            self.data_folder(name).mkdir(exist_ok=True)
        else:
            lines["listen.front"] = self.address(name, "front")
            lines["listen.readiness-addr"] = self.address(name, "ready")
            lines["listen.directory"] = self.address(name, "directory")
        path = self._folder / f"{name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in lines.items()), "utf-8")
        return path

    def start(self, name: str, role: str, zone: str, *, first: bool = True) -> None:
        """Start the process of a machine with the command of the deploy file."""
        self._role_of[name], self._zones[name] = role, zone
        settings = self.settings(name, role, zone, first=first)
        words = self._roles[role]["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {
            "FIGPADDLE_CONFIG": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note(f"{name} ({role}, {zone}) started")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        self.record.note(f"{name} gets {number.name}")
        self._processes[name].send_signal(number)

    def log(self, name: str) -> str:
        """Return what a process has logged."""
        return (self._folder / f"{name}.log").read_text("utf-8", "replace")

    def empty_disk(self, name: str) -> None:
        """Empty the data folder of a machine, whose process has ended: its disk is lost."""
        self.record.note(f"{name} loses its disk")
        for path in self.data_folder(name).glob("*"):
            path.unlink()

    def ended(self) -> list[str]:
        """Return the machines whose process has ended."""
        return [name for name, process in self._processes.items() if process.poll() is not None]

    async def wait_for_exit(self, name: str, timeout_s: float = 12.0) -> int:
        """Wait for the end of a process and return its exit code."""
        ends_at = time.monotonic() + timeout_s
        while (code := self._processes[name].poll()) is None:
            if time.monotonic() > ends_at:
                raise CannotRunError(f"{name} did not end")
            await asyncio.sleep(0.02)
        return code

    def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    async def operator(
        self,
        method: str,
        path: str,
        document: Any = None,
        *,
        order: list[str] | None = None,
        timeout_s: float = 20.0,
    ) -> tuple[str, Answer]:
        """Send an order to one control node after another until one answers it clearly.

        ``order`` names the nodes that are called first; the operator may pick any.
        """
        body = b"" if document is None else json.dumps(document).encode()
        names = [*(order or []), *(n for n in self.names("control") if n not in (order or []))]
        ends_at = time.monotonic() + timeout_s
        pause_s = 0.05
        for name in itertools.cycle(names):
            if time.monotonic() > ends_at:
                raise CannotRunError(f"no acknowledgement of {method} {path}")
            answer = await call(self.address(name, "control"), method, path, body=body)
            self.record.note(f"operator: {method} {path} at {name} -> {answer.status or 'nothing'}")
            if 200 <= answer.status < 300 or 400 <= answer.status < 500:
                return name, answer
            await asyncio.sleep(pause_s)
            pause_s = min(0.5, 1.5 * pause_s)
        raise AssertionError

    async def ready(self, name: str) -> bool:
        """Return whether an entry says that it is ready."""
        return (await call(self.address(name, "ready"), "GET", "/v1/ready")).status == 200

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], what: str, timeout_s: float = 25.0
    ) -> None:
        """Wait for a condition; raises CannotRunError if it doesn't come true in time."""
        ends_at = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > ends_at:
                raise CannotRunError(f"not in time: {what}")
            await asyncio.sleep(0.1)

    async def send(
        self,
        entry: str,
        path: str,
        *,
        body: bytes = b"{}",
        deadline_ms: int = 6000,
        request_id: str = "",
    ) -> tuple[str, Answer]:
        """Send a caller's request to an entry; return its id and the answer."""
        request_id = request_id or f"{next(self._ids):016x}"
        headers = (
            ("X-Figpaddle-Request-Id", request_id),
            ("X-Figpaddle-Deadline-Ms", str(deadline_ms)),
        )
        self.record.note(f"caller: {request_id} POST {path} sent to {entry}")
        answer = await call(
            self.address(entry, "front"),
            "POST",
            path,
            headers=headers,
            body=body,
            timeout_s=deadline_ms / 1000,
        )
        what = f"{answer.status}{'' if answer.whole else ' (incomplete)'}"
        self.record.note(f"caller: {request_id} <- {what if answer.status else 'nothing'}")
        return request_id, answer

    async def add_engine(self, zone: str, **options: Any) -> Engine:
        """Start an engine, which reports itself to the control nodes."""
        number = len(self.engines) + 1
        engine = Engine(
            name=f"i-{number:08x}",
            zone=zone,
            address=f"{self._network}.{100 + number}:{self._ports['engine']}",
            born=time.time_ns() // 1_000_000,
            **options,
        )
        self.engines.append(engine)
        host, _, port = engine.address.rpartition(":")
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(engine, reader, writer), host, int(port)
        )
        self._tasks.append(asyncio.create_task(server.serve_forever()))
        self._tasks.append(asyncio.create_task(self._report(engine)))
        return engine

    async def _report(self, engine: Engine) -> None:
        first = random.randrange(100)
        while True:
            await self.heartbeat(engine, first)
            await asyncio.sleep(HEARTBEAT_S)

    async def heartbeat(self, engine: Engine, first: int = 0) -> str:
        """Send a heartbeat to one control node after another; return the one that acknowledged it."""
        engine.sequence += 1
        document = {
            "service": SERVICE,
            "address": engine.address,
            "zone": engine.zone,
            "version": engine.version,
            "slots": engine.slots,
            "state": engine.state,
            "warmup-left-ms": 0,
            "seq": engine.sequence,
            "born": engine.born,
        }
        body = json.dumps(document).encode()
        names = self.names("control")
        for index in range(len(names)):
            name = names[(first + index) % len(names)]
            path = f"/v1/instances/{engine.name}/heartbeat"
            answer = await call(self.address(name, "control"), "POST", path, body=body)
            if 200 <= answer.status < 300:
                return name
        return ""

    async def _serve(
        self, engine: Engine, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    first, fields = await read_head(reader)
                    body, whole = await read_body(reader, fields)
                    if not whole:
                        break
                    method, path = first.split()[:2]
                    await self._answer(engine, method, path, fields, body, writer)
        finally:
            writer.close()

    async def _stream(
        self,
        engine: Engine,
        request_id: str,
        path: str,
        fields: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        # A path may end with the number of events, as the length of an answer follows from its request.
        last = path.rpartition("/")[2]
        events = int(last) if last.isdigit() and path.count("/") > 2 else engine.events
        head = [
            "HTTP/1.1 200 OK",
            f"X-Figpaddle-Request-Id: {request_id}",
            f"X-Figpaddle-Server-Seal: {engine.name}.{request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        first = int(fields.get("last-event-id", "0")) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(engine.event_interval_s)
            if writer.transport.is_closing():
                self.record.note(f"engine {engine.name}: {request_id} cut off at event {number}")
                return
            event = f"id: {number}\ndata: {engine.name} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            engine.worked_at[request_id] = time.monotonic()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.note(f"engine {engine.name}: {request_id} is complete")

    async def _answer(
        self,
        engine: Engine,
        method: str,
        path: str,
        fields: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = fields.get("x-figpaddle-request-id", "")
        lines = [f"X-Figpaddle-Request-Id: {request_id}"] if request_id else []
        expected = fields.get("x-figpaddle-expect-instance", engine.name)
        if expected != engine.name:
            status, data = "421 Misdirected Request", b""
        elif path == "/health":
            status, data = "200 OK", b""
            lines += [f"X-Figpaddle-Instance-Id: {engine.name}"]
        elif not request_id:
            status, data = "400 Bad Request", b""
            lines += ["X-Figpaddle-Not-Executed: no id"]
        else:
            engine.runs.append((time.monotonic(), request_id))
            self.record.note(f"engine {engine.name} ({engine.zone}) runs {request_id} {path}")
            if path.startswith(STREAM_PREFIXES):
                await self._stream(engine, request_id, path, fields, writer)
                return
            await asyncio.sleep(engine.work_s)
            status, data = "200 OK", f"{engine.name} {request_id} {len(body)}".encode()
            lines += [f"X-Figpaddle-Server-Seal: {engine.name}.{request_id}"]
        lines = [f"HTTP/1.1 {status}", *lines, f"Content-Length: {len(data)}", "", ""]
        writer.write("\r\n".join(lines).encode() + data)
        await writer.drain()


async def read_stream(
    address: str,
    path: str,
    request_id: str,
    *,
    deadline_ms: int,
    extra_lines: tuple[str, ...] = (),
) -> tuple[int, list[int], bool]:
    """Send a request for a stream; return the status, the ids of its events, and whether it is whole."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Figpaddle-Request-Id: {request_id}",
        f"X-Figpaddle-Deadline-Ms: {deadline_ms}",
        *extra_lines,
        "Content-Length: 2",
    ]
    status, ids = 0, []
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            writer.write("\r\n".join([*lines, "", "{}"]).encode())
            first, fields = await read_head(reader)
            status = int(first.split()[1])
            if fields.get("transfer-encoding", "").lower() != "chunked":
                _, whole = await read_body(reader, fields)
                return status, ids, whole
            text = b""
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                text += (await reader.readexactly(size + 2))[:-2]
                *events, text = text.split(b"\n\n")
                ids += [int(event.split(b"\n")[0].removeprefix(b"id: ")) for event in events]
            return status, ids, not text
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return status, ids, False
    finally:
        writer.close()


def route(name: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the service."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 6000,
        "target-latency-ms": 425,
        "priority": 1,
        "service": SERVICE,
        "max-attempts": 2 if kind == "idempotent" else 1,
        "sticky": False,
        "resumable": False,
        "home-regions": [],
        **changes,
    }


STREAM_ROUTE = {
    "timeout-ms": 12000,
    "target-latency-ms": 1000,
    "target-gap-ms": 300,
    "max-attempts": 2,
    "resumable": True,
}


def configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration with an idempotent and a non-idempotent route."""
    return {
        "version": version,
        "routes": [
            route("lookup", "idempotent"),
            route("filing", "non_idempotent"),
            route("review", "streaming", **STREAM_ROUTE),
            route("chat", "streaming", **{**STREAM_ROUTE, "max-attempts": 1, "resumable": False}),
        ],
        "services": [
            {
                "name": SERVICE,
                "health-path": "/health",
                "max-conns": 110,
                "protocol": "h1",
                "tls": False,
                "warmup-s": 0.0,
                "cold-per-s": 0.0,
            }
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        **changes,
    }


def start_all(deployment: Deployment, *, cores: dict[str, str], fronts: dict[str, str]) -> None:
    """Start all machines, which are given with their zones, at the same moment."""
    for name in (*cores, *fronts):
        deployment.ip(name)
    by_zone = {zone: name for name, zone in reversed(cores.items())}
    deployment.seeds = sorted(by_zone.values(), key=list(cores).index)
    while len(deployment.seeds) < min(3, len(cores)):
        deployment.seeds.append(next(n for n in cores if n not in deployment.seeds))
    for name, zone in cores.items():
        deployment.start(name, "control", zone)
    for name, zone in fronts.items():
        deployment.start(name, "entry", zone)


async def begin(
    deployment: Deployment, *, cores: dict[str, str], fronts: dict[str, str], engines: list[str]
) -> None:
    """Start a deployment and wait until it serves; machines are given with their zones."""
    start_all(deployment, cores=cores, fronts=fronts)
    await asyncio.sleep(1.0)
    for zone in engines:
        await deployment.add_engine(zone)
    await deployment.operator("POST", "/v1/config/put", configuration(1))
    for name in fronts:

        async def is_ready(name: str = name) -> bool:
            return await deployment.ready(name)

        await deployment.wait_until(is_ready, f"{name} is ready")


def run_case(folder: pathlib.Path, play: Callable[[Deployment, bool], Awaitable[bool]]) -> int:
    """Play a case and return its exit code.

    ``play`` gets the deployment and whether the disruption is to be played, and returns whether the
    rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.note(f"trouble: {'yes' if trouble else 'no'}")

    async def main() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(folder=pathlib.Path(temporary), record=record)
            try:
                async with asyncio.timeout(110):
                    held = await play(deployment, trouble)
            except (CannotRunError, TimeoutError, OSError) as error:
                record.note(f"the case could not run: {error!r}")
                return NOT_RUN
            finally:
                deployment.close()
                if keep := os.environ.get("KEEP_LOGS"):
                    for path in pathlib.Path(temporary).glob("*.log"):
                        (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
        record.note(f"verdict: the rule {'held' if held else 'was broken'}")
        return HELD if held else BROKEN

    code = asyncio.run(main())
    print(f"exit code {code}; see {folder.name}/record.txt")
    return code


def free_port(host: str) -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])
