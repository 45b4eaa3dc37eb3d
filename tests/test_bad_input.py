"""Invalid input is answered with a typed error; no request is lost or run and no data leaks."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Iterator

import httpx
import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from figpaddle.wire import (
    EXCHANGE_NONCE_BYTES,
    Challenge,
    ExchangeAuthenticator,
    InstanceInfo,
    LinkPurpose,
    MemberNews,
    Message,
    Sync,
    decode,
    encode,
)
from tests.calls import state_dump, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.harness import Deployment
from tests.raw_http import CHAT_PATH, RawConnection, RawResponse, head_bytes, raw_call, raw_chat
from tests.raw_peer import raw_peer
from tests.scripted_backend import ScriptedBackend, echo

BODY_LIMIT = 600_000
FILINGS_PATH = "/services/intake-records/filings"
CHUNKED_HEADER = "transfer-encoding: chunked"


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("bad")) as deployment:
        write_examples(deployment)
        deployment.start_instance("seoul-1", "seoul", limits={"body_bytes": BODY_LIMIT})
        yield deployment


@pytest.fixture(scope="module")
def backend(running: Deployment) -> Iterator[ScriptedBackend]:
    target = running.instances["seoul-1"].ready_fields["backends"]
    services = ("hanbit/draft", "hanbit/intake-records")
    with ScriptedBackend("whole", "seoul", services, target) as scripted:

        async def echo_request(
            body: bytes, number: int, reader: object, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(echo(body))

        scripted.set_behaviour(echo_request)
        yield scripted


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b'{"model": 5}',
        b'{"messages": []}',
        b"\xff\xfe",
        b"[" * 100_000,
        b'{"model": ' * 50_000,
    ],
)
def test_broken_json_is_refused_and_not_run(
    running: Deployment, backend: ScriptedBackend, body: bytes
) -> None:
    entry = running.caller_address("seoul-1")
    response = asyncio.run(raw_call(entry, "POST", CHAT_PATH, key=HANBIT_KEY, body=body))
    assert (response.status, response.problem, response.outcome) == (
        400,
        "invalid-request",
        "not run",
    )
    assert backend.request_count == 0


def chunk(size: int) -> bytes:
    return f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"


@pytest.mark.parametrize(
    ("method", "path", "header", "body", "outcome"),
    [
        ("POST", CHAT_PATH, f"content-length: {BODY_LIMIT + 1}", b"", "not run"),
        ("POST", FILINGS_PATH, f"content-length: {BODY_LIMIT + 1}", b"", "not run"),
        ("POST", CHAT_PATH, CHUNKED_HEADER, chunk(BODY_LIMIT + 1), "not run"),
        ("POST", FILINGS_PATH, CHUNKED_HEADER, chunk(BODY_LIMIT // 4) * 5, "not run"),
        ("GET", FILINGS_PATH, CHUNKED_HEADER, chunk(BODY_LIMIT // 4) * 5, "unknown"),
    ],
)
def test_body_over_the_limit_is_refused(
    running: Deployment,
    backend: ScriptedBackend,
    method: str,
    path: str,
    header: str,
    body: bytes,
    outcome: str,
) -> None:
    async def run() -> RawResponse:
        connection = await RawConnection.open(running.caller_address("seoul-1"))
        data = head_bytes(method, path, HANBIT_KEY, header, "idempotency-key: large") + body
        response = await connection.exchange(data, timeout_s=5.0)
        connection.abort()
        return response

    response = asyncio.run(run())
    assert (response.status, response.problem, response.outcome) == (413, "body-too-large", outcome)
    assert backend.request_count == 0


def test_conflicting_announcements_of_a_name_or_address_are_refused(
    running: Deployment, backend: ScriptedBackend
) -> None:
    instance = running.instances["seoul-1"]
    known_backends = state_dump(instance)["backends"]
    other_member = backend.announcement("thief", services=("cumbre/chat",))
    other_address = {**backend.announcement("whole"), "address": "127.0.0.1:1", "sequence": 9_999}
    for announcement in (other_member, other_address):
        url = f"http://{instance.ready_fields['backends']}/v1/announce"
        response = httpx.post(url, json=announcement, trust_env=False)
        assert response.status_code == 409
        assert response.json()["type"].endswith(":announcement-conflict")
    assert [row["name"] for row in state_dump(instance)["backends"]] == [
        row["name"] for row in known_backends
    ]
    response = asyncio.run(
        raw_chat(running.caller_address("seoul-1"), "draft", "mine", key=HANBIT_KEY)
    )
    assert response.chat_text() == "mine"


INTRUDER = InstanceInfo(
    name="intruder",
    region="seoul",
    zone="seoul-a",
    peer_address="127.0.0.1:1",
    caller_address="127.0.0.1:1",
    incarnation=1,
)
INTRUDER_SYNC = Sync(sender=INTRUDER, digests=b"", news=(MemberNews(info=INTRUDER),))


@pytest.mark.parametrize("purpose", list(LinkPurpose))
def test_peer_with_another_key_learns_and_changes_nothing(
    running: Deployment, purpose: LinkPurpose
) -> None:
    instance = running.instances["seoul-1"]
    address = instance.ready_fields["peers"]
    before = state_dump(instance)["membership"]

    async def shake_hands_with_another_key() -> None:
        async with raw_peer(address, "busan-1", purpose, key="another deployment's key" * 2):
            raise AssertionError("the instance accepted the handshake")

    async def receive_without_handshake() -> list[Message]:
        received = []
        async with connect(f"ws://{address}", compression=None, proxy=None) as socket:
            for _ in range(3):
                await socket.send(encode(INTRUDER_SYNC, correlation=1))
            while True:
                try:
                    received.append(decode(await socket.recv(decode=False)))
                except ConnectionClosed:
                    return received

    refused = len([line for line in instance.lines if "event=link_refused" in line])
    with pytest.raises(ConnectionClosed):
        asyncio.run(shake_hands_with_another_key())
    assert [type(item) for item in asyncio.run(receive_without_handshake())] == [Challenge]
    wait_until(
        lambda: len([log_line for log_line in instance.lines if "event=link_refused" in log_line])
        == refused + 2,
        description="both refusals are logged",
    )
    assert state_dump(instance)["membership"] == before


def test_exchange_sealed_with_another_key_learns_and_changes_nothing(running: Deployment) -> None:
    instance = running.instances["seoul-1"]
    before = state_dump(instance)["membership"]["instances"]
    authenticator = ExchangeAuthenticator(key=b"another deployment's key" * 2)
    sealed = authenticator.sign_request(b"n" * EXCHANGE_NONCE_BYTES, encode(INTRUDER_SYNC))
    path = base64.urlsafe_b64encode(sealed).decode()
    response = httpx.get(
        f"http://{instance.ready_fields['peers']}/exchange/{path}", trust_env=False, timeout=10
    )
    assert (response.status_code, response.content) == (403, b"")
    assert state_dump(instance)["membership"]["instances"] == before
