"""The operators' tool against a real process."""

from __future__ import annotations

import json
import subprocess
import sys

from tests.calls import chat, state_dump, wait_until
from tests.conftest import HANBIT_KEY
from tests.harness import OPERATOR_TOKEN, Deployment

TOOL_TIMEOUT_S = 60.0


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "figpaddle.tool", *arguments]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=TOOL_TIMEOUT_S, check=False
    )


def test_operator_inspects_sends_a_request_and_stops_the_instance(deployment: Deployment) -> None:
    instance = deployment.start_instance("seoul-1", "seoul")
    deployment.start_backend("engine-1", "engine", "seoul", ("draft",))
    entry = instance.ready_fields["callers"]
    wait_until(
        lambda: chat(entry, "draft", "x", key=HANBIT_KEY).is_success,
        description="the engine responds",
    )
    instance_options = ["--instance", instance.ready_fields["operators"], "--token", OPERATOR_TOKEN]
    entry_options = ["--entry", entry, "--key", HANBIT_KEY]

    rows = json.loads(run("backends", *instance_options, "--output", "json").stdout)
    assert [row["name"] for row in rows] == ["engine-1"]
    instances_row = run("instances", *instance_options).stdout.splitlines()[1]
    assert instances_row.split() == ["seoul-1", "seoul", "serving"]
    assert run("entries", *entry_options).stdout.splitlines()[1].startswith("seoul-1")
    streamed = run("chat", *entry_options, "--model", "draft", "--max-tokens", "3", "하나 둘 셋")
    assert streamed.stdout.strip() == "하나 둘 셋"
    assert run("state", "--instance", instance_options[1], "--token", "wrong").returncode == 3
    assert state_dump(instance)["state"] == "serving"
    stopped = run("stop", *instance_options)
    assert stopped.returncode == 0
    assert stopped.stdout.splitlines()[-1] == "stopped"
    assert instance.popen.wait(10) == 0
