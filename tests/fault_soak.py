"""A randomized soak test: the real programs under load while faults are injected.

One seed determines the faults, their targets and times, and the requests of callers. Faults
overlap. Once all have ended, the deployment must serve every route again. To run it by hand::

    PYTHONPATH=. python tests/fault_soak.py --first 1 --seeds 50
"""

from __future__ import annotations

import argparse
import contextlib
import functools
import itertools
import pathlib
import random
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from figpaddle.errors import ConnectFailedError, TransportError
from figpaddle.http1 import ConnectionPool, Headers, HttpClientConnection
from tests.fault_proxy import FaultProxy
from tests.platform_standin import (
    HOST,
    MODEL_SERVICE,
    PROMPT_PARTS_HEADER,
    ZONES,
    Engine,
    PlatformDeployment,
    configuration,
    platform_deployment,
)
from tests.soak_record import (
    BrittlePeriod,
    CommandPeriod,
    FaultPeriod,
    LimitPeriod,
    SoakRecord,
    SoakRequest,
    version_of,
    violations,
    whole_events,
)

#: Period in which faults start, seconds.
FAULT_WINDOW_S = 10.0
#: Number of faults in one run.
FAULT_COUNT = 10
#: Failures that engines draw at random, "slow" with twice the probability of any other, and the
#: fraction of requests that get one.
ENGINE_FAILURES = ("full", "reset", "error", "unavailable", "midway", "slow", "slow")
ENGINE_FAILURE_SHARE = 0.15
#: Longest time after the last fault until every route is served again, seconds.
RECOVERY_S = 15.0
#: Fraction of requests whose callers disconnect early.
ABANDONED_SHARE = 0.15
#: Number of concurrent callers.
CALLER_COUNT = 10
#: Time after its deadline at which a request that has not ended counts as hung, seconds.
HANG_TIMEOUT_S = 6.0
#: Time within which callers detect the exit of a process, seconds.
EXIT_NOTICE_S = 0.3
#: Events of a stream and the time between them, seconds.
EVENT_COUNT, EVENT_INTERVAL_S = 12, 0.04
#: Part that the prompts of all callers share, and parts that crash engines.
SHARED_PART, CRASH_PARTS = "5c1e07a2", ("bad00001", "bad00002")
#: Requests with each part that crashes engines, and the time between them, seconds.
CRASHING_REQUESTS, CRASHING_INTERVAL_S = 12, 0.35
#: Path that crashes engines, with and without a query, and its requests, sent in pairs.
CRASH_PATH, CRASHING_READS = "/read/crash", 16
#: Versions of the engines' software; events tell all but the first.
VERSION_TEXTS = {"v1": "", "v2": " v2"}
#: Fraction of the broken resumable streams that their callers take up.
TAKEN_UP_SHARE = 0.8
#: Time after which an engine that such a part crashed is replaced, seconds.
REPLACEMENT_S = 1.0
#: Troubles of each run beside its faults, drawn apart so that a seed keeps its faults.
TROUBLE_COUNT = 4
#: Requests a second that a cold engine takes, and the time for which one is cold, seconds.
COLD_PER_S, COLD_S = 3.0, 3.0
#: Time from the first statement until brittle engines may fall over, seconds.
BRITTLE_NOTICE_S = 6.0
#: Time within which a process that was just started ignores or handles SIGHUP, seconds.
SIGHUP_NOTICE_S = 1.0
#: Interval at which the lateness of the test's own event loop is measured, seconds.
TURN_CHECK_INTERVAL_S = 0.02
CONTROLS, ENTRIES = ("m-1", "m-2", "m-3"), ("m-4", "m-5", "m-6")
ROUTES = ("chat", "plan", "hold", "read")


