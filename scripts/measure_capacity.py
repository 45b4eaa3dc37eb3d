"""Measures how costs grow with the size of a deployment, as input for docs/CAPACITY.md.

Prints ``name=value`` lines: resident memory by imported packages, and the time, bytes and memory
of the components that grow with instances, engines, services or members. Membership, the
replicated log, the ledger and the request path have scripts of their own.
"""

from __future__ import annotations

import dataclasses
import pathlib
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable

from figpaddle.coordination import Topology
from figpaddle.coordination.tests.memory_network import instance_info
from figpaddle.daemon._settings import load_yaml
from figpaddle.deployment import Configuration, configuration_to_plain, generate, read_answers
from figpaddle.routing import BackendTable, rank_entries
from figpaddle.wire import (
    BackendInfo,
    BackendsUpdate,
    ForwardBody,
    InstanceInfo,
    RegionSummary,
    decode,
    encode,
)

INSTANCE_COUNTS = (27, 100, 200, 400)
ENGINE_COUNTS = (10, 33, 113)
MEMBER_COUNTS = (2, 20, 100, 400)
SERVICES = 7
ZONES = 51
#: Size of one chunk of a response stream.
CHUNK_BYTES = 200
#: CPU time for which each measured call is repeated.
REPEAT_S = 0.3
EXAMPLE = pathlib.Path(__file__).resolve().parent.parent / "examples" / "hanbit.answers.yaml"
IMPORTS = {
    "interpreter": "pass",
    "coordination": "import figpaddle.coordination",
    "routing": "import figpaddle.coordination, figpaddle.routing, figpaddle.ledger",
    "daemon": "import figpaddle.daemon._main",
}
PRINT_RESIDENT_MEMORY = (
    "; print(next(l for l in open('/proc/self/status') if l.startswith('VmRSS')).split()[1])"
)


def cpu_time_us(function: Callable[[], object]) -> float:
    """Return the CPU time of one call of ``function``, microseconds."""
    started_at = time.process_time()
    calls = 0
    while time.process_time() - started_at < REPEAT_S:
        function()
        calls += 1
    return (time.process_time() - started_at) * 1e6 / calls


