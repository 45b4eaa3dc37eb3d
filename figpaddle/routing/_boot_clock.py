"""A clock that counts the time for which the machine is suspended."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return the time since the machine's start, seconds; the monotonic clock where there is none."""
    if hasattr(time, "CLOCK_BOOTTIME"):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()
