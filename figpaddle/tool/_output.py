"""How commands print: a table for people or JSON for programs."""

from __future__ import annotations

import enum
import json
import sys
from typing import Annotated, Any, NoReturn

import typer

from figpaddle.errors import DocumentError

#: Exit code for invalid input.
EXIT_INVALID = 2
#: Exit code when an instance refuses or can't be reached.
EXIT_UNREACHABLE = 3
#: Exit code when the work did not end in time.
EXIT_TIMEOUT = 4


class Output(enum.Enum):
    """Form of what a command prints."""

    #: Aligned columns with a head line.
    TABLE = "table"
    #: One JSON document.
    JSON = "json"


OutputOption = Annotated[Output, typer.Option("--output", help="table or json.")]


def print_rows(rows: list[dict[str, Any]], *, output: Output) -> None:
    """Print ``rows``, which all have the same columns."""
    if output is Output.JSON:
        print(json.dumps(rows, ensure_ascii=False))
        return
    if not rows:
        print("(none)")
        return
    names = list(rows[0])
    lines = [names, *([_cell(row[name]) for name in names] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(names))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(cells).rstrip())


def fail_document(error: DocumentError) -> NoReturn:
    """Print every fault of a document and exit."""
    for fault in error.faults:
        print(f"{error.where}: {fault}", file=sys.stderr)
    raise typer.Exit(EXIT_INVALID) from error


def _cell(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value)
