"""Measures the replicated configuration log with real processes; prints ``name=value`` lines.

Run as ``PYTHONPATH=. .venv/bin/python scripts/measure_control.py``.
"""

from __future__ import annotations

import concurrent.futures
import datetime
import os
import pathlib
import random
import re
import tempfile
import threading
import time
from typing import Any

import httpx

from figpaddle.coordination import (
    Apply,
    DurableState,
    HardState,
    LogSettings,
    Persist,
    Propose,
    Received,
    Replica,
    Role,
    Send,
    Tick,
    first_snapshot,
)
from figpaddle.daemon._log_file import FileLogStorage
from figpaddle.deployment import (
    Change,
    ChangeMachine,
    MemberConfiguration,
    VersionedConfiguration,
    encode_change,
)
from figpaddle.wire import Entry, EntryKind, LogMembership, Peer, encode
from tests.calls import wait_until
from tests.conftest import write_examples
from tests.control import (
    configuration_revision,
    member_configuration,
    start_control_instance,
    start_voters,
    submit_until_accepted,
    wait_for_leader,
)
from tests.fault_proxy import FaultProxy
from tests.harness import OPERATOR_TOKEN, Deployment, Process

VOTERS = ("seoul-1", "busan-1", "daejeon-1")
OTHERS = tuple(f"{region}-{n}" for n in range(2, 10) for region in ("seoul", "busan", "daejeon"))
NODES = 9
SIZES = (3, 9, 27)
#: Pause before a measurement, for joining instances and delayed links to settle.
SETTLE_S = 2.0
CHANGES = 200
CLIENTS = 16
#: Duration of the throughput measurement.
LOAD_S = 5.0
LEADER_KILLS = 5
#: Duration for which idle processes are measured.
IDLE_S = 10.0
RECORDED_CHANGES = 100
WIDE_CHANGES = 100
#: One-way delay between regions in the wide-area measurement.
LINK_DELAY_S = 0.08
FLOOD_CLIENTS = 48
FLOOD_PROBES = 100
HEADERS = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
IN_FORCE = re.compile(r"time=(\S+) .*configuration_in_force.* revision=(\d+)")


def print_figure(name: str, value: float, digits: int = 3) -> None:
    """Print one figure."""
    print(f"{name}={value:.{digits}f}", flush=True)


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which the ``fraction`` of ``values`` lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def put_change(client: httpx.Client, process: Process, member: str, base: int, share: float) -> int:
    """Send one small change and return the status code of the response."""
    url = f"http://{process.ready_fields['operators']}/v1/configuration/{member}"
    configuration = {"name": member, "services": [], "share": share}
    body = {
        "command_id": f"{member}-{base}",
        "base_revision": base,
        "configuration": configuration,
    }
    response = client.put(url, json=body)
    return response.status_code


def in_force_times(process: Process) -> dict[int, float]:
    """Return when each revision came into force according to the log of the process."""
    times = {}
    for line in list(process.lines):
        found = IN_FORCE.search(line)
        if found:
            written_at = datetime.datetime.fromisoformat(found[1].replace("Z", "+00:00"))
            times[int(found[2])] = written_at.timestamp()
    return times


