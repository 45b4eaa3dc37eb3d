"""The command that stops an instance gracefully."""

from __future__ import annotations

import time
from typing import Annotated

import httpx
import typer

from figpaddle.tool._client import CALL_TIMEOUT_S, InstanceOption, TokenOption, call
from figpaddle.tool._output import EXIT_TIMEOUT

#: Interval between looks at a stopping process, seconds.
POLL_S = 0.5

app = typer.Typer()


@app.command()
def stop(
    instance: InstanceOption,
    token: TokenOption,
    timeout_s: Annotated[float, typer.Option(help="Longest wait, seconds.")] = 180.0,
) -> None:
    """Stop one process: out of the lookup, no new work, then what runs is finished."""
    call("POST", instance, "/v1/stop", token=token)
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        progress = _progress(instance, token)
        if progress is None:
            print("stopped")
            return
        print(progress, flush=True)
        time.sleep(POLL_S)
    raise typer.Exit(EXIT_TIMEOUT)


def _progress(instance: str, token: str) -> str | None:
    headers = {"authorization": f"Bearer {token}"}
    url = f"http://{instance}/v1/state"
    try:
        plain = httpx.get(url, headers=headers, timeout=CALL_TIMEOUT_S, trust_env=False).json()
    except httpx.HTTPError:
        return None
    return f"state={plain['state']} in_progress={plain['in_progress']}"
