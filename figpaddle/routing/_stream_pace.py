"""Time between the events of streams at one backend server, and what it costs the next stream."""

from __future__ import annotations

#: Weight of a new sample in the moving average.
SAMPLE_WEIGHT = 0.06
#: Half-life of the average without new samples, seconds; about as long as a stream takes.
PACE_HALF_LIFE_S = 2.0
#: Mean time between events, as a fraction of the longest pause that callers accept, from which a slow
#: moment of the machine may exceed that pause: such moments more than double the time of each step.
SAFE_GAP_FRACTION = 0.25
#: Penalty for a mean time between events as long as that pause, seconds of waiting.
PAUSE_PENALTY_S = 1.0
#: Largest penalty, seconds: an engine that is slow for all is still better than none.
MAX_PAUSE_PENALTY_S = 0.6
#: Events of a stream from which its pauses count. A shorter one ends before it meets a slow moment.
MIN_EVENTS = 4


class StreamPace:
    """Moving average of the time between events of streams at one backend server.

    An engine reads prompts between the steps of the streams that it runs. Where many prompts come, a new
    stream still begins in time, and then pauses: the time to the first byte doesn't show it.

    >>> pace = StreamPace()
    >>> for _ in range(100):
    ...     pace.note(0.2, now=0.0)
    >>> round(pace.gap_s(now=0.0), 1), round(pace.gap_s(now=2.0), 1)
    (0.2, 0.1)
    """

    def __init__(self) -> None:
        self._gap_s = 0.0
        self._noted_at = 0.0

    def note(self, gap_s: float, *, now: float) -> None:
        """Record the time between two events of a stream."""
        current = self.gap_s(now=now)
        self._gap_s = current + (gap_s - current) * SAMPLE_WEIGHT
        self._noted_at = now

    def gap_s(self, *, now: float) -> float:
        """Return the mean time between events, seconds; 0 where none was seen lately."""
        if not self._gap_s:
            return 0.0
        return float(self._gap_s * 0.5 ** ((now - self._noted_at) / PACE_HALF_LIFE_S))


def pause_penalty_s(gap_s: float, *, longest_s: float) -> float:
    """Return the penalty for a server whose events come each ``gap_s``, seconds of waiting.

    ``longest_s`` is the longest pause that the caller accepts; 0 if pauses don't matter.

    >>> pause_penalty_s(0.05, longest_s=0.4), round(pause_penalty_s(0.2, longest_s=0.4), 2)
    (0.0, 0.25)
    """
    if longest_s <= 0:
        return 0.0
    excess = max(0.0, gap_s / longest_s - SAFE_GAP_FRACTION)
    return min(MAX_PAUSE_PENALTY_S, PAUSE_PENALTY_S * excess)