def measure_propagation(deployment: Deployment, prefix: str, changes: int) -> None:
    """Measure the time from a change's request and response until all processes apply it."""
    processes = list(deployment.instances.values())
    entry = processes[-1]
    first_revision = max(configuration_revision(process) for process in processes)
    wait_until(
        lambda: all(configuration_revision(process) == first_revision for process in processes),
        description="all processes have the same revision",
    )
    sent_at, responded_at = {}, {}
    with httpx.Client(headers=HEADERS, trust_env=False) as client:
        for number in range(changes):
            sent_at[first_revision + 1 + number] = time.time()
            assert put_change(client, entry, prefix.replace("_", "-"), number, 0.1) == 200
            responded_at[first_revision + 1 + number] = time.time()
            time.sleep(0.02)
    last_revision = first_revision + changes
    wait_until(
        lambda: all(configuration_revision(process) >= last_revision for process in processes),
        description="all changes are in force",
    )
    times = [in_force_times(process) for process in processes]

    def in_force(revision: int) -> float:
        """Return when the last process had ``revision`` or a later one in force."""
        return max(
            min(t for r, t in revision_times.items() if r >= revision) for revision_times in times
        )

    from_request = [in_force(revision) - sent_at[revision] for revision in sent_at]
    from_response = [max(0.0, in_force(revision) - responded_at[revision]) for revision in sent_at]
    print_figure(f"{prefix}_processes", len(processes), 0)
    print_figure(f"{prefix}_changes", len(sent_at), 0)
    for name, values in (("request", from_request), ("answer", from_response)):
        print_figure(f"{prefix}_{name}_to_in_force_p50_s", quantile(values, 0.5), 4)
        print_figure(f"{prefix}_{name}_to_in_force_p99_s", quantile(values, 0.99), 4)
        print_figure(f"{prefix}_{name}_to_in_force_worst_s", max(values), 4)


def measure_rate(deployment: Deployment) -> None:
    """Measure the commits per second of several concurrent operators at the leader."""
    process = deployment.instances[wait_for_leader(deployment)]
    end = time.monotonic() + LOAD_S

    def run(index: int) -> int:
        count = 0
        with httpx.Client(headers=HEADERS, trust_env=False) as client:
            while time.monotonic() < end:
                assert put_change(client, process, f"load-{index}", count, 0.1) == 200
                count += 1
        return count

    with concurrent.futures.ThreadPoolExecutor(max_workers=CLIENTS) as pool:
        commits = sum(pool.map(run, range(CLIENTS)))
    print_figure("commits_per_s", commits / LOAD_S, 1)


def measure_flood(deployment: Deployment) -> None:
    """Measure the latency of one member's changes, alone and while another floods the leader."""
    process = deployment.instances[wait_for_leader(deployment)]
    flooding = threading.Event()

    def flood(index: int) -> int:
        count = 0
        with httpx.Client(headers=HEADERS, trust_env=False, timeout=20.0) as client:
            while flooding.is_set():
                put_change(client, process, "greedy", -1 - index, 0.9)
                count += 1
        return count

    def probe(first: int) -> list[float]:
        times = []
        with httpx.Client(headers=HEADERS, trust_env=False, timeout=20.0) as client:
            for number in range(first, first + FLOOD_PROBES):
                started_at = time.monotonic()
                assert put_change(client, process, "modest", number, 0.1) == 200
                times.append(time.monotonic() - started_at)
        return times

    without_flood = probe(0)
    flooding.set()
    with concurrent.futures.ThreadPoolExecutor(max_workers=FLOOD_CLIENTS) as pool:
        flood_calls = [pool.submit(flood, index) for index in range(FLOOD_CLIENTS)]
        during_flood = probe(FLOOD_PROBES)
        flooding.clear()
        print_figure("flood_calls", sum(call.result() for call in flood_calls), 0)
    for name, times in (("alone", without_flood), ("beside_flood", during_flood)):
        print_figure(f"change_{name}_p50_s", quantile(times, 0.5), 4)
        print_figure(f"change_{name}_worst_s", max(times), 4)


def measure_recovery(deployment: Deployment) -> None:
    """Measure the time from a SIGKILL of the leader to the next accepted change."""
    times = []
    for number in range(LEADER_KILLS):
        name = wait_for_leader(deployment)
        started_at = time.monotonic()
        deployment.instances[name].kill()
        submit_until_accepted(deployment.instances["busan-3"], share=0.2 + number / 100)
        times.append(time.monotonic() - started_at)
        start_control_instance(deployment, name, disk=True)
        newest = member_configuration(deployment.instances["busan-3"])["revision"]
        wait_until(
            lambda n=name, r=newest: member_configuration(deployment.instances[n])["revision"] >= r,
            description="the restarted process has the newest revision",
        )
    print_figure("recovery_kills", len(times), 0)
    print_figure("recovery_p50_s", quantile(times, 0.5))
    print_figure("recovery_worst_s", max(times))


