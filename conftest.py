"""Deselects the known failing tests of KNOWN-RED.txt and prints the recorded test properties.

The tests in KNOWN-RED.txt fail because of a fault that is not fixed yet. Each entry begins with
``test: <test id>``. These tests don't affect the test result, but the summary lists them;
``--known-red`` runs only them.
"""

from __future__ import annotations

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
TEST_ID_PREFIX = "test:"


def known_red() -> set[str]:
    """Return the ids of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line[len(TEST_ID_PREFIX) :].strip() for line in lines if line.startswith(TEST_ID_PREFIX)
    }


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--known-red", action="store_true", help="run only the tests that KNOWN-RED.txt lists"
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known_failures = known_red()
    run_known_red = config.getoption("--known-red")
    deselected = [item for item in items if (item.nodeid in known_failures) is not run_known_red]
    config.hook.pytest_deselected(items=deselected)
    items[:] = [item for item in items if (item.nodeid in known_failures) is run_known_red]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for report in terminalreporter.getreports("passed"):
        for name, value in report.user_properties:
            terminalreporter.write_line(f"{report.nodeid}: {name}={value}")
    for name in sorted(known_red()):
        terminalreporter.write_line(f"known red: {name}")
