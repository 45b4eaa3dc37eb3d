"""Proper requests for the path /question are denied once they are forwarded to another region."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standin  # noqa: E402

CORES = {"core-1": "seoul-a", "core-2": "busan-a", "core-3": "daejeon-a"}
FRONTS = {"front-1": "seoul-a", "front-2": "busan-a", "front-3": "daejeon-a"}
ENGINES = ["seoul-a", "busan-a", "daejeon-a"]
ZONE = "seoul-a"
PATH = "/question"
REQUESTS = 60


async def play(deployment: standin.Deployment, trouble: bool) -> bool:
    """Send requests beside an evacuation; return whether at most 5 + 1 in 500 of them are denied."""
    await standin.begin(deployment, cores=CORES, fronts=FRONTS, engines=ENGINES)
    root = standin.route("root", "idempotent", **{"path-prefix": "/"})
    changed = standin.configuration(2, routes=[root])
    await deployment.operator("POST", "/v1/config/put", changed)
    if trouble:
        # Planned work: the engines of the zone are to get nothing for a while.
        await deployment.operator("POST", f"/v1/evacuate/{ZONE}/start")
    # config-apply-ms and evacuate-ms.
    await asyncio.sleep(7.0)
    statuses = []
    for _ in range(REQUESTS):
        _, answer = await deployment.send(
            "front-1", PATH, body=b'{"text": "Which form is missing?"}'
        )
        statuses.append(answer.status)
        await asyncio.sleep(0.05)
    denied = sum(300 <= status < 500 and status not in (408, 421, 429) for status in statuses)
    ran = {request_id for engine in deployment.engines for _, request_id in engine.runs}
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    deployment.record.note(f"answers by status: {counts}; run by engines: {len(ran)}")
    deployment.record.note(f"denied: {denied}; allowed: {5 + REQUESTS / 500:.2f}")
    return denied <= 5 + REQUESTS / 500


if __name__ == "__main__":
    sys.exit(standin.run_case(FOLDER, play))
