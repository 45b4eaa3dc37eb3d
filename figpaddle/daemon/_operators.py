"""The operators' port: state dump and configuration."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable
from typing import Any

from figpaddle.daemon._http import Receive, Scope, Send, bearer, send_json, send_problem
from figpaddle.daemon._settings import OperatorSettings
from figpaddle.errors import InvalidRequestError, RequestError, UnauthorizedError


class OperatorsPort:
    """ASGI application of the operators' port."""

    def __init__(
        self, *, operators: tuple[OperatorSettings, ...], dump: Callable[[], dict[str, Any]]
    ) -> None:
        self._operators = operators
        self._dump = dump

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        try:
            self._authenticate(scope)
            if scope["path"] != "/v1/state":
                raise InvalidRequestError(what="no such path", mend="see docs/OPERATORS.md")
            await send_json(send, status=200, plain=self._dump())
        except RequestError as error:
            await send_problem(send, error, request_id="")

    def _authenticate(self, scope: Scope) -> OperatorSettings:
        token = bearer(scope) or ""
        digest = hashlib.sha256(token.encode()).hexdigest()
        for operator in self._operators:
            if hmac.compare_digest(digest, operator.token_digest):
                return operator
        raise UnauthorizedError
