"""Bounds what the requests of all clients hold while they are received."""

from __future__ import annotations

from collections.abc import Callable, MutableMapping
from typing import Any

import anyio

from figpaddle.daemon._client_connections import (
    FIELD_OVERHEAD_BYTES,
    ClientConnection,
    ClientConnections,
)
from figpaddle.daemon._http import Receive, Scope, Send, send_problem
from figpaddle.errors import NoRoomError
from figpaddle.http1 import ClientAccount, ClientPhase, HeldClient

#: Retry-After of a request that is refused for want of memory, seconds.
NO_ROOM_RETRY_AFTER_S = 1.0


class _ReceivedRequest(HeldClient):
    """A request that is being received; reading its body fails once it is ended for others."""

    def __init__(self, *, scope: Scope, connection: ClientConnection) -> None:
        self.connection = connection
        self.held_bytes = len(scope["raw_path"]) + sum(
            len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in scope["headers"]
        )
        self.reads_body = True
        self._is_ended = False
        self._read_scope: anyio.CancelScope | None = None

    def end_for_others(self) -> None:
        """Refuse the request."""
        self._is_ended = True
        if self._read_scope is not None:
            self._read_scope.cancel()

    async def receive(self, receive: Receive) -> MutableMapping[str, Any]:
        """Return the next event; raises NoRoomError."""
        if not self._is_ended:
            with anyio.CancelScope() as self._read_scope:
                return await receive()
            self._read_scope = None
        raise NoRoomError(retry_after_s=NO_ROOM_RETRY_AFTER_S)


class BoundedApplication:
    """Passes requests to ``application`` and tells ``account`` what it holds of them.

    A request is refused by an error in reading its body, so that whoever reads it knows whether a part has been
    passed on already.
    """

    def __init__(
        self,
        *,
        application: Any,
        account: ClientAccount,
        connections: ClientConnections,
        clock: Callable[[], float],
    ) -> None:
        self._application = application
        self._account = account
        self._connections = connections
        self._clock = clock

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            await self._application(scope, receive, send)
            return
        connection = self._connections.find(scope)
        if not await connection.wait_until_read():
            # Nobody waits for the answers to requests that were sent ahead.
            return
        request = _ReceivedRequest(scope=scope, connection=connection)
        connection.begin(request)
        self._account.add(request, now=self._clock())
        self._account.enter(request, ClientPhase.RECEIVING, now=self._clock())
        try:
            if not self._account.hold(request, request.held_bytes, now=self._clock()):
                self._account.note_refused()
                error = NoRoomError(retry_after_s=NO_ROOM_RETRY_AFTER_S)
                await send_problem(send, error, request_id="")
                return
            await self._application(scope, lambda: self._receive(request, receive), send)
        finally:
            self._account.remove(request)
            connection.end(request)

    async def _receive(
        self, request: _ReceivedRequest, receive: Receive
    ) -> MutableMapping[str, Any]:
        if not request.reads_body:
            return await receive()
        event = await request.receive(receive)
        now = self._clock()
        if event["type"] != "http.request" or not event.get("more_body", False):
            request.reads_body = False
            self._account.enter(request, ClientPhase.SERVING, now=now)
            request.connection.note_received(request)
        size = len(event.get("body", b""))
        request.held_bytes += size
        self._account.note_passed(request, size, now=now)
        request.connection.note_passed(size)
        if not self._account.hold(request, request.held_bytes, now=now) and request.reads_body:
            self._account.note_refused()
            raise NoRoomError(retry_after_s=NO_ROOM_RETRY_AFTER_S)
        return event
