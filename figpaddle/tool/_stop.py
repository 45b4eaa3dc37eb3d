"""The command that shuts an instance down gracefully."""

from __future__ import annotations

import time
from typing import Annotated

import httpx
import typer

from figpaddle.tool._client import CALL_TIMEOUT_S, InstanceOption, TokenOption, call
from figpaddle.tool._output import EXIT_TIMEOUT

#: Interval at which the state of the stopping process is polled.
POLL_INTERVAL_S = 0.5

app = typer.Typer()


@app.command()
def stop(
    instance: InstanceOption,
    token: TokenOption,
    timeout_s: Annotated[float, typer.Option(help="Longest time to wait, seconds.")] = 180.0,
) -> None:
    """Drain and stop one process: it leaves the entry lookup and finishes in-flight requests."""
    call("POST", instance, "/v1/stop", token=token)
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        progress = _fetch_progress(instance, token)
        if progress is None:
            print("stopped")
            return
        print(progress, flush=True)
        time.sleep(POLL_INTERVAL_S)
    raise typer.Exit(EXIT_TIMEOUT)


def _fetch_progress(instance: str, token: str) -> str | None:
    headers = {"authorization": f"Bearer {token}"}
    url = f"http://{instance}/v1/state"
    try:
        state = httpx.get(url, headers=headers, timeout=CALL_TIMEOUT_S, trust_env=False).json()
    except httpx.HTTPError:
        return None
    return f"state={state['state']} in_progress={state['in_progress']}"
