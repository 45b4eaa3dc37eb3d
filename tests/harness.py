"""Starts real processes for integration tests and the demo, and stops just these processes."""

from __future__ import annotations

import contextlib
import dataclasses
import datetime
import os
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
from tests.failure_logs import keep_logs
from tests.fault_proxy import FaultProxy

DEPLOYMENT_KEY = "a key that all instances of this test share"
OPERATOR_TOKEN = "operator-token"
CUMBRE_TOKEN = "operator-token-of-cumbre"
PORTS = ("callers", "backends", "operators", "peers")
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
REGIONS = ("seoul", "busan", "daejeon", "highlands", "guayaquil", "andes")
#: Delay from the first start of a process until its ledger slot may vote. The process has to be
#: running by then; otherwise the slot counts as one that has lost its records.
LEDGER_VOTE_DELAY_S = 5.0
#: The same where the first start took longer than that.
LATE_VOTE_DELAY_S = 10.0


class ProcessError(Exception):
    """A process ended, or did not reach an expected state in time."""


@dataclasses.dataclass(kw_only=True)
class Process:
    """A started process and the lines that it printed."""

    name: str
    popen: subprocess.Popen[str]
    lines: list[str] = dataclasses.field(default_factory=list)
    unread_lines: queue.Queue[str | None] = dataclasses.field(default_factory=queue.Queue)
    ready_fields: dict[str, str] = dataclasses.field(default_factory=dict)

    def wait_for(self, text: str, timeout_s: float = READY_TIMEOUT_S) -> str:
        """Return the next unread line that contains ``text``; lines before it are skipped."""
        deadline = time.monotonic() + timeout_s
        while True:
            remaining_s = deadline - time.monotonic()
            try:
                line = self.unread_lines.get(timeout=max(0.01, remaining_s))
            except queue.Empty:
                raise ProcessError(
                    f"{self.name} did not print {text!r} in time\n{self.tail()}"
                ) from None
            if line is None:
                raise ProcessError(f"{self.name} exited\n{self.tail()}")
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


