"""The largest of the values that were seen lately."""

from __future__ import annotations


class RecentMaximum:
    """Largest value of the last ``span_s``, or of up to twice that time.

    >>> recent = RecentMaximum(span_s=5.0)
    >>> for value in (10.0, 90.0, 20.0):
    ...     recent.note(value, now=0.0)
    >>> recent.value(now=4.0), recent.value(now=9.0), recent.value(now=11.0)
    (90.0, 90.0, 0.0)
    """

    def __init__(self, *, span_s: float) -> None:
        self._span_s = span_s
        self._span = 0
        # Largest value in the present span and in the one before.
        self._largest = self._largest_before = 0.0

    def note(self, value: float, *, now: float) -> None:
        """Record a value."""
        self._turn(now)
        self._largest = max(self._largest, value)

    def value(self, *, now: float) -> float:
        """Return the largest recent value; 0 without any."""
        self._turn(now)
        return max(self._largest, self._largest_before)

    def _turn(self, now: float) -> None:
        span = int(now // self._span_s)
        if span > self._span:
            self._largest_before = self._largest if span == self._span + 1 else 0.0
            self._largest, self._span = 0.0, span
