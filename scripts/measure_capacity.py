"""Measures the slopes that docs/CAPACITY.md is worked out from.

Prints ``name=value`` lines: memory by what is imported, and time, bytes and memory of the parts
that grow with instances, engines, services or members. Membership has a script of its own, as have
the replicated log, the ledger and the path of a request.
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
#: Bytes of one streamed piece.
PIECE_BYTES = 200
REPEAT_S = 0.3
EXAMPLE = pathlib.Path(__file__).resolve().parent.parent / "examples" / "hanbit.answers.yaml"
IMPORTS = {
    "interpreter": "pass",
    "coordination": "import figpaddle.coordination",
    "routing": "import figpaddle.coordination, figpaddle.routing, figpaddle.ledger",
    "daemon": "import figpaddle.daemon._main",
}
PRINT_RESIDENT = (
    "; print(next(l for l in open('/proc/self/status') if l.startswith('VmRSS')).split()[1])"
)


def microseconds(work: Callable[[], object]) -> float:
    """Return the CPU time of one call of ``work``, microseconds."""
    begun = time.process_time()
    calls = 0
    while time.process_time() - begun < REPEAT_S:
        work()
        calls += 1
    return (time.process_time() - begun) * 1e6 / calls


def kilobytes(work: Callable[[], object]) -> float:
    """Return the memory that the result of ``work`` takes, kilobytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = work()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return used / 1024


def report(name: str, points: dict[int, float]) -> None:
    """Print one figure at each size and its slope."""
    for size, value in points.items():
        print(f"{name}_{size}={value:.3f}")
    slope = statistics.linear_regression(*zip(*points.items(), strict=True)).slope
    print(f"{name}_slope={slope:.5f}", flush=True)


def engine(number: int) -> BackendInfo:
    """Return what one engine announces."""
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
    """Return a table that knows ``engines``."""
    table = BackendTable()
    for number in range(engines):
        table.announce(engine(number), now=0.0)
    return table


def announce_all(table: BackendTable, infos: list[BackendInfo], sequence: list[int]) -> None:
    """Renew every announcement."""
    sequence[0] += 1
    for info in infos:
        table.announce(dataclasses.replace(info, sequence=sequence[0]), now=0.0)


def measure_memory() -> None:
    """Print the resident memory of processes that import more and more."""
    for name, statement in IMPORTS.items():
        command = [sys.executable, "-c", statement + PRINT_RESIDENT]
        output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
        print(f"resident_mb_{name}={int(output) / 1024:.1f}")


def measure_instances() -> None:
    """Print what grows with the number of instances."""
    infos = {count: instance_infos(count) for count in INSTANCE_COUNTS}
    report("entry_lookup_us", {n: microseconds(lambda n=n: lookup(infos[n])) for n in infos})
    report("topology_us", {n: microseconds(lambda n=n: links(infos[n])) for n in infos})
    topology = Topology(instances=infos[400])
    counts = [len(topology.links_of(info.name)) for info in infos[400]]
    print(f"links_400_mean={statistics.mean(counts):.2f}")
    print(f"links_400_max={max(counts)}")


def instance_infos(count: int) -> tuple[InstanceInfo, ...]:
    """Return ``count`` instances."""
    return tuple(instance_info(number, zones=ZONES) for number in range(count))


def lookup(infos: tuple[InstanceInfo, ...]) -> object:
    """Answer one entry lookup."""
    regions = tuple({info.region for info in infos})
    return rank_entries(infos, preferred_region=regions[0], allowed_regions=regions, caller="desk")


def links(infos: tuple[InstanceInfo, ...]) -> object:
    """Work out the links of one instance."""
    return Topology(instances=infos).links_of(infos[0].name)


def measure_engines() -> None:
    """Print what grows with the number of engines that an instance knows."""
    tables = {count: table_of(count) for count in ENGINE_COUNTS}
    report("announce_all_us", {n: microseconds(renewal(tables[n], n)) for n in tables})
    report(
        "candidates_us",
        {
            n: microseconds(lambda n=n: tables[n].candidates("member/model-1", now=0.0))
            for n in tables
        },
    )
    report(
        "summary_us", {n: microseconds(lambda n=n: tables[n].summaries(now=0.0)) for n in tables}
    )
    report("table_kb", {n: kilobytes(lambda n=n: table_of(n)) for n in tables})
    updates = {n: BackendsUpdate(backends=tuple(map(engine, range(n)))) for n in ENGINE_COUNTS}
    report("update_bytes", {n: float(len(encode(item))) for n, item in updates.items()})
    report("update_encode_us", {n: microseconds(lambda i=i: encode(i)) for n, i in updates.items()})
    frames = {n: encode(item) for n, item in updates.items()}
    report("update_decode_us", {n: microseconds(lambda f=f: decode(f)) for n, f in frames.items()})
    summary = RegionSummary(region="region-1", services=tables[113].summaries(now=0.0))
    print(f"summary_bytes_{SERVICES}_services={len(encode(summary))}")
    print(f"summary_encode_us={microseconds(lambda: encode(summary)):.2f}")
    frame = encode(summary)
    print(f"summary_decode_us={microseconds(lambda: decode(frame)):.2f}")
    piece = ForwardBody(data=b"x" * PIECE_BYTES, last=False)
    print(f"forwarded_piece_encode_us={microseconds(lambda: encode(piece)):.2f}")
    piece_frame = encode(piece)
    print(f"forwarded_piece_decode_us={microseconds(lambda: decode(piece_frame)):.2f}")


def renewal(table: BackendTable, engines: int) -> Callable[[], None]:
    """Return the work of taking in a new announcement of each engine."""
    infos = [engine(number) for number in range(engines)]
    sequence = [1]
    return lambda: announce_all(table, infos, sequence)


def measure_members() -> None:
    """Print what grows with the number of members in the configuration."""
    made = {count: configuration_of(count) for count in MEMBER_COUNTS}
    sizes = {}
    for count, configuration in made.items():
        sizes[count] = float(len(repr(configuration_to_plain(configuration))))
    report("configuration_text_bytes", sizes)
    report("configuration_kb", {n: kilobytes(lambda n=n: configuration_of(n)) for n in made})
    report("configuration_digest_us", {n: microseconds(one.digest) for n, one in made.items()})


def configuration_of(members: int) -> Configuration:
    """Return a configuration of ``members`` with the answers of the example."""
    answers = read_answers(load_yaml(EXAMPLE), document=str(EXAMPLE))
    named = tuple(
        dataclasses.replace(generate(answers).member, name=f"member-{number}")
        for number in range(members)
    )
    return Configuration(revision=members, members=named)


def main() -> None:
    """Measure every part."""
    measure_memory()
    measure_instances()
    measure_engines()
    measure_members()


if __name__ == "__main__":
    main()
