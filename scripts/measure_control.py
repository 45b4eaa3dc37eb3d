"""Measures control with real processes; prints one name=value line for each figure.

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
from tests.control import accepted, leader, part, revision, start, start_voters
from tests.fault_proxy import FaultProxy
from tests.harness import OPERATOR_TOKEN, Deployment, Process

VOTERS = ("seoul-1", "busan-1", "daejeon-1")
OTHERS = tuple(f"{region}-{n}" for n in range(2, 10) for region in ("seoul", "busan", "daejeon"))
NODES = 9
SIZES = (3, 9, 27)
SETTLE_S = 2.0
CHANGES = 200
CLIENTS = 16
LOAD_S = 5.0
KILLS = 5
IDLE_S = 10.0
RECORDED_CHANGES = 100
WIDE_CHANGES = 100
LINK_DELAY_S = 0.08
FLOOD_CLIENTS = 48
FLOOD_PROBES = 100
HEADERS = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
IN_FORCE = re.compile(r"time=(\S+) .*configuration_in_force.* revision=(\d+)")


def show(name: str, value: float, digits: int = 3) -> None:
    """Print one figure."""
    print(f"{name}={value:.{digits}f}", flush=True)


def quantile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of ``values`` lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def put(client: httpx.Client, process: Process, member: str, base: int, share: float) -> int:
    """Send one small change and return the status of its answer."""
    url = f"http://{process.fields['operators']}/v1/configuration/{member}"
    configuration = {"name": member, "services": [], "share": share}
    plain = {
        "command_id": f"{member}-{base}",
        "base_revision": base,
        "configuration": configuration,
    }
    answer = client.put(url, json=plain)
    return answer.status_code


def in_force_times(process: Process) -> dict[int, float]:
    """Return when each revision was put in force, by the process's own log, seconds."""
    times = {}
    for line in list(process.lines):
        found = IN_FORCE.search(line)
        if found:
            moment = datetime.datetime.fromisoformat(found[1].replace("Z", "+00:00"))
            times[int(found[2])] = moment.timestamp()
    return times


def measure_spread(deployment: Deployment, prefix: str, changes: int) -> None:
    """Time from the operator's request, and from its answer, to the last of nine processes."""
    processes = list(deployment.instances.values())
    entry = processes[-1]
    first = max(revision(one) for one in processes)
    wait_until(lambda: all(revision(one) == first for one in processes), what="the same start")
    sent, answered = {}, {}
    with httpx.Client(headers=HEADERS, trust_env=False) as client:
        for number in range(changes):
            sent[first + 1 + number] = time.time()
            assert put(client, entry, prefix.replace("_", "-"), number, 0.1) == 200
            answered[first + 1 + number] = time.time()
            time.sleep(0.02)
    last = first + changes
    wait_until(lambda: all(revision(one) >= last for one in processes), what="in force")
    times = [in_force_times(process) for process in processes]

    def in_force(number: int) -> float:
        """Return when the slowest process had ``number`` or a later revision in force."""
        return max(min(t for r, t in known.items() if r >= number) for known in times)

    from_request = [in_force(number) - sent[number] for number in sent]
    from_answer = [max(0.0, in_force(number) - answered[number]) for number in sent]
    show(f"{prefix}_processes", len(processes), 0)
    show(f"{prefix}_changes", len(sent), 0)
    for name, values in (("request", from_request), ("answer", from_answer)):
        show(f"{prefix}_{name}_to_in_force_p50_s", quantile(values, 0.5), 4)
        show(f"{prefix}_{name}_to_in_force_p99_s", quantile(values, 0.99), 4)
        show(f"{prefix}_{name}_to_in_force_worst_s", max(values), 4)


def measure_rate(deployment: Deployment) -> None:
    """Commits a second that several operators get from the leader."""
    process = deployment.instances[leader(deployment)]
    end = time.monotonic() + LOAD_S

    def run(index: int) -> int:
        count = 0
        with httpx.Client(headers=HEADERS, trust_env=False) as client:
            while time.monotonic() < end:
                assert put(client, process, f"load-{index}", count, 0.1) == 200
                count += 1
        return count

    with concurrent.futures.ThreadPoolExecutor(max_workers=CLIENTS) as pool:
        done = sum(pool.map(run, range(CLIENTS)))
    show("commits_per_s", done / LOAD_S, 1)


