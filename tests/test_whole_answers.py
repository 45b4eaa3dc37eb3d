"""Each caller gets the whole answer to its own request, or an error that it sees as one."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator

import pytest

from tests.calls import chat, state, wait_for_ledger, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.harness import Deployment
from tests.hostile import Behaviour, HostileBackend, echo
from tests.raw_http import NOTHING, RawAnswer, raw_call, raw_chat

SERVICES = ("hanbit/draft", "hanbit/intake-records")
EVENT = b'data: {"choices": [{"index": 0, "delta": {"content": "half "}}]}\n\n'
STREAM_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
CHUNK = f"{len(EVENT):x}\r\n".encode() + EVENT + b"\r\n"


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("whole")) as deployment:
        write_examples(deployment)
        for region in ("seoul", "busan"):
            deployment.start_instance(f"{region}-1", region)
        wait_for_ledger(deployment.instances["seoul-1"])
        yield deployment


@pytest.fixture(scope="module")
def hostile(running: Deployment) -> Iterator[HostileBackend]:
    target = running.instances["seoul-1"].fields["backends"]
    with HostileBackend("hostile", "seoul", SERVICES, target) as backend:

        async def right(body: bytes, number: int, reader: object, writer: asyncio.StreamWriter):
            writer.write(echo(body))

        backend.behave(right)
        for name in ("seoul-1", "busan-1"):
            wait_until(
                lambda n=name: chat(running.entry(n), "draft", "x", key=HANBIT_KEY).is_success,
                what="the stand-in is known",
            )
        yield backend


def writes(*pieces: bytes, close: bool = True, pause_s: float = 0.0) -> Behaviour:
    """Return a behaviour that writes the same bytes whatever was asked."""

    async def behave(
        body: bytes, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(pause_s)
        if close:
            writer.close()

    return behave


def ask(entry: str, text: str, **options: object) -> RawAnswer:
    return asyncio.run(raw_chat(entry, "draft", text, key=HANBIT_KEY, **options))


#: Answers that are refused before anything of them reaches the caller.
REFUSED = {
    "garbage": writes(b"\x00\xffthis is no HTTP\r\n\r\n"),
    "nothing": writes(),
    "half a head": writes(b"HTTP/1.1 200 OK\r\ncontent-le"),
    "too many headers": writes(
        b"HTTP/1.1 200 OK\r\n" + b"x-a: b\r\n" * 500 + b"content-length: 0\r\n\r\n"
    ),
    "huge header": writes(b"HTTP/1.1 200 OK\r\nx: " + b"a" * 200_000 + b"\r\n\r\n"),
    "no end mark": writes(b"HTTP/1.0 200 OK\r\ncontent-type: application/json\r\n\r\n{}"),
    "two lengths": writes(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n{}x"),
    "switched protocols": writes(b"HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\n"),
}
#: Answers that break off after a part of them reached the caller.
BROKEN = {
    "short of its length": writes(b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nhalf"),
    "chunks without end": writes(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"
    ),
    "bad chunk size": writes(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n"
    ),
    "stream without end": writes(STREAM_HEAD + b"transfer-encoding: chunked\r\n\r\n" + CHUNK),
    "stream that ends too early": writes(
        STREAM_HEAD + b"transfer-encoding: chunked\r\n\r\n" + CHUNK + b"0\r\n\r\n"
    ),
}


@pytest.mark.parametrize("name", ["seoul-1", "busan-1"])
@pytest.mark.parametrize("fault", sorted(REFUSED))
def test_senseless_answer_is_a_typed_error(
    running: Deployment, hostile: HostileBackend, name: str, fault: str
) -> None:
    hostile.behave(REFUSED[fault])
    answer = ask(running.entry(name), "x")
    assert (answer.status, answer.whole, answer.outcome) == (502, True, "unknown")
    assert answer.problem in ("invalid-answer", "backend-server-lost")


@pytest.mark.parametrize("name", ["seoul-1", "busan-1"])
@pytest.mark.parametrize("fault", sorted(BROKEN))
def test_broken_answer_never_looks_whole(
    running: Deployment, hostile: HostileBackend, name: str, fault: str
) -> None:
    hostile.behave(BROKEN[fault])
    answer = ask(running.entry(name), "x")
    assert b"half" in answer.body
    assert not answer.whole
    if fault.startswith("stream"):
        assert b"event: error" in answer.body
        assert b"[DONE]" not in answer.body
        assert json.loads(answer.body.rpartition(b"data: ")[2])["outcome"] == "unknown"


def test_doubled_answer_reaches_no_other_request(
    running: Deployment, hostile: HostileBackend
) -> None:
    async def twice(body: bytes, number: int, reader: object, writer: asyncio.StreamWriter):
        writer.write(echo(body) + echo(body))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(echo(body))

    hostile.behave(twice)
    for name in ("seoul-1", "busan-1"):
        for number in range(10):
            text = f"{name} {number}"
            assert ask(running.entry(name), text).chat_text() == text


def test_late_answer_reaches_no_other_request(running: Deployment, hostile: HostileBackend) -> None:
    async def late(
        body: bytes, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        if b"slow" in body:
            await asyncio.sleep(1.0)
        writer.write(echo(body))

    hostile.behave(late)

    async def interleave() -> None:
        async def give_up(entry: str, number: int) -> None:
            answer = await raw_chat(entry, "draft", f"slow {number}", key=HANBIT_KEY, timeout_s=0.5)
            assert answer is NOTHING

        async def check(entry: str, number: int) -> None:
            await asyncio.sleep(number * 0.05)
            answer = await raw_chat(entry, "draft", f"quick {number}", key=HANBIT_KEY)
            assert answer.chat_text() == f"quick {number}"

        entries = [running.entry(name) for name in ("seoul-1", "busan-1")]
        tasks = [
            work(entry, n) for entry in entries for n in range(30) for work in (give_up, check)
        ]
        await asyncio.gather(*tasks)

    asyncio.run(interleave())


@pytest.mark.parametrize("name", ["seoul-1", "busan-1"])
@pytest.mark.parametrize("begun", [False, True])
def test_going_away_cancels_the_work(
    running: Deployment, hostile: HostileBackend, name: str, begun: bool
) -> None:
    async def wait(
        body: bytes, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if begun:
            writer.write(STREAM_HEAD + b"transfer-encoding: chunked\r\n\r\n" + CHUNK)
        await hostile.until_gone(reader)

    hostile.behave(wait)
    for call in (
        lambda: raw_chat(running.entry(name), "draft", "x", key=HANBIT_KEY, timeout_s=0.5),
        lambda: raw_call(
            running.entry(name),
            "POST",
            "/services/intake-records/filings",
            key=HANBIT_KEY,
            body=b"x",
            headers=(f"idempotency-key: {name}{begun}",),
            timeout_s=0.5,
        ),
    ):
        before = hostile.cancelled
        asyncio.run(call())
        wait_until(
            lambda b=before: hostile.cancelled > b, what="the work is cancelled", timeout_s=3
        )
    for instance in running.instances.values():
        wait_until(lambda i=instance: state(i)["in_progress"] == 0, what="nothing is in progress")
