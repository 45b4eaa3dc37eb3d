"""A randomized soak: the real programs under load, with faults put in from outside.

Everything random comes from one seed: which faults, where, when, and what callers send. Faults
overlap; afterwards all of them end, and the deployment must serve everything again. By hand::

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
from figpaddle.http1 import BackendConnection, ConnectionPool, Headers
from tests.fault_proxy import FaultProxy
from tests.platform_standin import (
    HOST,
    ZONES,
    Deployment,
    Engine,
    configuration,
    deployment,
)
from tests.soak_record import Disturbance, Record, Sent, Span, version_of, violations

#: Span in which faults begin, seconds.
TROUBLE_S = 10.0
#: Faults in one run.
FAULTS = 10
#: How engines fail by themselves, and the part of the requests to which they do.
MOODS, MOODY_PART = ("full", "reset", "error", "midway", "slow", "slow"), 0.15
#: After the last fault everything is served again within this, seconds.
RECOVERY_S = 15.0
#: Part of the requests whose callers leave early.
LEAVING_PART = 0.15
#: Callers at work.
CALLERS = 10
#: Longest time for the end of a request after its deadline, seconds; a hang counts as that late.
HANG_S = 6.0
#: Time in which callers notice the exit of a process, seconds.
EXIT_S = 0.3
#: Events of a stream and the time between them, seconds.
EVENTS, GAP_S = 12, 0.04
CONTROLS, ENTRIES = ("m-1", "m-2", "m-3"), ("m-4", "m-5", "m-6")
ROUTES = ("chat", "plan", "hold", "read")


class SoakDeployment(Deployment):
    """A deployment whose callers, operators and engines are reached through a proxy."""

    def __init__(
        self, *, folder: pathlib.Path, tasks: anyio.abc.TaskGroup, proxy: FaultProxy
    ) -> None:
        super().__init__(folder=folder, tasks=tasks)
        self._proxy = proxy
        self._through: dict[tuple[str, str], str] = {}

    def reach(self, name: str, port: str) -> str:
        return self._proxied(name, port, self.address(name, port))

    def announced(self, engine: Engine) -> str:
        return self._proxied(engine.name, "front", engine.address)

    def tear_records(self, name: str) -> None:
        """Leave half a record at the end of each file, as a write does that power loss cut."""
        for path in (self._folder / name).glob("*.records"):
            with path.open("ab") as file:
                file.write(b"FPR1\x00\x00\x01\x00torn")

    def rewrite_settings(self, name: str) -> None:
        """Write a settings file anew, as an operator's tool does before a SIGHUP."""
        settings = self._folder / f"{name}.conf"
        text = settings.read_text(encoding="utf-8")
        settings.write_text(f"{text}\n", encoding="utf-8")

    def keep_logs(self, folder: pathlib.Path, lines: list[str]) -> None:
        """Copy the logs, with ``lines`` beside them."""
        folder.mkdir(parents=True, exist_ok=True)
        for path in self._folder.glob("*.log"):
            (folder / path.name).write_bytes(path.read_bytes())
        (folder / "findings.txt").write_text("\n".join(lines), encoding="utf-8")

    def ended(self, name: str) -> bool:
        return self._processes[name].poll() is not None

    def _proxied(self, name: str, port: str, address: str) -> str:
        if (name, port) not in self._through:
            self._through[name, port] = self._proxy.add(name, port)
            self._proxy.set_target(name, port, address)
        return self._through[name, port]


