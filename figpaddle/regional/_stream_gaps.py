"""Times between the events of a stream for which the place that serves it is responsible."""

from __future__ import annotations


class StreamGaps:
    """Measures the longest time in which a place let a stream of one attempt wait for an event.

    The time in which the caller takes events doesn't count, nor the time for which events may have waited
    until this process read them.

    >>> gaps = StreamGaps()
    >>> gaps.note_relaying(arrived_after=1.0)
    >>> gaps.note_relayed(now=1.1)
    >>> gaps.note_relaying(arrived_after=1.6)
    >>> round(gaps.longest_s, 3)
    0.5
    """

    def __init__(self) -> None:
        self._relayed_at: float | None = None
        self._longest_s: float | None = None

    @property
    def longest_s(self) -> float | None:
        """The longest time, seconds; None before the second event."""
        return self._longest_s

    def note_relaying(self, *, arrived_after: float) -> None:
        """Record events that came no earlier than a time."""
        if self._relayed_at is not None:
            self._longest_s = max(self._longest_s or 0.0, arrived_after - self._relayed_at)

    def note_relayed(self, *, now: float) -> None:
        """Record that the caller has taken them."""
        self._relayed_at = now