def start_process(name: str, *arguments: str, root: pathlib.Path | None = None) -> Process:
    """Start ``python -m arguments`` and return the process once it logs that it is ready.

    ``root`` is the folder of another build to run.
    """
    popen = subprocess.Popen(
        [sys.executable, "-u", "-m", *arguments],
        cwd=root,
        env=None if root is None else {**os.environ, "PYTHONPATH": str(root)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    process = Process(name=name, popen=popen)
    threading.Thread(target=_collect_lines, args=(process,), daemon=True).start()
    line = process.wait_for("event=ready")
    process.ready_fields = dict(re.findall(r"(\w+)=(\S+)", line))
    return process


def _collect_lines(process: Process) -> None:
    assert process.popen.stdout is not None
    for line in process.popen.stdout:
        process.lines.append(line.rstrip())
        process.unread_lines.put(line.rstrip())
    process.unread_lines.put(None)


class Deployment:
    """The instances and stand-in backend servers of one test; all are stopped at its end.

    With a proxy, each instance and backend server has its own IP, and connections to the peer and
    caller ports of instances and to backend servers go through the proxy.
    """

    def __init__(self, folder: pathlib.Path, *, proxy: FaultProxy | None = None) -> None:
        self.folder = folder
        self.proxy = proxy
        self._ips: dict[str, str] = {}
        self._proxied_addresses: dict[tuple[str, str], str] = {}
        self.instances: dict[str, Process] = {}
        self.backends: dict[str, Process] = {}
        #: All processes that got ready, those that were replaced by a restart included.
        self._started: list[Process] = []
        self.ledger_holders = {region: [f"{region}-1"] for region in REGIONS}
        self._voting_from: dict[str, datetime.datetime] = {}
        #: Folders of instances that run another build.
        self.roots: dict[str, pathlib.Path] = {}
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
        unanswered = self.unanswered_requests()
        for process in self._started:
            log = self.folder / f"{process.name}-{process.popen.pid}.log"
            log.write_text("\n".join(process.lines), encoding="utf-8")
        keep_logs(self.folder, raised=error[0] is not None or bool(unanswered))
        if error[0] is None:
            assert not unanswered

    def unanswered_requests(self) -> list[str]:
        """Return the log lines about requests that got no answer while their callers waited."""
        return [
            line
            for process in self.instances.values()
            for line in process.lines
            if "event=request_unanswered" in line
        ]

    def write_yaml(self, name: str, document: object) -> pathlib.Path:
        path = self.folder / name
        path.write_text(yaml.safe_dump(document), encoding="utf-8")
        return path

    def write_clients(self, *clients: tuple[str, str, str, str]) -> None:
        """Write the client directory; each client is (name, member, home region, key)."""
        document = [
            {"name": name, "member": member, "home": home, "key_digest": key_digest(key)}
            for name, member, home, key in clients
        ]
        self.write_yaml("clients.yaml", document)

    def ip_of(self, name: str) -> str:
        """Return the IP of the process named ``name``."""
        if self.proxy is None:
            return "127.0.0.1"
        if name not in self._ips:
            self._ips[name] = f"127.7.0.{len(self._ips) + 1}"
            self.proxy.name_source(self._ips[name], name)
        return self._ips[name]

    def proxied_address(self, name: str, port: str) -> str:
        """Return the proxy's address for a port of the process named ``name``."""
        assert self.proxy is not None
        if (name, port) not in self._proxied_addresses:
            self._proxied_addresses[name, port] = self.proxy.add(name, port)
        return self._proxied_addresses[name, port]

    def caller_address(self, name: str) -> str:
        """Return the address to which callers of an instance connect, the proxy's if there is one."""
        if self.proxy is not None:
            return self.proxied_address(name, "callers")
        return self.instances[name].ready_fields["callers"]

    def ledger_settings(self, name: str, **changes: object) -> dict[str, object]:
        """Return the ledger settings of an instance; a restart keeps the first voting time."""
        voting_from = self._voting_from.setdefault(name, _voting_time(LEDGER_VOTE_DELAY_S))
        return {"holders": self.ledger_holders, "voting_from": voting_from, **changes}

    def start_instance(self, name: str, region: str, **settings: object) -> Process:
        """Start figpaddled; it joins through the instances that are running."""
        ip = self.ip_of(name)
        join_addresses = [
            self.proxied_address(other, "peers") if self.proxy else process.ready_fields["peers"]
            for other, process in self.instances.items()
            if other != name and process.popen.poll() is None
        ]
        document = {
            "instance": name,
            "region": region,
            "zone": f"{region}-a",
            "listen": dict.fromkeys(PORTS, f"{ip}:0"),
            "join": join_addresses,
            "deployment_key": DEPLOYMENT_KEY,
            "directory": "clients.yaml",
            "configuration": "configuration.yaml",
            "operators": self.operators,
            "ledger": self.ledger_settings(name),
            **settings,
        }
        if self.proxy is not None:
            document["advertise"] = {
                "peers": self.proxied_address(name, "peers"),
                "callers": self.proxied_address(name, "callers"),
            }
        process = self._start_before_vote(name, document)
        self.instances[name] = process
        self._started.append(process)
        if self.proxy is not None:
            for port in ("peers", "callers"):
                self.proxy.set_target(name, port, process.ready_fields[port])
        return process

    def _start_before_vote(self, name: str, document: dict[str, object]) -> Process:
        """Start figpaddled, again if its first start took until after the time of its first vote.

        Of several slots that start late none could vote, since each has to read the records of others.
        """
        path = self.write_yaml(f"{name}.yaml", document)
        process = self._start_daemon(name, path)
        is_late = datetime.datetime.now(datetime.UTC) >= self._voting_from[name]
        if name in self.instances or not is_late:
            return process
        process.kill()
        self._voting_from[name] = _voting_time(LATE_VOTE_DELAY_S)
        ledger = document["ledger"]
        assert isinstance(ledger, dict)
        later = {**ledger, "voting_from": self._voting_from[name]}
        path = self.write_yaml(f"{name}.yaml", {**document, "ledger": later})
        return self._start_daemon(name, path)

    def _start_daemon(self, name: str, settings: pathlib.Path) -> Process:
        return start_process(
            name, "figpaddle.daemon", "--settings", str(settings), root=self.roots.get(name)
        )

    def start_backend(
        self, name: str, kind: str, region: str, services: tuple[str, ...], *options: str
    ) -> Process:
        """Start a stand-in backend server that announces itself to the instances of its region.

        A service named without a member belongs to Hanbit.
        """
        arguments = ["figpaddle.standins", kind, "--name", name, "--region", region]
        for service in services:
            arguments += ["--service", service if "/" in service else f"hanbit/{service}"]
        for process in self.instances.values():
            if process.name.startswith(region):
                arguments += ["--announce", process.ready_fields["backends"]]
        if self.proxy is not None:
            arguments += ["--listen-on", f"{self.ip_of(name)}:0"]
            arguments += ["--advertise", self.proxied_address(name, "http")]
        process = start_process(name, *arguments, *options)
        if self.proxy is not None:
            self.proxy.set_target(name, "http", process.ready_fields["address"])
        self.backends[name] = process
        self._started.append(process)
        return process


def _voting_time(delay_s: float) -> datetime.datetime:
    return datetime.datetime.now(datetime.UTC) + datetime.timedelta(seconds=delay_s)