def measure_flood(deployment: Deployment) -> None:
    """Time of one member's changes alone, and while another member floods the leader."""
    process = deployment.instances[leader(deployment)]
    flooding = threading.Event()

    def flood(index: int) -> int:
        count = 0
        with httpx.Client(headers=HEADERS, trust_env=False, timeout=20.0) as client:
            while flooding.is_set():
                put(client, process, "greedy", -1 - index, 0.9)
                count += 1
        return count

    def probe(first: int) -> list[float]:
        times = []
        with httpx.Client(headers=HEADERS, trust_env=False, timeout=20.0) as client:
            for number in range(first, first + FLOOD_PROBES):
                begun = time.monotonic()
                assert put(client, process, "modest", number, 0.1) == 200
                times.append(time.monotonic() - begun)
        return times

    alone = probe(0)
    flooding.set()
    with concurrent.futures.ThreadPoolExecutor(max_workers=FLOOD_CLIENTS) as pool:
        floods = [pool.submit(flood, index) for index in range(FLOOD_CLIENTS)]
        beside = probe(FLOOD_PROBES)
        flooding.clear()
        show("flood_calls", sum(one.result() for one in floods), 0)
    for name, times in (("alone", alone), ("beside_flood", beside)):
        show(f"change_{name}_p50_s", quantile(times, 0.5), 4)
        show(f"change_{name}_worst_s", max(times), 4)


def measure_recovery(deployment: Deployment) -> None:
    """Time from kill -9 of the leader to the next accepted change."""
    times = []
    for number in range(KILLS):
        name = leader(deployment)
        begun = time.monotonic()
        deployment.instances[name].kill()
        accepted(deployment.instances["busan-3"], share=0.2 + number / 100)
        times.append(time.monotonic() - begun)
        start(deployment, name, disk=True)
        newest = part(deployment.instances["busan-3"])["revision"]
        wait_until(
            lambda n=name, r=newest: part(deployment.instances[n])["revision"] >= r, what="back"
        )
    show("recovery_kills", len(times), 0)
    show("recovery_p50_s", quantile(times, 0.5))
    show("recovery_worst_s", max(times))


def processor_s(processes: list[Process]) -> float:
    """Return the processor time that the processes have used, seconds."""
    ticks = 0
    for process in processes:
        fields = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text().split()
        ticks += int(fields[13]) + int(fields[14])
    return ticks / os.sysconf("SC_CLK_TCK")


def measure_without_control() -> None:
    """Processor time and bytes at rest of as many processes without voters."""
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
        spent = processor_s(processes)
        time.sleep(IDLE_S)
        busy = (processor_s(processes) - spent) / IDLE_S / NODES
        show(f"nodes_{NODES}_without_control_core_percent_per_node", busy * 100, 2)
        data = deployment.proxy.recorded()
    size = sum(len(piece) for (a, z), piece in data.items() if a in names and z in names)
    show(f"nodes_{NODES}_without_control_peer_bytes_per_s_per_node", size / IDLE_S / NODES, 0)


