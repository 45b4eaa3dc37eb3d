"""Output of the commands, as a table or JSON, and their exit codes."""

from __future__ import annotations

import enum
import json
import sys
from typing import Annotated, Any, NoReturn

import typer

from figpaddle.errors import DocumentError

#: Exit code for invalid input.
EXIT_INVALID = 2
#: Exit code when an instance rejects the request or can't be reached.
EXIT_REQUEST_FAILED = 3
#: Exit code when the operation did not finish before its timeout.
EXIT_TIMEOUT = 4


class Output(enum.Enum):
    """Output format of a command."""

    #: Aligned columns below a header line.
    TABLE = "table"
    #: One JSON document.
    JSON = "json"


OutputOption = Annotated[Output, typer.Option("--output", help="Output format: table or json.")]


def print_rows(rows: list[dict[str, Any]], *, output: Output) -> None:
    """Print ``rows``, which all have the same columns."""
    if output is Output.JSON:
        print(json.dumps(rows, ensure_ascii=False))
        return
    if not rows:
        print("(none)")
        return
    columns = list(rows[0])
    table = [columns, *([_format_cell(row[column]) for column in columns] for row in rows)]
    widths = [max(len(cells[index]) for cells in table) for index in range(len(columns))]
    for cells in table:
        padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
        print("  ".join(padded).rstrip())


def exit_with_faults(error: DocumentError) -> NoReturn:
    """Print every fault of an invalid document and exit."""
    for fault in error.faults:
        print(f"{error.where}: {fault}", file=sys.stderr)
    raise typer.Exit(EXIT_INVALID) from error


def _format_cell(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value)