def cpu_time_s(processes: list[Process]) -> float:
    """Return the total CPU time of the processes, seconds."""
    ticks = 0
    for process in processes:
        fields = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text().split()
        ticks += int(fields[13]) + int(fields[14])
    return ticks / os.sysconf("SC_CLK_TCK")


def measure_without_control() -> None:
    """Measure the CPU time and traffic of idle processes without voters, for comparison."""
    folder = pathlib.Path(tempfile.mkdtemp())
    names = (*VOTERS, *OTHERS)[:NODES]
    with Deployment(folder, proxy=FaultProxy()) as deployment:
        write_examples(deployment)
        for name in names:
            deployment.start_instance(name, name.rsplit("-", 1)[0])
        assert deployment.proxy is not None
        time.sleep(SETTLE_S)
        processes = list(deployment.instances.values())
        deployment.proxy.record()
        cpu_before = cpu_time_s(processes)
        time.sleep(IDLE_S)
        cpu_share = (cpu_time_s(processes) - cpu_before) / IDLE_S / NODES
        print_figure(f"nodes_{NODES}_without_control_core_percent_per_node", cpu_share * 100, 2)
        data = deployment.proxy.recorded()
    size = sum(
        len(piece)
        for (sender, receiver), piece in data.items()
        if sender in names and receiver in names
    )
    print_figure(
        f"nodes_{NODES}_without_control_peer_bytes_per_s_per_node", size / IDLE_S / NODES, 0
    )


def measure_traffic(size: int, *, wide: bool) -> None:
    """Measure the traffic and CPU time of ``size`` processes, idle and for each change."""
    folder = pathlib.Path(tempfile.mkdtemp())
    names = (*VOTERS, *OTHERS)[:size]
    with Deployment(folder, proxy=FaultProxy()) as deployment:
        write_examples(deployment)
        start_voters(deployment, voters=VOTERS, others=names[len(VOTERS) :])
        assert deployment.proxy is not None
        proxy = deployment.proxy
        processes = list(deployment.instances.values())

        def recorded() -> int:
            data = proxy.recorded()
            return sum(
                len(b)
                for (sender, receiver), b in data.items()
                if sender in names and receiver in names
            )

        time.sleep(SETTLE_S)
        proxy.record()
        cpu_before = [cpu_time_s([process]) for process in processes]
        time.sleep(IDLE_S)
        idle_bytes_per_s = recorded() / IDLE_S
        cpu_used = [
            cpu_time_s([process]) - before
            for process, before in zip(processes, cpu_before, strict=True)
        ]
        print_figure(f"nodes_{size}_idle_peer_bytes_per_s_per_node", idle_bytes_per_s / size, 0)
        for kind, kind_used in (
            ("voter", cpu_used[: len(VOTERS)]),
            ("other", cpu_used[len(VOTERS) :]),
        ):
            if kind_used:
                percent = sum(kind_used) / len(kind_used) / IDLE_S * 100
                print_figure(f"nodes_{size}_idle_core_percent_per_{kind}", percent, 2)
        proxy.record()
        started_at = time.monotonic()
        with httpx.Client(headers=HEADERS, trust_env=False) as client:
            process = deployment.instances[wait_for_leader(deployment)]
            for number in range(RECORDED_CHANGES):
                assert put_change(client, process, "traffic", number, 0.1) == 200
        elapsed = time.monotonic() - started_at
        bytes_per_change = (recorded() - idle_bytes_per_s * elapsed) / RECORDED_CHANGES
        print_figure(f"nodes_{size}_peer_bytes_per_change", bytes_per_change, 0)
        print_figure(f"nodes_{size}_peer_bytes_per_change_per_node", bytes_per_change / size, 0)
        measure_propagation(deployment, f"nodes_{size}", RECORDED_CHANGES)
        if wide:
            for source in names:
                for destination in names:
                    if source.split("-")[0] != destination.split("-")[0]:
                        proxy.delay(source, destination, LINK_DELAY_S, both=False)
            time.sleep(SETTLE_S)
            measure_propagation(deployment, f"nodes_{size}_80ms", WIDE_CHANGES)


