"""Helpers for the HTTP ports: headers, request bodies, JSON responses and problem documents."""

from __future__ import annotations

import json
import math
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from typing import Any

import anyio

from figpaddle.daemon._request_response import BodySource
from figpaddle.errors import (
    BodyTimeoutError,
    BodyTooLargeError,
    FigpaddleError,
    RequestError,
)

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

#: Key of a scope under which a port keeps the id of the request.
REQUEST_ID_KEY = "figpaddle.request_id"
#: Prefix of the ``type`` of problem documents.
PROBLEM_PREFIX = "urn:figpaddle:problem:"
#: Longest wait for the next chunk of a request body on ports other than the callers', seconds.
BODY_IDLE_TIMEOUT_S = 10.0


class CallerGoneError(FigpaddleError):
    """The caller closed its connection, or stopped reading, before the end of the response."""

    def __init__(self) -> None:
        super().__init__(what="the caller closed the connection")


def header_value(scope: Scope, name: str) -> str | None:
    """Return the value of the first header ``name``, given in lower case, or None."""
    encoded_name = name.encode()
    for key, value in scope["headers"]:
        if key.lower() == encoded_name:
            return str(value.decode("latin-1"))
    return None


def bearer_token(scope: Scope) -> str | None:
    """Return the bearer token of the request, or None."""
    kind, _, token = (header_value(scope, "authorization") or "").partition(" ")
    return token.strip() if kind.lower() == "bearer" and token.strip() else None


def query_value(scope: Scope, name: str) -> str | None:
    """Return the first value of the query parameter ``name``, or None."""
    query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
    return next(iter(query.get(name, [])), None)


def check_body_length(scope: Scope, *, limit_bytes: int) -> None:
    """Raise BodyTooLargeError if the Content-Length of the request is over the limit."""
    declared_length = header_value(scope, "content-length")
    if (
        declared_length is not None
        and declared_length.isdigit()
        and int(declared_length) > limit_bytes
    ):
        raise BodyTooLargeError(limit_bytes=limit_bytes)


class HttpBody(BodySource):
    """The body of an HTTP request, read as a stream and limited in size."""

    def __init__(
        self, *, receive: Receive, limit_bytes: int, idle_timeout_s: float = BODY_IDLE_TIMEOUT_S
    ) -> None:
        self._receive = receive
        self._limit_bytes = limit_bytes
        self._idle_timeout_s = idle_timeout_s
        self._read_started = False
        self._read_finished = anyio.Event()
        self._size = 0

    @property
    def read_started(self) -> bool:
        """Whether reading the body has started."""
        return self._read_started

    async def wait_read_finished(self) -> None:
        """Wait until the complete body has been read."""
        await self._read_finished.wait()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks; raises BodyTooLargeError, BodyTimeoutError or CallerGoneError."""
        self._read_started = True
        while not self._read_finished.is_set():
            event = await self._next_event()
            if event["type"] == "http.disconnect":
                raise CallerGoneError
            data = event.get("body", b"")
            self._size += len(data)
            if self._size > self._limit_bytes:
                raise BodyTooLargeError(limit_bytes=self._limit_bytes)
            if not event.get("more_body", False):
                self._read_finished.set()
            if data:
                yield data

    async def _next_event(self) -> MutableMapping[str, Any]:
        try:
            with anyio.fail_after(self._idle_timeout_s):
                return await self._receive()
        except TimeoutError as error:
            raise BodyTimeoutError(timeout_s=self._idle_timeout_s) from error

    async def read(self) -> bytes:
        """Read the complete body and return it."""
        return b"".join([chunk async for chunk in self.chunks()])


def encode_headers(headers: dict[str, str]) -> list[tuple[bytes, bytes]]:
    """Return headers as the pairs of bytes that ASGI expects."""
    return [(key.encode(), value.encode("latin-1", "replace")) for key, value in headers.items()]


async def send_bytes(
    send: Send,
    *,
    status: int,
    data: bytes,
    content_type: str,
    extra_headers: dict[str, str] | None = None,
) -> None:
    """Send a response with a complete body."""
    headers = {
        "content-type": content_type,
        "content-length": str(len(data)),
        **(extra_headers or {}),
    }
    await send(
        {"type": "http.response.start", "status": status, "headers": encode_headers(headers)}
    )
    await send({"type": "http.response.body", "body": data})


async def send_json(
    send: Send, *, status: int, value: Any, extra_headers: dict[str, str] | None = None
) -> None:
    """Send ``value`` as a JSON response."""
    data = json.dumps(value, ensure_ascii=False).encode()
    await send_bytes(
        send, status=status, data=data, content_type="application/json", extra_headers=extra_headers
    )


def problem_document(error: RequestError, *, request_id: str) -> dict[str, Any]:
    """Return the problem document of ``error``."""
    document: dict[str, Any] = {
        "type": PROBLEM_PREFIX + error.problem,
        "title": error.what,
        "status": error.status,
        "outcome": error.outcome.value,
        "request_id": request_id,
    }
    if error.hint:
        document["detail"] = error.hint
    if error.retry_after_s is not None:
        document["retry_after_s"] = error.retry_after_s
    return document


async def send_problem(
    send: Send, error: RequestError, *, request_id: str, extra_headers: dict[str, str] | None = None
) -> None:
    """Send ``error`` as a problem document; headers repeat its outcome and retry delay."""
    headers = {"figpaddle-request-id": request_id, "figpaddle-outcome": error.outcome.value}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(math.ceil(error.retry_after_s))
    headers.update(extra_headers or {})
    data = json.dumps(problem_document(error, request_id=request_id)).encode()
    await send_bytes(
        send,
        status=error.status,
        data=data,
        content_type="application/problem+json",
        extra_headers=headers,
    )
