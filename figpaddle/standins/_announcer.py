"""Announcements of a stand-in backend server to instances."""

from __future__ import annotations

import contextlib
import dataclasses
import time
from collections.abc import Callable

import anyio
import httpx
import pydantic

from figpaddle.wire import BackendInfo, BackendState, CacheEvent

ANNOUNCE_INTERVAL_S = 1.0

_INFO_ADAPTER = pydantic.TypeAdapter(BackendInfo)


class Announcer:
    """Announces one backend server and its load to instances at regular intervals."""

    def __init__(
        self,
        *,
        info: BackendInfo,
        addresses: tuple[str, ...],
        load: Callable[[], tuple[int, int]],
        cache_events: Callable[[], tuple[CacheEvent, ...]] = tuple,
    ) -> None:
        self._info = dataclasses.replace(info, incarnation=time.time_ns() // 1_000_000)
        self._addresses = addresses
        self._load = load
        self._cache_events = cache_events
        self._client = httpx.AsyncClient(timeout=1.0, trust_env=False)

    async def run(self, stop: anyio.Event) -> None:
        """Announce the backend server as serving until ``stop`` is set."""
        while not stop.is_set():
            await self.announce(BackendState.SERVING)
            with anyio.move_on_after(ANNOUNCE_INTERVAL_S):
                await stop.wait()

    async def announce(self, state: BackendState) -> None:
        """Send one announcement with ``state`` to every instance; connection errors are ignored."""
        running, waiting = self._load()
        self._info = dataclasses.replace(
            self._info,
            sequence=self._info.sequence + 1,
            state=state,
            running=running,
            waiting=waiting,
            cache_sequence=self._info.cache_sequence + len(self._info.cache_events),
            cache_events=self._cache_events(),
        )
        body = _INFO_ADAPTER.dump_python(self._info, mode="json")
        for address in self._addresses:
            with contextlib.suppress(httpx.HTTPError):
                await self._client.post(f"http://{address}/v1/announce", json=body)
