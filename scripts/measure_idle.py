"""Measures processor time of the processes of a deployment without requests; prints ``name=value``.

    PYTHONPATH=. .venv/bin/python scripts/measure_idle.py [--entries N] [--controls N] [--servers N]

Real processes run on loopback addresses in three regions of two availability zones, and stand-ins of
backend servers announce themselves. The figures are milliseconds of processor time in a second, the mean
of a role and of the relays in it.
"""

from __future__ import annotations

import argparse
import os
import pathlib
import random
import statistics
import tempfile
from typing import Any

import anyio

from tests import platform_standin
from tests.platform_standin import MODEL_SERVICE, PlatformDeployment, configuration

ZONES = {f"{region[0]}-{part}": region for part in "ab" for region in ("north", "south", "east")}
#: Interval of the announcements of a server, seconds.
ANNOUNCEMENT_INTERVAL_S = 1.2
#: Time after which discovery has ended and intervals have their usual lengths, seconds.
SETTLING_S = 12.0
#: Interval between starts of processes, seconds, so that a machine with few cores isn't overloaded.
START_INTERVAL_S = 0.3
#: Time for the start of all processes, seconds.
START_TIMEOUT_S = 120.0
PUT_PATH = "/v1/config/put"


class _ManyProcesses(PlatformDeployment):
    """A deployment whose servers announce themselves at any control instance."""

    #: Program that the processes named here run instead of the usual one.
    programs: dict[str, pathlib.Path] = {}

    def program_of(self, name: str) -> pathlib.Path:
        return self.programs.get(name, super().program_of(name))

    async def announce(self, number: int, zone: str) -> None:
        """Announce a server to control instances drawn at random, until cancelled."""
        controls = [name for name, (role, _) in self._roles.items() if role == "control"]
        payload: dict[str, Any] = {
            "service": MODEL_SERVICE,
            "address": f"{self._network}.250.{number}:{self._ports['front']}",
            "zone": zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "warmup-left-ms": 0,
            "born": 1000,
        }
        await anyio.sleep(random.uniform(0.0, ANNOUNCEMENT_INTERVAL_S))
        while True:
            payload["seq"] = payload.get("seq", 0) + 1
            path = f"/v1/instances/e-{number}/heartbeat"
            await self.call_control(random.choice(controls), "POST", path, payload)
            await anyio.sleep(ANNOUNCEMENT_INTERVAL_S)

    async def is_relay(self, name: str) -> bool:
        """Return whether a process passes on the news of its zone."""
        reply = await self.metrics(name, "/metrics")
        return b"is_relay 1" in reply.body.replace(b"is_relay{} ", b"is_relay ")

    def processor_s(self, name: str) -> float:
        """Return the processor time that a process has used, seconds."""
        fields = pathlib.Path(f"/proc/{self.pid(name)}/stat").read_text("utf-8").split()
        return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def main() -> None:
    """Start the deployment, measure and print the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--entries", type=int, default=42)
    parser.add_argument("--controls", type=int, default=9)
    parser.add_argument("--servers", type=int, default=96)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    platform_standin.ZONES.clear()
    platform_standin.ZONES.update(ZONES)
    anyio.run(_measure, options)


async def _measure(options: argparse.Namespace) -> None:
    zones = list(ZONES)
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as tasks:
            platform = _ManyProcesses(folder=pathlib.Path(folder), tasks=tasks)
            try:
                roles = ["control"] * options.controls + ["entry"] * options.entries
                names = {f"m-{number}": role for number, role in enumerate(roles, 1)}
                for number, (name, role) in enumerate(names.items()):
                    platform.start(name, role, zones[number % len(zones)])
                    await anyio.sleep(START_INTERVAL_S)
                with anyio.fail_after(START_TIMEOUT_S):
                    document = configuration()
                    while (
                        await platform.call_control("m-1", "POST", PUT_PATH, document)
                    ).status != 200:
                        await anyio.sleep(1.0)
                for number in range(1, options.servers + 1):
                    tasks.start_soon(platform.announce, number, zones[number % len(zones)])
                await anyio.sleep(SETTLING_S)
                before = {name: platform.processor_s(name) for name in names}
                await anyio.sleep(options.seconds)
                used_ms = {
                    name: (platform.processor_s(name) - used_s) / options.seconds * 1000
                    for name, used_s in before.items()
                }
                relays = [name for name in names if await platform.is_relay(name)]
                _print_figures(names, used_ms, set(relays))
            finally:
                platform.close()
                tasks.cancel_scope.cancel()


def _print_figures(names: dict[str, str], used_ms: dict[str, float], relays: set[str]) -> None:
    for role in ("entry", "control"):
        for kind, wanted in (("", False), ("relay_", True)):
            group = [
                used_ms[name]
                for name in names
                if names[name] == role and (name in relays) is wanted
            ]
            if group:
                print(f"{kind}{role}_ms_per_s={statistics.mean(group):.4g}", flush=True)
    print(f"all_ms_per_s={sum(used_ms.values()):.4g}", flush=True)


if __name__ == "__main__":
    main()
