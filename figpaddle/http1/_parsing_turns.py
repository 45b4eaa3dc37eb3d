"""Time for parsing long input, so that it doesn't delay other connections."""

from __future__ import annotations

import asyncio

import anyio
import anyio.lowlevel

#: Time for parsing long input in one turn of the event loop, seconds. A head of thousands of short fields takes
#: some milliseconds, and many may come at once.
PARSING_BUDGET_S = 0.01
#: Size from which a part of the input is long, bytes; ordinary heads are shorter and never wait.
LONG_INPUT_BYTES = 4096


class ParsingTurns:
    """Spreads the parsing of long input of many connections over the turns of the event loop."""

    def __init__(self) -> None:
        self._lock = anyio.Lock()
        self._spent_s = 0.0

    async def wait(self) -> None:
        """Return in a turn in which time is left; those who wait are taken in order."""
        if self._spent_s < PARSING_BUDGET_S and not self._lock.locked():
            return
        async with self._lock:
            while self._spent_s >= PARSING_BUDGET_S:
                await anyio.lowlevel.checkpoint()

    def note(self, spent_s: float) -> None:
        """Record time spent in this turn, seconds."""
        if not self._spent_s:
            asyncio.get_running_loop().call_soon(self._begin_turn)
        self._spent_s += max(spent_s, 1e-9)

    def _begin_turn(self) -> None:
        self._spent_s = 0.0
