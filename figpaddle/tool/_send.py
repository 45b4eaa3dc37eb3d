"""The commands that send a request as a client."""

from __future__ import annotations

import json
import sys
import uuid
from typing import Annotated

import httpx
import typer

from figpaddle.tool._client import EntryOption, KeyOption, call
from figpaddle.tool._output import EXIT_REQUEST_FAILED

#: Timeout for opening a connection, and for each read and write on it.
READ_TIMEOUT_S = 120.0
#: Largest number of entry instances to try.
MAX_ENTRIES = 3

app = typer.Typer()


@app.command()
def chat(
    entry: EntryOption,
    key: KeyOption,
    model: Annotated[str, typer.Option(help="Model service to call.")],
    text: Annotated[str, typer.Argument(help="Text of the request.")],
    max_tokens: Annotated[int, typer.Option(help="Largest number of tokens to generate.")] = 64,
) -> None:
    """Look up the entry instances, send a chat completion to one and print its streamed response."""
    lookup = call("GET", entry, "/v1/entries", token=key).json()
    addresses = [entry_info["address"] for entry_info in lookup["entries"]] or [entry]
    body = {
        "model": model,
        "stream": True,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": text}],
    }
    for address in addresses[:MAX_ENTRIES]:
        if _stream_completion(address, key, body):
            return
    raise typer.Exit(EXIT_REQUEST_FAILED)


@app.command()
def send(
    entry: EntryOption,
    key: KeyOption,
    service: Annotated[str, typer.Option(help="Application service to call.")],
    path: Annotated[str, typer.Argument(help="Path within the service.")],
    method: Annotated[str, typer.Option(help="HTTP method.")] = "GET",
    data: Annotated[str, typer.Option(help="Body of the request.")] = "",
    idempotency_key: Annotated[
        str | None, typer.Option(help="Idempotency key, for a retry; generated if omitted.")
    ] = None,
) -> None:
    """Send one request to an application service and print the response."""
    sent_key = idempotency_key or uuid.uuid4().hex
    headers = {"authorization": f"Bearer {key}", "idempotency-key": sent_key}
    url = f"http://{entry}/services/{service}/{path.lstrip('/')}"
    try:
        response = httpx.request(
            method, url, headers=headers, content=data, timeout=READ_TIMEOUT_S, trust_env=False
        )
    except httpx.HTTPError as error:
        print(
            f"{url}: {error or type(error).__name__}; idempotency key {sent_key}", file=sys.stderr
        )
        raise typer.Exit(EXIT_REQUEST_FAILED) from error
    print(response.text)
    print(f"status={response.status_code} idempotency_key={sent_key}", file=sys.stderr)
    if response.is_error:
        raise typer.Exit(EXIT_REQUEST_FAILED)


def _stream_completion(address: str, key: str, body: dict[str, object]) -> bool:
    """Print a streamed response; return False if another entry instance may be tried."""
    url = f"http://{address}/v1/chat/completions"
    headers = {"authorization": f"Bearer {key}"}
    timeout = httpx.Timeout(READ_TIMEOUT_S)
    has_output = False
    try:
        with httpx.stream(
            "POST", url, headers=headers, json=body, timeout=timeout, trust_env=False
        ) as response:
            if response.is_error:
                print(response.read().decode(), file=sys.stderr)
                return False
            for line in response.iter_lines():
                has_output = True
                if line.startswith("event: error"):
                    print("\nthe response stream was interrupted", file=sys.stderr)
                    raise typer.Exit(EXIT_REQUEST_FAILED)
                if line.startswith("data: ") and line != "data: [DONE]":
                    delta = json.loads(line[len("data: ") :])["choices"][0]["delta"]
                    print(delta.get("content", ""), end="", flush=True)
            print()
    except httpx.HTTPError as error:
        print(f"{url}: {error or type(error).__name__}", file=sys.stderr)
        if has_output:
            raise typer.Exit(EXIT_REQUEST_FAILED) from error
        return False
    return True
