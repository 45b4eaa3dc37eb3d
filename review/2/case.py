"""A withdrawal of an evacuation that waited at a frozen node undoes a later, acknowledged evacuation."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standin  # noqa: E402

CORES = {
    "core-1": "seoul-a",
    "core-2": "seoul-a",
    "core-3": "busan-a",
    "core-4": "busan-a",
    "core-5": "daejeon-a",
}
FRONTS = {"front-1": "seoul-a", "front-2": "busan-a", "front-3": "daejeon-a"}
ENGINES = ["seoul-a", "seoul-a", "busan-a", "busan-a", "daejeon-a"]
ZONE = "seoul-a"
#: evacuate-ms plus max-skew-ms, by which an unstable core may stretch it, seconds.
BOUND_S = 5.0 + 10.0
CONTACT_S = 6.0


async def play(deployment: standin.Deployment, trouble: bool) -> bool:
    """Evacuate the zone, withdraw that, evacuate again; return whether the zone stays evacuated."""
    await standin.begin(deployment, cores=CORES, fronts=FRONTS, engines=ENGINES)
    start, end = f"/v1/evacuate/{ZONE}/start", f"/v1/evacuate/{ZONE}/end"
    others = ["core-3", "core-4", "core-5"]
    await deployment.operator("POST", start, order=["core-3"])
    await asyncio.sleep(6.0)
    if trouble:
        # The core has no majority for two seconds, and the order reaches core-1 meanwhile.
        for name in others:
            deployment.signal(name, signal.SIGSTOP)
        first = await standin.call(deployment.address("core-1", "control"), "POST", end)
        deployment.record.note(f"operator: POST {end} at core-1 -> {first.status or 'nothing'}")
        # Now core-1 freezes, and the others wake.
        deployment.signal("core-1", signal.SIGSTOP)
        for name in others:
            deployment.signal(name, signal.SIGCONT)
    await deployment.operator("POST", end, order=others)
    await asyncio.sleep(0.5)
    await deployment.operator("POST", start, order=others)
    acknowledged_at = time.monotonic()
    if trouble:
        deployment.signal("core-1", signal.SIGCONT)
    deployment.record.note("the zone is evacuated, and stays so until the end of the run")
    await asyncio.sleep(max(BOUND_S, CONTACT_S) + 1.0)
    checked_from = time.monotonic()
    for _ in range(40):
        await deployment.send("front-1", "/lookup/1")
        await asyncio.sleep(0.1)
    late = [
        (engine.name, request_id)
        for engine in deployment.engines
        if engine.zone == ZONE
        for at, request_id in engine.runs
        if at >= checked_from
    ]
    deployment.record.note(
        f"requests at engines of {ZONE} later than {checked_from - acknowledged_at:.1f} s after the "
        f"acknowledgement of its evacuation: {len(late)}"
    )
    return not late


if __name__ == "__main__":
    sys.exit(standin.run_case(FOLDER, play))
