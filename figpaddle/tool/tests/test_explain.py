"""The timeline of a request, built from the logs of several processes."""

from __future__ import annotations

import pathlib

from typer.testing import CliRunner

from figpaddle.tool._explain import build_timeline, parse_line, summarize_outcome
from figpaddle.tool._main import app

ENTRY = """\
time=2026-05-30T17:46:40.100000Z level=info event=backend_believed instance=e-1 backend=i-7 state=serving age_s=0.0
time=2026-05-30T17:46:41.000000Z level=info event=request_placed instance=e-1 request=abc backend=i-7 attempt=1 left_s=3.0
time=2026-05-30T17:46:41.200000Z level=warning event=attempt_failed instance=e-1 request=abc backend=i-7 fate=unknown reason="ConnectionLostError: reset"
time=2026-05-30T17:46:41.300000Z level=info event=request_placed instance=e-1 request=other backend=i-9
time=2026-05-30T17:46:41.500000Z level=warning event=request_ended instance=e-1 request=abc outcome="502: ConnectionLostError: reset" attempts=1 took_s=0.5 revision=4
a traceback that is not an event
"""
OTHER = """\
time=2026-05-30T17:46:41.250000Z level=warning event=backend_lost instance=e-2 backend=i-7 reason=refused
time=2026-05-30T17:46:41.260000Z level=warning event=backend_lost instance=e-2 backend=i-9 reason=refused
time=2026-05-30T17:50:00.000000Z level=info event=backend_believed instance=e-2 backend=i-7 state=gone
"""


def lines() -> list[object]:
    return [line for line in map(parse_line, (ENTRY + OTHER).splitlines()) if line is not None]


def test_timeline_has_the_lines_of_the_request_and_state_changes_of_its_backends() -> None:
    timeline = build_timeline("abc", lines())  # type: ignore[arg-type]
    assert [line.event for line in timeline] == [
        "backend_believed",
        "request_placed",
        "attempt_failed",
        "backend_lost",
        "request_ended",
    ]


def test_summary_has_outcome_time_and_revision() -> None:
    summary = summarize_outcome(build_timeline("abc", lines()))  # type: ignore[arg-type]
    assert "502: ConnectionLostError: reset" in summary
    assert "0.5 s" in summary and "revision 4" in summary


def test_summary_reports_a_missing_outcome() -> None:
    assert "No log line shows the outcome" in summarize_outcome(build_timeline("other", lines()))  # type: ignore[arg-type]


def test_command_reads_several_logs(tmp_path: pathlib.Path) -> None:
    paths = [tmp_path / "one.log", tmp_path / "two.log"]
    for path, text in zip(paths, (ENTRY, OTHER), strict=True):
        path.write_text(text, encoding="utf-8")
    result = CliRunner().invoke(app, ["explain", "abc", *map(str, paths)])
    assert result.exit_code == 0
    assert result.output.index("request_placed") < result.output.index("backend_lost")


def test_command_fails_for_an_unknown_request(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "one.log"
    path.write_text(ENTRY, encoding="utf-8")
    result = CliRunner().invoke(app, ["explain", "nobody", str(path)])
    assert result.exit_code == 1 and "reached none" in result.output
