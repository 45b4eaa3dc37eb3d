"""A strict HTTP/1.1 client on raw connections, for concurrent requests and truncated responses.

Unlike an HTTP library it reports whether a response is complete instead of raising, and it can
abort a connection in the middle of a response.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import Any

READ_LIMIT_BYTES = 1 << 20
CHAT_PATH = "/v1/chat/completions"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RawResponse:
    """A response as received.

    ``complete`` is set only if the body has its declared length or ends with its last chunk.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool

    @property
    def problem(self) -> str:
        return str(self.json()["type"].rpartition(":")[2])

    @property
    def outcome(self) -> str:
        return str(self.json()["outcome"])

    def json(self) -> Any:
        return json.loads(self.body)

    def chat_text(self) -> str | None:
        """Return the text of a complete chat response, streamed or not; None for any other."""
        if self.status != 200 or not self.complete:
            return None
        if "event-stream" not in self.headers.get("content-type", ""):
            return str(self.json()["choices"][0]["message"]["content"])
        events = [line[6:] for line in self.body.decode().split("\n") if line.startswith("data: ")]
        if not events or events[-1] != "[DONE]" or "event: error" in self.body.decode():
            return None
        return "".join(json.loads(event)["choices"][0]["delta"]["content"] for event in events[:-1])


#: Stands for a connection that failed, or a response that was not read in time.
NO_RESPONSE = RawResponse(status=0, headers={}, body=b"", complete=False)


def chat_body(model: str, text: str, **options: Any) -> bytes:
    document = {"model": model, "messages": [{"role": "user", "content": text}], **options}
    return json.dumps(document, ensure_ascii=False).encode()


def head_bytes(method: str, path: str, key: str, *extra_headers: str) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        "host: figpaddle",
        f"authorization: Bearer {key}",
        *extra_headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


class RawConnection:
    """A connection to an entry instance."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        #: Set once the head of a response was received.
        self.head_received = asyncio.Event()

    @classmethod
    async def open(cls, address: str) -> RawConnection:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=READ_LIMIT_BYTES))

    def abort(self) -> None:
        self.writer.transport.abort()

    async def exchange(self, data: bytes, *, timeout_s: float) -> RawResponse:
        """Send ``data`` and return the response; ``NO_RESPONSE`` if it is not read in time."""
        try:
            async with asyncio.timeout(timeout_s):
                self.writer.write(data)
                await self.writer.drain()
                return await self.read_response()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return NO_RESPONSE

    async def read_response(self) -> RawResponse:
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:] if line)
        self.head_received.set()
        headers = {key.lower(): value.strip() for key, _, value in pairs}
        body, complete = await self._read_body(headers)
        return RawResponse(
            status=int(lines[0].split()[1]), headers=headers, body=body, complete=complete
        )

    async def _read_body(self, headers: dict[str, str]) -> tuple[bytes, bool]:
        body = bytearray()
        try:
            if "content-length" in headers:
                return await self.reader.readexactly(int(headers["content-length"])), True
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
        except (OSError, asyncio.IncompleteReadError) as error:
            return bytes(body) + bytes(getattr(error, "partial", b"")), False
        return bytes(body), True


async def raw_call(
    address: str,
    method: str,
    path: str,
    *,
    key: str,
    body: bytes = b"",
    headers: tuple[str, ...] = (),
    timeout_s: float = 20.0,
) -> RawResponse:
    """Send one request on a connection of its own."""
    try:
        connection = await RawConnection.open(address)
    except OSError:
        return NO_RESPONSE
    extra_headers = (f"content-length: {len(body)}", *headers)
    try:
        data = head_bytes(method, path, key, *extra_headers) + body
        return await connection.exchange(data, timeout_s=timeout_s)
    finally:
        connection.abort()


async def raw_chat(
    address: str, model: str, text: str, *, key: str, timeout_s: float = 20.0, **options: Any
) -> RawResponse:
    """Send one chat completion on a connection of its own."""
    body = chat_body(model, text, **options)
    return await raw_call(address, "POST", CHAT_PATH, key=key, body=body, timeout_s=timeout_s)


def chat_bytes(model: str, text: str, key: str, **options: Any) -> bytes:
    """Return the bytes of one complete request for a chat completion."""
    body = chat_body(model, text, **options)
    return head_bytes("POST", CHAT_PATH, key, f"content-length: {len(body)}") + body
