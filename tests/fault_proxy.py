"""A TCP proxy that cuts, freezes, delays, throttles and records links between processes.

Every process of a test has an IP of its own in 127.0.0.0/8 and binds it for its outgoing
connections, so the proxy knows both ends of each connection. A fault concerns the bytes that one
named end sends to another; ``"*"`` stands for every end. Bytes held back by a cut are delivered
when it heals, as TCP does.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import threading
from collections.abc import Callable, Coroutine
from typing import Any

CHUNK_BYTES = 65536
GATE_POLL_S = 0.01
START_TIMEOUT_S = 10.0


@dataclasses.dataclass(kw_only=True)
class Fault:
    """What happens to the bytes of one direction."""

    cut: bool = False
    delay_s: float = 0.0
    bytes_per_s: float | None = None


@dataclasses.dataclass(kw_only=True)
class _Connection:
    source: str
    destination: str
    silent: bool = False
    writers: list[asyncio.StreamWriter] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True)
class _Recording:
    sender: str
    receiver: str
    data: bytearray = dataclasses.field(default_factory=bytearray)


class FaultProxy:
    """Listeners for named destinations, run by a thread of the test process."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._names: dict[str, str] = {}
        self._targets: dict[str, str] = {}
        self._faults: dict[tuple[str, str], Fault] = {}
        self._refused: set[tuple[str, str]] = set()
        self._connections: list[_Connection] = []
        self._recorded: list[_Recording] | None = None
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        self._call(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(START_TIMEOUT_S)

    def name_source(self, ip: str, name: str) -> None:
        """Say which process connects from ``ip``."""
        self._names[ip] = name

    def add(self, destination: str, port: str) -> str:
        """Return the ``ip:port`` of a new listener for one port of ``destination``."""
        address: str = self._call(self._listen(destination, f"{destination}/{port}"))
        return address

    def set_target(self, destination: str, port: str, address: str) -> None:
        """Say where the listener of ``destination`` and ``port`` leads."""
        self._targets[f"{destination}/{port}"] = address

    def cut(self, source: str, destination: str, *, both: bool = True) -> None:
        """Hold back all bytes from ``source`` to ``destination``, or in both directions."""
        self._edit(source, destination, both, lambda fault: setattr(fault, "cut", True))

    def heal(self, source: str = "*", destination: str = "*", *, both: bool = True) -> None:
        """Let bytes pass again; without arguments everywhere."""
        if (source, destination) == ("*", "*"):
            for fault in self._faults.values():
                fault.cut = False
            self._refused.clear()
            return
        self._edit(source, destination, both, lambda fault: setattr(fault, "cut", False))

    def refuse(self, source: str, destination: str) -> None:
        """Close new connections from ``source`` to ``destination`` at once until healed."""
        self._refused.add((source, destination))

    def delay(self, source: str, destination: str, seconds: float, *, both: bool = True) -> None:
        """Deliver bytes ``seconds`` later."""
        self._edit(source, destination, both, lambda fault: setattr(fault, "delay_s", seconds))

    def throttle(self, source: str, destination: str, bytes_per_s: float) -> None:
        """Limit the rate of one direction of each connection."""
        self._edit(source, destination, False, lambda f: setattr(f, "bytes_per_s", bytes_per_s))

    def silence_open(self, source: str = "*", destination: str = "*") -> int:
        """Drop everything on the connections open now, for good, without closing them."""
        silenced = 0
        for connection in self._connections:
            if _matches(connection, source, destination):
                connection.silent = True
                silenced += 1
        return silenced

    def close_open(self, source: str = "*", destination: str = "*") -> int:
        """Abort the connections open now; new ones work."""
        chosen = [one for one in self._connections if _matches(one, source, destination)]
        for connection in chosen:
            for writer in connection.writers:
                self._loop.call_soon_threadsafe(writer.transport.abort)
        return len(chosen)

    def record(self) -> None:
        """Keep every byte of the connections that are opened from now on."""
        self._recorded = []

    def recorded(self) -> dict[tuple[str, str], bytes]:
        """Return the bytes kept, by sender and receiver, with websocket frames unmasked."""
        found: dict[tuple[str, str], bytes] = {}
        for one in self._recorded or []:
            ends = (one.sender, one.receiver)
            found[ends] = found.get(ends, b"") + unmasked(bytes(one.data))
        return found

    def _call(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(START_TIMEOUT_S)

    def _edit(
        self, source: str, destination: str, both: bool, change: Callable[[Fault], None]
    ) -> None:
        change(self._faults.setdefault((source, destination), Fault()))
        if both:
            change(self._faults.setdefault((destination, source), Fault()))

    def _faults_of(self, source: str, destination: str) -> list[Fault]:
        keys = [(source, destination), (source, "*"), ("*", destination), ("*", "*")]
        return [self._faults[key] for key in keys if key in self._faults]

    async def _listen(self, destination: str, key: str) -> str:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.CancelledError):
                await self._accept(reader, writer, destination, key)

        server = await asyncio.start_server(accept, "127.0.0.1", 0, limit=CHUNK_BYTES)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        destination: str,
        key: str,
    ) -> None:
        source = self._names.get(writer.get_extra_info("peername")[0], "outside")
        target = self._targets.get(key)
        if target is None or self._is_refused(source, destination):
            writer.transport.abort()
            return
        host, _, port = target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(source=source, destination=destination)
        connection.writers = [writer, far_writer]
        self._connections.append(connection)
        pumps = [
            self._start(self._pump(reader, far_writer, source, destination, connection)),
            self._start(self._pump(far_reader, writer, destination, source, connection)),
        ]
        await asyncio.wait(pumps)
        self._connections.remove(connection)
        for one in connection.writers:
            one.transport.abort()

    def _is_refused(self, source: str, destination: str) -> bool:
        keys = [(source, destination), (source, "*"), ("*", destination), ("*", "*")]
        return any(key in self._refused for key in keys)

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: str,
        receiver: str,
        connection: _Connection,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=1024)
        deliverer = self._start(self._deliver(queue, writer, sender, receiver, connection))
        try:
            while True:
                data = await reader.read(CHUNK_BYTES)
                delay = max((f.delay_s for f in self._faults_of(sender, receiver)), default=0.0)
                await queue.put((self._loop.time() + delay, data))
                if not data:
                    break
        except OSError:
            await queue.put((0.0, b""))
        await asyncio.wait([deliverer])

    async def _deliver(
        self,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
        sender: str,
        receiver: str,
        connection: _Connection,
    ) -> None:
        recording = _Recording(sender=sender, receiver=receiver)
        if self._recorded is not None:
            self._recorded.append(recording)
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - self._loop.time()))
            while connection.silent or any(f.cut for f in self._faults_of(sender, receiver)):
                await asyncio.sleep(GATE_POLL_S)
            if self._recorded is not None:
                recording.data.extend(data)
            try:
                if not data:
                    writer.transport.abort() if writer.is_closing() else writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
            except OSError:
                return
            rates = [f.bytes_per_s for f in self._faults_of(sender, receiver) if f.bytes_per_s]
            if rates:
                await asyncio.sleep(len(data) / min(rates))

    async def _close(self) -> None:
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            for writer in connection.writers:
                writer.transport.abort()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def _matches(connection: _Connection, source: str, destination: str) -> bool:
    return source in ("*", connection.source) and destination in ("*", connection.destination)


def unmasked(data: bytes) -> bytes:
    """Return one direction of a connection; the frames of a websocket without their masks."""
    head, _, rest = data.partition(b"\r\n\r\n")
    if b"upgrade: websocket" not in head.lower():
        return data
    plain = bytearray(head)
    while len(rest) >= 2:
        length, at = rest[1] & 127, 2
        if length >= 126:
            at = 4 if length == 126 else 10
            length = int.from_bytes(rest[2:at], "big")
        mask = rest[at : at + 4] if rest[1] & 128 else b"\0\0\0\0"
        at += 4 if rest[1] & 128 else 0
        payload = rest[at : at + length]
        key = (mask * (len(payload) // 4 + 1))[: len(payload)]
        mixed = int.from_bytes(payload, "big") ^ int.from_bytes(key, "big")
        plain += mixed.to_bytes(len(payload), "big")
        rest = rest[at + length :]
    return bytes(plain)
