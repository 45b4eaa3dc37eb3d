"""An HTTP port that answers what has reached it when it closes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import socket
import uuid
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
from hypercorn.asyncio import serve as serve_http
from hypercorn.config import Config, Sockets

from figpaddle.daemon._client_connections import ClientConnections
from figpaddle.daemon._http import problem_document
from figpaddle.daemon._sockets import BACKLOG, Listener
from figpaddle.errors import DrainingError
from figpaddle.http1 import Channel, HttpRequest, RequestLimits, Responder, ServerConnection

#: Longest time for which a closing port may finish its responses, seconds.
PORT_CLOSE_TIMEOUT_S = 1.0
#: Time from the end of accepting until idle connections are closed, seconds; the server reads
#: requests some turns of the event loop after it has accepted their connections.
LAST_READ_S = 0.05
#: Largest head of an HTTP request, bytes.
MAX_HTTP_HEAD_BYTES = 32 * 1024
#: Time after which an idle connection is closed, seconds.
IDLE_TIMEOUT_S = 30.0


class _PortConfig(Config):
    """Configuration of an HTTP server whose connections are bounded in number."""

    def __init__(self, *, listener: Listener, connections: ClientConnections) -> None:
        super().__init__()
        self._listener = listener
        self._connections = connections

    def create_sockets(self) -> Sockets:
        """Return the sockets that the server takes over."""
        port_socket = self._connections.port_socket(self._listener.socket)
        port_socket.setblocking(False)
        return Sockets([], [port_socket], [])


class HttpPort:
    """Serves an ASGI application on a listening socket until it is told to close.

    Connections that wait to be accepted then have their requests refused; closing the socket would
    reset them.
    """

    def __init__(
        self,
        *,
        application: Any,
        listener: Listener,
        connections: ClientConnections,
        instance: str,
        clock: Callable[[], float],
    ) -> None:
        self._application = application
        self._listener = listener
        self._connections = connections
        self._instance = instance
        self._clock = clock

    async def run(self, closing: anyio.Event) -> None:
        """Serve until ``closing`` is set, then answer what has come and close the port."""
        waiting = self._listener.socket.dup()
        descriptor = self._listener.socket.fileno()
        config = _PortConfig(listener=self._listener, connections=self._connections)
        config.accesslog = None
        config.errorlog = None
        config.graceful_timeout = PORT_CLOSE_TIMEOUT_S
        config.keep_alive_timeout = IDLE_TIMEOUT_S
        config.h11_max_incomplete_size = MAX_HTTP_HEAD_BYTES
        with waiting:
            async with anyio.create_task_group() as tasks:

                async def end_accepting() -> None:
                    await closing.wait()
                    asyncio.get_running_loop().remove_reader(descriptor)
                    self._refuse_waiting(waiting, tasks)
                    await anyio.sleep(LAST_READ_S)

                await serve_http(self._application, config, shutdown_trigger=end_accepting)

    def _refuse_waiting(self, waiting: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        """Accept the connections that wait, and stop listening in the same turn."""
        for _ in range(BACKLOG):
            try:
                accepted, _ = waiting.accept()
            except ConnectionAbortedError:
                continue
            except OSError:
                break
            tasks.start_soon(self._refuse, accepted)
        with contextlib.suppress(OSError):
            waiting.shutdown(socket.SHUT_RDWR)

    async def _refuse(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        # An error at one connection, which its caller may have reset, must not end the port.
        with accepted, contextlib.suppress(Exception), anyio.move_on_after(PORT_CLOSE_TIMEOUT_S):
            connection = ServerConnection(
                channel=Channel(raw=accepted),
                handler=self._answer_draining,
                limits=lambda: RequestLimits(idle_timeout_s=PORT_CLOSE_TIMEOUT_S),
                clock=self._clock,
                close_after_response=lambda: True,
            )
            await connection.run()

    async def _answer_draining(self, request: HttpRequest, responder: Responder) -> None:
        error = DrainingError(instance=self._instance)
        request_id = uuid.uuid4().hex
        headers = [
            (b"content-type", b"application/problem+json"),
            (b"figpaddle-request-id", request_id.encode()),
            (b"figpaddle-outcome", error.outcome.value.encode()),
        ]
        if error.retry_after_s is not None:
            headers.append((b"retry-after", str(math.ceil(error.retry_after_s)).encode()))
        document = problem_document(error, request_id=request_id)
        await responder.answer(503, tuple(headers), json.dumps(document).encode())
