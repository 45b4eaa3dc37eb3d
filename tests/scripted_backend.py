"""A backend server whose responses the test scripts, run by a thread of the test process."""

from __future__ import annotations

import asyncio
import json
import re
import threading
import time
from collections.abc import Awaitable, Callable

import httpx

START_TIMEOUT_S = 10.0
#: Announced concurrency; so large that admission control never holds back a test's request.
SLOTS = 512
ANNOUNCE_INTERVAL_S = 1.0

#: Called with the body and the number of a request, and the reader and writer of its connection.
Behaviour = Callable[[bytes, int, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def json_response(text: str) -> bytes:
    """Return a complete chat response with the content ``text``."""
    choice = {"index": 0, "message": {"role": "assistant", "content": text}}
    body = json.dumps({"choices": [choice]}).encode()
    head = f"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {len(body)}"
    return f"{head}\r\n\r\n".encode() + body


def echo(body: bytes) -> bytes:
    """Return a complete chat response that repeats the prompt."""
    return json_response(json.loads(body)["messages"][0]["content"])


class ScriptedBackend:
    """A backend server that announces itself to instances and passes each request to a behaviour."""

    def __init__(self, name: str, region: str, services: tuple[str, ...], *targets: str) -> None:
        self._announcement = {
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
        #: Requests received since the behaviour was set.
        self.request_count = 0
        #: Head of the last request.
        self.last_head = b""
        #: Requests whose connection the gateway closed before the response was complete.
        self.cancelled = 0
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self) -> ScriptedBackend:
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self._loop).result(START_TIMEOUT_S)
        return self

    def __exit__(self, *error: object) -> None:
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop).result(START_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(START_TIMEOUT_S)

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Answer requests by ``behaviour`` from now on, and reset the counts."""
        self._behaviour = behaviour
        self.request_count = 0
        self.cancelled = 0

    def announcement(self, name: str, **changes: object) -> dict[str, object]:
        """Return an announcement of this server's address under ``name``."""
        return {**self._announcement, "name": name, "sequence": 1, **changes}

    async def _start(self) -> None:
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self._announcement["address"] = f"{host}:{port}"
        self._client = httpx.AsyncClient(trust_env=False)
        await self.announce()
        self._announcing_task = self._loop.create_task(self._announce_forever())

    async def _stop(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.aclose()

    async def announce(self, **changes: object) -> None:
        self._sequence += 1
        announcement = {**self._announcement, "sequence": self._sequence, **changes}
        for target in self._targets:
            response = await self._client.post(f"http://{target}/v1/announce", json=announcement)
            response.raise_for_status()

    async def _announce_forever(self) -> None:
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            await self.announce()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                self.last_head, body = await _read_request(reader)
                self.request_count += 1
                assert self._behaviour is not None
                await self._behaviour(body, self.request_count, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    def call_soon(self, callback: Callable[[], object]) -> None:
        """Call ``callback`` in the thread that runs the behaviours."""
        self._loop.call_soon_threadsafe(callback)

    async def wait_for_disconnect(self, reader: asyncio.StreamReader) -> None:
        """Wait until the gateway closes the connection, and count the request as cancelled."""
        await reader.read(1)
        self.cancelled += 1


async def _read_request(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read one request; return its head and its body."""
    head_bytes = await reader.readuntil(b"\r\n\r\n")
    head = head_bytes.decode("latin-1").lower()
    content_length = re.search(r"content-length: (\d+)", head)
    if content_length is not None:
        return head_bytes, await reader.readexactly(int(content_length[1]))
    if "transfer-encoding: chunked" not in head:
        return head_bytes, b""
    body = bytearray()
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return head_bytes, bytes(body)
