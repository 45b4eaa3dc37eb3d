"""Each caller gets the complete response to its own request, or one it can tell has failed."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator

import pytest

from tests.calls import chat, state_dump, wait_for_ledger, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.harness import Deployment
from tests.raw_http import NO_RESPONSE, RawResponse, raw_call, raw_chat
from tests.scripted_backend import Behaviour, ScriptedBackend, echo

SERVICES = ("hanbit/draft", "hanbit/intake-records")
STREAM_EVENT = b'data: {"choices": [{"index": 0, "delta": {"content": "half "}}]}\n\n'
STREAM_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
STREAM_EVENT_CHUNK = f"{len(STREAM_EVENT):x}\r\n".encode() + STREAM_EVENT + b"\r\n"


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("whole")) as deployment:
        write_examples(deployment)
        for region in ("seoul", "busan"):
            deployment.start_instance(f"{region}-1", region)
        wait_for_ledger(deployment.instances["seoul-1"])
        yield deployment


@pytest.fixture(scope="module")
def scripted_backend(running: Deployment) -> Iterator[ScriptedBackend]:
    target = running.instances["seoul-1"].ready_fields["backends"]
    with ScriptedBackend("hostile", "seoul", SERVICES, target) as backend:

        async def echo_request(
            body: bytes, number: int, reader: object, writer: asyncio.StreamWriter
        ):
            writer.write(echo(body))

        backend.set_behaviour(echo_request)
        for name in ("seoul-1", "busan-1"):
            wait_until(
                lambda n=name: chat(
                    running.caller_address(n), "draft", "x", key=HANBIT_KEY
                ).is_success,
                description="the backend server is known",
            )
        yield backend


def write_bytes(*pieces: bytes, close: bool = True, pause_s: float = 0.0) -> Behaviour:
    """Return a behaviour that writes the same bytes for any request."""

    async def behave(
        body: bytes, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(pause_s)
        if close:
            writer.close()

    return behave


def send_chat(entry: str, text: str, **options: object) -> RawResponse:
    return asyncio.run(raw_chat(entry, "draft", text, key=HANBIT_KEY, **options))


#: Responses that are rejected before any of their bytes reach the caller.
INVALID_RESPONSES = {
    "garbage": write_bytes(b"\x00\xffthis is no HTTP\r\n\r\n"),
    "nothing": write_bytes(),
    "half a head": write_bytes(b"HTTP/1.1 200 OK\r\ncontent-le"),
    "too many headers": write_bytes(
        b"HTTP/1.1 200 OK\r\n" + b"x-a: b\r\n" * 500 + b"content-length: 0\r\n\r\n"
    ),
    "huge header": write_bytes(b"HTTP/1.1 200 OK\r\nx: " + b"a" * 200_000 + b"\r\n\r\n"),
    "no end mark": write_bytes(b"HTTP/1.0 200 OK\r\ncontent-type: application/json\r\n\r\n{}"),
    "two lengths": write_bytes(
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n{}x"
    ),
    **{
        f"status {status}": write_bytes(
            f"HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\n{{}}".encode()
        )
        for status in ("000", "600", "999")
    },
    "switched protocols": write_bytes(b"HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\n"),
}
#: Responses that break off after some of their bytes reached the caller.
TRUNCATED_RESPONSES = {
    "short of its length": write_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nhalf"),
    "chunks without end": write_bytes(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"
    ),
    "bad chunk size": write_bytes(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n"
    ),
    "stream without end": write_bytes(
        STREAM_HEAD + b"transfer-encoding: chunked\r\n\r\n" + STREAM_EVENT_CHUNK
    ),
    "stream that ends too early": write_bytes(
        STREAM_HEAD + b"transfer-encoding: chunked\r\n\r\n" + STREAM_EVENT_CHUNK + b"0\r\n\r\n"
    ),
}


@pytest.mark.parametrize("name", ["seoul-1", "busan-1"])
@pytest.mark.parametrize("fault", sorted(INVALID_RESPONSES))
def test_invalid_response_is_a_typed_error(
    running: Deployment, scripted_backend: ScriptedBackend, name: str, fault: str
) -> None:
    scripted_backend.set_behaviour(INVALID_RESPONSES[fault])
    response = send_chat(running.caller_address(name), "x")
    assert (response.status, response.complete, response.outcome) == (502, True, "unknown")
    assert response.problem in ("invalid-answer", "backend-server-lost")


@pytest.mark.parametrize("name", ["seoul-1", "busan-1"])
@pytest.mark.parametrize("fault", sorted(TRUNCATED_RESPONSES))
def test_truncated_response_never_looks_complete(
    running: Deployment, scripted_backend: ScriptedBackend, name: str, fault: str
) -> None:
    scripted_backend.set_behaviour(TRUNCATED_RESPONSES[fault])
    response = send_chat(running.caller_address(name), "x")
    assert b"half" in response.body
    assert not response.complete
    if fault.startswith("stream"):
        assert b"event: error" in response.body
        assert b"[DONE]" not in response.body
        assert json.loads(response.body.rpartition(b"data: ")[2])["outcome"] == "unknown"


def test_duplicate_response_reaches_no_other_request(
    running: Deployment, scripted_backend: ScriptedBackend
) -> None:
    async def respond_twice(body: bytes, number: int, reader: object, writer: asyncio.StreamWriter):
        writer.write(echo(body) + echo(body))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(echo(body))

    scripted_backend.set_behaviour(respond_twice)
    for name in ("seoul-1", "busan-1"):
        for number in range(10):
            text = f"{name} {number}"
            assert send_chat(running.caller_address(name), text).chat_text() == text


def test_late_response_reaches_no_other_request(
    running: Deployment, scripted_backend: ScriptedBackend
) -> None:
    async def respond_late(
        body: bytes, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        if b"slow" in body:
            await asyncio.sleep(1.0)
        writer.write(echo(body))

    scripted_backend.set_behaviour(respond_late)

    async def run_interleaved() -> None:
        async def time_out(entry: str, number: int) -> None:
            response = await raw_chat(
                entry, "draft", f"slow {number}", key=HANBIT_KEY, timeout_s=0.5
            )
            assert response is NO_RESPONSE

        async def check_response(entry: str, number: int) -> None:
            await asyncio.sleep(number * 0.05)
            response = await raw_chat(entry, "draft", f"quick {number}", key=HANBIT_KEY)
            assert response.chat_text() == f"quick {number}"

        entries = [running.caller_address(name) for name in ("seoul-1", "busan-1")]
        tasks = [
            send(entry, n)
            for entry in entries
            for n in range(30)
            for send in (time_out, check_response)
        ]
        await asyncio.gather(*tasks)

    asyncio.run(run_interleaved())


@pytest.mark.parametrize("name", ["seoul-1", "busan-1"])
@pytest.mark.parametrize("begun", [False, True])
def test_disconnect_of_the_caller_cancels_the_request(
    running: Deployment, scripted_backend: ScriptedBackend, name: str, begun: bool
) -> None:
    async def never_respond(
        body: bytes, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if begun:
            writer.write(STREAM_HEAD + b"transfer-encoding: chunked\r\n\r\n" + STREAM_EVENT_CHUNK)
        await scripted_backend.wait_for_disconnect(reader)

    scripted_backend.set_behaviour(never_respond)
    for call in (
        lambda: raw_chat(running.caller_address(name), "draft", "x", key=HANBIT_KEY, timeout_s=0.5),
        lambda: raw_call(
            running.caller_address(name),
            "POST",
            "/services/intake-records/filings",
            key=HANBIT_KEY,
            body=b"x",
            headers=(f"idempotency-key: {name}{begun}",),
            timeout_s=0.5,
        ),
    ):
        before = scripted_backend.cancelled
        asyncio.run(call())
        wait_until(
            lambda b=before: scripted_backend.cancelled > b,
            description="the request is cancelled",
            timeout_s=3,
        )
    for instance in running.instances.values():
        wait_until(
            lambda i=instance: state_dump(i)["in_progress"] == 0,
            description="nothing is in progress",
        )