class SoakDeployment(PlatformDeployment):
    """A deployment whose connections from callers and operators and to engines pass a proxy."""

    def __init__(
        self, *, folder: pathlib.Path, tasks: anyio.abc.TaskGroup, proxy: FaultProxy
    ) -> None:
        super().__init__(folder=folder, tasks=tasks)
        self._proxy = proxy
        self._proxied_addresses: dict[tuple[str, str], str] = {}
        proxy.identify = self._identify

    def connect_address(self, name: str, port: str) -> str:
        return self._proxied_address(name, port, self.address(name, port))

    def advertised_address(self, engine: Engine) -> str:
        return self._proxied_address(engine.name, "front", engine.address)

    def _identify(self, destination: str, peer: tuple[str, int], own: tuple[str, int]) -> str:
        """Return the process that connects to an engine."""
        return "" if destination in self._roles else self.owner_of_end(peer, own)

    def truncate_last_records(self, name: str) -> None:
        """Append half a record to each file, as a write interrupted by a power loss leaves it."""
        for path in (self._folder / name).glob("*.records"):
            with path.open("ab") as file:
                file.write(b"FPR1\x00\x00\x01\x00torn")

    def rewrite_settings(self, name: str) -> None:
        """Rewrite the settings file of a process, as an operator's tool does before a SIGHUP."""
        settings = self._folder / f"{name}.conf"
        text = settings.read_text(encoding="utf-8")
        settings.write_text(f"{text}\n", encoding="utf-8")

    def save_logs(self, folder: pathlib.Path, lines: list[str]) -> None:
        """Copy the logs to ``folder`` and write ``lines`` to a file beside them."""
        folder.mkdir(parents=True, exist_ok=True)
        self._write_notes()
        for path in self._folder.glob("*.log"):
            (folder / path.name).write_bytes(path.read_bytes())
        (folder / "findings.txt").write_text("\n".join(lines), encoding="utf-8")

    def has_exited(self, name: str) -> bool:
        return self._processes[name].poll() is not None

    def _proxied_address(self, name: str, port: str, address: str) -> str:
        if (name, port) not in self._proxied_addresses:
            self._proxied_addresses[name, port] = self._proxy.add(name, port)
            self._proxy.set_target(name, port, address)
        return self._proxied_addresses[name, port]