def measure_traffic(size: int, *, wide: bool) -> None:
    """Bytes and processor time of ``size`` processes: idle, and for each change."""
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
            return sum(len(b) for (a, z), b in data.items() if a in names and z in names)

        time.sleep(SETTLE_S)
        proxy.record()
        spent = [processor_s([process]) for process in processes]
        time.sleep(IDLE_S)
        idle = recorded() / IDLE_S
        used = [processor_s([one]) - before for one, before in zip(processes, spent, strict=True)]
        show(f"nodes_{size}_idle_peer_bytes_per_s_per_node", idle / size, 0)
        for kind, part_used in (("voter", used[: len(VOTERS)]), ("other", used[len(VOTERS) :])):
            if part_used:
                percent = sum(part_used) / len(part_used) / IDLE_S * 100
                show(f"nodes_{size}_idle_core_percent_per_{kind}", percent, 2)
        proxy.record()
        begun = time.monotonic()
        with httpx.Client(headers=HEADERS, trust_env=False) as client:
            process = deployment.instances[leader(deployment)]
            for number in range(RECORDED_CHANGES):
                assert put(client, process, "traffic", number, 0.1) == 200
        elapsed = time.monotonic() - begun
        changed = (recorded() - idle * elapsed) / RECORDED_CHANGES
        show(f"nodes_{size}_peer_bytes_per_change", changed, 0)
        show(f"nodes_{size}_peer_bytes_per_change_per_node", changed / size, 0)
        measure_spread(deployment, f"nodes_{size}", RECORDED_CHANGES)
        if wide:
            for one in names:
                for other in names:
                    if one.split("-")[0] != other.split("-")[0]:
                        proxy.delay(one, other, LINK_DELAY_S, both=False)
            time.sleep(SETTLE_S)
            measure_spread(deployment, f"nodes_{size}_80ms", WIDE_CHANGES)


def command(number: int) -> bytes:
    """Return a small command for the log."""
    member = MemberConfiguration(name="replay", services=(), share=0.1)
    change = Change(
        command_id=f"replay-{number}", operator="root", base_revision=number, member=member
    )
    return encode_change(change)


def measure_replay(changes: int) -> None:
    """Time to read the file and apply all its changes, without any compaction."""
    folder = pathlib.Path(tempfile.mkdtemp())
    storage = FileLogStorage(folder=folder, name="replay")
    peer = storage.load().peer
    machine = ChangeMachine(versioned=VersionedConfiguration())
    snapshot = first_snapshot(LogMembership(voters=(peer,)), machine.snapshot())
    storage.save((Persist(hard=HardState(), snapshot=snapshot),))
    for number in range(changes):
        entry = Entry(index=number + 2, term=1, kind=EntryKind.COMMAND, data=command(number))
        storage.save((Persist(hard=HardState(term=1), entries=(entry,)),))
    size = storage.size_bytes
    storage.close()
    begun = time.monotonic()
    state = FileLogStorage(folder=folder, name="replay").load()
    for entry in state.entries:
        machine.apply(entry.data)
    show(f"replay_{changes}_s", time.monotonic() - begun)
    show(f"replay_{changes}_bytes", size, 0)
    assert machine.versioned.revision == changes


def measure_core(voters: int, changes: int = 300) -> None:
    """Messages, bytes and processor time of the replicas alone, over an in-memory link."""
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
        waiting = [(name, event)]
        while waiting:
            receiver, one = waiting.pop(0)
            for effect in replicas[receiver].handle(one, now):
                if isinstance(effect, Send):
                    counts["messages"] += 1
                    counts["bytes"] += len(encode(effect.message))
                    waiting.append((effect.receiver, Received(message=effect.message)))
                elif isinstance(effect, Apply):
                    counts["applied"] += 1

    leading = peers[0].name
    run(leading, Tick(), 10.0)
    assert replicas[leading].role is Role.LEADER
    counts.update(messages=0, bytes=0)
    data = command(1)
    begun = time.process_time()
    for _ in range(changes):
        run(leading, Propose(data=data), 10.0)
    spent = time.process_time() - begun
    show(f"core_{voters}_messages_per_change", counts["messages"] / changes, 2)
    show(f"core_{voters}_bytes_per_change", counts["bytes"] / changes, 0)
    show(f"core_{voters}_cpu_us_per_change_all_replicas", spent / changes * 1e6, 0)


def main() -> None:
    """Run every measurement."""
    folder = pathlib.Path(tempfile.mkdtemp())
    with Deployment(folder) as deployment:
        write_examples(deployment)
        start_voters(deployment, voters=VOTERS, others=OTHERS[: NODES - len(VOTERS)])
        measure_spread(deployment, "local", CHANGES)
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
