"""Accepts connections and serves each in a task of its own."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc

from figpaddle.http1._channel import Channel, tune
from figpaddle.http1._server import Handler, RequestLimits, ServerConnection


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
        self._retired = anyio.Event()
        self._address = address
        self._handler = handler
        self._clock = clock
        self._limits = limits
        self._closing = closing
        self._silence_s = silence_s
        self._max_connections = max_connections
        self._open = 0

    @property
    def open_connections(self) -> int:
        """Connections that are open now."""
        return self._open

    async def run(self) -> None:
        """Accept until cancelled."""
        host, _, port = self._address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=1024, reuse_port=False
        )
        async with listener, anyio.create_task_group() as tasks:
            async with anyio.create_task_group() as accepting:
                accepting.start_soon(listener.serve, self._serve, tasks)
                await self._retired.wait()
                accepting.cancel_scope.cancel()
            await listener.aclose()

    def retire(self) -> None:
        """Accept no more connections and close those on which no request is in progress."""
        self._retired.set()

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        if self._open >= self._max_connections:
            await stream.aclose()
            return
        self._open += 1
        try:
            tune(stream, silence_s=self._silence_s)
            remote = stream.extra(anyio.abc.SocketAttribute.remote_address)
            channel = Channel(stream=stream, peer=f"{remote[0]}:{remote[1]}")
            await ServerConnection(
                channel=channel,
                handler=self._handler,
                limits=self._limits,
                clock=self._clock,
                closing=self._closing,
                retired=self._retired,
            ).run()
        except (OSError, anyio.TypedAttributeLookupError) as error:
            # The caller reset the connection while it was being accepted, so that it has no
            # address any more.
            self._on_reset(str(error))
            await stream.aclose()
        finally:
            self._open -= 1
