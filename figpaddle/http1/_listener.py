"""Accepts connections and serves each in its own task."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import Callable, Iterator
from typing import TypeVar

import anyio
import anyio.abc

from figpaddle.http1._channel import Channel, set_socket_options
from figpaddle.http1._handler_failures import (
    FailureHandler,
    UnansweredHandler,
    answer_as_unknown,
)
from figpaddle.http1._held_bytes import ClientAccount
from figpaddle.http1._messages import HttpRequest
from figpaddle.http1._parsing_turns import ParsingTurns
from figpaddle.http1._request_limits import RequestLimits
from figpaddle.http1._server import Handler, Responder, ServerConnection

#: Connections that may wait to be accepted; the callers of one entry instance may open this many
#: at the same time.
LISTEN_BACKLOG = 1024
#: Connections accepted in one turn of the event loop, so that those in progress are served too.
MAX_ACCEPTS_PER_TURN = 32
#: Delay after a failed accept, seconds; while no file descriptor is free, every attempt fails
#: immediately.
ACCEPT_RETRY_DELAY_S = 0.02
#: Connections beyond the limit of a listener whose requests are refused; further ones are closed.
MAX_REFUSING_CONNECTIONS = 32
#: Idle time after which a connection beyond the limit is closed, seconds.
REFUSING_IDLE_TIMEOUT_S = 1.0
#: Retry-After of a refusal beyond the limit, seconds.
REFUSAL_RETRY_AFTER = b"1"

_ArgumentT = TypeVar("_ArgumentT")


async def refuse_request(request: HttpRequest, responder: Responder) -> None:
    """Answer that the request was not and will not be handled."""
    await responder.answer(503, ((b"Retry-After", REFUSAL_RETRY_AFTER),), b"")


class HttpListener:
    """Serves HTTP on one address.

    ``close_after_response`` tells whether responses carry ``Connection: close``.
    Beyond ``max_connections``, a number of further connections have their requests answered by
    ``refusal_handler``, and more are closed at once. ``on_over_limit`` is called with each connection beyond
    the limit, with whether its requests are answered.
    ``on_failure`` is told of handlers that raise an error or don't answer, and ``on_unanswered`` of requests
    that get no answer while their callers wait.
    ``on_accept_error`` is called with the reason when a connection can't be accepted, for example because
    its caller has reset it, and ``on_connection_error`` with an error that ended a connection.
    ``arrived_after`` returns a time since when the bytes have come that are read now, by default the
    present one.
    ``account`` is that of the clients of all listeners of the process; it makes room for a connection beyond
    its limit by closing one that has stalled. Where ``keeps_body`` is false the handler gets requests without
    their bodies.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: Handler,
        clock: Callable[[], float],
        limits: Callable[[], RequestLimits] = RequestLimits,
        close_after_response: Callable[[], bool] = lambda: False,
        ack_timeout_s: float,
        max_connections: int,
        refusal_handler: Handler = refuse_request,
        on_over_limit: Callable[[bool], None] = lambda _: None,
        on_failure: FailureHandler = answer_as_unknown,
        on_unanswered: UnansweredHandler = lambda _: None,
        on_accept_error: Callable[[str], None] = lambda _: None,
        on_connection_error: Callable[[Exception], None] = lambda _: None,
        arrived_after: Callable[[], float] | None = None,
        account: ClientAccount | None = None,
        keeps_body: bool = True,
    ) -> None:
        self._account = account
        self._keeps_body = keeps_body
        self._parsing = ParsingTurns()
        self._refusal_handler = refusal_handler
        self._on_over_limit = on_over_limit
        self._on_failure = on_failure
        self._on_unanswered = on_unanswered
        self._on_accept_error = on_accept_error
        self._on_connection_error = on_connection_error
        self._arrived_after = arrived_after or clock
        self._draining = False
        self._drain_requested = anyio.Event()
        #: When a turn ended its last batch with connections left, and since when these may wait.
        self._queue_left_at = float("-inf")
        self._queued_since = 0.0
        self._address = address
        self._handler = handler
        self._clock = clock
        self._limits = limits
        self._close_after_response = close_after_response
        self._ack_timeout_s = ack_timeout_s
        self._max_connections = max_connections
        self._connections: set[ServerConnection] = set()
        #: Those of them that are beyond the limit.
        self._refusing: set[ServerConnection] = set()

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request that isn't answered."""
        return sum(connection.busy for connection in self._connections)

    async def run(self) -> None:
        """Accept until cancelled."""
        with _open_listener(self._address) as listener:
            async with anyio.create_task_group() as tasks:
                self._begin_accepting(listener, tasks)
                try:
                    await self._drain_requested.wait()
                finally:
                    self._end_accepting(listener)
                self._accept_waiting(listener, tasks)
                listener.close()

    def drain(self) -> None:
        """Stop accepting connections and close those without a request in progress."""
        self._draining = True
        self._drain_requested.set()
        for connection in list(self._connections):
            connection.drain()

    def _begin_accepting(self, listener: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        if not self._draining:
            asyncio.get_running_loop().add_reader(listener, self._accept, listener, tasks)

    def _end_accepting(self, listener: socket.socket) -> None:
        if listener.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(listener)

    def _accept(self, listener: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        """Accept the connections that wait, a bounded number in each turn of the event loop.

        A task would run one turn later, and a connection may already have its whole request.
        """
        arrived_after = self._arrived_after()
        if self._queue_left_at >= arrived_after:
            # In the turn before; the queue has been empty since any earlier one.
            arrived_after = min(arrived_after, self._queued_since)
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self._draining:
                return
            try:
                accepted, _ = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # Either the new connection has failed, or no file descriptor is free.
                _call_contained(self._on_accept_error, str(error))
                self._end_accepting(listener)
                asyncio.get_running_loop().call_later(
                    ACCEPT_RETRY_DELAY_S, self._accept_again, listener, tasks
                )
                return
            accepted.setblocking(False)
            tasks.start_soon(self._serve_connection, accepted, arrived_after)
        self._queue_left_at, self._queued_since = self._clock(), arrived_after

    def _accept_waiting(self, listener: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        """Accept the connections that wait as accepting ends: closing the listener would reset them."""
        arrived_after = self._arrived_after()
        for _ in range(LISTEN_BACKLOG):
            try:
                accepted, _ = listener.accept()
            except ConnectionAbortedError:
                # Its caller has closed it; the others still wait.
                continue
            except OSError:
                return
            accepted.setblocking(False)
            tasks.start_soon(self._serve_connection, accepted, arrived_after)

    def _accept_again(self, listener: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        if listener.fileno() >= 0 and not tasks.cancel_scope.cancel_called:
            self._begin_accepting(listener, tasks)

    async def _serve_connection(self, accepted: socket.socket, arrived_after: float) -> None:
        """Serve a connection that has arrived after a time, seconds of the monotonic clock."""
        refuses = len(self._connections) - len(self._refusing) >= self._max_connections
        if self._account is not None and not self._account.has_room(now=self._clock()):
            refuses = True
        if refuses:
            has_room = len(self._refusing) < MAX_REFUSING_CONNECTIONS
            _call_contained(self._on_over_limit, has_room)
            if not has_room:
                accepted.close()
                return
        try:
            set_socket_options(accepted, ack_timeout_s=self._ack_timeout_s)
            accepted.getpeername()
        except OSError as error:
            # The caller reset the connection before it was accepted, so it has no peer address.
            accepted.close()
            _call_contained(self._on_accept_error, str(error))
            return
        channel = Channel(raw=accepted, arrived_after=self._arrived_after)
        connection = ServerConnection(
            channel=channel,
            handler=self._refusal_handler if refuses else self._handler,
            limits=self._refusing_limits if refuses else self._limits,
            clock=self._clock,
            close_after_response=(lambda: True) if refuses else self._close_after_response,
            on_failure=self._on_failure,
            on_unanswered=self._on_unanswered,
            account=self._account,
            keeps_body=self._keeps_body,
            parsing=self._parsing,
        )
        channel.read_now(arrived_after)
        self._connections.add(connection)
        if refuses:
            self._refusing.add(connection)
        if self._draining:
            connection.drain()
        try:
            await connection.run()
        except Exception as error:  # noqa: BLE001
            # An error at one connection must not end the listener with all others.
            channel.abort()
            _call_contained(self._on_connection_error, error)
        finally:
            self._connections.discard(connection)
            self._refusing.discard(connection)

    def _refusing_limits(self) -> RequestLimits:
        limits = self._limits()
        idle_timeout_s = min(limits.idle_timeout_s, REFUSING_IDLE_TIMEOUT_S)
        return dataclasses.replace(limits, idle_timeout_s=idle_timeout_s)


def _call_contained(callback: Callable[[_ArgumentT], None], argument: _ArgumentT) -> None:
    """Call a callback; what it raises ends no connection."""
    with contextlib.suppress(Exception):
        callback(argument)


@contextlib.contextmanager
def _open_listener(address: str) -> Iterator[socket.socket]:
    host, _, port = address.rpartition(":")
    with socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG) as listener:
        listener.setblocking(False)
        yield listener
