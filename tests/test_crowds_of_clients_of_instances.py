"""Crowds of clients that misbehave at figpaddled: it lives, within its memory, and serves ordinary callers.

Run these tests one at a time, apart from other load.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import pytest

from tests.conftest import HANBIT_KEY
from tests.crowd import (
    Usage,
    body_but_its_end,
    chunks_without_end,
    many_fields,
    oversized_body,
    requests_ahead,
    running_crowd,
    whole_request,
)
from tests.harness import Deployment
from tests.raw_http import CHAT_PATH, raw_chat
from tests.scripted_backend import ScriptedBackend, echo

pytestmark = pytest.mark.anyio

#: Bounds of the process; its clients may hold 64 MiB and 1,024 connections.
MEMORY_MB, MAX_DESCRIPTORS = 250, 1200
MIB = 1 << 20
BODY_BYTES = 8 * MIB
KEY = f"authorization: Bearer {HANBIT_KEY}"
FILINGS_PATH = "/services/intake-records/filings"
UNKNOWN_PATH, ENTRIES_PATH = "/none/1", "/v1/entries"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def bodies_in_one_piece(path: str) -> Iterable[bytes]:
    return body_but_its_end(path, BODY_BYTES, KEY)


def bodies_in_chunks(path: str) -> Iterable[bytes]:
    return chunks_without_end(path, BODY_BYTES, KEY, chunk_bytes=512)


def bodies_over_the_limit(path: str) -> Iterable[bytes]:
    return oversized_body(path, KEY, declared=1024 * MIB, sent=BODY_BYTES)


def heads_of_many_fields(path: str) -> Iterable[bytes]:
    return many_fields(path, KEY, size=30 * 1024)


def requests_sent_ahead(path: str) -> Iterable[bytes]:
    return requests_ahead(path, KEY, size=MIB)


def silence(path: str) -> Iterable[bytes]:
    return []


async def check_crowd(
    deployment: Deployment,
    parts_of: Callable[[int], Iterable[bytes]],
    *,
    count: int,
    drips: bool = False,
) -> None:
    """Run a crowd at the callers' port, and check the process and an ordinary caller."""
    instance = deployment.start_instance("seoul-1", "seoul")
    address = deployment.caller_address("seoul-1")
    usage = Usage(pid=instance.popen.pid)

    async def echo_request(
        body: bytes, number: int, reader: object, writer: asyncio.StreamWriter
    ) -> None:
        if body.startswith(b"{"):
            writer.write(echo(body))
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    with ScriptedBackend(
        "whole",
        "seoul",
        ("hanbit/draft", "hanbit/intake-records"),
        instance.ready_fields["backends"],
    ) as backend:
        backend.set_behaviour(echo_request)
        async with running_crowd() as crowd:
            crowd.add(address, parts_of, count=count, drips=drips)
            await crowd.settle(usage)
            response = await raw_chat(address, "draft", "mine", key=HANBIT_KEY)
            usage.poll()
        assert instance.popen.poll() is None
        peak_mb = usage.peak_bytes / MIB
        facts = f"peak {peak_mb:.0f} MiB, {usage.descriptors} descriptors, {response}"
        assert peak_mb < MEMORY_MB and usage.descriptors < MAX_DESCRIPTORS, facts
        assert response.chat_text() == "mine", facts


@pytest.mark.parametrize(
    ("parts_of", "count"),
    [
        (bodies_in_one_piece, 60),
        (bodies_in_chunks, 60),
        (bodies_over_the_limit, 60),
        (heads_of_many_fields, 400),
        (requests_sent_ahead, 200),
    ],
)
@pytest.mark.parametrize(
    "path",
    [CHAT_PATH, FILINGS_PATH, UNKNOWN_PATH, ENTRIES_PATH],
    ids=["chat", "service", "unknown path", "entries"],
)
async def test_an_instance_outlives_a_crowd_and_serves_an_ordinary_caller(
    deployment: Deployment, path: str, parts_of: Callable[[str], Iterable[bytes]], count: int
) -> None:
    await check_crowd(deployment, lambda _: parts_of(path), count=count)


async def test_an_instance_outlives_a_crowd_that_sends_very_slowly(deployment: Deployment) -> None:
    parts = oversized_body(CHAT_PATH, KEY, declared=BODY_BYTES, sent=BODY_BYTES - MIB)
    await check_crowd(deployment, lambda _: parts, count=60, drips=True)


async def test_an_instance_outlives_a_crowd_that_reads_no_answers(deployment: Deployment) -> None:
    def parts_of(number: int) -> Iterable[bytes]:
        key = f"idempotency-key: crowd-{number}"
        return whole_request(FILINGS_PATH, KEY, key, size=4 * MIB)

    await check_crowd(deployment, parts_of, count=60)


async def test_silent_connections_leave_room_for_an_ordinary_caller(deployment: Deployment) -> None:
    await check_crowd(deployment, lambda _: silence(CHAT_PATH), count=1300)
