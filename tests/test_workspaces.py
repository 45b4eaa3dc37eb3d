"""Whose a request is, is decided once, and no key leaves the entry that read it."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from figpaddle.http1 import Headers, HttpRequest
from figpaddle.regional._forwarding import TERMS_FIELD, decode_terms, encode_terms
from tests.long_turns import late_entry, whole_answer
from tests.platform_standin import Reply, configuration, platform_deployment
from tests.test_changes_beside_requests import (
    FIRST_REVISION,
    PEER_PORT,
    Change,
    forwarded_head,
    head,
    play,
)

KEY, SOUTHERN_KEY, DROPPED_KEY = "key-of-desk-3f8a", "key-of-south-77c1", "key-gone-9b2e"
TENANTS: list[dict[str, Any]] = [
    {"name": "desk", "api-keys": [KEY, DROPPED_KEY], "priority": 1},
    {"name": "southern", "api-keys": [SOUTHERN_KEY], "home-regions": ["south"]},
]


def with_tenants(version: int = 1, **changes: Any) -> dict[str, Any]:
    return configuration(version, tenants=[{**tenant, **changes} for tenant in TENANTS])


def key_field(key: str) -> Headers:
    return ((b"X-Figpaddle-Key", key.encode()),)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def of_workspace(request: bytes, name: str) -> bytes:
    """Return a forwarded request whose terms state a workspace."""
    line = next(line for line in request.split(b"\r\n") if line.startswith(TERMS_FIELD))
    value = line.partition(b": ")[2]
    parsed = HttpRequest(
        method=b"POST",
        target=b"/",
        headers=((TERMS_FIELD, value),),
        body=b"",
        caller="",
        received_at=0.0,
        arrived_after=0.0,
    )
    terms = dataclasses.replace(decode_terms(parsed), workspace=name)
    return request.replace(value, encode_terms(terms))


def test_a_request_goes_on_when_a_version_drops_its_key() -> None:
    with late_entry() as entry:
        entry.loop.scripts.append(Change(entry, with_tenants(), at=0.1))
        entry.loop.scripts.append(Change(entry, with_tenants(**{"api-keys": []}), at=0.6))
        request = head("/read/1", f"X-Figpaddle-Key: {KEY}")
        caller = play(entry, [(0.4, request)], lambda _, name: (0.5, whole_answer(name)))
        assert caller.status == 200, bytes(caller.received)
    with late_entry() as entry:
        entry.loop.scripts.append(Change(entry, with_tenants(**{"api-keys": []}), at=0.2))
        caller = play(entry, [(0.4, request)], lambda _, name: (0.5, whole_answer(name)))
        assert caller.status == 401 and not any(server.arrivals for server in entry.servers)


@pytest.mark.parametrize("at", [0.2, 0.5])
def test_a_forwarded_request_keeps_the_workspace_that_its_sender_found(at: float) -> None:
    """The receiver gets a version that has dropped the key before the request, or while it waits for it."""
    with late_entry() as entry:
        entry.loop.scripts.append(Change(entry, with_tenants(**{"api-keys": []}), at=at))
        request = forwarded_head("/read/1", revision=FIRST_REVISION + 1)
        pieces = [(0.3, of_workspace(request, "desk"))]
        caller = play(entry, pieces, lambda _, name: (0.1, whole_answer(name)), port=PEER_PORT)
        assert caller.status == 200, bytes(caller.received)


def test_a_forwarded_request_of_an_entry_that_states_no_workspace_is_not_run() -> None:
    with late_entry() as entry:
        entry.loop.scripts.append(Change(entry, with_tenants(), at=0.1))
        request = forwarded_head("/read/1", revision=FIRST_REVISION + 1)
        caller = play(
            entry, [(0.3, request)], lambda _, name: (0.1, whole_answer(name)), port=PEER_PORT
        )
        assert caller.status == 503 and caller.answered_not_run
        assert not any(server.arrivals for server in entry.servers)


def test_an_entry_without_contact_to_the_voters_refuses_keys_where_it_must_not_trust_its_own() -> (
    None
):
    for fail_closed, key, status in ((True, KEY, 503), (False, KEY, 200), (True, "", 200)):
        with late_entry() as entry:
            bounds = dataclasses.replace(
                entry.process._settings.bounds, fail_closed=fail_closed, revoke_s=0.2
            )
            entry.process._settings = dataclasses.replace(entry.process._settings, bounds=bounds)
            document = with_tenants()
            for route in document["routes"]:
                route["public"] = not key
            entry.loop.scripts.append(Change(entry, document, at=0.1))
            request = head("/read/1", *([f"X-Figpaddle-Key: {key}"] if key else []))
            caller = play(entry, [(0.5, request)], lambda _, name: (0.1, whole_answer(name)))
            assert caller.status == status, (fail_closed, key, entry.log()[-2000:])


@pytest.mark.anyio
async def test_keys_stay_in_the_configuration() -> None:
    async with platform_deployment() as platform:
        document = with_tenants(2)
        reply = await platform.send_operator_command("POST", "/v1/config/put", document)
        assert reply.status == 200
        forged = (*key_field("key-unknown-51d0"), (b"X-Figpaddle-Tenant", b"southern"))

        async def send(entry: str, path: str, headers: Headers) -> tuple[str, Reply]:
            return await platform.send_request(entry, path, extra_headers=headers)

        for entry in ("m-4", "m-5", "m-6"):
            while (await send(entry, "/read/1", forged))[1].status != 401:
                pass
        expected = {}
        for entry in ("m-4", "m-6"):
            for path in ("/read/1", "/chat/1"):
                for key, name in ((KEY, "desk"), (SOUTHERN_KEY, "southern")):
                    stated = (*key_field(key), (b"X-Figpaddle-Tenant", b"forged"))
                    request_id, answer = await send(entry, path, stated)
                    assert answer.status == 200, platform.log(entry)[-3000:]
                    expected[request_id] = name
        _, refused = await send("m-6", "/home/1", key_field(SOUTHERN_KEY))
        assert refused.status == 503
        ran = {}
        for engine in platform.engines:
            for request_id, fields in engine.request_headers.items():
                if request_id in expected:
                    assert "x-figpaddle-key" not in fields
                    ran[request_id] = fields["x-figpaddle-tenant"]
                    assert ran[request_id] != "southern" or engine.zone == "s-a"
        assert ran == expected
        invalid = with_tenants(3, **{"api-keys": [KEY]})
        answer = await platform.call_control("m-1", "POST", "/v1/config/put", invalid)
        assert answer.status == 400
        written = answer.body.decode()
        for number in range(1, 7):
            name = f"m-{number}"
            written += platform.log(name)
            written += (await platform.metrics(name, "/state")).body.decode()
            written += (await platform.metrics(name, "/metrics")).body.decode()
        assert "homes leave no region" in written and "workspace=desk" in written
        for key in (KEY, SOUTHERN_KEY, DROPPED_KEY, "key-unknown-51d0"):
            assert key not in written
