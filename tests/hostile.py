"""A backend server that answers wrongly, run by a thread of the test process."""

from __future__ import annotations

import asyncio
import json
import re
import threading
import time
from collections.abc import Awaitable, Callable

import httpx

START_TIMEOUT_S = 10.0
#: Requests that it claims to run at once, so that admission lets every test request reach it.
SLOTS = 512
ANNOUNCE_INTERVAL_S = 1.0

#: Gets the request's body, the number of the request and the connection's ends.
Behaviour = Callable[[bytes, int, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def json_answer(text: str) -> bytes:
    """Return a whole chat answer that says ``text``."""
    choice = {"index": 0, "message": {"role": "assistant", "content": text}}
    body = json.dumps({"choices": [choice]}).encode()
    head = f"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {len(body)}"
    return f"{head}\r\n\r\n".encode() + body


def echo(body: bytes) -> bytes:
    """Return a whole answer that says what was asked."""
    return json_answer(json.loads(body)["messages"][0]["content"])


class HostileBackend:
    """Announces itself to instances and hands each request to a behaviour."""

    def __init__(self, name: str, region: str, services: tuple[str, ...], *targets: str) -> None:
        self._plain = {
            "name": name,
            "region": region,
            "zone": f"{region}-a",
            "services": services,
            "slots": SLOTS,
            "incarnation": time.time_ns() // 1_000_000,
        }
        self._targets = targets
        self._behaviour: Behaviour | None = None
        self._sequence = 0
        #: Requests received.
        self.received = 0
        #: Exchanges whose connection the gateway closed before the answer was complete.
        self.cancelled = 0
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self) -> HostileBackend:
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self._loop).result(START_TIMEOUT_S)
        return self

    def __exit__(self, *error: object) -> None:
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop).result(START_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(START_TIMEOUT_S)

    def behave(self, behaviour: Behaviour) -> None:
        """Answer by ``behaviour`` from now on."""
        self._behaviour = behaviour
        self.received = 0
        self.cancelled = 0

    def plain(self, name: str, **changes: object) -> dict[str, object]:
        """Return an announcement of this address under ``name``."""
        return {**self._plain, "name": name, "sequence": 1, **changes}

    async def _start(self) -> None:
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self._plain["address"] = f"{host}:{port}"
        self._client = httpx.AsyncClient(trust_env=False)
        await self.announce()
        self._announcing = self._loop.create_task(self._announce_forever())

    async def _stop(self) -> None:
        self._announcing.cancel()
        await self._client.aclose()

    async def announce(self, **changes: object) -> None:
        self._sequence += 1
        plain = {**self._plain, "sequence": self._sequence, **changes}
        for target in self._targets:
            answer = await self._client.post(f"http://{target}/v1/announce", json=plain)
            answer.raise_for_status()

    async def _announce_forever(self) -> None:
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            await self.announce()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                body = await _read_request(reader)
                self.received += 1
                assert self._behaviour is not None
                await self._behaviour(body, self.received, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()

    async def until_gone(self, reader: asyncio.StreamReader) -> None:
        """Wait until the gateway closes the connection and count it."""
        await reader.read(1)
        self.cancelled += 1


async def _read_request(reader: asyncio.StreamReader) -> bytes:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    length = re.search(r"content-length: (\d+)", head)
    if length is not None:
        return await reader.readexactly(int(length[1]))
    if "transfer-encoding: chunked" not in head:
        return b""
    body = bytearray()
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return bytes(body)
