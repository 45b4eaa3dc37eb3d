"""A small application service whose calls may not be repeated: it counts every run."""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio

#: Header that delays the answer after the run, milliseconds.
DELAY_HEADER = b"x-standin-delay-ms"
#: Header that ends the process after the run.
DIE_HEADER = b"x-standin-die"
#: Header that makes the answer longer, bytes.
PAD_HEADER = b"x-standin-pad-bytes"

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class RecordsService:
    """ASGI application that files whatever is posted and lists how often each body ran."""

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._runs: dict[str, int] = {}
        self._running = 0

    def load(self) -> tuple[int, int]:
        """Return the requests running and waiting."""
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
        key = digest.hexdigest()
        self._runs[key] = self._runs.get(key, 0) + 1
        print(f"event=run body={key}", flush=True)
        headers = dict(scope["headers"])
        if DIE_HEADER in headers:
            os._exit(1)
        await anyio.sleep(int(headers.get(DELAY_HEADER, b"0")) / 1000)
        plain: dict[str, Any] = {
            "record": key[:12],
            "run": self._runs[key],
            "filed_by": self._name,
        }
        if PAD_HEADER in headers:
            plain["padding"] = "x" * int(headers[PAD_HEADER])
        await _send_json(send, 201, plain)


async def _send_json(send: Send, status: int, plain: Any) -> None:
    body = json.dumps(plain, ensure_ascii=False).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
