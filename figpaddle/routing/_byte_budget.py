"""A bound on the bytes that are sent in a time."""

from __future__ import annotations


class ByteBudget:
    """Allows bursts of bytes, and a steady rate of them after a burst.

    What is sent while anything is left may exceed the rest, and is made up for before the next, so that
    a message larger than the burst isn't held up for ever.

    >>> budget = ByteBudget(bytes_per_s=100.0, burst_bytes=200.0)
    >>> budget.spend(250, now=0.0)
    >>> budget.is_open(now=0.4), budget.is_open(now=0.6)
    (False, True)
    """

    def __init__(self, *, bytes_per_s: float, burst_bytes: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = burst_bytes
        self._left = burst_bytes
        self._counted_at = float("-inf")

    def resize(self, *, bytes_per_s: float, burst_bytes: float, now: float) -> None:
        """Change the rate and the burst; what was spent in the burst before stays spent."""
        self._refill(now)
        self._left += burst_bytes - self._burst_bytes
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = burst_bytes

    def is_open(self, *, now: float, reserved_bytes: float = 0.0) -> bool:
        """Return whether something may be sent now that leaves ``reserved_bytes`` to other things."""
        self._refill(now)
        return self._left > reserved_bytes

    def spend(self, size: float, *, now: float) -> None:
        """Count ``size`` bytes that are sent now."""
        self._refill(now)
        self._left -= size

    def _refill(self, now: float) -> None:
        if self._counted_at == float("-inf"):
            self._counted_at = now
        passed_s = max(0.0, now - self._counted_at)
        self._left = min(self._burst_bytes, self._left + self._bytes_per_s * passed_s)
        self._counted_at = now
