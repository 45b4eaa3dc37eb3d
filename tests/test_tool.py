"""The operators' tool against a real process."""

from __future__ import annotations

import json
import subprocess
import sys

from tests.calls import chat, state, wait_until
from tests.conftest import HANBIT_KEY
from tests.harness import OPERATOR_TOKEN, Deployment

TOOL_TIMEOUT_S = 60.0


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "figpaddle.tool", *arguments]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=TOOL_TIMEOUT_S, check=False
    )


def test_operator_looks_sends_and_stops(deployment: Deployment) -> None:
    instance = deployment.start_instance("seoul-1", "seoul")
    deployment.start_backend("engine-1", "engine", "seoul", ("draft",))
    entry = instance.fields["callers"]
    wait_until(lambda: chat(entry, "draft", "x", key=HANBIT_KEY).is_success, what="answers")
    target = ["--instance", instance.fields["operators"], "--token", OPERATOR_TOKEN]
    client = ["--entry", entry, "--key", HANBIT_KEY]

    rows = json.loads(run("backends", *target, "--output", "json").stdout)
    assert [row["name"] for row in rows] == ["engine-1"]
    shown = run("instances", *target).stdout.splitlines()[1]
    assert shown.split() == ["seoul-1", "seoul", "serving"]
    assert run("entries", *client).stdout.splitlines()[1].startswith("seoul-1")
    streamed = run("chat", *client, "--model", "draft", "--max-tokens", "3", "하나 둘 셋")
    assert streamed.stdout.strip() == "하나 둘 셋"
    assert run("state", "--instance", target[1], "--token", "wrong").returncode == 3
    assert state(instance)["state"] == "serving"
    stopped = run("stop", *target)
    assert stopped.returncode == 0
    assert stopped.stdout.splitlines()[-1] == "stopped"
    assert instance.popen.wait(10) == 0
