"""Sends a response to a caller over HTTP."""

from __future__ import annotations

import json
from collections.abc import Callable, MutableMapping
from typing import Any

import anyio

from figpaddle.daemon._http import (
    CallerGoneError,
    Send,
    encode_headers,
    problem_document,
    send_json,
    send_problem,
)
from figpaddle.daemon._request_response import ResponseHead, ResponseSink
from figpaddle.errors import RequestError


class HttpResponseSink(ResponseSink):
    """Sends a response to the caller.

    A failure after the head was sent is made visible to the caller: an event stream gets an SSE
    ``error`` event, and the connection is closed without the end of the body.
    """

    def __init__(
        self,
        *,
        send: Send,
        request_id: str,
        idle_timeout_s: float,
        should_close: Callable[[], bool],
    ) -> None:
        self._asgi_send = send
        self._idle_timeout_s = idle_timeout_s
        self._finished = False
        #: Identifier of the request.
        self.request_id = request_id
        self._should_close = should_close
        self._started = False
        self._is_event_stream = False
        #: Called when sending the head starts.
        self.on_start: Callable[[], None] = lambda: None

    @property
    def started(self) -> bool:
        """Whether a byte of the head may have been sent."""
        return self._started

    @property
    def finished(self) -> bool:
        """Whether sending the end of the body has started."""
        return self._finished

    async def _send(self, event: MutableMapping[str, Any]) -> None:
        try:
            with anyio.fail_after(self._idle_timeout_s):
                await self._asgi_send(event)
        except TimeoutError as error:
            raise CallerGoneError from error

    async def start(self, head: ResponseHead) -> None:
        """Send the head with headers that say which processes served the request."""
        headers = [
            (key.encode(), value.encode("latin-1", "replace")) for key, value in head.headers
        ]
        own_headers = {
            "figpaddle-request-id": self.request_id,
            "figpaddle-instance": head.instance,
            "figpaddle-region": head.region,
            "figpaddle-backend": head.backend,
            **self._connection_headers(),
        }
        self._is_event_stream = any(
            key == "content-type" and value.startswith("text/event-stream")
            for key, value in head.headers
        )
        await self._send_head(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": [*headers, *encode_headers(own_headers)],
            }
        )

    async def _send_head(self, event: MutableMapping[str, Any]) -> None:
        self._started = True
        self.on_start()
        try:
            await self._send(event)
        except CallerGoneError:
            raise
        except Exception:
            # The HTTP server rejects an invalid head before it sends any of it.
            self._started = False
            raise

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self) -> None:
        """End the body."""
        self._finished = True
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    async def send_value(self, value: Any) -> None:
        """Send ``value`` as a complete JSON response."""
        self._started = True
        self.on_start()
        await send_json(
            self._send, status=200, value=value, extra_headers=self._connection_headers()
        )

    async def fail(self, error: RequestError) -> None:
        """Send ``error`` as the response; raises it again if the head was already sent.

        Does nothing if the whole response was sent.
        """
        if self._finished:
            return
        if not self._started:
            await send_problem(
                self._send,
                error,
                request_id=self.request_id,
                extra_headers=self._connection_headers(),
            )
            return
        if self._is_event_stream:
            document = json.dumps(problem_document(error, request_id=self.request_id))
            await self.write(f"event: error\ndata: {document}\n\n".encode())
        raise error

    def _connection_headers(self) -> dict[str, str]:
        return {"connection": "close"} if self._should_close() else {}
