"""A strict HTTP/1.1 client on raw connections, for many requests at once and broken answers.

Unlike a library it tells a broken answer from a whole one instead of raising, and it can go away
in the middle of an exchange.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import Any

LIMIT_BYTES = 1 << 20
CHAT_PATH = "/v1/chat/completions"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RawAnswer:
    """What came back; ``whole`` only if the length or the end mark of the body was met."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool

    @property
    def problem(self) -> str:
        return str(self.json()["type"].rpartition(":")[2])

    @property
    def outcome(self) -> str:
        return str(self.json()["outcome"])

    def json(self) -> Any:
        return json.loads(self.body)

    def chat_text(self) -> str | None:
        """Return the text of a whole chat answer, streamed or not; None for any other."""
        if self.status != 200 or not self.whole:
            return None
        if "event-stream" not in self.headers.get("content-type", ""):
            return str(self.json()["choices"][0]["message"]["content"])
        events = [line[6:] for line in self.body.decode().split("\n") if line.startswith("data: ")]
        if not events or events[-1] != "[DONE]" or "event: error" in self.body.decode():
            return None
        return "".join(json.loads(one)["choices"][0]["delta"]["content"] for one in events[:-1])


NOTHING = RawAnswer(status=0, headers={}, body=b"", whole=False)


def chat_body(model: str, text: str, **options: Any) -> bytes:
    plain = {"model": model, "messages": [{"role": "user", "content": text}], **options}
    return json.dumps(plain, ensure_ascii=False).encode()


def head_bytes(method: str, path: str, key: str, *extra: str) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "host: figpaddle", f"authorization: Bearer {key}", *extra]
    return "\r\n".join([*lines, "", ""]).encode()


class RawConnection:
    """One connection to an entry instance."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        #: Set when the head of an answer has come.
        self.began = asyncio.Event()

    @classmethod
    async def open(cls, address: str) -> RawConnection:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=LIMIT_BYTES))

    def abort(self) -> None:
        self.writer.transport.abort()

    async def exchange(self, data: bytes, *, timeout_s: float) -> RawAnswer:
        """Send ``data`` and return what comes back; ``NOTHING`` if no head came in time."""
        try:
            async with asyncio.timeout(timeout_s):
                self.writer.write(data)
                await self.writer.drain()
                return await self.read_answer()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return NOTHING

    async def read_answer(self) -> RawAnswer:
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:] if line)
        self.began.set()
        headers = {key.lower(): value.strip() for key, _, value in pairs}
        body, whole = await self._read_body(headers)
        return RawAnswer(status=int(lines[0].split()[1]), headers=headers, body=body, whole=whole)

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
) -> RawAnswer:
    """Send one request on a connection of its own."""
    try:
        connection = await RawConnection.open(address)
    except OSError:
        return NOTHING
    extra = (f"content-length: {len(body)}", *headers)
    try:
        data = head_bytes(method, path, key, *extra) + body
        return await connection.exchange(data, timeout_s=timeout_s)
    finally:
        connection.abort()


async def raw_chat(
    address: str, model: str, text: str, *, key: str, timeout_s: float = 20.0, **options: Any
) -> RawAnswer:
    """Send one chat completion on a connection of its own."""
    body = chat_body(model, text, **options)
    return await raw_call(address, "POST", CHAT_PATH, key=key, body=body, timeout_s=timeout_s)


def chat_bytes(model: str, text: str, key: str, **options: Any) -> bytes:
    """Return one whole request for a chat completion."""
    body = chat_body(model, text, **options)
    return head_bytes("POST", CHAT_PATH, key, f"content-length: {len(body)}") + body
