"""Starts real processes for integration tests and the demo, and stops them by id."""

from __future__ import annotations

import contextlib
import dataclasses
import datetime
import pathlib
import queue
import re
import signal
import subprocess
import sys
import threading
import time

import yaml

from figpaddle.deployment import key_digest
from tests.fault_proxy import FaultProxy

DEPLOYMENT_KEY = "a key that all instances of this test share"
OPERATOR_TOKEN = "operator-token"
CUMBRE_TOKEN = "operator-token-of-cumbre"
PORTS = ("callers", "backends", "operators", "peers")
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
REGIONS = ("seoul", "busan", "daejeon", "highlands", "guayaquil", "andes")
#: Time allowed to a process between its start and the first vote of its ledger slot.
LEDGER_START_S = 5.0


class ProcessError(Exception):
    """A process did not do what the test needs."""


@dataclasses.dataclass(kw_only=True)
class Process:
    """One started process and the lines that it printed."""

    name: str
    popen: subprocess.Popen[str]
    lines: list[str] = dataclasses.field(default_factory=list)
    news: queue.Queue[str | None] = dataclasses.field(default_factory=queue.Queue)
    fields: dict[str, str] = dataclasses.field(default_factory=dict)

    def wait_for(self, text: str, timeout_s: float = READY_TIMEOUT_S) -> str:
        """Return the next line that contains ``text``."""
        deadline = time.monotonic() + timeout_s
        while True:
            left = deadline - time.monotonic()
            try:
                line = self.news.get(timeout=max(0.01, left))
            except queue.Empty:
                raise ProcessError(f"{self.name}: no {text!r} in time\n{self.tail()}") from None
            if line is None:
                raise ProcessError(f"{self.name} ended\n{self.tail()}")
            if text in line:
                return line

    def tail(self) -> str:
        return "\n".join(self.lines[-30:])

    def signal(self, number: signal.Signals) -> None:
        self.popen.send_signal(number)

    def kill(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.popen.kill()
        self.popen.wait()

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        self.popen.terminate()
        return self.popen.wait(timeout_s)


def start(name: str, *arguments: str) -> Process:
    """Start ``python -m arguments`` and return it once it says that it is ready."""
    popen = subprocess.Popen(
        [sys.executable, "-u", "-m", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    process = Process(name=name, popen=popen)
    threading.Thread(target=_read, args=(process,), daemon=True).start()
    line = process.wait_for("event=ready")
    process.fields = dict(re.findall(r"(\w+)=(\S+)", line))
    return process


def _read(process: Process) -> None:
    assert process.popen.stdout is not None
    for line in process.popen.stdout:
        process.lines.append(line.rstrip())
        process.news.put(line.rstrip())
    process.news.put(None)


class Deployment:
    """Instances and stand-ins of one test, all stopped at its end.

    With a proxy each instance and backend server has an IP of its own, and peers, callers and
    backend servers are reached through the proxy under the process's name.
    """

    def __init__(self, folder: pathlib.Path, *, proxy: FaultProxy | None = None) -> None:
        self.folder = folder
        self.proxy = proxy
        self._hosts: dict[str, str] = {}
        self._proxied: dict[tuple[str, str], str] = {}
        self.instances: dict[str, Process] = {}
        self.backends: dict[str, Process] = {}
        self.holders = {region: [f"{region}-1"] for region in REGIONS}
        self._voting_from: dict[str, datetime.datetime] = {}
        self.operators: list[dict[str, str]] = [
            {"name": "root", "token_digest": key_digest(OPERATOR_TOKEN)},
            {"name": "rival", "token_digest": key_digest(CUMBRE_TOKEN), "member": "cumbre"},
        ]

    def __enter__(self) -> Deployment:
        return self

    def __exit__(self, *error: object) -> None:
        for process in [*self.backends.values(), *self.instances.values()]:
            process.kill()
        if self.proxy is not None:
            self.proxy.close()

    def write(self, name: str, plain: object) -> pathlib.Path:
        path = self.folder / name
        path.write_text(yaml.safe_dump(plain), encoding="utf-8")
        return path

    def write_clients(self, *clients: tuple[str, str, str, str]) -> None:
        """Write the directory from (name, member, home, key)."""
        plain = [
            {"name": name, "member": member, "home": home, "key_digest": key_digest(key)}
            for name, member, home, key in clients
        ]
        self.write("clients.yaml", plain)

    def host_of(self, name: str) -> str:
        """Return the IP of the process called ``name``."""
        if self.proxy is None:
            return "127.0.0.1"
        if name not in self._hosts:
            self._hosts[name] = f"127.7.0.{len(self._hosts) + 1}"
            self.proxy.name_source(self._hosts[name], name)
        return self._hosts[name]

    def address(self, name: str, port: str) -> str:
        """Return the proxied address of a port of the process called ``name``."""
        assert self.proxy is not None
        if (name, port) not in self._proxied:
            self._proxied[name, port] = self.proxy.add(name, port)
        return self._proxied[name, port]

    def entry(self, name: str) -> str:
        """Return the callers' address of an instance, proxied if there is a proxy."""
        if self.proxy is not None:
            return self.address(name, "callers")
        return self.instances[name].fields["callers"]

    def ledger_settings(self, name: str, **changes: object) -> dict[str, object]:
        """Return the ledger's settings; a restart gets the same as the first start."""
        first_vote = datetime.datetime.now(datetime.UTC) + datetime.timedelta(
            seconds=LEDGER_START_S
        )
        voting_from = self._voting_from.setdefault(name, first_vote)
        return {"holders": self.holders, "voting_from": voting_from, **changes}

    def start_instance(self, name: str, region: str, **settings: object) -> Process:
        """Start a figpaddled that joins by those already started."""
        host = self.host_of(name)
        join = [
            self.address(other, "peers") if self.proxy else process.fields["peers"]
            for other, process in self.instances.items()
            if other != name and process.popen.poll() is None
        ]
        plain = {
            "instance": name,
            "region": region,
            "zone": f"{region}-a",
            "listen": dict.fromkeys(PORTS, f"{host}:0"),
            "join": join,
            "deployment_key": DEPLOYMENT_KEY,
            "directory": "clients.yaml",
            "configuration": "configuration.yaml",
            "operators": self.operators,
            "ledger": self.ledger_settings(name),
            **settings,
        }
        if self.proxy is not None:
            plain["advertise"] = {
                "peers": self.address(name, "peers"),
                "callers": self.address(name, "callers"),
            }
        path = self.write(f"{name}.yaml", plain)
        process = start(name, "figpaddle.daemon", "--settings", str(path))
        self.instances[name] = process
        if self.proxy is not None:
            for port in ("peers", "callers"):
                self.proxy.set_target(name, port, process.fields[port])
        return process

    def start_backend(
        self, name: str, kind: str, region: str, services: tuple[str, ...], *options: str
    ) -> Process:
        """Start a stand-in that announces itself to the region's instances.

        A service without a member is Hanbit's.
        """
        arguments = ["figpaddle.standins", kind, "--name", name, "--region", region]
        for service in services:
            arguments += ["--service", service if "/" in service else f"hanbit/{service}"]
        for process in self.instances.values():
            if process.name.startswith(region):
                arguments += ["--announce", process.fields["backends"]]
        if self.proxy is not None:
            arguments += ["--listen-on", f"{self.host_of(name)}:0"]
            arguments += ["--advertise", self.address(name, "http")]
        process = start(name, *arguments, *options)
        if self.proxy is not None:
            self.proxy.set_target(name, "http", process.fields["address"])
        self.backends[name] = process
        return process
