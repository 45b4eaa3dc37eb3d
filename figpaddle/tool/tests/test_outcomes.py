"""Requests counted by outcome, from the logs of several processes."""

from __future__ import annotations

import json
import pathlib

from typer.testing import CliRunner

from figpaddle.tool._main import app

ENTRY = """\
time=2026-05-30T17:46:30.000000Z level=info event=process_started instance=e-1 region=north
time=2026-05-30T17:46:41.000000Z level=info event=request_ended instance=e-1 request=a route=r outcome="stream complete" priority=2 target_s=1.0 expected_s=0.4 backend_s=0.5 first_s=0.6 took_s=0.9 origin=north
time=2026-05-30T17:46:42.000000Z level=info event=request_ended instance=e-1 request=b route=r outcome="stream complete" priority=2 target_s=1.0 expected_s=0.8 backend_s=1.5 first_s=1.7 took_s=1.9 origin=north
time=2026-05-30T17:46:43.000000Z level=warning event=request_ended instance=e-1 request=c route=r outcome="refused: late" priority=2 target_s=1.0 expected_s=None backend_s=None first_s=None took_s=0.0 origin=north
time=2026-05-30T17:46:43.000000Z level=info event=request_ended instance=e-1 request=d route=r outcome="caller left" priority=2 target_s=1.0 expected_s=3.0 first_s=None took_s=2.0 origin=north
"""
OTHER_REGION = """\
time=2026-05-30T17:46:30.000000Z level=info event=process_started instance=e-2 region=south
time=2026-05-30T17:46:41.000000Z level=info event=request_ended instance=e-2 request=a route=r outcome="stream complete" priority=2 target_s=1.0 expected_s=0.4 backend_s=0.5 first_s=0.5 took_s=0.8 origin=north
"""


def test_requests_are_counted_once_with_the_time_at_the_entry_apart(tmp_path: pathlib.Path) -> None:
    logs = [tmp_path / "e-1.log", tmp_path / "e-2.log"]
    for path, text in zip(logs, (ENTRY, OTHER_REGION), strict=True):
        path.write_text(text)
    result = CliRunner().invoke(app, ["outcomes", *map(str, logs), "--output", "json"])
    assert result.exit_code == 0, result.output
    [row] = json.loads(result.output)
    assert row == {
        "route": "r",
        "priority": "2",
        "region": "north",
        "from": "17:46:40.000",
        "requests": 4,
        "on_time": 1,
        "late": 1,
        "caller_left": 1,
        "refused": 1,
        "failed": 0,
        "expected_s": 0.8,
        "backend_s": 1.0,
        "entry_s": 0.15,
    }
