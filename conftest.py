"""Prints what tests recorded, and reads KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

Each entry begins with ``test: <test id>``; those tests are left out of the verdict and printed.
``--known-red`` runs just them.
"""

from __future__ import annotations

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
PREFIX = "test:"


def known_red() -> set[str]:
    """Return the ids of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line[len(PREFIX) :].strip() for line in lines if line.startswith(PREFIX)}


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", action="store_true", help="run just the known red tests")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    red = known_red()
    wanted = config.getoption("--known-red")
    left_out = [item for item in items if (item.nodeid in red) is not wanted]
    config.hook.pytest_deselected(items=left_out)
    items[:] = [item for item in items if (item.nodeid in red) is wanted]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for report in terminalreporter.getreports("passed"):
        for name, value in report.user_properties:
            terminalreporter.write_line(f"{report.nodeid}: {name}={value}")
    for name in sorted(known_red()):
        terminalreporter.write_line(f"known red: {name}")
