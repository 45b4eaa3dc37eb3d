"""The command that counts requests by outcome, from the logs of several processes."""

from __future__ import annotations

import collections
import datetime
import pathlib
import statistics
from collections.abc import Iterable
from typing import Annotated, Any

import typer

from figpaddle.tool._explain import LogLine, read_log_lines
from figpaddle.tool._output import Output, OutputOption, print_rows

app = typer.Typer()

#: Outcomes in the order of the columns.
OUTCOMES = ("on_time", "late", "caller_left", "refused", "failed")


def classify(line: LogLine) -> str:
    """Return the outcome of the request whose end ``line`` logs, one of ``OUTCOMES``.

    An answer is on time if its first byte was sent to the caller within the target of its route.

    >>> classify(LogLine(fields={"outcome": "status 200", "first_s": "0.2", "target_s": "0.5"}))
    'on_time'
    """
    outcome = line.fields.get("outcome", "")
    if outcome.startswith("refused"):
        return "refused"
    if outcome == "caller left":
        return "caller_left"
    if outcome != "stream complete" and not outcome.startswith("status 2"):
        return "failed"
    first_s, target_s = _seconds(line, "first_s"), _seconds(line, "target_s")
    in_time = first_s is not None and target_s is not None and first_s <= target_s
    return "on_time" if in_time else "late"


def count_outcomes(lines: Iterable[LogLine], *, window_s: float) -> list[dict[str, Any]]:
    """Return a row for each route, region and window of time in which requests arrived.

    Each request counts once, at the entry that its caller reached. ``expected_s`` and ``backend_s``
    are the medians of the time to the first byte that placement expected and that the backend server
    took; ``entry_s`` is the median of the time that was spent otherwise.
    """
    groups: dict[tuple[str, str, float], list[LogLine]] = collections.defaultdict(list)
    regions: dict[str, str] = {}
    for line in lines:
        instance = line.fields.get("instance", "")
        if line.event == "process_started":
            regions[instance] = line.fields.get("region", "")
        origin = line.fields.get("origin")
        if line.event != "request_ended" or origin is None:
            continue
        if regions.get(instance, origin) != origin:
            continue
        received_at = _unix_time(line) - (_seconds(line, "took_s") or 0.0)
        window = received_at // window_s * window_s
        groups[line.fields.get("route", ""), origin, window].append(line)
    return [_row(key, groups[key]) for key in sorted(groups)]


def _row(key: tuple[str, str, float], lines: list[LogLine]) -> dict[str, Any]:
    route, region, window = key
    counts = collections.Counter(map(classify, lines))
    started = datetime.datetime.fromtimestamp(window, tz=datetime.UTC)
    return {
        "route": route,
        "priority": lines[0].fields.get("priority", ""),
        "region": region,
        "from": started.time().isoformat(timespec="milliseconds"),
        "requests": len(lines),
        **{outcome: counts[outcome] for outcome in OUTCOMES},
        "expected_s": _median(_seconds(line, "expected_s") for line in lines),
        "backend_s": _median(_seconds(line, "backend_s") for line in lines),
        "entry_s": _median(map(_entry_time_s, lines)),
    }


def _entry_time_s(line: LogLine) -> float | None:
    first_s, backend_s = _seconds(line, "first_s"), _seconds(line, "backend_s")
    return None if first_s is None or backend_s is None else first_s - backend_s


def _median(values: Iterable[float | None]) -> float | None:
    known = [value for value in values if value is not None]
    return round(statistics.median(known), 3) if known else None


def _seconds(line: LogLine, field: str) -> float | None:
    try:
        return float(line.fields.get(field, ""))
    except ValueError:
        return None


def _unix_time(line: LogLine) -> float:
    try:
        return datetime.datetime.fromisoformat(line.time).timestamp()
    except ValueError:
        return 0.0


@app.command()
def outcomes(
    logs: Annotated[list[pathlib.Path], typer.Argument(help="Log files of one or more processes.")],
    window_s: Annotated[
        float, typer.Option("--window", help="Length of a window of time, seconds.", min=0.1)
    ] = 10.0,
    output: OutputOption = Output.TABLE,
) -> None:
    """Count requests by outcome, for each route, region and window of time."""
    print_rows(count_outcomes(read_log_lines(logs), window_s=window_s), output=output)
