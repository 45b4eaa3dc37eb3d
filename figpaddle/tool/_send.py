"""The command that sends a request as a caller would."""

from __future__ import annotations

import json
import sys
import uuid
from typing import Annotated

import httpx
import typer

from figpaddle.tool._client import EntryOption, KeyOption, call
from figpaddle.tool._output import EXIT_UNREACHABLE

#: Longest silence within an answer, seconds.
READ_TIMEOUT_S = 120.0
#: Most entry instances tried.
MAX_ENTRIES = 3

app = typer.Typer()


@app.command()
def chat(
    entry: EntryOption,
    key: KeyOption,
    model: Annotated[str, typer.Option(help="Service to ask.")],
    text: Annotated[str, typer.Argument(help="Text of the request.")],
    max_tokens: Annotated[int, typer.Option(help="Most tokens to generate.")] = 64,
) -> None:
    """Send a chat completion through the entry instances that the lookup names, and stream it."""
    plain = call("GET", entry, "/v1/entries", token=key).json()
    addresses = [item["address"] for item in plain["entries"]] or [entry]
    body = {
        "model": model,
        "stream": True,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": text}],
    }
    for address in addresses[:MAX_ENTRIES]:
        if _stream(address, key, body):
            return
    raise typer.Exit(EXIT_UNREACHABLE)


@app.command()
def send(
    entry: EntryOption,
    key: KeyOption,
    service: Annotated[str, typer.Option(help="Application service to call.")],
    path: Annotated[str, typer.Argument(help="Path at the service.")],
    method: Annotated[str, typer.Option(help="HTTP method.")] = "GET",
    data: Annotated[str, typer.Option(help="Body of the request.")] = "",
    idempotency_key: Annotated[
        str | None, typer.Option(help="Key to send again with; made if not given.")
    ] = None,
) -> None:
    """Send one call to an application service and print the answer."""
    chosen = idempotency_key or uuid.uuid4().hex
    headers = {"authorization": f"Bearer {key}", "idempotency-key": chosen}
    url = f"http://{entry}/services/{service}/{path.lstrip('/')}"
    try:
        answer = httpx.request(
            method, url, headers=headers, content=data, timeout=READ_TIMEOUT_S, trust_env=False
        )
    except httpx.HTTPError as error:
        print(f"{url}: {error or type(error).__name__}; key {chosen}", file=sys.stderr)
        raise typer.Exit(EXIT_UNREACHABLE) from error
    print(answer.text)
    print(f"status={answer.status_code} idempotency_key={chosen}", file=sys.stderr)
    if answer.is_error:
        raise typer.Exit(EXIT_UNREACHABLE)


def _stream(address: str, key: str, body: dict[str, object]) -> bool:
    """Print a streamed answer; return False if another entry instance may be tried."""
    url = f"http://{address}/v1/chat/completions"
    headers = {"authorization": f"Bearer {key}"}
    timeout = httpx.Timeout(READ_TIMEOUT_S)
    begun = False
    try:
        with httpx.stream(
            "POST", url, headers=headers, json=body, timeout=timeout, trust_env=False
        ) as answer:
            if answer.is_error:
                print(answer.read().decode(), file=sys.stderr)
                return False
            for line in answer.iter_lines():
                begun = True
                if line.startswith("event: error"):
                    print("\nthe stream broke", file=sys.stderr)
                    raise typer.Exit(EXIT_UNREACHABLE)
                if line.startswith("data: ") and line != "data: [DONE]":
                    delta = json.loads(line[len("data: ") :])["choices"][0]["delta"]
                    print(delta.get("content", ""), end="", flush=True)
            print()
    except httpx.HTTPError as error:
        print(f"{url}: {error or type(error).__name__}", file=sys.stderr)
        if begun:
            raise typer.Exit(EXIT_UNREACHABLE) from error
        return False
    return True
