"""The deadline until which the response to a request has to begin."""

from __future__ import annotations

import asyncio
from types import TracebackType

import anyio

#: Turns of the event loop from the poll that finds a response until its head is passed on, with some to
#: spare.
LAST_RESPONSE_TURNS = 32


class ResponseDeadline:
    """Cancels its block at a deadline, unless it was lifted before.

    After a pause of the process the event loop finds the deadline and a response that has come in one
    turn. So the block is cancelled some turns after the deadline, in which the response is read.
    """

    def __init__(self, *, remaining_s: float) -> None:
        self._remaining_s = remaining_s
        self._scope = anyio.CancelScope()
        self._timer: asyncio.Handle | None = None

    @property
    def passed(self) -> bool:
        """Whether the deadline has ended the block."""
        return self._scope.cancelled_caught

    def lift(self) -> None:
        """Remove the deadline: the response has begun."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def __enter__(self) -> ResponseDeadline:
        self._scope.__enter__()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._remaining_s, self._expire, LAST_RESPONSE_TURNS)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        self.lift()
        return bool(self._scope.__exit__(error_type, error, traceback))

    def _expire(self, turns_left: int) -> None:
        if turns_left:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_soon(self._expire, turns_left - 1)
        else:
            self._scope.cancel()
