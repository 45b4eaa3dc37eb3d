"""Ends an exchange whose server was idle for too long, without a timer for each of its events."""

from __future__ import annotations

import asyncio
from types import TracebackType

import anyio


class IdleLimit:
    """Cancels ``scope`` once the deadline that was set last has passed, time of the event loop.

    A stream moves its deadline with each event. Moving the deadline of the scope itself would cancel a timer
    and begin another each time; here one timer looks, when it is due, whether the deadline was moved.
    """

    def __init__(self, scope: anyio.CancelScope) -> None:
        self._scope = scope
        self._loop = asyncio.get_running_loop()
        self._deadline: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> IdleLimit:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def suspend(self) -> None:
        """Cancel nothing until a deadline is set again."""
        self._deadline = None

    def set_deadline(self, deadline: float) -> None:
        """Set the deadline, which may have passed already."""
        self._deadline = deadline
        if self._timer is None or deadline < self._timer.when():
            self._begin_timer(deadline)

    def _begin_timer(self, deadline: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if deadline <= self._loop.time():
            self._scope.cancel()
        else:
            self._timer = self._loop.call_at(deadline, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._deadline is not None:
            self._begin_timer(self._deadline)