class SoakRun:
    """One run of the soak test with one seed."""

    def __init__(
        self,
        *,
        seed: int,
        platform: SoakDeployment,
        proxy: FaultProxy,
        pool: ConnectionPool,
    ) -> None:
        self._rng = random.Random(seed)
        self._failure_rng = random.Random(seed)
        self._trouble_rng = random.Random(f"{seed}/troubles")
        self._faults_ended = False
        self._platform = platform
        self._proxy = proxy
        self._pool = pool
        self._ids = itertools.count(1)
        self._version_numbers = itertools.count(3)
        self._change_lock = anyio.Lock()
        self._wipe_lock = anyio.Lock()
        self._restarting: set[str] = set()
        self._load_stopped = False
        self._evacuating = False
        #: A broken stream that the next request takes up.
        self._broken: SoakRequest | None = None
        self.record = SoakRecord()
        #: Descriptions of the faults injected, and a summary at the end.
        self.history: list[str] = []
        self._fault_kinds: dict[str, Callable[[random.Random, float], Awaitable[None]]] = {
            "kill": self._kill,
            "wipe": self._wipe,
            "power": self._power,
            "stop": self._stop,
            "freeze": self._freeze,
            "reload": self._reload,
            "delay": self._delay,
            "reset": self._reset,
            "one_way": self._one_way,
            "silence": self._silence,
            "crash": self._crash,
            "failing": self._failing,
            "drain": self._drain,
            "evacuate": self._evacuate,
            "changes": self._changes,
        }

        self._trouble_kinds: dict[str, Callable[[random.Random, float], Awaitable[None]]] = {
            "crashing_parts": self._crashing_parts,
            "limit": self._limit,
            "crashing_reads": self._crashing_reads,
            "release": self._release,
            "cut_off": self._cut_off,
            "zone": self._zone,
            "brittle": self._brittle,
        }

    def configuration(self, version: int) -> dict[str, Any]:
        """Return a configuration with two attempts on every route, also for at-most-once requests."""
        document = configuration(version)
        for route in document["routes"]:
            route["max-attempts"] = 2
        for service in document["services"]:
            service.update({"cold-per-s": COLD_PER_S, "warmup-s": COLD_S})
        return document

    def configure_engines(self) -> None:
        """Set the stream length and the random failures of the engines that are running."""
        for engine in self._platform.engines:
            engine.event_count, engine.event_interval_s = EVENT_COUNT, EVENT_INTERVAL_S
            engine.draw_failure = self._draw_failure
            engine.crash_parts = frozenset(CRASH_PARTS)
            engine.crash_paths = frozenset({CRASH_PATH})

    async def run(self) -> list[str]:
        """Run the load and the faults; return the invariants violated, one line each."""
        async with anyio.create_task_group() as load:
            for number in range(CALLER_COUNT):
                load.start_soon(self._call, random.Random(self._rng.random()), number)
            load.start_soon(self._read_configurations)
            load.start_soon(self._replace_ended_engines)
            load.start_soon(self._measure_lateness)
            async with anyio.create_task_group() as faults:
                for _ in range(FAULT_COUNT):
                    kind = self._rng.choice(list(self._fault_kinds))
                    start_after_s = self._rng.uniform(0.0, FAULT_WINDOW_S)
                    duration_s = self._rng.uniform(0.4, 4.0)
                    rng = random.Random(self._rng.random())
                    faults.start_soon(self._apply_fault, kind, start_after_s, duration_s, rng)
                kinds = list(self._trouble_kinds)
                self._trouble_rng.shuffle(kinds)
                for kind in itertools.islice(itertools.cycle(kinds), TROUBLE_COUNT):
                    start_after_s = self._trouble_rng.uniform(0.0, FAULT_WINDOW_S)
                    duration_s = self._trouble_rng.uniform(0.4, 4.0)
                    rng = random.Random(self._trouble_rng.random())
                    faults.start_soon(self._apply_fault, kind, start_after_s, duration_s, rng)
            self._proxy.heal()
            self._faults_ended = True
            await self._recover()
            self._load_stopped = True
            load.cancel_scope.cancel()
        await self._check_final_state()
        self.history.append(self.record.summary())
        return violations(self.record, self._platform.engines)

    async def _apply_fault(
        self, kind: str, start_after_s: float, duration_s: float, rng: random.Random
    ) -> None:
        await anyio.sleep(start_after_s)
        self.history.append(f"{start_after_s:.2f} s {kind} for {duration_s:.2f} s")
        await {**self._fault_kinds, **self._trouble_kinds}[kind](rng, duration_s)

    # Process faults.

    async def _kill(self, rng: random.Random, duration_s: float) -> None:
        await self._restart_after(
            rng.choice(CONTROLS + ENTRIES), duration_s, truncate=rng.random() < 0.5
        )

    async def _wipe(self, rng: random.Random, duration_s: float) -> None:
        name = rng.choice(CONTROLS)
        # One disk at a time: the next disk may be lost only once this voter has recovered its state.
        async with self._wipe_lock:
            before = self._recovery_count(name)
            if not await self._restart_after(name, duration_s, wipe=True):
                return
            with anyio.move_on_after(RECOVERY_S):
                while self._recovery_count(name) == before:
                    await anyio.sleep(0.1)
                return
            self.record.findings.append(f"{name} did not vote again after it lost its disk")

    async def _power(self, rng: random.Random, duration_s: float) -> None:
        async with anyio.create_task_group() as tasks:
            for name in CONTROLS:
                tasks.start_soon(self._restart_after, name, duration_s)

    async def _stop(self, rng: random.Random, duration_s: float) -> None:
        name = rng.choice(CONTROLS + ENTRIES)
        if name in self._restarting:
            return
        self._restarting.add(name)
        self._platform.signal(name, signal.SIGTERM)
        await self._platform.wait_for_exit(name)
        # A planned stop completes its in-flight requests, so only the time after it is a fault.
        stopped_at = anyio.current_time() + EXIT_NOTICE_S
        await anyio.sleep(duration_s)
        await self._platform.restart(name)
        self._record_fault_period(name, stopped_at)
        self._restarting.discard(name)

    async def _freeze(self, rng: random.Random, duration_s: float) -> None:
        name = rng.choice(CONTROLS + ENTRIES)
        started_at = anyio.current_time()
        self._platform.signal(name, signal.SIGSTOP)
        await anyio.sleep(duration_s)
        self._platform.signal(name, signal.SIGCONT)
        self._record_fault_period(name, started_at)

    async def _reload(self, rng: random.Random, duration_s: float) -> None:
        for _ in range(4):
            name = rng.choice(CONTROLS + ENTRIES)
            # Before the first lines of the program have run, the signal ends its interpreter.
            with anyio.move_on_after(SIGHUP_NOTICE_S), contextlib.suppress(FileNotFoundError):
                while not self._platform.handles_sighup(name):
                    await anyio.sleep(0.005)
            if name not in self._restarting:
                self._platform.rewrite_settings(name)
                self._platform.signal(name, signal.SIGHUP)
            await anyio.sleep(duration_s / 4)

    async def _restart_after(
        self, name: str, duration_s: float, *, wipe: bool = False, truncate: bool = False
    ) -> bool:
        if name in self._restarting:
            return False
        self._restarting.add(name)
        started_at = anyio.current_time()
        self._platform.signal(name, signal.SIGKILL)
        await anyio.sleep(duration_s)
        if truncate:
            self._platform.truncate_last_records(name)
        await self._platform.restart(name, wipe=wipe)
        self._record_fault_period(name, started_at)
        self._restarting.discard(name)
        return True

    # Network faults.

    async def _delay(self, rng: random.Random, duration_s: float) -> None:
        name = self._draw_process(rng)
        started_at = anyio.current_time()
        self._proxy.delay("*", name, rng.uniform(0.02, 0.4))
        await anyio.sleep(duration_s)
        self._proxy.delay("*", name, 0.0)
        self._record_fault_period(name, started_at)

    async def _reset(self, rng: random.Random, duration_s: float) -> None:
        name = self._draw_process(rng)
        started_at = anyio.current_time()
        for _ in range(3):
            self._proxy.abort_connections("*", name)
            await anyio.sleep(duration_s / 3)
        self._record_fault_period(name, started_at)

    async def _one_way(self, rng: random.Random, duration_s: float) -> None:
        name = self._draw_process(rng)
        direction = ("*", name) if rng.random() < 0.5 else (name, "*")
        started_at = anyio.current_time()
        self._proxy.cut(*direction, both=False)
        await anyio.sleep(duration_s)
        self._proxy.heal(*direction, both=False)
        self._record_fault_period(name, started_at)

    async def _silence(self, rng: random.Random, duration_s: float) -> None:
        name = self._draw_process(rng)
        started_at = anyio.current_time()
        self._proxy.silence_connections("*", name)
        await anyio.sleep(duration_s)
        self._record_fault_period(name, started_at)

    # Engine faults and drains, and commands of operators.

    async def _crash(self, rng: random.Random, duration_s: float) -> None:
        engine = await self._draw_engine(rng)
        started_at = anyio.current_time()
        engine.state = "crashed"
        engine.crashed.set()
        await anyio.sleep(duration_s)
        await self._add_engine(engine)
        self._record_fault_period(engine.name, started_at)

    async def _failing(self, rng: random.Random, duration_s: float) -> None:
        engine = await self._draw_engine(rng)
        started_at = anyio.current_time()
        engine.failure = rng.choice(("full", "reset", "error", "midway"))
        await anyio.sleep(duration_s)
        engine.failure = ""
        self._record_fault_period(engine.name, started_at)

    async def _drain(self, rng: random.Random, duration_s: float) -> None:
        engine = await self._draw_engine(rng)
        await self._add_engine(engine)
        engine.state = "draining"
        if not await self._platform.send_heartbeat(engine):
            return
        started_at = anyio.current_time()
        await anyio.sleep(duration_s + 6.0)
        period = CommandPeriod(
            subject=engine.name, started_at=started_at, ended_at=anyio.current_time()
        )
        self.record.drained.append(period)

    async def _evacuate(self, rng: random.Random, duration_s: float) -> None:
        zone = rng.choice(list(ZONES))
        # One evacuation at a time: with all zones evacuated, no request could be served.
        if self._evacuating:
            return
        self._evacuating = True
        if (
            await self._platform.send_operator_command("POST", f"/v1/evacuate/{zone}/start")
        ).status == 200:
            started_at = anyio.current_time()
            await anyio.sleep(duration_s + 5.0)
            period = CommandPeriod(
                subject=zone, started_at=started_at, ended_at=anyio.current_time()
            )
            self.record.evacuated.append(period)
            await self._platform.send_operator_command("POST", f"/v1/evacuate/{zone}/end")
        self._evacuating = False

    async def _changes(self, rng: random.Random, duration_s: float) -> None:
        for _ in range(4):
            async with self._change_lock:
                version = next(self._version_numbers)
                reply = await self._platform.send_operator_command(
                    "POST", "/v1/config/put", self.configuration(version)
                )
                if reply.status == 200:
                    self.record.acknowledged.append((anyio.current_time(), version))
            await anyio.sleep(duration_s / 4)

    # Troubles of engines: requests that crash them, limits that they name, and releases.

    async def _crashing_parts(self, rng: random.Random, duration_s: float) -> None:
        """Send requests with one or two parts that crash engines, no two alike, at any entry."""
        parts = CRASH_PARTS[: rng.choice((1, 2))]
        async with anyio.create_task_group() as tasks:
            for _ in range(CRASHING_REQUESTS):
                for part in parts:
                    tasks.start_soon(self._send_part, rng.choice(ENTRIES), part)
                await anyio.sleep(CRASHING_INTERVAL_S)

    async def _crashing_reads(self, rng: random.Random, duration_s: float) -> None:
        """Send requests without a body to one path that crashes engines, two at once."""
        async with anyio.create_task_group() as tasks:
            for number in range(CRASHING_READS):
                target = f"{CRASH_PATH}?page={number}" if rng.random() < 0.3 else CRASH_PATH
                entry = rng.choice(ENTRIES)
                tasks.start_soon(self._send_crashing_request, entry, target, CRASH_PATH)
                if number % 2:
                    await anyio.sleep(CRASHING_INTERVAL_S)

    async def _send_part(self, entry: str, part: str) -> None:
        await self._send_crashing_request(entry, "/chat/1", f"part {part}", part)

    async def _send_crashing_request(
        self, entry: str, target: str, subject: str, part: str = ""
    ) -> None:
        """Send a request that crashes engines by ``subject``, its path or a part of its prompt."""
        request_id = f"b{next(self._ids)}"
        request = SoakRequest(
            request_id=request_id,
            route=target.split("/")[1],
            entry=entry,
            body=request_id.encode() if part else b"",
            sent_at=anyio.current_time(),
            deadline_s=3.0,
            outcome="probe",
        )
        self.record.requests[request_id] = request
        self.record.crashing_requests[request_id] = subject
        prompt = ((PROMPT_PARTS_HEADER, _prompt_parts(request_id, part)),) if part else ()
        await self._platform.send_request(
            entry,
            target,
            method="POST" if part else "GET",
            body=request.body,
            deadline_ms=3000,
            request_id=request_id,
            extra_headers=prompt,
        )
        request.ended_at = anyio.current_time()

    async def _release(self, rng: random.Random, duration_s: float) -> None:
        """Replace some model engines by others of another version, while the rest goes on."""
        engines = [engine for engine in self._live_engines() if engine.service == MODEL_SERVICE]
        for engine in rng.sample(engines, (len(engines) + 1) // 2):
            version = next(name for name in VERSION_TEXTS if name != engine.version)
            await self._add_engine(engine, version=version)
            await anyio.sleep(duration_s / 2)
            engine.state = "draining"
            if await self._platform.send_heartbeat(engine):
                started_at = anyio.current_time()
                await anyio.sleep(duration_s / 2 + 5.0)
                period = CommandPeriod(
                    subject=engine.name, started_at=started_at, ended_at=anyio.current_time()
                )
                self.record.drained.append(period)

    async def _replace_ended_engines(self) -> None:
        """Replace each engine that a part crashed, as the platform does."""
        async with anyio.create_task_group() as tasks:
            while True:
                for engine in self._live_engines():
                    if engine.crashed.is_set():
                        engine.state = "crashed"
                        tasks.start_soon(self._replace_after, engine, REPLACEMENT_S)
                await anyio.sleep(0.02)

    async def _replace_after(self, engine: Engine, delay_s: float) -> None:
        started_at = anyio.current_time() - 0.1
        await anyio.sleep(delay_s)
        await self._add_engine(engine)
        self._record_fault_period(engine.name, started_at)

    async def _limit(self, rng: random.Random, duration_s: float) -> None:
        """Have an engine name a limit, then another one, then none."""
        engine = await self._draw_engine(rng)
        for _ in range(2):
            limit = rng.choice((0.3, 1.0, 1.5, 4.0))
            engine.limit = str(limit)
            started_at = anyio.current_time()
            await anyio.sleep(duration_s + 4.0)
            self.record.limited.append(
                LimitPeriod(
                    engine=engine.name,
                    per_s=limit,
                    started_at=started_at,
                    ended_at=anyio.current_time(),
                )
            )
        engine.limit = ""

    async def _cut_off(self, rng: random.Random, duration_s: float) -> None:
        """Cut some or all entries of a region off from all engines."""
        names = rng.choice((("m-4",), ("m-5",), ("m-6",), ("m-4", "m-5")))
        how = rng.choice(("hang", "reset", "refuse"))
        started_at = anyio.current_time()
        until = started_at + duration_s + 3.0
        cut: set[tuple[str, str]] = set()
        while anyio.current_time() < until:
            new = {(name, engine.name) for name in names for engine in self._live_engines()} - cut
            for pair in new:
                if how == "hang":
                    self._proxy.cut(*pair)
                    continue
                self._proxy.refuse(*pair)
                if how == "reset":
                    self._proxy.abort_connections(*pair)
            cut |= new
            await anyio.sleep(0.1)
        for pair in cut:
            self._proxy.heal(*pair)
            self._proxy.accept(*pair)
        for name in names:
            self._record_fault_period(name, started_at)

    async def _zone(self, rng: random.Random, duration_s: float) -> None:
        """Have a zone lose power: its instances and engines start again, the engines cold."""
        zone = rng.choice(list(ZONES))
        names = {"n-a": ("m-1", "m-2", "m-4", "m-5"), "s-a": ("m-3", "m-6")}[zone]
        engines = [engine for engine in self._live_engines() if engine.zone == zone]
        started_at = anyio.current_time()
        for engine in engines:
            engine.state = "crashed"
            engine.crashed.set()
        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(self._restart_after, name, duration_s)
            await anyio.sleep(duration_s)
            for engine in engines:
                await self._add_engine(engine, cold_s=COLD_S)
                self._record_fault_period(engine.name, started_at)

    async def _brittle(self, rng: random.Random, duration_s: float) -> None:
        """Have all engines say that they are brittle and let fewer requests in than they state."""
        borne, room = rng.choice((4, 8)), rng.choice((2, 3))
        started_at = anyio.current_time()
        until = started_at + duration_s + BRITTLE_NOTICE_S
        changed: list[Engine] = []
        while anyio.current_time() < until:
            for engine in self._live_engines():
                if not engine.brittle:
                    engine.brittle, engine.room = str(borne), room
                    changed.append(engine)
            await anyio.sleep(0.1)
        period = BrittlePeriod(
            engines=tuple(engine.name for engine in changed),
            borne=borne,
            started_at=started_at,
            ended_at=until,
        )
        self.record.brittle.append(period)
        for engine in changed:
            engine.brittle, engine.room = "", Engine.room

    # Load.

    async def _call(self, rng: random.Random, number: int) -> None:
        """Send requests one after another and reuse the connection until it closes."""
        while not self._load_stopped:
            entry = rng.choice(ENTRIES)
            try:
                connection = await self._pool.open(
                    self._platform.connect_address(entry, "front"), timeout_s=0.5
                )
            except ConnectFailedError:
                await anyio.sleep(0.1)
                continue
            try:
                while not self._load_stopped:
                    if not await self._exchange(rng, entry, connection):
                        break
                    await anyio.sleep(rng.uniform(0.0, 0.15))
            finally:
                connection.close()

    async def _exchange(
        self, rng: random.Random, entry: str, connection: HttpClientConnection
    ) -> bool:
        """Send one request; return whether the connection can be reused.

        A resumable stream that breaks is mostly taken up by a next request, at any entry.
        """
        broken, self._broken = self._broken, None
        route = "plan" if broken is not None else rng.choice(ROUTES)
        request_id = f"s{next(self._ids)}"
        request = SoakRequest(
            request_id=request_id,
            route=route,
            entry=entry,
            body=b"%s of %d" % (route.encode(), next(self._ids)),
            sent_at=anyio.current_time(),
            deadline_s=rng.choice((1.5, 3.0)),
        )
        if broken is not None:
            request.body, request.earlier_events = broken.body, whole_events(broken)
            request.began_as = broken.began_as or broken.request_id
        self.record.requests[request_id] = request
        wait_s = (
            rng.uniform(0.05, 0.8)
            if rng.random() < ABANDONED_SHARE
            else request.deadline_s + HANG_TIMEOUT_S
        )
        with anyio.move_on_after(wait_s) as scope:
            try:
                await _send(connection, request)
                request.outcome = "answered"
            except TransportError:
                request.outcome = "cut" if request.status else "closed"
        if scope.cancelled_caught:
            request.outcome = "left" if wait_s < request.deadline_s else "hung"
            request.status = 0
            connection.close()
        request.ended_at = anyio.current_time()
        is_broken_stream = route == "plan" and request.outcome == "cut" and request.status == 200
        if is_broken_stream and whole_events(request) and rng.random() < TAKEN_UP_SHARE:
            self._broken = request
        return request.outcome == "answered" and connection.reusable and not scope.cancelled_caught

    async def _read_configurations(self) -> None:
        while not self._load_stopped:
            for name in CONTROLS:
                sent_at = anyio.current_time()
                reply = await self._platform.call_control(name, "GET", "/v1/config/get")
                if reply.status == 200:
                    self.record.read.append((sent_at, version_of(reply.body)))
            await anyio.sleep(0.3)

    async def _measure_lateness(self) -> None:
        """Record when the event loop that runs callers, engines and proxy is late."""
        while True:
            due_at = anyio.current_time() + TURN_CHECK_INTERVAL_S
            await anyio.sleep(TURN_CHECK_INTERVAL_S)
            self.record.note_turn(due_at=due_at, now=anyio.current_time())

    # Recovery and final checks.

    async def _recover(self) -> None:
        """Wait until every entry serves every route again, and record those that don't."""
        unserved = {(entry, route) for entry in ENTRIES for route in ROUTES}
        with anyio.move_on_after(RECOVERY_S):
            while unserved:
                for entry, route in sorted(unserved):
                    request_id = f"e{next(self._ids)}"
                    self.record.requests[request_id] = SoakRequest(
                        request_id=request_id,
                        route=route,
                        entry=entry,
                        body=b"prompt",
                        sent_at=anyio.current_time(),
                        deadline_s=4.0,
                        outcome="probe",
                    )
                    _, reply = await self._platform.send_request(
                        entry, f"/{route}/1", request_id=request_id
                    )
                    self.record.requests[request_id].ended_at = anyio.current_time()
                    if reply.status == 200:
                        unserved.discard((entry, route))
                await anyio.sleep(0.1)
        if unserved:
            self.record.findings.append(f"not served again: {sorted(unserved)}")

    async def _check_final_state(self) -> None:
        reply = await self._platform.send_operator_command("GET", "/v1/config/get")
        acknowledged_version = max((version for _, version in self.record.acknowledged), default=1)
        if reply.status != 200 or version_of(reply.body) < acknowledged_version:
            self.record.findings.append(
                f"version {acknowledged_version} was acknowledged, but the last read returned "
                f"{reply.body!r}"
            )
        for name in CONTROLS + ENTRIES:
            if self._platform.has_exited(name):
                self.record.findings.append(f"{name} exited without being stopped")
            if "Traceback" in self._platform.log(name):
                self.record.findings.append(f"{name} logged a traceback")

        self.record.findings += self._platform.unanswered_requests()

    async def _add_engine(
        self, template: Engine, *, version: str = "", cold_s: float = 0.0
    ) -> None:
        version = version or template.version
        await self._platform.add_engine(
            template.service,
            template.zone,
            version=version,
            event_text=VERSION_TEXTS[version],
            crash_paths=frozenset({CRASH_PATH}),
            event_count=EVENT_COUNT,
            event_interval_s=EVENT_INTERVAL_S,
            draw_failure=self._draw_failure,
            crash_parts=frozenset(CRASH_PARTS),
            cold_until=anyio.current_time() + cold_s,
        )

    def _draw_failure(self) -> str:
        if self._faults_ended or self._failure_rng.random() >= ENGINE_FAILURE_SHARE:
            return ""
        return self._failure_rng.choice(ENGINE_FAILURES)

    async def _draw_engine(self, rng: random.Random) -> Engine:
        """Return one of the live engines, once there is one."""
        while not (engines := self._live_engines()):
            await anyio.sleep(0.1)
        return rng.choice(engines)

    def _draw_process(self, rng: random.Random) -> str:
        return rng.choice([*ENTRIES, *(engine.name for engine in self._live_engines())])

    def _live_engines(self) -> list[Engine]:
        return [engine for engine in self._platform.engines if engine.state == "ready"]

    def _record_fault_period(self, name: str, started_at: float) -> None:
        now = anyio.current_time()
        self.record.fault_periods.append(
            FaultPeriod(name=name, started_at=started_at, ended_at=now)
        )

    def _recovery_count(self, name: str) -> int:
        return self._platform.log(name).count("event=voter_recovered")


async def _send(connection: HttpClientConnection, request: SoakRequest) -> None:
    headers: Headers = (
        (b"Host", HOST.encode()),
        (b"Content-Length", str(len(request.body)).encode()),
        (b"X-Figpaddle-Request-Id", request.request_id.encode()),
        (b"X-Figpaddle-Deadline-Ms", str(int(request.deadline_s * 1000)).encode()),
        (PROMPT_PARTS_HEADER, _prompt_parts(request.request_id)),
    )
    if request.earlier_events:
        last_event = request.earlier_events.count(b"\n\n")
        headers += (
            (b"Last-Event-Id", str(last_event).encode()),
            (b"Resumes", request.began_as.encode()),
        )
    target = f"/{request.route}/1".encode()
    await connection.send(method=b"POST", target=target, headers=headers, body=request.body)
    head = await connection.read_head(lambda _: True)
    request.status = head.status
    request.headers = {name.decode().lower(): value.decode() for name, value in head.headers}
    async for piece in connection.read_body():
        request.response_body += piece


def _prompt_parts(request_id: str, *middle_parts: str) -> bytes:
    """Return the parts of a prompt: the shared one, others, and one of its own."""
    parts = (SHARED_PART, *middle_parts, request_id)
    return ",".join(f"{part}:20" for part in parts).encode()


async def run_soak(
    seed: int, *, log_folder: pathlib.Path | None = None
) -> tuple[list[str], list[str]]:
    """Run one seed; return the invariants violated and the history of the run.

    If one is violated, the logs are copied to a folder in ``log_folder``.
    """
    with contextlib.closing(FaultProxy()) as proxy:

        def make_deployment(
            *, folder: pathlib.Path, tasks: anyio.abc.TaskGroup
        ) -> PlatformDeployment:
            return SoakDeployment(folder=folder, tasks=tasks, proxy=proxy)

        async with (
            anyio.create_task_group() as tasks,
            platform_deployment(make_deployment=make_deployment) as platform,
        ):
            assert isinstance(platform, SoakDeployment)
            pool = ConnectionPool(clock=anyio.current_time, ack_timeout_s=2.0)
            run = SoakRun(seed=seed, platform=platform, proxy=proxy, pool=pool)
            run.configure_engines()
            await platform.send_operator_command("POST", "/v1/config/put", run.configuration(2))
            try:
                findings = await run.run()
            except Exception as error:
                if log_folder is not None:
                    platform.save_logs(log_folder / f"seed-{seed}", [*run.history, repr(error)])
                raise
            if findings and log_folder is not None:
                platform.save_logs(log_folder / f"seed-{seed}", [*run.history, *findings])
            tasks.cancel_scope.cancel()
    return findings, run.history


def main() -> int:
    parser = argparse.ArgumentParser(description="Run seeds of the fault soak test.")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--keep", type=pathlib.Path, default=pathlib.Path("target/soak"))
    parser.add_argument("--faults", action="store_true", help="print the faults injected")
    arguments = parser.parse_args()
    failed_seeds = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        findings, history = anyio.run(functools.partial(run_soak, seed, log_folder=arguments.keep))
        print(f"seed {seed}: {history[-1]}, {len(findings)} violations", flush=True)
        if arguments.faults:
            print("  " + "; ".join(history[:-1]), flush=True)
        for line in findings:
            print(f"  {line}", flush=True)
        failed_seeds += bool(findings)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
