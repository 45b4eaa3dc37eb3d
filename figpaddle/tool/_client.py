"""HTTP calls to an instance and the options that address it."""

from __future__ import annotations

import sys
from typing import Annotated, Any

import httpx
import typer

from figpaddle.tool._output import EXIT_REQUEST_FAILED

CALL_TIMEOUT_S = 10.0

InstanceOption = Annotated[
    str, typer.Option(help="Address of an instance's operator port, ip:port.")
]
TokenOption = Annotated[
    str, typer.Option(help="Access token of the operator.", envvar="FIGPADDLE_TOKEN")
]
EntryOption = Annotated[str, typer.Option(help="Address of any instance's caller port, ip:port.")]
KeyOption = Annotated[str, typer.Option(help="API key of the client.", envvar="FIGPADDLE_KEY")]


def call(method: str, address: str, path: str, *, token: str, body: Any = None) -> httpx.Response:
    """Return a successful response of an instance; print the error and exit if there is none."""
    url = f"http://{address}{path}"
    headers = {"authorization": f"Bearer {token}"}
    try:
        response = httpx.request(
            method, url, headers=headers, json=body, timeout=CALL_TIMEOUT_S, trust_env=False
        )
    except httpx.HTTPError as error:
        print(f"{url}: {error or type(error).__name__}", file=sys.stderr)
        raise typer.Exit(EXIT_REQUEST_FAILED) from error
    if not response.is_success:
        print(f"{url}: {response.status_code} {response.text}", file=sys.stderr)
        raise typer.Exit(EXIT_REQUEST_FAILED)
    return response
