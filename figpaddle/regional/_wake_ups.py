"""Wake-ups of periodic tasks at moments that they share."""

from __future__ import annotations

import asyncio
import weakref

#: Distance of the shared moments, seconds. A turn of the event loop costs more than what most periodic
#: tasks do in it.
MOMENT_INTERVAL_S = 0.05
#: The first moment of each event loop. Instances with the same moments would send to each other at once, so
#: they begin with the first wait.
_first_moments: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, float] = (
    weakref.WeakKeyDictionary()
)


def shared_moment(now: float, interval_s: float, *, first: float) -> float:
    """Return the shared moment that is closest to the end of an interval from ``now``.

    ``first`` is any of these moments. The interval is longer than half of ``MOMENT_INTERVAL_S``. A task that sleeps
    for the same interval again and again keeps it in the mean, whatever it does meanwhile.

    >>> [round(shared_moment(now, 0.1, first=1.0), 3) for now in (1.0, 1.003, 1.03)]
    [1.1, 1.1, 1.15]
    """
    return first + MOMENT_INTERVAL_S * round((now + interval_s - first) / MOMENT_INTERVAL_S)


async def sleep_until_shared(interval_s: float) -> None:
    """Sleep until the shared moment that is closest to the end of an interval."""
    await Alarm().wait(interval_s)


class Alarm:
    """Wakes the task that waits for it, at a shared moment at the latest.

    ``ring`` before a wait ends that wait at once, unless ``clear`` is called between the two.
    """

    def __init__(self) -> None:
        self._has_rung = False
        self._waiter: asyncio.Future[None] | None = None

    def ring(self) -> None:
        """End the present wait, or the next one."""
        self._has_rung = True
        if self._waiter is not None:
            _wake(self._waiter)

    def clear(self) -> None:
        """Forget that it has rung."""
        self._has_rung = False

    async def wait(self, interval_s: float) -> bool:
        """Wait for ``ring``, about ``interval_s`` at most; return whether it rang, and forget that."""
        if not self._has_rung:
            loop = asyncio.get_running_loop()
            self._waiter = loop.create_future()
            first = _first_moments.setdefault(loop, loop.time())
            moment = shared_moment(loop.time(), interval_s, first=first)
            timer = loop.call_at(moment, _wake, self._waiter)
            try:
                await self._waiter
            finally:
                self._waiter = None
                timer.cancel()
        rang, self._has_rung = self._has_rung, False
        return rang


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
