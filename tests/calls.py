"""Helpers that send requests and wait for a condition with a timeout."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any

import httpx

from tests.harness import OPERATOR_TOKEN, Process, ProcessError

CALL_TIMEOUT_S = 20.0
POLL_S = 0.05


def call(entry: str, method: str, path: str, *, key: str, **options: Any) -> httpx.Response:
    """Send one request with the API key of a client."""
    headers = {"authorization": f"Bearer {key}", **options.pop("headers", {})}
    timeout_s = options.pop("timeout", CALL_TIMEOUT_S)
    return httpx.request(
        method,
        f"http://{entry}{path}",
        headers=headers,
        timeout=timeout_s,
        trust_env=False,
        **options,
    )


def chat(entry: str, model: str, text: str, *, key: str, **options: Any) -> httpx.Response:
    """Send one chat completion."""
    body = {"model": model, "messages": [{"role": "user", "content": text}], **options}
    return call(entry, "POST", "/v1/chat/completions", key=key, json=body)


def streamed_words(text: str) -> list[str]:
    """Return the content of each event of a streamed response, without the final ``[DONE]``.

    Raises ProcessError if ``[DONE]`` is missing.
    """
    events = [line[6:] for line in text.splitlines() if line.startswith("data: ")]
    if not events or events[-1] != "[DONE]":
        raise ProcessError(f"the stream does not end with [DONE]: {text[-200:]}")
    return [json.loads(event)["choices"][0]["delta"]["content"] for event in events[:-1]]


def state_dump(instance: Process) -> Any:
    """Return the state dump of a process, read from its operators' port."""
    url = f"http://{instance.ready_fields['operators']}/v1/state"
    headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
    return httpx.get(url, headers=headers, timeout=CALL_TIMEOUT_S, trust_env=False).json()


def wait_for_ledger(*instances: Process) -> None:
    """Wait until the ledger slots of ``instances`` vote."""
    for instance in instances:
        wait_until(
            lambda process=instance: state_dump(process)["ledger"]["voting"],
            description=f"{instance.name} votes",
        )


def wait_until(
    condition: Callable[[], bool], *, description: str, timeout_s: float = 15.0
) -> float:
    """Poll ``condition`` until it holds and return the seconds that this took.

    Raises ProcessError with ``description`` after ``timeout_s``.
    """
    started_at = time.monotonic()
    poll_s = POLL_S
    while not condition():
        if time.monotonic() - started_at > timeout_s:
            raise ProcessError(f"timed out after {timeout_s} s waiting until: {description}")
        time.sleep(poll_s)
    return time.monotonic() - started_at
