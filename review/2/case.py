"""A withdrawal of an evacuation that waits at a frozen node undoes a later, acknowledged evacuation."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import sys
import time
from typing import Any

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
START, END = f"/v1/evacuate/{ZONE}/start", f"/v1/evacuate/{ZONE}/end"
OTHERS = ["core-2", "core-3", "core-4", "core-5"]
#: Routes that a change of the configuration adds; the site's big_config has 350.
ROUTES = 350
#: Changes of the configuration in progress at once beside the withdrawal; eight orders may be.
CHANGES = 7
#: Time from these orders to the first freeze, seconds. They take about 0.1 s here, and some round trips
#: between regions (0.16 s each) in the deployment. A freeze that comes after the withdrawal was answered
#: is tried again sooner, one that comes before it was read later.
FIRST_DELAY_S, SOONER, LATER = 0.06, 0.6, 1.4
TRIES = 6
#: Time after the freeze in which the rule's machines are out of touch (contact-ms), seconds.
CONTACT_S = 6.0
#: evacuate-ms plus max-skew-ms, by which an unstable core may stretch it, seconds.
BOUND_S = 5.0 + 10.0


def changed_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with many routes."""
    document = standin.configuration(version)
    document["routes"] += [standin.route(f"extra-{n}", "idempotent") for n in range(ROUTES)]
    return document


def runs_in_zone(deployment: standin.Deployment, since: float) -> int:
    """Return how many requests engines of the zone have run since a time."""
    return sum(
        at >= since for engine in deployment.engines if engine.zone == ZONE for at, _ in engine.runs
    )


async def freeze_beside_orders(
    deployment: standin.Deployment, version: int, delay_s: float
) -> bool:
    """Freeze core-1 while it has orders in progress; they are then made through other nodes.

    The configurations have the versions from ``version``. Returns whether the withdrawal was answered.
    """
    core = deployment.address("core-1", "control")
    documents = [changed_configuration(version + n) for n in range(CHANGES)]
    orders = {f"version {document['version']}": document for document in documents}
    calls = [
        asyncio.create_task(
            standin.call(core, "POST", "/v1/config/put", body=json.dumps(document).encode())
        )
        for document in documents
    ]
    await asyncio.sleep(0.005)
    calls.append(asyncio.create_task(standin.call(core, "POST", END)))
    await asyncio.sleep(delay_s)
    deployment.signal("core-1", signal.SIGSTOP)
    # The operator waits for a second, leaves, and goes to another node with what wasn't answered.
    answers = await asyncio.gather(*calls)
    for what, answer in zip((*orders, END), answers, strict=True):
        deployment.record.note(f"operator: {what} at core-1 -> {answer.status or 'nothing'}")
    if not answers[-2].status:
        await deployment.operator("POST", "/v1/config/put", documents[-1], order=OTHERS)
    answered = answers[-1].status == 200
    if not answered:
        await deployment.operator("POST", END, order=OTHERS)
    return answered


async def play(deployment: standin.Deployment, trouble: bool) -> bool:
    """Evacuate the zone, withdraw that, evacuate again; return whether the zone stays evacuated."""
    await standin.begin(deployment, cores=CORES, fronts=FRONTS, engines=ENGINES)
    acknowledged_at = time.monotonic()
    delay_s = FIRST_DELAY_S
    for number in range(TRIES):
        version = 2 + number * CHANGES
        await deployment.operator("POST", START, order=OTHERS)
        await asyncio.sleep(1.5)
        if trouble:
            answered = await freeze_beside_orders(deployment, version, delay_s)
            delay_s *= SOONER if answered else LATER
        else:
            document = changed_configuration(version)
            await deployment.operator("POST", "/v1/config/put", document, order=["core-1"])
            await deployment.operator("POST", END, order=["core-1"])
        await deployment.operator("POST", START, order=OTHERS)
        acknowledged_at = time.monotonic()
        deployment.record.note("the zone is evacuated")
        if trouble:
            deployment.signal("core-1", signal.SIGCONT)
        await asyncio.sleep(2.0)
        probed_at = time.monotonic()
        await deployment.send("front-1", "/lookup/1")
        if runs_in_zone(deployment, probed_at):
            deployment.record.note("a request has reached the zone; the rule's bounds are awaited")
            break
    await asyncio.sleep(max(0.0, acknowledged_at + BOUND_S + CONTACT_S - time.monotonic()))
    checked_from = time.monotonic()
    for _ in range(40):
        await deployment.send("front-1", "/lookup/1")
        await asyncio.sleep(0.1)
    late = runs_in_zone(deployment, checked_from)
    deployment.record.note(
        f"requests at engines of {ZONE} later than {checked_from - acknowledged_at:.1f} s after the "
        f"acknowledgement of its evacuation: {late}"
    )
    return not late


if __name__ == "__main__":
    sys.exit(standin.run_case(FOLDER, play))
