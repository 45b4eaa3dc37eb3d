"""Measures the cost of membership for each node and the time to detect a failed node.

Prints ``name=value`` lines: for 3, 9 and 27 real processes (or the counts given as arguments), and
for 27, 100, 200 and 400 membership cores over an in-memory link. Each exchange is counted at the
node that initiates it, with the bytes of both directions.
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
from tests.calls import state_dump, wait_until
from tests.conftest import write_examples
from tests.harness import Deployment

PROCESS_COUNTS = tuple(int(argument) for argument in sys.argv[1:]) or (3, 9, 27)
CORE_COUNTS = (27, 100, 200, 400)
PROCESS_WINDOW_S = 20.0
CORE_WINDOW_S = 30.0
SETTLE_S = 120.0
REGIONS = ("seoul", "busan", "daejeon")


def slope(points: list[tuple[int, float]]) -> float:
    """Return the increase of the value per node by linear regression."""
    return statistics.linear_regression(*zip(*points, strict=True)).slope


def count_exchanges(deployment: Deployment) -> tuple[int, int]:
    """Return the number and the bytes of all exchanges of all instances so far."""
    counters = [
        state_dump(instance)["membership"]["exchanges"]
        for instance in deployment.instances.values()
    ]
    exchange_count = sum(counter["begun"] for counter in counters)
    return exchange_count, sum(
        counter["bytes_sent"] + counter["bytes_received"] for counter in counters
    )


def known_live(deployment: Deployment) -> set[int]:
    """Return the distinct counts of live instances in the membership views of the instances."""
    counts = set()
    for instance in deployment.instances.values():
        entries = state_dump(instance)["membership"]["instances"]
        counts.add(sum(entry["state"] != "gone" for entry in entries))
    return counts


def measure_processes(count: int) -> dict[str, float]:
    """Return the cost of one of ``count`` idle instances and the time to detect a killed one."""
    with tempfile.TemporaryDirectory() as folder, Deployment(pathlib.Path(folder)) as deployment:
        write_examples(deployment)
        for number in range(count):
            region = REGIONS[number % len(REGIONS)]
            deployment.start_instance(f"{region}-{number}", region)
        wait_until(
            lambda: known_live(deployment) == {count},
            description="all instances are known",
            timeout_s=SETTLE_S,
        )
        figures = idle_cost(deployment)
        killed_name = list(deployment.instances)[-1]
        deployment.instances.pop(killed_name).kill()
        figures["detection_s"] = wait_until(
            lambda: known_live(deployment) == {count - 1},
            description="the killed instance is detected",
            timeout_s=SETTLE_S,
        )
    return figures


def idle_cost(deployment: Deployment) -> dict[str, float]:
    """Return the CPU time, exchanges and bytes per node and second, and the memory per node."""
    instances = list(deployment.instances.values())
    exchanges_before, bytes_before = count_exchanges(deployment)
    cpu_before = sum(cpu_seconds(instance) for instance in instances)
    started_at = time.monotonic()
    wait_until(
        lambda: time.monotonic() - started_at > PROCESS_WINDOW_S,
        description="end of the measurement",
        timeout_s=2 * PROCESS_WINDOW_S,
    )
    cpu = sum(cpu_seconds(instance) for instance in instances) - cpu_before
    elapsed = time.monotonic() - started_at
    exchanges_after, bytes_after = count_exchanges(deployment)
    node_seconds = len(instances) * elapsed
    return {
        "whole_process_cpu_percent": 100.0 * cpu / node_seconds,
        "exchanges_per_s": (exchanges_after - exchanges_before) / node_seconds,
        "exchange_bytes_per_s": (bytes_after - bytes_before) / node_seconds,
        "resident_mb": statistics.mean(resident_mb(instance) for instance in instances),
    }


def measure_cores(count: int) -> dict[str, float]:
    """Return the cost of one of ``count`` membership cores and the time to detect a failed one."""
    network = MemoryNetwork(seed=count, measures_bytes=True)
    tracemalloc.start()
    for number in range(count):
        join = (instance_info(0).peer_address,) if number else ()
        network.start(instance_info(number, zones=51), join=join)
    converged_s = network.run_until(network.views_agree, timeout_s=SETTLE_S)
    memory_kb = tracemalloc.get_traced_memory()[0] / count / 1024
    tracemalloc.stop()
    network.measures_bytes = False
    update_spread_s = network.run_until(
        lambda: is_update_spread_complete(network), timeout_s=10 * SETTLE_S
    )
    cpu_us = cpu_per_core_us(network, count)
    network.measures_bytes = True
    network.messages = network.bytes = 0
    network.run(CORE_WINDOW_S)
    node_seconds = count * CORE_WINDOW_S
    figures = {
        "all_joined_at_once_s": converged_s,
        "news_spread_after_s": update_spread_s,
        "messages_per_s": network.messages / node_seconds,
        "bytes_per_s": network.bytes / node_seconds,
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
        network.views_agree, timeout_s=SETTLE_S
    )
    return figures


def is_update_spread_complete(network: MemoryNetwork) -> bool:
    """Return whether no core has membership updates left to send."""
    return all(core.queued_updates == 0 for core in network.cores.values())


def cpu_per_core_us(network: MemoryNetwork, count: int) -> float:
    """Return the CPU time per core and virtual second, including the in-memory link."""
    cpu_before_s = time.process_time()
    network.run(CORE_WINDOW_S)
    return (time.process_time() - cpu_before_s) * 1e6 / count / CORE_WINDOW_S


def report(kind: str, rows: dict[int, dict[str, float]]) -> None:
    """Print each figure at each node count and its slope."""
    for name in next(iter(rows.values())):
        points = [(count, figures[name]) for count, figures in rows.items()]
        for count, value in points:
            print(f"{kind}_{count}_{name}={value:.3f}")
        if len(points) > 1:
            print(f"{kind}_slope_{name}_per_node={slope(points):.5f}", flush=True)


def main() -> None:
    """Measure the membership cores, then the processes."""
    report("cores", {count: measure_cores(count) for count in CORE_COUNTS})
    report("processes", {count: measure_processes(count) for count in PROCESS_COUNTS})


if __name__ == "__main__":
    main()
