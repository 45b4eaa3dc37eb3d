"""A stopping entry begins a stream that it then breaks off at the end of its grace."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standin  # noqa: E402

CORES = {"core-1": "seoul-a", "core-2": "busan-a", "core-3": "daejeon-a"}
FRONTS = {"front-1": "seoul-a", "front-2": "busan-a", "front-3": "daejeon-a"}
ENGINES = ["seoul-a", "busan-a", "daejeon-a"]
GRACE_S = 8.0
DEADLINE_MS = 12_000
#: A route of streams that may be resumed, and one of streams that run once.
ROUTES = ("review", "chat")
#: Streams of each route before the stop and their events, one each 0.25 s.
USUAL_STREAMS, USUAL_EVENTS = 10, 3
#: Later streams: their events, and when they are sent after the SIGTERM, seconds. The rule excuses
#: requests that were sent no later than 3 s after it.
LONG_EVENTS = 24
SENT_AFTER_S = (3.2, 3.6, 4.0, 4.4)
#: Each request states the same prompt and the most that its answer may have: 48 events of 8 tokens.
TOKENS = ("X-Figpaddle-Model: m", "X-Figpaddle-Token-Counts: 400,384")


async def play(deployment: standin.Deployment, trouble: bool) -> bool:
    """Stop an entry beside streams; return whether every stream that it began was complete."""
    await standin.begin(deployment, cores=CORES, fronts=FRONTS, engines=ENGINES)
    await asyncio.sleep(7.0)

    async def stream(number: int, events: int) -> tuple[str, int, bool, float, float]:
        request_id = f"{number:016x}"
        path = f"/{ROUTES[number % 2]}/{number}/{events}"
        sent_at = time.monotonic()
        deployment.record.note(f"caller: {request_id} POST {path} sent to front-1")
        try:
            status, ids, whole = await standin.read_stream(
                deployment.address("front-1", "front"),
                path,
                request_id,
                deadline_ms=DEADLINE_MS,
                extra_lines=TOKENS,
            )
        except ConnectionError:
            # The entry has closed its port, and the request wasn't read.
            status, ids, whole = 0, [], False
        what = f"{len(ids)} events, {'complete' if whole else 'broken off'}"
        deployment.record.note(f"caller: {request_id} <- {status or 'nothing'}, {what}")
        return request_id, status, whole, sent_at, time.monotonic()

    for number in range(USUAL_STREAMS):
        await asyncio.gather(*(stream(100 + 2 * number + n, USUAL_EVENTS) for n in range(2)))
    stopped_at = time.monotonic()
    if trouble:
        deployment.signal("front-1", signal.SIGTERM)
    tasks = []
    for number, after_s in enumerate(SENT_AFTER_S):
        await asyncio.sleep(max(0.0, stopped_at + after_s - time.monotonic()))
        tasks.append(asyncio.create_task(stream(number + 1, LONG_EVENTS)))
    results = await asyncio.gather(*tasks)
    lost = 0
    for request_id, status, whole, sent_at, ended_at in results:
        ran = any(request_id == run for engine in deployment.engines for _, run in engine.runs)
        if whole or not ran or status not in (0, 200):
            continue
        if ended_at - sent_at >= DEADLINE_MS / 1000 - 0.2:
            continue
        lost += 1
        deployment.record.note(
            f"{request_id}: LOST; sent {sent_at - stopped_at:.2f} s after the SIGTERM, broken off "
            f"{ended_at - stopped_at:.2f} s after it"
        )
    deployment.record.note(f"streams lost: {lost} of {len(results)}")
    return not lost


if __name__ == "__main__":
    sys.exit(standin.run_case(FOLDER, play))
