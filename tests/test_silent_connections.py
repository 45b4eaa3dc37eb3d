"""Connections that go silent for good while new ones work."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import time
from collections.abc import Iterator

import pytest

from tests.calls import chat, state, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.fault_proxy import FaultProxy
from tests.harness import Deployment
from tests.hostile import HostileBackend, echo
from tests.raw_http import (
    CHAT_PATH,
    RawAnswer,
    RawConnection,
    chat_body,
    chat_bytes,
    head_bytes,
    raw_chat,
)

#: Deadline of the service that the tests call, seconds.
DEADLINE_S = 2.0
#: A silent answer of that service is given up after this, seconds.
IDLE_S = 5.0
#: A silent link or forward is noticed within this, seconds.
LINK_BOUND_S = 4.0
#: A silent caller is noticed within this, seconds.
CALLER_IDLE_S = 2.0
#: What a busy machine may add, seconds.
SLACK_S = 2.5


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """An entry without engines, and an instance with one whose tokens come every 100 ms."""
    folder: pathlib.Path = tmp_path_factory.mktemp("silent")
    with Deployment(folder, proxy=FaultProxy()) as deployment:
        write_examples(deployment)
        for region in ("seoul", "busan"):
            deployment.start_instance(
                f"{region}-1", region, limits={"caller_idle_s": CALLER_IDLE_S}
            )
        deployment.start_backend(
            "busan-engine",
            "engine",
            "busan",
            ("desk-chat",),
            *("--decode-ms", "100", "--slots", "64"),
        )
        entry = deployment.entry("seoul-1")
        wait_until(lambda: chat(entry, "desk-chat", "x", key=HANBIT_KEY).is_success, what="serving")
        yield deployment


def proxy_of(deployment: Deployment) -> FaultProxy:
    assert deployment.proxy is not None
    return deployment.proxy


async def begin_stream(entry: str, tokens: int) -> asyncio.Task[RawAnswer]:
    """Return the rest of a stream whose head has come."""
    connection = await RawConnection.open(entry)
    data = chat_bytes("desk-chat", "x", HANBIT_KEY, stream=True, max_tokens=tokens)
    task = asyncio.create_task(connection.exchange(data, timeout_s=30.0))
    await connection.began.wait()
    return task


async def ask(entry: str) -> float:
    """Return the seconds that a short request took to its whole answer."""
    begun = time.monotonic()
    answer = await raw_chat(entry, "desk-chat", "x", key=HANBIT_KEY, max_tokens=2)
    assert answer.chat_text() is not None
    return time.monotonic() - begun


def assert_nobody_is_declared_dead(deployment: Deployment) -> None:
    def links_open() -> bool:
        dumps = [state(one)["membership"]["links"] for one in deployment.instances.values()]
        return all(len(links) == 1 for links in dumps)

    wait_until(links_open, what="the links are open again", timeout_s=LINK_BOUND_S + SLACK_S)
    for instance in deployment.instances.values():
        assert {one["state"] for one in state(instance)["membership"]["instances"]} == {"serving"}
        assert not [line for line in instance.lines if "backend_expired" in line]


@pytest.mark.parametrize(
    ("ends", "bound_s"),
    [(("seoul-1", "busan-1"), LINK_BOUND_S), (("busan-1", "busan-engine"), IDLE_S)],
)
def test_silence_is_noticed_in_time_and_nobody_is_declared_dead(
    running: Deployment, ends: tuple[str, str], bound_s: float
) -> None:
    entry = running.entry("seoul-1")

    async def run() -> None:
        streams = [await begin_stream(entry, 600) for _ in range(3)]
        await asyncio.gather(*(ask(entry) for _ in range(3)))
        silent_at = time.monotonic()
        assert proxy_of(running).silence_open(*ends) >= 3
        assert max(await asyncio.gather(*(ask(entry) for _ in range(5)))) < DEADLINE_S + 0.4
        for answer in await asyncio.gather(*streams):
            assert answer.status == 200
            assert not answer.whole
            assert b"event: error" in answer.body
        assert time.monotonic() - silent_at < bound_s + SLACK_S

    asyncio.run(run())
    assert_nobody_is_declared_dead(running)


def test_request_without_any_answer_gets_its_outcome_at_its_deadline(running: Deployment) -> None:
    proxy_of(running).cut("busan-1", "busan-engine")

    async def run() -> None:
        begun = time.monotonic()
        asked = (
            raw_chat(running.entry(name), "desk-chat", "x", key=HANBIT_KEY)
            for name in running.instances
        )
        for answer in await asyncio.gather(*asked):
            assert answer.status in (502, 504)
            assert answer.outcome == "unknown"
        assert time.monotonic() - begun < DEADLINE_S + SLACK_S

    asyncio.run(run())
    proxy_of(running).heal()


def test_stream_longer_than_all_timeouts_is_never_cut(running: Deployment) -> None:
    async def run() -> None:
        streams = [
            await begin_stream(running.entry(name), 10 * (int(IDLE_S) + 2))
            for name in running.instances
        ]
        for answer in await asyncio.gather(*streams):
            assert answer.chat_text() is not None

    asyncio.run(run())


def test_callers_that_go_silent_in_their_requests_are_given_up(running: Deployment) -> None:
    instance = running.instances["seoul-1"]
    number = 5
    proxy = proxy_of(running)
    proxy.record()

    async def run() -> None:
        body = chat_body("desk-chat", "x" * 1000)
        head = head_bytes("POST", CHAT_PATH, HANBIT_KEY, f"content-length: {len(body)}")
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(number):
                connection = await RawConnection.open(running.entry("seoul-1"))
                stack.callback(connection.abort)
                connection.writer.write(head + body[:500])
            while len(proxy.recorded().get(("outside", "seoul-1"), b"")) < number * (
                len(head) + 500
            ):
                await asyncio.sleep(0.01)
            silent_at = time.monotonic()
            assert proxy.silence_open("outside", "seoul-1") >= number
            while sum("event=caller_silent" in line for line in instance.lines) < number:
                assert time.monotonic() - silent_at < CALLER_IDLE_S + SLACK_S
                await asyncio.sleep(0.05)

    asyncio.run(run())
    asyncio.run(ask(running.entry("seoul-1")))


@pytest.mark.parametrize("pause_s", [4.5, None])
def test_slow_caller_gets_all_and_one_that_takes_nothing_ends_the_work(
    deployment: Deployment, pause_s: float | None
) -> None:
    limits = {"caller_idle_s": 1.0 if pause_s is None else 8.0}
    seoul = deployment.start_instance("seoul-1", "seoul", limits=limits)
    deployment.start_instance("busan-1", "busan", limits=limits)
    # The buffers on the way hold tens of megabytes, so what nobody takes must not end by itself.
    size = 30_000_000 if pause_s is not None else 10**10

    async def flood(
        body: bytes, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if b"flood" not in body:
            writer.write(echo(body))
            return
        writer.write(f"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n".encode())
        for _ in range(size // 10_000):
            writer.write(b"x" * 10_000)
            try:
                await writer.drain()
            except OSError:
                backend.cancelled += 1
                raise

    async def call(name: str) -> None:
        connection = await RawConnection.open(deployment.entry(name))
        connection.writer.write(chat_bytes("draft", "flood", HANBIT_KEY))
        if pause_s is None:
            # Only the head is taken: a refusal would end no work at the backend server.
            head = await connection.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 "), head
            while backend.cancelled < len(deployment.instances):
                await asyncio.sleep(0.05)
        else:
            await asyncio.sleep(pause_s)
            answer = await connection.read_answer()
            assert answer.whole
            assert len(answer.body) == size
        connection.abort()

    async def run() -> None:
        async with asyncio.timeout(20.0):
            await asyncio.gather(*(call(name) for name in deployment.instances))

    with HostileBackend("flood", "seoul", ("hanbit/draft",), seoul.fields["backends"]) as backend:
        backend.behave(flood)
        for name in deployment.instances:
            wait_until(
                lambda n=name: chat(deployment.entry(n), "draft", "x", key=HANBIT_KEY).is_success,
                what="the stand-in is known",
            )
        asyncio.run(run())
