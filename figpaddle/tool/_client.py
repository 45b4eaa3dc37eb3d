"""Calls to an instance."""

from __future__ import annotations

import sys
from typing import Annotated, Any

import httpx
import typer

from figpaddle.tool._output import EXIT_UNREACHABLE

#: Timeout of a call to an instance, seconds.
CALL_TIMEOUT_S = 10.0

InstanceOption = Annotated[str, typer.Option(help="Operators' port of an instance, ip:port.")]
TokenOption = Annotated[str, typer.Option(help="Operator's token.", envvar="FIGPADDLE_TOKEN")]
EntryOption = Annotated[str, typer.Option(help="Callers' port of any instance, ip:port.")]
KeyOption = Annotated[str, typer.Option(help="Client's key.", envvar="FIGPADDLE_KEY")]


def call(method: str, address: str, path: str, *, token: str, plain: Any = None) -> httpx.Response:
    """Return the answer of an instance; prints the failure and exits for any but success."""
    url = f"http://{address}{path}"
    headers = {"authorization": f"Bearer {token}"}
    try:
        response = httpx.request(
            method, url, headers=headers, json=plain, timeout=CALL_TIMEOUT_S, trust_env=False
        )
    except httpx.HTTPError as error:
        print(f"{url}: {error or type(error).__name__}", file=sys.stderr)
        raise typer.Exit(EXIT_UNREACHABLE) from error
    if not response.is_success:
        print(f"{url}: {response.status_code} {response.text}", file=sys.stderr)
        raise typer.Exit(EXIT_UNREACHABLE)
    return response
