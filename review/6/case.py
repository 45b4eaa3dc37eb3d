"""One engine fails a part of the requests that it ran, with a status that promises not run to a client."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness_2"))

import harness

#: The disruption, as `srv_grey` on the sheet of the site: one of eight engines fails two in five of its
#: requests for 6.5 seconds, and its health check stays good.
GREY_S, FAILED_OF_FIVE = 6.5, 2
#: Time for which requests are sent, seconds, and the interval between them: 12.4 a second.
LENGTH_S, INTERVAL_S = 9.0, 0.08
FAILURE = "503 Service Unavailable"
#: Statuses with which a client is told that its request has not run and never will.
PROMISES = {408, 421, 429, 503}


async def case(record: harness.Record, trouble: bool) -> bool:
    """Return whether a request that has run was answered with a promise that it hasn't."""
    async with harness.deployment(record) as system:
        for zone in ("seoul-a", "busan-a", "daejeon-a"):
            system.add_machine("core", zone, memory_mb=296)
        for zone in ("seoul-a", "busan-a", "daejeon-a"):
            system.add_machine("front", zone, memory_mb=300)
        for machine in system.machines.values():
            system.start(machine)
        ran: collections.Counter[str] = collections.Counter()
        filed: collections.Counter[str] = collections.Counter()
        grey_from = float("inf")

        async def serve(engine, request_id, path, headers, body, writer) -> None:
            ran[request_id] += 1
            filed[body.decode()] += 1
            await asyncio.sleep(0.02)
            is_grey = 0.0 <= time.monotonic() - grey_from < GREY_S and engine is system.engines[0]
            if is_grey and len(engine.ran) % 5 < FAILED_OF_FIVE:
                # It has run the request, so it says nothing of the contrary.
                record.note(f"engine {engine.name} ran {request_id} and answers {FAILURE}")
                writer.write(
                    f"HTTP/1.1 {FAILURE}\r\nX-Figpaddle-Request-Id: {request_id}\r\n"
                    f"X-Figpaddle-Server-Seal: seal-{request_id}\r\n"
                    "Content-Length: 6\r\n\r\nfailed".encode()
                )
            else:
                text = b"filed"
                writer.write(harness.seal_head(request_id, f"Content-Length: {len(text)}") + text)
            await writer.drain()

        for zone in 3 * ["seoul-a"] + 3 * ["busan-a"] + 2 * ["daejeon-a"]:
            system.add_engine("intake-core", zone, slots=6, serve=serve)
        await system.put_configuration(
            {
                "version": 1,
                "routes": [
                    harness.route("filing", "non_idempotent", "intake-core", **{"max-attempts": 1})
                ],
                "services": [harness.plain_service("intake-core")],
                "limits": harness.LIMITS,
            }
        )
        fronts = system.of_role("front")
        await system.wait_until_ready(fronts)
        await asyncio.sleep(2.0)
        broken = 0
        answers: collections.Counter[int] = collections.Counter()

        async def file(number: int) -> None:
            """File once, with one retry after a promise that the request has not run."""
            nonlocal broken
            body = f"filing-{number}".encode()
            for attempt in (1, 2):
                request_id = f"f{number}-{attempt}"
                front = fronts[(number + attempt) % len(fronts)]
                reply = await system.request(front, "/filing/1", request_id=request_id, body=body)
                answers[reply.status] += 1
                if reply.status not in PROMISES:
                    return
                if ran[request_id]:
                    broken += 1
                    record.note(f"REFUSED: {request_id} got {reply.status} and has run")
                await asyncio.sleep(float(reply.headers.get("retry-after", "0.05")))

        began_at = time.monotonic()
        if trouble:
            grey_from = began_at + 1.0
        clients = []
        while time.monotonic() < began_at + LENGTH_S:
            clients.append(asyncio.ensure_future(file(len(clients))))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*clients)
        if not answers[200]:
            raise harness.CouldNotRun("no request was served")
        twice = [body for body, count in filed.items() if count > 1]
        record.note(f"answers: {dict(answers)}; ran: {sum(ran.values())}")
        record.note(f"answers that promise not run for requests that have run: {broken}")
        record.note(f"filings that ran twice as their client was told to retry: {len(twice)}")
        return broken > 0


harness.run_case(case, pathlib.Path(__file__).parent)
