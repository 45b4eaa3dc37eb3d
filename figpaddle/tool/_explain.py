"""The command that tells the story of one request from the logs of all processes."""

from __future__ import annotations

import dataclasses
import pathlib
import re
from collections.abc import Iterable
from typing import Annotated

import typer

from figpaddle.errors import DocumentError, DocumentFault

app = typer.Typer()

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
#: Fields that every line has and that the story shows elsewhere or not at all.
_FRAME = ("time", "level", "event", "instance", "request")
#: Time around a request in which what a process came to believe is shown, seconds.
BELIEF_WINDOW_S = 10.0
#: Events that change what is believed of a backend server or instance.
BELIEFS = frozenset(
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

    #: All fields, ``time`` and ``event`` among them.
    fields: dict[str, str]

    @property
    def time(self) -> str:
        """When it was written, as in the line."""
        return self.fields.get("time", "")

    @property
    def event(self) -> str:
        """What happened."""
        return self.fields.get("event", "")

    def render(self) -> str:
        """Return the line as the story shows it."""
        rest = " ".join(f"{k}={v}" for k, v in self.fields.items() if k not in _FRAME)
        clock = self.time.partition("T")[2].rstrip("Z")
        return f"{clock}  {self.fields.get('instance', ''):<16} {self.event:<18} {rest}"


def parse_line(text: str) -> LogLine | None:
    """Return a line of a log, or None for one that no process of figpaddle wrote.

    >>> parse_line('time=2026-05-30T17:46:39Z level=info event=request_ended request=ab').event
    'request_ended'
    """
    fields = {name: value.strip('"') for name, value in _FIELD.findall(text)}
    return LogLine(fields=fields) if "event" in fields else None


def story_of(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines about a request, and those about the backend servers that it met, in order.

    Of what a process came to believe, only lines about a place that the request met are shown.
    """
    known = list(lines)
    own = [line for line in known if line.fields.get("request") == request_id]
    places = {
        line.fields[key] for line in own for key in ("backend", "entry") if key in line.fields
    }
    beliefs = [
        line
        for line in known
        if line.event in BELIEFS and {line.fields.get("backend"), line.fields.get("peer")} & places
    ]
    return sorted([*own, *_near(own, beliefs)], key=lambda line: line.time)


def verdict_of(story: list[LogLine]) -> str:
    """Return one sentence on how the request ended."""
    ends = [line for line in story if line.event == "request_ended"]
    if not ends:
        return "No process wrote how it ended: the process was killed or its log is not here."
    last = ends[-1]
    return (
        f"It ended as '{last.fields.get('outcome', '')}' after {last.fields.get('took_s', '?')} s "
        f"and {last.fields.get('attempts', '0')} attempts, at state revision "
        f"{last.fields.get('revision', '?')}."
    )


def _near(own: list[LogLine], beliefs: list[LogLine]) -> list[LogLine]:
    if not own:
        return []
    first, last = min(line.time for line in own), max(line.time for line in own)
    return [
        line
        for line in beliefs
        if _seconds(first) - BELIEF_WINDOW_S <= _seconds(line.time) <= _seconds(last) + 1.0
    ]


def _seconds(time: str) -> float:
    clock = time.partition("T")[2].rstrip("Z")
    parts = clock.split(":")
    if len(parts) != 3:
        return 0.0
    return int(parts[0]) * 3600 + int(parts[1]) * 60 + float(parts[2])


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Identifier that the caller gave.")],
    logs: Annotated[list[pathlib.Path], typer.Argument(help="Logs of any number of processes.")],
) -> None:
    """Tell what happened to one request, from the logs of the processes that it met."""
    lines: list[LogLine] = []
    for path in logs:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            fault = DocumentFault(path=str(path), what=str(error), mend="name a readable log")
            raise DocumentError(document=str(path), faults=(fault,)) from error
        lines += [line for line in map(parse_line, text.splitlines()) if line is not None]
    story = story_of(request_id, lines)
    if not story:
        print(f"No line about {request_id}: it reached none of these processes.")
        raise typer.Exit(1)
    for line in story:
        print(line.render())
    print(verdict_of(story))
