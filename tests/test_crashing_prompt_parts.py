"""A prompt part that crashes each engine ends a few engines, and sound requests go on."""

from __future__ import annotations

import itertools
import json

import anyio
import pytest

from tests.platform_standin import (
    MODEL_SERVICE,
    PROMPT_PARTS_HEADER,
    PlatformDeployment,
    Reply,
    platform_deployment,
)

pytestmark = pytest.mark.anyio

ENTRIES = ("m-4", "m-5", "m-6")
#: Zone of the engines that each entry uses.
ZONE_OF_ENTRY = {"m-4": "n-a", "m-5": "n-a", "m-6": "s-a"}
SHARED_PART = "5c1e07a2:800"
#: Largest number of engines that one part may end.
MAX_ENDED_ENGINES = 3


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Callers:
    """Callers of sound requests, and of requests with a part that crashes engines."""

    def __init__(
        self,
        platform: PlatformDeployment,
        *,
        crash_parts: tuple[str, ...],
        unmarked_ends: bool = False,
    ) -> None:
        self._platform = platform
        self._unmarked_ends = unmarked_ends
        self._crash_parts = frozenset(crash_parts)
        self._numbers = itertools.count(1)
        self.sound_replies: list[tuple[float, Reply]] = []

    @property
    def ended_engines(self) -> int:
        """Engines that a request has crashed."""
        return sum(engine.crashed.is_set() for engine in self._platform.engines)

    async def add_engines(self, zone: str, count: int) -> None:
        for _ in range(count):
            await self._platform.add_engine(
                MODEL_SERVICE,
                zone,
                crash_parts=self._crash_parts,
                unmarked_ends=self._unmarked_ends,
            )

    async def send(self, entry: str, *middle_parts: str) -> Reply:
        """Send a request whose prompt has the shared part, some more, and a part of its own."""
        number = next(self._numbers)
        parts = ",".join((SHARED_PART, *middle_parts, f"{number:08x}:20"))
        _, reply = await self._platform.send_request(
            entry,
            "/chat/1",
            body=f"prompt {number}".encode(),
            extra_headers=((PROMPT_PARTS_HEADER, parts.encode()),),
        )
        return reply

    async def send_sound_requests(self, entry: str) -> None:
        while True:
            sent_at = anyio.current_time()
            self.sound_replies.append((sent_at, await self.send(entry, "91bd3f06:410")))
            await anyio.sleep(0.05)

    async def replace_ended_engines(self) -> None:
        """Start another engine in the zone of each that has ended."""
        replaced: set[str] = set()
        while True:
            for engine in list(self._platform.engines):
                if engine.crashed.is_set() and engine.name not in replaced:
                    replaced.add(engine.name)
                    await self.add_engines(engine.zone, 1)
            await anyio.sleep(0.2)


@pytest.mark.parametrize("unmarked_ends", [False, True], ids=["reset", "complete by its looks"])
async def test_a_prompt_part_that_crashes_engines_ends_at_most_three_of_them(
    unmarked_ends: bool,
) -> None:
    """No two of the requests are alike; sound ones share their first part and their caller.

    Answers may have neither a length nor chunks, so that a crash between two events doesn't show.
    """
    bad_part = "bad00bad:60"
    async with platform_deployment(engines=False) as platform, anyio.create_task_group() as tasks:
        callers = Callers(platform, crash_parts=("bad00bad",), unmarked_ends=unmarked_ends)
        for zone in ("n-a", "s-a"):
            await callers.add_engines(zone, 4)
        for entry in ENTRIES:
            tasks.start_soon(callers.send_sound_requests, entry)
        tasks.start_soon(callers.replace_ended_engines)
        await anyio.sleep(3.0)
        for entry in itertools.islice(itertools.cycle(ENTRIES), 18):
            tasks.start_soon(callers.send, entry, bad_part)
            await anyio.sleep(0.4)
        assert callers.ended_engines <= MAX_ENDED_ENGINES
        refusal = await callers.send("m-4", bad_part)
        assert refusal.status == 503 and float(refusal.headers["retry-after"]) > 1.0
        last_s = anyio.current_time() - 2.0
        recent = [reply.status for sent_at, reply in callers.sound_replies if sent_at >= last_s]
        assert len(recent) > 20 and set(recent) == {200}
        dump = json.loads((await platform.metrics("m-6", "/state")).body)["quarantined_parts"]
        (part,) = (item for item in dump if item["verdict"] == "refused")
        pardon = f"/quarantine/pardon?{part['part']}"
        assert (await platform.metrics("m-6", pardon, method="POST")).status == 200
        await anyio.sleep(0.5)
        dump = json.loads((await platform.metrics("m-4", "/state")).body)["quarantined_parts"]
        assert part["part"] not in {item["part"] for item in dump if item["verdict"] != "clear"}
        tasks.cancel_scope.cancel()


async def test_a_stream_without_length_or_chunks_is_relayed_whole_and_not_when_broken_off() -> None:
    async with platform_deployment(engines=False) as platform:
        callers = Callers(platform, crash_parts=(), unmarked_ends=True)
        await callers.add_engines("s-a", 1)
        await anyio.sleep(1.0)
        whole = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in (1, 2, 3))
        for entry in ("m-6", "m-4"):
            reply = await callers.send(entry)
            assert (reply.status, reply.body) == (200, whole), entry
        (engine,) = platform.engines
        for event_count, partial in ((2, b"id: 3\nda"), (0, b"id: 1\n"), (0, b"")):
            engine.event_count, engine.partial_event = event_count, partial
            for entry in ("m-6", "m-4"):
                reply = await callers.send(entry)
                assert reply.status != 200, (entry, event_count, partial, reply)
