"""An entry tells operators where it would send a request, and sends none."""

from __future__ import annotations

import json

import anyio
import pytest
from typer.testing import CliRunner

from figpaddle.tool._main import app
from tests.platform_standin import HOST, WAIT_TIMEOUT_S, PlatformDeployment, platform_deployment
from tests.test_workspaces import KEY, with_tenants

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def ask(platform: PlatformDeployment, name: str, *options: str, path: str = "/read/1") -> str:
    """Return what the command prints about a request to an entry, or its error."""
    arguments = ["preview", path, "--entry", platform.metrics_address(name)]
    fields = (f"Host: {HOST}", "X-Figpaddle-Request-Id: asked")
    for field in fields:
        arguments += ["--header", field]
    result = await anyio.to_thread.run_sync(CliRunner().invoke, app, [*arguments, *options])
    return result.output


async def test_an_entry_explains_where_a_request_would_go_and_sends_none() -> None:
    async with platform_deployment() as platform:
        document = with_tenants(2)
        reply = await platform.send_operator_command("POST", "/v1/config/put", document)
        assert reply.status == 200
        in_json = ("--output", "json")
        unknown = ("--header", "X-Figpaddle-Key: key-unknown")
        with anyio.fail_after(WAIT_TIMEOUT_S):
            # The command has been decided, and the entry applies it a moment later.
            while True:
                outcome = json.loads(await ask(platform, "m-4", *unknown, *in_json))["outcome"]
                if (outcome["kind"], outcome.get("status")) == ("refusal", 401):
                    break
        for access in (("--header", f"X-Figpaddle-Key: {KEY}"), ("--workspace", "desk")):
            text = await ask(platform, "m-4", *access, *in_json)
            explanation = json.loads(text)
            assert explanation["workspace"] == "desk" and KEY not in text
            servers = {item["name"] for item in explanation["backends"]}
            assert explanation["outcome"]["place"] in servers
        outcome = json.loads(await ask(platform, "m-4", "--workspace", "southern", *in_json))[
            "outcome"
        ]
        assert (outcome["kind"], outcome["place"]) == ("region", "south")
        table = await ask(platform, "m-4", "--workspace", "desk")
        assert "outcome: kind=backend server" in table and "best score first" in table
        assert "404" in await ask(platform, "m-1", "--workspace", "desk")
        assert not any(engine.arrivals for engine in platform.engines)
        metrics = (await platform.metrics("m-4", "/metrics")).body
        assert b"figpaddle_requests_total{" not in metrics
