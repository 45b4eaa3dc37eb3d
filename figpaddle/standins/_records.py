"""A stand-in application service with non-idempotent requests that counts every execution."""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio

#: Header that delays the response after the execution, milliseconds.
DELAY_HEADER = b"x-standin-delay-ms"
#: Header that ends the process after the execution, before the response.
CRASH_HEADER = b"x-standin-die"
#: Header that pads the response, bytes.
PADDING_HEADER = b"x-standin-pad-bytes"

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class RecordsService:
    """ASGI application that counts the requests with each body; GET returns the counts."""

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._runs: dict[str, int] = {}
        self._running = 0

    def load(self) -> tuple[int, int]:
        """Return the number of running and of waiting requests."""
        return self._running, 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        self._running += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self._running -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        digest = hashlib.sha256()
        while True:
            event = await receive()
            digest.update(event.get("body", b""))
            if not event.get("more_body", False):
                break
        if scope["method"] == "GET":
            await _send_json(send, 200, {"runs": self._runs})
            return
        body_digest = digest.hexdigest()
        self._runs[body_digest] = self._runs.get(body_digest, 0) + 1
        print(f"event=run body={body_digest}", flush=True)
        headers = dict(scope["headers"])
        if CRASH_HEADER in headers:
            os._exit(1)
        await anyio.sleep(int(headers.get(DELAY_HEADER, b"0")) / 1000)
        record: dict[str, Any] = {
            "record": body_digest[:12],
            "run": self._runs[body_digest],
            "filed_by": self._name,
        }
        if PADDING_HEADER in headers:
            record["padding"] = "x" * int(headers[PADDING_HEADER])
        await _send_json(send, 201, record)


async def _send_json(send: Send, status: int, record: Any) -> None:
    body = json.dumps(record, ensure_ascii=False).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
