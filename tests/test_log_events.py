"""Every event that the regional programs log is documented in docs/OPERATIONS.md."""

from __future__ import annotations

import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
LOG_CALL = re.compile(r"(?:_log|log|write)(?:\.\w+)?\(\s*\"([a-z_]+)\"", re.MULTILINE)


def logged_events() -> set[str]:
    sources = [*(ROOT / "figpaddle" / "regional").glob("*.py"), ROOT / "platform" / "serve.py"]
    return {
        event for path in sources for event in LOG_CALL.findall(path.read_text(encoding="utf-8"))
    }


def test_every_event_is_documented() -> None:
    page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    missing = {event for event in logged_events() if f"`{event}`" not in page}
    assert not missing


def test_the_events_are_found_in_the_code() -> None:
    assert {"request_placed", "request_ended", "round_won", "process_started"} <= logged_events()
