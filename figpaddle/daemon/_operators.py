"""HTTP port for operators: state dump, metrics, configuration, quarantine and planned stop."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable, MutableMapping
from typing import Any

from figpaddle.daemon._configuration_port import CONFIGURATION_PATH, ConfigurationPort
from figpaddle.daemon._http import (
    Receive,
    Scope,
    Send,
    bearer_token,
    query_value,
    send_bytes,
    send_json,
    send_problem,
)
from figpaddle.daemon._in_flight import InFlightRequests
from figpaddle.daemon._metrics import Metrics
from figpaddle.daemon._settings import OperatorSettings
from figpaddle.errors import (
    ControlUnavailableError,
    DrainingError,
    DrainTimeoutError,
    ForbiddenError,
    InvalidRequestError,
    RequestError,
    UnauthorizedError,
)

#: Media type of the metrics page.
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"


class OperatorsPort:
    """ASGI application of the operators' port.

    An operator of one member sees only the services of this member.
    """

    def __init__(
        self,
        *,
        operators: tuple[OperatorSettings, ...],
        dump: Callable[[str | None], dict[str, Any]],
        metrics: Metrics,
        stop: Callable[[], None],
        configuration: ConfigurationPort,
        lift_quarantine: Callable[[str | None, bytes], bool],
        instance: str,
    ) -> None:
        self._instance = instance
        self._in_flight = InFlightRequests(instance=instance)
        self._ended = False
        #: Number of requests in progress.
        self.in_progress = 0
        self._configuration = configuration
        self._operators = operators
        self._dump = dump
        self._metrics = metrics
        self._stop = stop
        self._lift_quarantine = lift_quarantine

    def end_requests(self) -> None:
        """End all requests in progress, each with its outcome, and begin none that may take long."""
        self._ended = True
        self._in_flight.end_all()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        started = False

        async def send_response(event: MutableMapping[str, Any]) -> None:
            nonlocal started
            started = True
            await send(event)

        self.in_progress += 1
        try:
            await self._serve(scope, receive, send_response)
        except RequestError as error:
            if not started:
                await send_problem(send, error, request_id="")
        finally:
            self.in_progress -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        operator = self._authenticate(scope)
        if not scope["path"].startswith(CONFIGURATION_PATH):
            await self._route(scope, send, operator)
            return
        if self._ended:
            raise DrainingError(instance=self._instance)
        try:
            with self._in_flight.track() as tracker:
                await self._configuration.serve(scope, receive, send, operator, tracker)
        except DrainTimeoutError as error:
            # Another instance tells what became of the command id.
            raise ControlUnavailableError from error

    async def _route(self, scope: Scope, send: Send, operator: OperatorSettings) -> None:
        route = (scope["method"], scope["path"])
        if route == ("GET", "/v1/state"):
            await send_json(send, status=200, value=self._dump(operator.member))
        elif route == ("GET", "/metrics"):
            text = self._metrics.render(member=operator.member).encode()
            await send_bytes(send, status=200, data=text, content_type=METRICS_CONTENT_TYPE)
        elif route == ("POST", "/v1/stop"):
            if operator.member is not None:
                raise ForbiddenError
            self._stop()
            await send_json(send, status=202, value={"stopping": True})
        elif route == ("POST", "/v1/quarantine/lift"):
            lifted = self._lift_quarantine(operator.member, _digest_parameter(scope))
            await send_json(send, status=200, value={"lifted": lifted})
        else:
            raise InvalidRequestError(what="unknown path or method", hint="see docs/OPERATORS.md")

    def _authenticate(self, scope: Scope) -> OperatorSettings:
        token = bearer_token(scope) or ""
        digest = hashlib.sha256(token.encode()).hexdigest()
        for operator in self._operators:
            if hmac.compare_digest(digest, operator.token_digest):
                return operator
        raise UnauthorizedError


def _digest_parameter(scope: Scope) -> bytes:
    try:
        return bytes.fromhex(query_value(scope, "digest") or "")
    except ValueError as error:
        raise InvalidRequestError(
            what="the digest is not hexadecimal", hint="copy the digest from the state dump"
        ) from error