def memory_kb(function: Callable[[], object]) -> float:
    """Return the memory that the result of ``function`` uses, kilobytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = function()
    used_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del result
    return used_bytes / 1024


def report(name: str, points: dict[int, float]) -> None:
    """Print a figure at each size and its slope by linear regression."""
    for size, value in points.items():
        print(f"{name}_{size}={value:.3f}")
    slope = statistics.linear_regression(*zip(*points.items(), strict=True)).slope
    print(f"{name}_slope={slope:.5f}", flush=True)


def announcement_of(number: int) -> BackendInfo:
    """Return the announcement of one engine."""
    return BackendInfo(
        name=f"engine-{number:04d}",
        address=f"10.1.{number // 250}.{number % 250}:8000",
        region="region-1",
        zone="zone-1",
        services=(f"member/model-{number % SERVICES}",),
        incarnation=1,
        sequence=1,
    )


def table_of(engines: int) -> BackendTable:
    """Return a table with this number of engines."""
    table = BackendTable()
    for number in range(engines):
        table.announce(announcement_of(number), now=0.0)
    return table


def announce_all(table: BackendTable, infos: list[BackendInfo], sequence: list[int]) -> None:
    """Announce every engine with the next sequence number."""
    sequence[0] += 1
    for info in infos:
        table.announce(dataclasses.replace(info, sequence=sequence[0]), now=0.0)


def measure_memory() -> None:
    """Print the resident memory of processes with different imports."""
    for name, statement in IMPORTS.items():
        command = [sys.executable, "-c", statement + PRINT_RESIDENT_MEMORY]
        output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
        print(f"resident_mb_{name}={int(output) / 1024:.1f}")


def measure_instances() -> None:
    """Print the figures that grow with the number of instances."""
    infos = {count: instance_infos(count) for count in INSTANCE_COUNTS}
    report("entry_lookup_us", {n: cpu_time_us(lambda n=n: lookup(infos[n])) for n in infos})
    report("topology_us", {n: cpu_time_us(lambda n=n: compute_links(infos[n])) for n in infos})
    topology = Topology(instances=infos[400])
    counts = [len(topology.links_of(info.name)) for info in infos[400]]
    print(f"links_400_mean={statistics.mean(counts):.2f}")
    print(f"links_400_max={max(counts)}")


def instance_infos(count: int) -> tuple[InstanceInfo, ...]:
    """Return the information on ``count`` instances."""
    return tuple(instance_info(number, zones=ZONES) for number in range(count))


def lookup(infos: tuple[InstanceInfo, ...]) -> object:
    """Perform one entry lookup."""
    regions = tuple({info.region for info in infos})
    return rank_entries(infos, preferred_region=regions[0], allowed_regions=regions, caller="desk")


def compute_links(infos: tuple[InstanceInfo, ...]) -> object:
    """Compute the links of one instance."""
    return Topology(instances=infos).links_of(infos[0].name)


def measure_engines() -> None:
    """Print the figures that grow with the number of engines that an instance knows."""
    tables = {count: table_of(count) for count in ENGINE_COUNTS}
    report("announce_all_us", {n: cpu_time_us(reannouncement(tables[n], n)) for n in tables})
    report(
        "candidates_us",
        {
            n: cpu_time_us(lambda n=n: tables[n].candidates("member/model-1", now=0.0))
            for n in tables
        },
    )
    report("summary_us", {n: cpu_time_us(lambda n=n: tables[n].summaries(now=0.0)) for n in tables})
    report("table_kb", {n: memory_kb(lambda n=n: table_of(n)) for n in tables})
    updates = {
        n: BackendsUpdate(backends=tuple(map(announcement_of, range(n)))) for n in ENGINE_COUNTS
    }
    report("update_bytes", {n: float(len(encode(update))) for n, update in updates.items()})
    report("update_encode_us", {n: cpu_time_us(lambda i=i: encode(i)) for n, i in updates.items()})
    frames = {n: encode(update) for n, update in updates.items()}
    report("update_decode_us", {n: cpu_time_us(lambda f=f: decode(f)) for n, f in frames.items()})
    summary = RegionSummary(region="region-1", services=tables[113].summaries(now=0.0))
    print(f"summary_bytes_{SERVICES}_services={len(encode(summary))}")
    print(f"summary_encode_us={cpu_time_us(lambda: encode(summary)):.2f}")
    frame = encode(summary)
    print(f"summary_decode_us={cpu_time_us(lambda: decode(frame)):.2f}")
    chunk = ForwardBody(data=b"x" * CHUNK_BYTES, last=False)
    print(f"forwarded_piece_encode_us={cpu_time_us(lambda: encode(chunk)):.2f}")
    chunk_frame = encode(chunk)
    print(f"forwarded_piece_decode_us={cpu_time_us(lambda: decode(chunk_frame)):.2f}")


def reannouncement(table: BackendTable, engines: int) -> Callable[[], None]:
    """Return a function that applies a new announcement of each engine."""
    infos = [announcement_of(number) for number in range(engines)]
    sequence = [1]
    return lambda: announce_all(table, infos, sequence)


def measure_members() -> None:
    """Print the figures that grow with the number of members in the configuration."""
    configurations = {count: configuration_of(count) for count in MEMBER_COUNTS}
    sizes = {}
    for count, configuration in configurations.items():
        sizes[count] = float(len(repr(configuration_to_plain(configuration))))
    report("configuration_text_bytes", sizes)
    report(
        "configuration_kb", {n: memory_kb(lambda n=n: configuration_of(n)) for n in configurations}
    )
    report(
        "configuration_digest_us",
        {n: cpu_time_us(configuration.digest) for n, configuration in configurations.items()},
    )


def configuration_of(members: int) -> Configuration:
    """Return a configuration with this number of members, all generated from one example."""
    answers = read_answers(load_yaml(EXAMPLE), document=str(EXAMPLE))
    named_members = tuple(
        dataclasses.replace(generate(answers).member, name=f"member-{number}")
        for number in range(members)
    )
    return Configuration(revision=members, members=named_members)


def main() -> None:
    """Run every measurement."""
    measure_memory()
    measure_instances()
    measure_engines()
    measure_members()


if __name__ == "__main__":
    main()
