"""The outermost part of each HTTP port: no request ends without an answer of figpaddle's own."""

from __future__ import annotations

import uuid
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio

from figpaddle.daemon._fault_reporter import FaultReporter
from figpaddle.daemon._http import (
    REQUEST_ID_KEY,
    CallerGoneError,
    Receive,
    Scope,
    Send,
    send_problem,
)
from figpaddle.daemon._metrics import Metrics
from figpaddle.errors import InvalidRequestError
from figpaddle.telemetry import Log

#: Reasons for which a request ends without an answer.
CANCELLED, NOT_ANSWERED = "cancelled", "not answered"

Application = Callable[[Scope, Receive, Send], Awaitable[None]]


class ProblemBoundary:
    """Runs an ASGI application and answers with a problem document if it raises an error.

    Otherwise the HTTP server would send a 500 without a body. A request that was read as a whole and ends
    without an answer while its caller waits is logged and counted.
    """

    def __init__(
        self, *, application: Application, faults: FaultReporter, metrics: Metrics, log: Log
    ) -> None:
        self._application = application
        self._faults = faults
        self._metrics = metrics
        self._log = log

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] == "websocket":
            await _refuse_websocket(send)
            return
        request, response = _Request(receive), _Response(send)
        try:
            await self._serve(scope, request, response)
        except anyio.get_cancelled_exc_class():
            self._check_answered(scope, request, response, otherwise=CANCELLED)
            raise
        self._check_answered(scope, request, response, otherwise=NOT_ANSWERED)

    async def _serve(self, scope: Scope, request: _Request, response: _Response) -> None:
        try:
            await self._application(scope, request.receive, response.send)
        except CallerGoneError:
            return
        except Exception as error:
            request_id = uuid.uuid4().hex
            failure = self._faults.request_error(error, request_id=request_id)
            if response.started:
                # The server then closes the connection without the end of the body.
                raise
            await send_problem(response.send, failure, request_id=request_id)

    def _check_answered(
        self, scope: Scope, request: _Request, response: _Response, *, otherwise: str
    ) -> None:
        if response.started or not request.read or request.caller_left:
            return
        self._metrics.count_unanswered(otherwise)
        self._log.error(
            "request_unanswered",
            request_id=scope.get(REQUEST_ID_KEY, ""),
            method=scope["method"],
            path=scope["path"],
            reason=otherwise,
        )


async def _refuse_websocket(send: Send) -> None:
    """Answer a request that asks for an upgrade to WebSocket, which no port offers."""

    async def send_as_rejection(event: MutableMapping[str, Any]) -> None:
        await send({**event, "type": f"websocket.{event['type']}"})

    error = InvalidRequestError(
        what="this port offers no WebSocket", hint="send the request without an upgrade"
    )
    await send_problem(send_as_rejection, error, request_id=uuid.uuid4().hex)


class _Request:
    """Passes the events of a request on and records whether it was read as a whole and its caller left."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self.read = False
        self.caller_left = False

    async def receive(self) -> MutableMapping[str, Any]:
        event = await self._receive()
        if event["type"] == "http.disconnect":
            self.caller_left = True
        elif not event.get("more_body", False):
            self.read = True
        return event


class _Response:
    """Passes the events of a response on and records whether its head may have been sent."""

    def __init__(self, send: Send) -> None:
        self._send = send
        self.started = False

    async def send(self, event: MutableMapping[str, Any]) -> None:
        was_started, self.started = self.started, True
        try:
            await self._send(event)
        except Exception:
            self.started = was_started
            raise