def encoded_change(number: int) -> bytes:
    """Return an encoded change for the log."""
    member = MemberConfiguration(name="replay", services=(), share=0.1)
    change = Change(
        command_id=f"replay-{number}", operator="root", base_revision=number, member=member
    )
    return encode_change(change)


def measure_replay(changes: int) -> None:
    """Measure the time to read an uncompacted log file and to apply its changes."""
    folder = pathlib.Path(tempfile.mkdtemp())
    storage = FileLogStorage(folder=folder, name="replay")
    peer = storage.load().peer
    machine = ChangeMachine(versioned=VersionedConfiguration())
    snapshot = first_snapshot(LogMembership(voters=(peer,)), machine.snapshot())
    storage.save((Persist(hard=HardState(), snapshot=snapshot),))
    for number in range(changes):
        entry = Entry(index=number + 2, term=1, kind=EntryKind.COMMAND, data=encoded_change(number))
        storage.save((Persist(hard=HardState(term=1), entries=(entry,)),))
    size = storage.size_bytes
    storage.close()
    started_at = time.monotonic()
    state = FileLogStorage(folder=folder, name="replay").load()
    for entry in state.entries:
        machine.apply(entry.data)
    print_figure(f"replay_{changes}_s", time.monotonic() - started_at)
    print_figure(f"replay_{changes}_bytes", size, 0)
    assert machine.versioned.revision == changes


def measure_core(voters: int, changes: int = 300) -> None:
    """Measure the messages, bytes and CPU time of replicas over an in-memory link."""
    peers = tuple(Peer(name=f"v{number:02}", incarnation="1") for number in range(voters))
    snapshot = first_snapshot(LogMembership(voters=peers))
    replicas = {
        peer.name: Replica(
            state=DurableState(peer=peer, snapshot=snapshot),
            settings=LogSettings(),
            eligible=(),
            rng=random.Random(number),
            now=0.0,
        )
        for number, peer in enumerate(peers)
    }
    counts = {"messages": 0, "bytes": 0, "applied": 0}

    def run(name: str, event: Any, now: float) -> None:
        pending = [(name, event)]
        while pending:
            replica_name, next_event = pending.pop(0)
            for effect in replicas[replica_name].handle(next_event, now):
                if isinstance(effect, Send):
                    counts["messages"] += 1
                    counts["bytes"] += len(encode(effect.message))
                    pending.append((effect.receiver, Received(message=effect.message)))
                elif isinstance(effect, Apply):
                    counts["applied"] += 1

    leader_name = peers[0].name
    run(leader_name, Tick(), 10.0)
    assert replicas[leader_name].role is Role.LEADER
    counts.update(messages=0, bytes=0)
    data = encoded_change(1)
    started_at = time.process_time()
    for _ in range(changes):
        run(leader_name, Propose(data=data), 10.0)
    cpu_used_s = time.process_time() - started_at
    print_figure(f"core_{voters}_messages_per_change", counts["messages"] / changes, 2)
    print_figure(f"core_{voters}_bytes_per_change", counts["bytes"] / changes, 0)
    print_figure(f"core_{voters}_cpu_us_per_change_all_replicas", cpu_used_s / changes * 1e6, 0)


def main() -> None:
    """Run every measurement."""
    folder = pathlib.Path(tempfile.mkdtemp())
    with Deployment(folder) as deployment:
        write_examples(deployment)
        start_voters(deployment, voters=VOTERS, others=OTHERS[: NODES - len(VOTERS)])
        measure_propagation(deployment, "local", CHANGES)
        measure_flood(deployment)
        measure_rate(deployment)
        measure_recovery(deployment)
    measure_without_control()
    for size in SIZES:
        measure_traffic(size, wide=size == NODES)
    for changes in (500, 5000):
        measure_replay(changes)
    for voters in (3, 5, 9, 23):
        measure_core(voters)


if __name__ == "__main__":
    main()
