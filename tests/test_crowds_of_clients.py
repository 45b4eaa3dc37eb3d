"""Crowds of clients that misbehave: the process lives, within its memory, and serves ordinary callers.

Run these tests one at a time, apart from other load.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import pytest

from tests.crowd import (
    Usage,
    body_but_its_end,
    chunks_without_end,
    endless_head,
    many_fields,
    oversized_body,
    requests_ahead,
    running_crowd,
    whole_request,
)
from tests.platform_standin import PlatformDeployment, platform_deployment

pytestmark = pytest.mark.anyio

#: Memory and descriptors of each machine: half of what a small one has, so that a small crowd is enough.
MEMORY_MB, MAX_DESCRIPTORS = 150, 700
MIB = 1 << 20
#: Limits of the configuration, bytes.
BODY_BYTES, HEAD_BYTES = 4 * MIB, 16384
#: Path without a route, and the path of the readiness check.
NO_ROUTE, READY = "/none/1", "/v1/ready"
ENTRY, CONTROL = "m-4", "m-1"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class SmallMachines(PlatformDeployment):
    """A deployment on machines with little memory and few descriptors."""

    def limits_of(self, name: str) -> list[str]:
        return [f"limits.memory-mb={MEMORY_MB}", f"limits.max-fds={MAX_DESCRIPTORS}"]


def bodies_in_one_piece(path: str) -> Iterable[bytes]:
    return body_but_its_end(path, BODY_BYTES)


def bodies_in_pieces(path: str) -> Iterable[bytes]:
    return body_but_its_end(path, BODY_BYTES, part_bytes=4096)


def bodies_in_chunks(path: str) -> Iterable[bytes]:
    return chunks_without_end(path, BODY_BYTES, chunk_bytes=512)


def bodies_over_the_limit(path: str) -> Iterable[bytes]:
    return oversized_body(path, declared=1024 * MIB, sent=BODY_BYTES)


def heads_of_many_fields(path: str) -> Iterable[bytes]:
    return many_fields(path, size=HEAD_BYTES)


def heads_without_end(path: str) -> Iterable[bytes]:
    return endless_head(path, size=900 * 1024)


def requests_sent_ahead(path: str) -> Iterable[bytes]:
    return requests_ahead(path, size=MIB)


def heads_half_way(path: str) -> Iterable[bytes]:
    return [b"GET " + path.encode()]


def silence(path: str) -> Iterable[bytes]:
    return []


async def check_crowd(
    name: str,
    parts_of: Callable[[int], Iterable[bytes]],
    *,
    ports: tuple[str, ...],
    count: int,
    drips: bool = False,
) -> None:
    """Run a crowd at ports of a process, and check the process and an ordinary caller."""
    async with platform_deployment(make_deployment=SmallMachines) as platform:
        usage = Usage(pid=platform.pid(name))
        async with running_crowd() as crowd:
            for port in ports:
                crowd.add(platform.address(name, port), parts_of, count=count, drips=drips)
            await crowd.settle(usage)
            if name == CONTROL:
                status = (await platform.call_control(name, "GET", "/v1/config/get")).status
            else:
                _, reply = await platform.send_request(name, "/chat/1")
                status = reply.status
            is_ready = name == CONTROL or await platform.ready(name)
            usage.poll()
        assert platform.ended() == []
        peak_mb = usage.peak_bytes / MIB
        facts = f"peak {peak_mb:.0f} MiB, {usage.descriptors} descriptors, status {status}"
        assert peak_mb < MEMORY_MB and usage.descriptors < MAX_DESCRIPTORS, facts
        assert status == 200 and is_ready, facts


@pytest.mark.parametrize(
    ("parts_of", "count"),
    [
        (bodies_in_one_piece, 60),
        (bodies_in_pieces, 60),
        (bodies_in_chunks, 60),
        (bodies_over_the_limit, 60),
        (heads_of_many_fields, 290),
        (heads_without_end, 150),
        (requests_sent_ahead, 280),
    ],
)
@pytest.mark.parametrize(
    ("port", "path"),
    [("front", "/chat/1"), ("front", NO_ROUTE), ("ready", READY)],
    ids=["route", "no route", "readiness"],
)
async def test_an_entry_outlives_a_crowd_and_serves_an_ordinary_caller(
    port: str, path: str, parts_of: Callable[[str], Iterable[bytes]], count: int
) -> None:
    await check_crowd(ENTRY, lambda _: parts_of(path), ports=(port,), count=count)


async def test_an_entry_outlives_a_crowd_that_sends_very_slowly() -> None:
    parts = oversized_body("/chat/1", declared=BODY_BYTES, sent=BODY_BYTES - MIB)
    await check_crowd(ENTRY, lambda _: parts, ports=("front",), count=60, drips=True)


async def test_an_entry_outlives_a_crowd_that_reads_no_answers() -> None:
    def parts_of(number: int) -> Iterable[bytes]:
        fields = (f"X-Figpaddle-Request-Id: crowd-{number}", "X-Figpaddle-Deadline-Ms: 4000")
        return whole_request("/read/1", *fields, size=3 * MIB)

    await check_crowd(ENTRY, parts_of, ports=("front",), count=60)


@pytest.mark.parametrize("parts_of", [heads_half_way, silence])
async def test_connections_that_stop_half_way_at_all_ports_leave_room_for_an_ordinary_caller(
    parts_of: Callable[[str], Iterable[bytes]],
) -> None:
    ports = ("front", "ready", "lookup")
    await check_crowd(ENTRY, lambda _: parts_of("/chat/1"), ports=ports, count=320)


@pytest.mark.parametrize("path", ["/v1/config/put", NO_ROUTE])
async def test_a_control_instance_outlives_a_crowd_of_long_bodies(path: str) -> None:
    parts = body_but_its_end(path, 15 * MIB)
    await check_crowd(CONTROL, lambda _: parts, ports=("control",), count=20)