class Soak:
    """One run with one seed."""

    def __init__(
        self,
        *,
        seed: int,
        day: SoakDeployment,
        proxy: FaultProxy,
        pool: ConnectionPool,
    ) -> None:
        self._rng = random.Random(seed)
        self._moods = random.Random(seed)
        self._settled = False
        self._day = day
        self._proxy = proxy
        self._pool = pool
        self._ids = itertools.count(1)
        self._versions = itertools.count(3)
        self._version = anyio.Lock()
        self._wiping = anyio.Lock()
        self._busy: set[str] = set()
        self._calm = False
        self._evacuating = False
        self.record = Record()
        #: The faults played, for a person to read.
        self.history: list[str] = []
        self._kinds: dict[str, Callable[[random.Random, float], Awaitable[None]]] = {
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

    def configuration(self, version: int) -> dict[str, Any]:
        """Return a configuration that allows attempts even where a request may run once only."""
        changed = configuration(version)
        for route in changed["routes"]:
            route["max-attempts"] = 2
        return changed

    def prepare(self) -> None:
        """Give the engines that are there the load and the failures of the soak."""
        for engine in self._day.engines:
            engine.events, engine.gap_s = EVENTS, GAP_S
            engine.mood = self._mood

    async def run(self) -> list[str]:
        """Return the promises broken."""
        async with anyio.create_task_group() as load:
            for number in range(CALLERS):
                load.start_soon(self._call, random.Random(self._rng.random()), number)
            load.start_soon(self._read_back)
            async with anyio.create_task_group() as faults:
                for _ in range(FAULTS):
                    kind = self._rng.choice(list(self._kinds))
                    at = self._rng.uniform(0.0, TROUBLE_S)
                    for_s = self._rng.uniform(0.4, 4.0)
                    rng = random.Random(self._rng.random())
                    faults.start_soon(self._play, kind, at, for_s, rng)
            self._proxy.heal()
            self._settled = True
            await self._recover()
            self._calm = True
            load.cancel_scope.cancel()
        await self._check_end()
        self.history.append(self.record.summary())
        return violations(self.record, self._day.engines)

    async def _play(self, kind: str, at: float, for_s: float, rng: random.Random) -> None:
        await anyio.sleep(at)
        self.history.append(f"{at:.2f} s {kind} for {for_s:.2f} s")
        await self._kinds[kind](rng, for_s)

    # Faults of processes.

    async def _kill(self, rng: random.Random, for_s: float) -> None:
        await self._restart_after(rng.choice(CONTROLS + ENTRIES), for_s, torn=rng.random() < 0.5)

    async def _wipe(self, rng: random.Random, for_s: float) -> None:
        name = rng.choice(CONTROLS)
        # One disk at a time: the next one may be lost once this one's voter holds all again.
        async with self._wiping:
            before = self._recoveries(name)
            if not await self._restart_after(name, for_s, wiped=True):
                return
            with anyio.move_on_after(RECOVERY_S):
                while self._recoveries(name) == before:
                    await anyio.sleep(0.1)
                return
            self.record.findings.append(f"{name} did not vote again after it lost its disk")

    async def _power(self, rng: random.Random, for_s: float) -> None:
        async with anyio.create_task_group() as tasks:
            for name in CONTROLS:
                tasks.start_soon(self._restart_after, name, for_s)

    async def _stop(self, rng: random.Random, for_s: float) -> None:
        name = rng.choice(CONTROLS + ENTRIES)
        if name in self._busy:
            return
        self._busy.add(name)
        self._day.signal(name, signal.SIGTERM)
        await self._day.stopped(name)
        # What it was asked before must have been answered, so only its absence is a fault.
        stopped_at = anyio.current_time() + EXIT_S
        await anyio.sleep(for_s)
        await self._day.restart(name)
        self._disturbed(name, stopped_at)
        self._busy.discard(name)

    async def _freeze(self, rng: random.Random, for_s: float) -> None:
        name = rng.choice(CONTROLS + ENTRIES)
        begun_at = anyio.current_time()
        self._day.signal(name, signal.SIGSTOP)
        await anyio.sleep(for_s)
        self._day.signal(name, signal.SIGCONT)
        self._disturbed(name, begun_at)

    async def _reload(self, rng: random.Random, for_s: float) -> None:
        for _ in range(4):
            name = rng.choice(CONTROLS + ENTRIES)
            if name not in self._busy:
                self._day.rewrite_settings(name)
                self._day.signal(name, signal.SIGHUP)
            await anyio.sleep(for_s / 4)

    async def _restart_after(
        self, name: str, for_s: float, *, wiped: bool = False, torn: bool = False
    ) -> bool:
        if name in self._busy:
            return False
        self._busy.add(name)
        begun_at = anyio.current_time()
        self._day.signal(name, signal.SIGKILL)
        await anyio.sleep(for_s)
        if torn:
            self._day.tear_records(name)
        await self._day.restart(name, wiped=wiped)
        self._disturbed(name, begun_at)
        self._busy.discard(name)
        return True

    # Faults of links.

    async def _delay(self, rng: random.Random, for_s: float) -> None:
        name = self._place(rng)
        begun_at = anyio.current_time()
        self._proxy.delay("*", name, rng.uniform(0.02, 0.4))
        await anyio.sleep(for_s)
        self._proxy.delay("*", name, 0.0)
        self._disturbed(name, begun_at)

    async def _reset(self, rng: random.Random, for_s: float) -> None:
        name = self._place(rng)
        begun_at = anyio.current_time()
        for _ in range(3):
            self._proxy.close_open("*", name)
            await anyio.sleep(for_s / 3)
        self._disturbed(name, begun_at)

    async def _one_way(self, rng: random.Random, for_s: float) -> None:
        name = self._place(rng)
        ends = ("*", name) if rng.random() < 0.5 else (name, "*")
        begun_at = anyio.current_time()
        self._proxy.cut(*ends, both=False)
        await anyio.sleep(for_s)
        self._proxy.heal(*ends, both=False)
        self._disturbed(name, begun_at)

    async def _silence(self, rng: random.Random, for_s: float) -> None:
        name = self._place(rng)
        begun_at = anyio.current_time()
        self._proxy.silence_open("*", name)
        await anyio.sleep(for_s)
        self._disturbed(name, begun_at)

    # Faults and planned work of engines, and orders of operators.

    async def _crash(self, rng: random.Random, for_s: float) -> None:
        engine = rng.choice(self._live_engines())
        begun_at = anyio.current_time()
        engine.state = "crashed"
        engine.crashed.set()
        await anyio.sleep(for_s)
        await self._add_engine(engine)
        self._disturbed(engine.name, begun_at)

    async def _failing(self, rng: random.Random, for_s: float) -> None:
        engine = rng.choice(self._live_engines())
        begun_at = anyio.current_time()
        engine.failing = rng.choice(("full", "reset", "error", "midway"))
        await anyio.sleep(for_s)
        engine.failing = ""
        self._disturbed(engine.name, begun_at)

    async def _drain(self, rng: random.Random, for_s: float) -> None:
        engine = rng.choice(self._live_engines())
        await self._add_engine(engine)
        engine.state = "draining"
        if not await self._day.beat(engine):
            return
        begun_at = anyio.current_time()
        await anyio.sleep(for_s + 6.0)
        span = Span(subject=engine.name, begun_at=begun_at, ended_at=anyio.current_time())
        self.record.drained.append(span)

    async def _evacuate(self, rng: random.Random, for_s: float) -> None:
        zone = rng.choice(list(ZONES))
        # One at a time: without any zone nothing would be served.
        if self._evacuating:
            return
        self._evacuating = True
        if (await self._day.order("POST", f"/v1/evacuate/{zone}/start")).status == 200:
            begun_at = anyio.current_time()
            await anyio.sleep(for_s + 5.0)
            span = Span(subject=zone, begun_at=begun_at, ended_at=anyio.current_time())
            self.record.evacuated.append(span)
            await self._day.order("POST", f"/v1/evacuate/{zone}/end")
        self._evacuating = False

    async def _changes(self, rng: random.Random, for_s: float) -> None:
        for _ in range(4):
            async with self._version:
                version = next(self._versions)
                reply = await self._day.order("POST", "/v1/config/put", self.configuration(version))
                if reply.status == 200:
                    self.record.acknowledged.append((anyio.current_time(), version))
            await anyio.sleep(for_s / 4)

    # Load.

    async def _call(self, rng: random.Random, number: int) -> None:
        """Send requests one after the other, on an open connection for as long as it lasts."""
        while not self._calm:
            entry = rng.choice(ENTRIES)
            try:
                connection = await self._pool.open(self._day.reach(entry, "front"), timeout_s=0.5)
            except ConnectFailedError:
                await anyio.sleep(0.1)
                continue
            try:
                while not self._calm:
                    if not await self._exchange(rng, entry, connection):
                        break
                    await anyio.sleep(rng.uniform(0.0, 0.15))
            finally:
                connection.close()

    async def _exchange(
        self, rng: random.Random, entry: str, connection: BackendConnection
    ) -> bool:
        """Send one request; return whether the connection may carry another."""
        route = rng.choice(ROUTES)
        request_id = f"s{next(self._ids)}"
        sent = Sent(
            request_id=request_id,
            route=route,
            entry=entry,
            body=b"%s of %d" % (route.encode(), next(self._ids)),
            sent_at=anyio.current_time(),
            deadline_s=rng.choice((1.5, 3.0)),
        )
        self.record.sent[request_id] = sent
        patience_s = (
            rng.uniform(0.05, 0.8) if rng.random() < LEAVING_PART else sent.deadline_s + HANG_S
        )
        with anyio.move_on_after(patience_s) as scope:
            try:
                await _send(connection, sent)
                sent.outcome = "answered"
            except TransportError:
                sent.outcome = "cut" if sent.status else "closed"
        if scope.cancelled_caught:
            sent.outcome = "left" if patience_s < sent.deadline_s else "hung"
            sent.status = 0
            connection.close()
        sent.ended_at = anyio.current_time()
        return sent.outcome == "answered" and connection.reusable and not scope.cancelled_caught

    async def _read_back(self) -> None:
        while not self._calm:
            for name in CONTROLS:
                sent_at = anyio.current_time()
                reply = await self._day.call(name, "GET", "/v1/config/get")
                if reply.status == 200:
                    self.record.read.append((sent_at, version_of(reply.body)))
            await anyio.sleep(0.3)

    # The end.

    async def _recover(self) -> None:
        """Every entry serves every route again in time."""
        left = {(entry, route) for entry in ENTRIES for route in ROUTES}
        with anyio.move_on_after(RECOVERY_S):
            while left:
                for entry, route in sorted(left):
                    request_id = f"e{next(self._ids)}"
                    self.record.sent[request_id] = Sent(
                        request_id=request_id,
                        route=route,
                        entry=entry,
                        body=b"prompt",
                        sent_at=anyio.current_time(),
                        deadline_s=4.0,
                        outcome="probe",
                    )
                    _, reply = await self._day.ask(entry, f"/{route}/1", request_id=request_id)
                    self.record.sent[request_id].ended_at = anyio.current_time()
                    if reply.status == 200:
                        left.discard((entry, route))
                await anyio.sleep(0.1)
        if left:
            self.record.findings.append(f"not served again: {sorted(left)}")

    async def _check_end(self) -> None:
        reply = await self._day.order("GET", "/v1/config/get")
        held = max((version for _, version in self.record.acknowledged), default=1)
        if reply.status != 200 or version_of(reply.body) < held:
            self.record.findings.append(f"{held} was acknowledged, at the end is {reply.body!r}")
        for name in CONTROLS + ENTRIES:
            if self._day.ended(name):
                self.record.findings.append(f"{name} ended by itself")
            if "Traceback" in self._day.log(name):
                self.record.findings.append(f"{name} logged a traceback")

    async def _add_engine(self, like: Engine) -> None:
        await self._day.add_engine(
            like.service, like.zone, events=EVENTS, gap_s=GAP_S, mood=self._mood
        )

    def _mood(self) -> str:
        if self._settled or self._moods.random() >= MOODY_PART:
            return ""
        return self._moods.choice(MOODS)

    def _place(self, rng: random.Random) -> str:
        return rng.choice([*ENTRIES, *(engine.name for engine in self._live_engines())])

    def _live_engines(self) -> list[Engine]:
        return [engine for engine in self._day.engines if engine.state == "ready"]

    def _disturbed(self, name: str, begun_at: float) -> None:
        now = anyio.current_time()
        self.record.disturbances.append(Disturbance(name=name, begun_at=begun_at, ended_at=now))

    def _recoveries(self, name: str) -> int:
        return self._day.log(name).count("event=voter_recovered")


async def _send(connection: BackendConnection, sent: Sent) -> None:
    headers: Headers = (
        (b"Host", HOST.encode()),
        (b"Content-Length", str(len(sent.body)).encode()),
        (b"X-Figpaddle-Request-Id", sent.request_id.encode()),
        (b"X-Figpaddle-Deadline-Ms", str(int(sent.deadline_s * 1000)).encode()),
    )
    target = f"/{sent.route}/1".encode()
    await connection.send(method=b"POST", target=target, headers=headers, body=sent.body)
    head = await connection.read_head(lambda _: True)
    sent.status = head.status
    sent.headers = {name.decode().lower(): value.decode() for name, value in head.headers}
    async for piece in connection.read_body():
        sent.reply += piece


async def soak(seed: int, *, keep: pathlib.Path | None = None) -> tuple[list[str], list[str]]:
    """Play one seed; return the promises broken and the faults played.

    The logs of a run that broke one are copied to ``keep``.
    """
    with contextlib.closing(FaultProxy()) as proxy:

        def make(*, folder: pathlib.Path, tasks: anyio.abc.TaskGroup) -> Deployment:
            return SoakDeployment(folder=folder, tasks=tasks, proxy=proxy)

        async with anyio.create_task_group() as tasks, deployment(make=make) as day:
            assert isinstance(day, SoakDeployment)
            pool = ConnectionPool(clock=anyio.current_time, silence_s=2.0)
            run = Soak(seed=seed, day=day, proxy=proxy, pool=pool)
            run.prepare()
            await day.order("POST", "/v1/config/put", run.configuration(2))
            found = await run.run()
            if found and keep is not None:
                day.keep_logs(keep / f"seed-{seed}", [*run.history, *found])
            tasks.cancel_scope.cancel()
    return found, run.history


def main() -> int:
    parser = argparse.ArgumentParser(description="Play seeds of the fault soak.")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--keep", type=pathlib.Path, default=pathlib.Path("target/soak"))
    parser.add_argument("--faults", action="store_true", help="print the faults played")
    options = parser.parse_args()
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        found, history = anyio.run(functools.partial(soak, seed, keep=options.keep))
        print(f"seed {seed}: {history[-1]}, {len(found)} broken", flush=True)
        if options.faults:
            print("  " + "; ".join(history[:-1]), flush=True)
        for line in found:
            print(f"  {line}", flush=True)
        broken += bool(found)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
