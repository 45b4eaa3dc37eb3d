"""The command that shows the timeline of one request from the logs of several processes."""

from __future__ import annotations

import dataclasses
import pathlib
import re
from collections.abc import Iterable
from typing import Annotated

import typer

from figpaddle.errors import DocumentError, DocumentFault

app = typer.Typer()

_FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
#: Fields that ``LogLine.render`` shows in columns of their own or omits.
_COLUMN_FIELDS = ("time", "level", "event", "instance", "request")
#: Time before the first line about a request from which state changes are shown.
STATE_CHANGE_WINDOW_S = 10.0
#: Events at which a process changes its view of a backend server or instance.
STATE_CHANGE_EVENTS = frozenset(
    {
        "backend_believed",
        "backend_lost",
        "instance_heard",
        "instance_silent",
        "process_started",
        "process_stopping",
        "state_installed",
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogLine:
    """One line of a log."""

    #: All fields of the line, including ``time`` and ``event``.
    fields: dict[str, str]

    @property
    def time(self) -> str:
        """Time of the line as it was logged, or an empty string."""
        return self.fields.get("time", "")

    @property
    def event(self) -> str:
        """Name of the event, or an empty string."""
        return self.fields.get("event", "")

    def render(self) -> str:
        """Return the line in the format of the timeline."""
        other_fields = " ".join(
            f"{k}={v}" for k, v in self.fields.items() if k not in _COLUMN_FIELDS
        )
        time_of_day = self.time.partition("T")[2].rstrip("Z")
        return (
            f"{time_of_day}  {self.fields.get('instance', ''):<16} {self.event:<18} {other_fields}"
        )


def parse_line(text: str) -> LogLine | None:
    """Return the parsed line of a log, or None if it isn't an event of figpaddle.

    >>> parse_line('time=2026-05-30T17:46:39Z level=info event=request_ended request=ab').event
    'request_ended'
    """
    fields = {name: value.strip('"') for name, value in _FIELD_PATTERN.findall(text)}
    return LogLine(fields=fields) if "event" in fields else None


def read_log_lines(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Return the events in log files; raises DocumentError for a file that can't be read."""
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            fault = DocumentFault(
                path=str(path), what=str(error), hint="specify a readable log file"
            )
            raise DocumentError(document=str(path), faults=(fault,)) from error
        lines += [line for line in map(parse_line, text.splitlines()) if line is not None]
    return lines


def build_timeline(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines about a request and related state changes, in order of time.

    A state change is related if it concerns a backend server or instance that a line about the
    request names and happened around the time of the request.
    """
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.fields.get("request") == request_id]
    targets = {
        line.fields[key]
        for line in request_lines
        for key in ("backend", "entry")
        if key in line.fields
    }
    state_changes = [
        line
        for line in all_lines
        if line.event in STATE_CHANGE_EVENTS
        and {line.fields.get("backend"), line.fields.get("peer")} & targets
    ]
    return sorted(
        [*request_lines, *_select_in_window(request_lines, state_changes)],
        key=lambda line: line.time,
    )


def summarize_outcome(timeline: list[LogLine]) -> str:
    """Return one sentence about the outcome of the request."""
    outcomes = [line for line in timeline if line.event == "request_ended"]
    if not outcomes:
        return "No log line shows the outcome: the process was killed or its log is missing."
    last = outcomes[-1]
    workspace = last.fields.get("workspace", "")
    whose = f" of workspace '{workspace}'" if workspace else ""
    return (
        f"The request{whose} ended with outcome '{last.fields.get('outcome', '')}' "
        f"after {last.fields.get('took_s', '?')} s "
        f"and {last.fields.get('attempts', '0')} attempts, at state revision "
        f"{last.fields.get('revision', '?')}."
    )


def _select_in_window(request_lines: list[LogLine], state_changes: list[LogLine]) -> list[LogLine]:
    if not request_lines:
        return []
    first, last = min(line.time for line in request_lines), max(line.time for line in request_lines)
    return [
        line
        for line in state_changes
        if _seconds_of_day(first) - STATE_CHANGE_WINDOW_S
        <= _seconds_of_day(line.time)
        <= _seconds_of_day(last) + 1.0
    ]


def _seconds_of_day(time: str) -> float:
    time_of_day = time.partition("T")[2].rstrip("Z")
    parts = time_of_day.split(":")
    if len(parts) != 3:
        return 0.0
    return int(parts[0]) * 3600 + int(parts[1]) * 60 + float(parts[2])


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Request id that the caller sent.")],
    logs: Annotated[list[pathlib.Path], typer.Argument(help="Log files of one or more processes.")],
) -> None:
    """Show what happened to one request, from the logs of the processes that handled it."""
    timeline = build_timeline(request_id, read_log_lines(logs))
    if not timeline:
        print(f"No log line contains request {request_id}: it reached none of these processes.")
        raise typer.Exit(1)
    for line in timeline:
        print(line.render())
    print(summarize_outcome(timeline))
