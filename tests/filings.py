"""Filings that may not run twice: how tests send them and count their runs."""

from __future__ import annotations

import hashlib

import httpx

from tests.calls import CALL_TIMEOUT_S, call
from tests.conftest import HANBIT_KEY
from tests.harness import Deployment

SERVICE = "intake-records"


def file(
    deployment: Deployment,
    entry: str,
    key: str,
    *,
    body: bytes = b"",
    client: str = HANBIT_KEY,
    timeout_s: float = CALL_TIMEOUT_S,
    **headers: str,
) -> httpx.Response:
    """Send the filing ``key`` through the instance called ``entry``."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return call(
        deployment.entry(entry),
        "POST",
        f"/services/{SERVICE}/filings",
        key=client,
        timeout=timeout_s,
        content=body or key.encode(),
        headers={"idempotency-key": key, **named},
    )


def runs(deployment: Deployment, body: bytes | str) -> int:
    """Return how often ``body`` ran at the backend servers that live."""
    data = body.encode() if isinstance(body, str) else body
    digest = hashlib.sha256(data).hexdigest()
    count = 0
    for process in deployment.backends.values():
        if process.popen.poll() is None:
            url = f"http://{process.fields['address']}/"
            answer = httpx.get(url, timeout=CALL_TIMEOUT_S, trust_env=False)
            count += answer.json()["runs"].get(digest, 0)
    return count


def problem(answer: httpx.Response) -> tuple[str, str]:
    """Return the problem's short name and the outcome of a refusal."""
    document = answer.json()
    return document["type"].rpartition(":")[2], document["outcome"]
