"""HTTP port on which backend servers announce themselves."""

from __future__ import annotations

import json
from collections.abc import Callable

import pydantic

from figpaddle.daemon._http import HttpBody, Receive, Scope, Send, send_json, send_problem
from figpaddle.errors import AnnouncementConflictError, InvalidRequestError, RequestError
from figpaddle.routing import ANNOUNCEMENT_TTL_S, BackendTable
from figpaddle.telemetry import Log
from figpaddle.wire import BackendInfo

#: Largest request body of an announcement, bytes.
MAX_ANNOUNCEMENT_BYTES = 64 * 1024

_BACKEND_INFO = pydantic.TypeAdapter(BackendInfo)


class BackendsPort:
    """ASGI application for the announcements of backend servers."""

    def __init__(
        self,
        *,
        backends: BackendTable,
        region: str,
        publish: Callable[[BackendInfo], None],
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        self._backends = backends
        self._region = region
        self._publish = publish
        self._clock = clock
        self._log = log

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        try:
            if scope["path"] != "/v1/announce" or scope["method"] != "POST":
                raise InvalidRequestError(
                    what="unknown path or method", hint="POST to /v1/announce"
                )
            data = await HttpBody(receive=receive, limit_bytes=MAX_ANNOUNCEMENT_BYTES).read()
            self._announce(_parse(data))
            await send_json(send, status=200, value={"ttl_s": ANNOUNCEMENT_TTL_S})
        except RequestError as error:
            await send_problem(send, error, request_id="")

    def _announce(self, info: BackendInfo) -> None:
        if info.region != self._region:
            raise InvalidRequestError(
                what=f"this instance is in region {self._region}",
                hint=f"announce to an instance in region {info.region}",
            )
        holder = self._backends.conflict(info, now=self._clock())
        if holder is not None:
            self._log.warning("announcement_conflict", backend=info.name, holder=holder)
            raise AnnouncementConflictError(name=info.name, address=info.address)
        is_new = self._backends.announce(info, now=self._clock())
        if is_new:
            if info.sequence == 1:
                self._log.info("backend_announced", backend=info.name, address=info.address)
            self._publish(info)


def _parse(data: bytes) -> BackendInfo:
    try:
        return _BACKEND_INFO.validate_python(json.loads(data))
    except (ValueError, RecursionError) as error:
        raise InvalidRequestError(
            what="the body is not a valid announcement",
            hint="send the fields of an announcement as JSON",
        ) from error
