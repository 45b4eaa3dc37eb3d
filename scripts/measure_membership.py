"""Measures what membership costs a node, and how soon a death is known.

Prints ``name=value`` lines: for real processes at 3, 9 and 27 (or the numbers given), and for the
pure cores over an in-memory link at 27, 100, 200 and 400. Each exchange is counted at the
node that begins it, with the bytes of both directions.
"""

from __future__ import annotations

import pathlib
import statistics
import sys
import tempfile
import time
import tracemalloc

from figpaddle.coordination.tests.memory_network import MemoryNetwork, instance_info
from scripts.measure_path import cpu_seconds, resident_mb
from tests.calls import state, wait_until
from tests.conftest import write_examples
from tests.harness import Deployment

PROCESS_COUNTS = tuple(int(word) for word in sys.argv[1:]) or (3, 9, 27)
CORE_COUNTS = (27, 100, 200, 400)
PROCESS_WINDOW_S = 20.0
CORE_WINDOW_S = 30.0
SETTLE_S = 120.0
REGIONS = ("seoul", "busan", "daejeon")


def slope(points: list[tuple[int, float]]) -> float:
    """Return the least-squares change of the value for each further node."""
    return statistics.linear_regression(*zip(*points, strict=True)).slope


def exchanges(deployment: Deployment) -> tuple[int, int]:
    """Return the exchanges and their bytes of all instances so far."""
    parts = [state(one)["membership"]["exchanges"] for one in deployment.instances.values()]
    begun = sum(part["begun"] for part in parts)
    return begun, sum(part["bytes_sent"] + part["bytes_received"] for part in parts)


def known_live(deployment: Deployment) -> set[int]:
    """Return the numbers of live instances that the instances know of."""
    counts = set()
    for instance in deployment.instances.values():
        members = state(instance)["membership"]["instances"]
        counts.add(sum(member["state"] != "gone" for member in members))
    return counts


def measure_processes(count: int) -> dict[str, float]:
    """Return the cost of one of ``count`` idle instances, and the time to find a killed one."""
    with tempfile.TemporaryDirectory() as folder, Deployment(pathlib.Path(folder)) as deployment:
        write_examples(deployment)
        for number in range(count):
            region = REGIONS[number % len(REGIONS)]
            deployment.start_instance(f"{region}-{number}", region)
        wait_until(lambda: known_live(deployment) == {count}, what="all known", timeout_s=SETTLE_S)
        figures = cost_of_idling(deployment)
        victim = list(deployment.instances)[-1]
        deployment.instances.pop(victim).kill()
        figures["detection_s"] = wait_until(
            lambda: known_live(deployment) == {count - 1}, what="death known", timeout_s=SETTLE_S
        )
    return figures


def cost_of_idling(deployment: Deployment) -> dict[str, float]:
    """Return CPU, messages and bytes a node a second and memory a node."""
    instances = list(deployment.instances.values())
    begun_before, bytes_before = exchanges(deployment)
    cpu_before = sum(cpu_seconds(one) for one in instances)
    begun_at = time.monotonic()
    wait_until(
        lambda: time.monotonic() - begun_at > PROCESS_WINDOW_S,
        what="window",
        timeout_s=2 * PROCESS_WINDOW_S,
    )
    cpu = sum(cpu_seconds(one) for one in instances) - cpu_before
    elapsed = time.monotonic() - begun_at
    begun_after, bytes_after = exchanges(deployment)
    share = len(instances) * elapsed
    return {
        "whole_process_cpu_percent": 100.0 * cpu / share,
        "exchanges_per_s": (begun_after - begun_before) / share,
        "exchange_bytes_per_s": (bytes_after - bytes_before) / share,
        "resident_mb": statistics.mean(resident_mb(one) for one in instances),
    }


def measure_cores(count: int) -> dict[str, float]:
    """Return the cost of one of ``count`` cores that know each other."""
    network = MemoryNetwork(seed=count, measured=True)
    tracemalloc.start()
    for number in range(count):
        join = (instance_info(0).peer_address,) if number else ()
        network.start(instance_info(number, zones=51), join=join)
    converged_s = network.run_until(network.agreed, timeout_s=SETTLE_S)
    memory_kb = tracemalloc.get_traced_memory()[0] / count / 1024
    tracemalloc.stop()
    network.measured = False
    spread_s = network.run_until(lambda: nothing_spreads(network), timeout_s=10 * SETTLE_S)
    cpu_us = cpu_of_cores(network, count)
    network.measured = True
    network.messages = network.bytes = 0
    network.run(CORE_WINDOW_S)
    share = count * CORE_WINDOW_S
    figures = {
        "all_joined_at_once_s": converged_s,
        "news_spread_after_s": spread_s,
        "messages_per_s": network.messages / share,
        "bytes_per_s": network.bytes / share,
        "largest_message_bytes": float(network.largest_bytes),
        "cpu_us_per_s": cpu_us,
        "memory_kb": memory_kb,
    }
    network.changes.clear()
    network.kill("instance-001")
    figures["first_detection_s"] = network.run_until(
        lambda: network.deaths() != [], timeout_s=SETTLE_S
    )
    figures["known_everywhere_s"] = figures["first_detection_s"] + network.run_until(
        network.agreed, timeout_s=SETTLE_S
    )
    return figures


def nothing_spreads(network: MemoryNetwork) -> bool:
    """Return whether no core has news left to send."""
    return all(core.spreading_news == 0 for core in network.cores.values())


def cpu_of_cores(network: MemoryNetwork, count: int) -> float:
    """Return the CPU time a core and virtual second, the in-memory link included."""
    begun = time.process_time()
    network.run(CORE_WINDOW_S)
    return (time.process_time() - begun) * 1e6 / count / CORE_WINDOW_S


def report(kind: str, rows: dict[int, dict[str, float]]) -> None:
    """Print each figure at each number of nodes and its slope."""
    for name in next(iter(rows.values())):
        points = [(count, figures[name]) for count, figures in rows.items()]
        for count, value in points:
            print(f"{kind}_{count}_{name}={value:.3f}")
        if len(points) > 1:
            print(f"{kind}_slope_{name}_per_node={slope(points):.5f}", flush=True)


def main() -> None:
    """Measure the cores, then the processes."""
    report("cores", {count: measure_cores(count) for count in CORE_COUNTS})
    report("processes", {count: measure_processes(count) for count in PROCESS_COUNTS})


if __name__ == "__main__":
    main()
