"""When the turns of an event loop began, and how late it is."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable

#: Time over which the longest turn counts as lateness, seconds. Requests that arrive now wait about as
#: long as those before them.
LATENESS_WINDOW_S = 1.0
#: Time after its timeout from which the end of a poll is late, seconds. Timeouts are rounded up to a
#: millisecond.
LATE_POLL_S = 0.005


class TurnTimes:
    """Times of the polls of an event loop; a turn is the work between two of them.

    A process with too little processor time reads bytes long after they came. The end of the poll
    before the last is a time at which they hadn't come yet, if their connection was polled then.

    >>> turns = TurnTimes()
    >>> turns.note_poll_ended(0.1)
    >>> turns.note_poll_began(0.5)
    >>> turns.note_poll_ended(0.6)
    >>> turns.arrived_after(now=0.7), turns.lateness_s(now=0.7)
    (0.1, 0.4)
    """

    def __init__(self) -> None:
        self._poll_ended_at: float | None = None
        self._poll_before_ended_at: float | None = None
        #: Longest turn of the present window and of the one before it, seconds.
        self._longest_s = (0.0, 0.0)
        self._window_began_at = float("-inf")

    def arrived_after(self, *, now: float) -> float:
        """Return a time since when the bytes have come that are read now, seconds."""
        return now if self._poll_before_ended_at is None else self._poll_before_ended_at

    def lateness_s(self, *, now: float) -> float:
        """Return the longest turn of the last ``LATENESS_WINDOW_S`` or twice that, seconds.

        The present turn counts too.
        """
        self._begin_window(now)
        return max(*self._longest_s, self._turn_s(now))

    def note_poll_began(self, now: float) -> None:
        """Record the end of a turn."""
        self._begin_window(now)
        longest_s, before_s = self._longest_s
        self._longest_s = (max(longest_s, self._turn_s(now)), before_s)

    def note_poll_ended(self, now: float) -> None:
        """Record the beginning of a turn."""
        self._poll_before_ended_at, self._poll_ended_at = self._poll_ended_at, now

    def _turn_s(self, now: float) -> float:
        return 0.0 if self._poll_ended_at is None else now - self._poll_ended_at

    def _begin_window(self, now: float) -> None:
        age_s = now - self._window_began_at
        if age_s >= LATENESS_WINDOW_S:
            before_s = self._longest_s[0] if age_s < 2 * LATENESS_WINDOW_S else 0.0
            self._longest_s = (0.0, before_s)
            self._window_began_at = now


class _TimedSelector(selectors.DefaultSelector):
    """A selector that records the times of its polls."""

    def __init__(self, *, turns: TurnTimes, clock: Callable[[], float]) -> None:
        super().__init__()
        self._turns = turns
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        began_at = self._clock()
        self._turns.note_poll_began(began_at)
        try:
            ready = super().select(timeout)
            if not ready and timeout and self._clock() - began_at > timeout + LATE_POLL_S:
                # A process that was stopped in a poll may leave it by the timeout without another look
                # at the descriptors, and what came meanwhile would count from the end of that poll.
                ready = super().select(0)
            return ready
        finally:
            self._turns.note_poll_ended(self._clock())


def timed_event_loop(turns: TurnTimes, *, clock: Callable[[], float]) -> asyncio.AbstractEventLoop:
    """Return an event loop whose turns are recorded in ``turns``."""
    return asyncio.SelectorEventLoop(_TimedSelector(turns=turns, clock=clock))
