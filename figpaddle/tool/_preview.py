"""The command that asks an entry where it would send a request now."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Annotated, Any

import httpx
import typer

from figpaddle.tool._client import CALL_TIMEOUT_S
from figpaddle.tool._output import (
    EXIT_INVALID,
    EXIT_REQUEST_FAILED,
    Output,
    OutputOption,
    print_rows,
)

app = typer.Typer()

#: Columns of the table of backend servers, and the parts of the score beside them.
BACKEND_COLUMNS = ("name", "zone", "healthy", "requests", "slots", "cached_tokens", "speed_factor")
PART_COLUMNS = ("expected_s", "load_s", "prefix_s", "failures_s", "start_s", "pauses_s")
REGION_COLUMNS = ("name", "backends", "room", "recently_sent", "expected_s", "score")


@app.command()
def preview(
    path: Annotated[str, typer.Argument(help="Path of the request, with its query.")],
    entry: Annotated[str, typer.Option(help="Address of an entry's metrics port, ip:port.")],
    header: Annotated[
        list[str], typer.Option(help="Header field of the request, NAME: VALUE; repeat for more.")
    ],
    workspace: Annotated[
        str, typer.Option(help="Workspace of the caller, in place of a key in the header.")
    ] = "",
    method: Annotated[str, typer.Option(help="Method of the request.")] = "POST",
    body: Annotated[pathlib.Path | None, typer.Option(help="File with the body.")] = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show where an entry would send a request now and why, without sending it."""
    fields = [_split_field(field) for field in header]
    if workspace:
        fields.append(("figpaddle-explain-workspace", workspace))
    url = f"http://{entry}/explain{path}"
    try:
        content = b"" if body is None else body.read_bytes()
        response = httpx.request(
            method, url, headers=fields, content=content, timeout=CALL_TIMEOUT_S, trust_env=False
        )
    except (OSError, httpx.HTTPError) as error:
        print(f"{url}: {error or type(error).__name__}", file=sys.stderr)
        raise typer.Exit(EXIT_REQUEST_FAILED) from error
    if not response.is_success:
        print(f"{url}: {response.status_code}", file=sys.stderr)
        raise typer.Exit(EXIT_REQUEST_FAILED)
    document = response.json()
    if output is Output.JSON:
        print(json.dumps(document, ensure_ascii=False))
    else:
        _print_explanation(document)


def _split_field(field: str) -> tuple[str, str]:
    name, colon, value = field.partition(":")
    if not colon or not name.strip():
        print(f"{field}: is no header field, write NAME: VALUE", file=sys.stderr)
        raise typer.Exit(EXIT_INVALID)
    return name.strip(), value.strip()


def _print_explanation(document: dict[str, Any]) -> None:
    lists = ("backends", "obstacles", "regions", "outcome")
    for name, value in document.items():
        if name not in lists:
            print(f"{name}: {value}")
    if "backends" in document:
        print("\nbackend servers, the best score first:")
        rows = [
            {name: backend[name] for name in BACKEND_COLUMNS}
            | {name: (backend["parts"] or {}).get(name, "full") for name in PART_COLUMNS}
            | {"score": backend.get("score", "")}
            for backend in document["backends"]
        ]
        print_rows(rows, output=Output.TABLE)
        print("\nwithout a share of the choice:")
        obstacles = document["obstacles"].items()
        print_rows([{"name": name, "because": why} for name, why in obstacles], output=Output.TABLE)
        print("\nother regions:")
        regions = [
            {name: region.get(name, "full") for name in REGION_COLUMNS}
            for region in document["regions"]
        ]
        print_rows(regions, output=Output.TABLE)
    print()
    print("outcome:", " ".join(f"{name}={value}" for name, value in document["outcome"].items()))
