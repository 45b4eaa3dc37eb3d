"""Accepts connections and serves each in a task of its own."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator

import anyio
import anyio.abc

from figpaddle.http1._channel import Channel, tune
from figpaddle.http1._server import Handler, RequestLimits, ServerConnection

#: Connections that may wait to be accepted, as many as callers of one entry start at once.
BACKLOG = 1024
#: Pause after a connection that could not be accepted, seconds: without descriptors every attempt
#: fails at once.
ACCEPT_PAUSE_S = 0.02


class HttpListener:
    """Serves HTTP on one address.

    ``closing`` tells whether answers ask callers to leave with ``Connection: close``; ``on_reset``
    is told why a connection could not be served that its caller reset before it was accepted.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: Handler,
        clock: Callable[[], float],
        limits: Callable[[], RequestLimits] = RequestLimits,
        closing: Callable[[], bool] = lambda: False,
        silence_s: float,
        max_connections: int,
        on_reset: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._on_reset = on_reset
        self._retired = False
        self._accepting = anyio.CancelScope()
        self._address = address
        self._handler = handler
        self._clock = clock
        self._limits = limits
        self._closing = closing
        self._silence_s = silence_s
        self._max_connections = max_connections
        self._connections: set[ServerConnection] = set()

    @property
    def open_connections(self) -> int:
        """Connections that are open now."""
        return len(self._connections)

    async def run(self) -> None:
        """Accept until cancelled."""
        with _listening(self._address) as listener:
            async with anyio.create_task_group() as tasks:
                with self._accepting:
                    await self._accept(listener, tasks)
                listener.close()

    def retire(self) -> None:
        """Accept no more connections and close those on which no request is in progress."""
        self._retired = True
        self._accepting.cancel()
        for connection in list(self._connections):
            connection.retire()

    async def _accept(self, listener: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = await loop.sock_accept(listener)
            except OSError as error:
                # An error of the new connection itself, or no descriptor is free for a moment.
                self._on_reset(str(error))
                await asyncio.sleep(ACCEPT_PAUSE_S)
                continue
            if len(self._connections) >= self._max_connections:
                accepted.close()
                continue
            tasks.start_soon(self._serve, accepted)
            # Lets connections that came before be served while others queue up.
            await asyncio.sleep(0)

    async def _serve(self, accepted: socket.socket) -> None:
        try:
            tune(accepted, silence_s=self._silence_s)
            accepted.getpeername()
            loop = asyncio.get_running_loop()
            _, channel = await loop.connect_accepted_socket(Channel, accepted)
        except OSError as error:
            # The caller reset the connection while it was being accepted, so that it has no
            # address any more.
            accepted.close()
            self._on_reset(str(error))
            return
        connection = ServerConnection(
            channel=channel,
            handler=self._handler,
            limits=self._limits,
            clock=self._clock,
            closing=self._closing,
        )
        self._connections.add(connection)
        if self._retired:
            connection.retire()
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


@contextlib.contextmanager
def _listening(address: str) -> Iterator[socket.socket]:
    host, _, port = address.rpartition(":")
    with socket.create_server((host, int(port)), backlog=BACKLOG) as listener:
        listener.setblocking(False)
        yield listener
