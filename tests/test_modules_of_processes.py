"""A platform process imports what its role uses, since each import makes its start longer."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
#: Libraries of the other programs, and those that only tests need.
UNUSED_LIBRARIES = {
    "click",
    "httpx",
    "hypercorn",
    "pydantic",
    "ruamel",
    "sismic",
    "typer",
    "websockets",
    "yaml",
}
#: Packages and modules that no platform process uses.
UNUSED_BY_ALL = {
    "figpaddle.coordination._membership",
    "figpaddle.coordination._replica",
    "figpaddle.daemon",
    "figpaddle.deployment._configuration",
    "figpaddle.ledger",
    "figpaddle.routing._scored",
    "figpaddle.standins",
    "figpaddle.tool",
    "figpaddle.wire._control_messages",
    "figpaddle.wire._ledger_messages",
    "figpaddle.wire._log_messages",
    "figpaddle.wire._membership_messages",
}
UNUSED_BY_ROLE = {
    "entry": {
        "figpaddle.regional._control",
        "figpaddle.regional._quota_holder",
        "figpaddle.regional._register_store",
        "figpaddle.storage",
    },
    "control": {
        "figpaddle.regional._gateway",
        "figpaddle.regional._placer",
        "figpaddle.routing._crash_quarantine",
        "figpaddle.routing._regional_placement",
    },
}
#: Prints the modules of a process that has sent a message.
START = """
import json, sys
sys.path[:0] = ["platform", "."]
import serve
from figpaddle import wire
serve.process_class(wire.InstanceRole(sys.argv[1]))
wire.encode(wire.StateQuery())
print(json.dumps(sorted(sys.modules)))
"""


def _imported(role: str) -> set[str]:
    command = [sys.executable, "-c", START, role]
    return set(json.loads(subprocess.check_output(command, cwd=ROOT)))


@pytest.mark.parametrize("role", UNUSED_BY_ROLE)
def test_a_process_imports_only_what_its_role_uses(role: str) -> None:
    imported = _imported(role)
    assert imported & (UNUSED_LIBRARIES | UNUSED_BY_ALL | UNUSED_BY_ROLE[role]) == set()
