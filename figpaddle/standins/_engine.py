"""A stand-in engine with continuous batching, a prefix cache and streamed tokens."""

from __future__ import annotations

import json
import os
from collections import OrderedDict
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio

from figpaddle.routing import prompt_shape
from figpaddle.wire import CacheEvent

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

#: Exit code of an engine after a prompt with its crash text.
CRASH_EXIT_CODE = 70
#: Number of tokens to generate if the request has no ``max_tokens``.
DEFAULT_MAX_TOKENS = 16


class Engine:
    """ASGI application that simulates an engine with a chat completions endpoint."""

    def __init__(
        self,
        *,
        name: str,
        slots: int,
        prefill_tokens_per_s: float,
        decode_s: float,
        cache_blocks: int,
        crash_on: str | None = None,
    ) -> None:
        self._name = name
        self._slots = anyio.Semaphore(slots)
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._decode_s = decode_s
        self._cache_blocks = cache_blocks
        self._crash_on = crash_on
        self._prefill_lock = anyio.Lock()
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._cache_events: list[CacheEvent] = []
        self._running = 0
        self._waiting = 0

    def load(self) -> tuple[int, int]:
        """Return the number of running and of waiting requests."""
        return self._running, self._waiting

    def pop_cache_events(self) -> tuple[CacheEvent, ...]:
        """Return and clear the cache events since the last call."""
        events = tuple(self._cache_events)
        self._cache_events.clear()
        return events

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        body = b""
        while True:
            event = await receive()
            body += event.get("body", b"")
            if not event.get("more_body", False):
                break
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_on_disconnect, receive, tasks.cancel_scope)
            await self._generate(json.loads(body), send)
            tasks.cancel_scope.cancel()

    async def _cancel_on_disconnect(self, receive: Receive, scope: anyio.CancelScope) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def _generate(self, request: dict[str, Any], send: Send) -> None:
        prompt = "\n".join(str(item.get("content", "")) for item in request.get("messages", []))
        tokens = int(request.get("max_tokens", DEFAULT_MAX_TOKENS))
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            async with self._prefill_lock:
                uncached_tokens = self._cache_prompt(prompt)
                await anyio.sleep(uncached_tokens / self._prefill_tokens_per_s)
            if self._crash_on is not None and self._crash_on in prompt:
                os._exit(CRASH_EXIT_CODE)
            await self._respond(request, prompt, tokens, send)
        finally:
            self._running -= 1
            self._slots.release()

    def _cache_prompt(self, prompt: str) -> int:
        """Cache the prompt and return the number of its tokens that were not cached before."""
        shape = prompt_shape(prompt, output_tokens=0, body_bytes=0, streamed=True)
        cached_tokens = 0
        for prefix in shape.prefixes:
            if prefix.digest in self._cache:
                cached_tokens = prefix.tokens
            else:
                self._cache[prefix.digest] = None
                self._cache_events.append(CacheEvent(digest=prefix.digest, stored=True))
            self._cache.move_to_end(prefix.digest)
        while len(self._cache) > self._cache_blocks:
            digest, _ = self._cache.popitem(last=False)
            self._cache_events.append(CacheEvent(digest=digest, stored=False))
        return max(1, shape.tokens - cached_tokens)

    async def _respond(self, request: dict[str, Any], prompt: str, tokens: int, send: Send) -> None:
        words = prompt.split() or ["(empty)"]
        pieces = [words[index % len(words)] + " " for index in range(tokens)]
        if not request.get("stream", False):
            await anyio.sleep(self._decode_s * tokens)
            choice = {"index": 0, "message": {"role": "assistant", "content": "".join(pieces)}}
            await _send_json(send, {"object": "chat.completion", "choices": [choice]})
            return
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for piece in pieces:
            choice = {"index": 0, "delta": {"content": piece}}
            await _send_event(send, json.dumps({"choices": [choice]}, ensure_ascii=False))
            await anyio.sleep(self._decode_s)
        await _send_event(send, "[DONE]")
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _send_event(send: Send, data: str) -> None:
    body = f"data: {data}\n\n".encode()
    await send({"type": "http.response.body", "body": body, "more_body": True})


async def _send_json(send: Send, content: Any) -> None:
    body = json.dumps(content, ensure_ascii=False).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})
