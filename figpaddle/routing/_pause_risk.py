"""Share of the streams of a place that pause longer than their callers accept."""

from __future__ import annotations

#: Half-life of what was seen, seconds; many times the moments in which a machine is slow, so that a place
#: doesn't look good between two of them.
RISK_HALF_LIFE_S = 30.0
#: Half-life of the risk at a place that gets no streams, seconds, so that it is tried again.
UNSEEN_HALF_LIFE_S = 10.0
#: Events in time that are assumed in advance: a single pause among few events says little.
ASSUMED_EVENTS = 12.0
#: Penalty for a stream that surely pauses too long, seconds of waiting. Its caller is served as badly as by a
#: stream that begins late, which is a wait beyond the usual targets.
LATE_STREAM_PENALTY_S = 3.0


class PauseRisk:
    """Risk that a stream pauses longer than its caller accepts at a backend server, or in another region.

    On a slow machine the steps of a stream fit into the accepted pause, and those during which the engine also
    reads prompts don't once the machine gets slower for a moment. The mean time between events shows little of
    it: most events come in time, and one of the many in a stream doesn't.

    >>> risk = PauseRisk()
    >>> risk.note(events=29, late=0, now=0.0)
    >>> risk.of_stream(29, now=0.0)
    0.0
    >>> risk.note(events=29, late=1, now=0.0)
    >>> round(risk.of_stream(29, now=0.0), 2), round(risk.of_stream(2, now=0.0), 2)
    (0.34, 0.03)
    """

    def __init__(self) -> None:
        self._events = self._late = 0.0
        self._noted_at = 0.0

    def note(self, *, events: int, late: int, now: float) -> None:
        """Record events that have come, and how many of them came after too long a pause."""
        decay = self._decay(now)
        self._events = self._events * decay + events
        self._late = self._late * decay + late
        self._noted_at = now

    def of_stream(self, events: int, *, now: float) -> float:
        """Return the probability, from 0 to 1, that a stream of some events pauses too long."""
        if not self._late:
            return 0.0
        decay = self._decay(now)
        by_event = min(1.0, self._late * decay / (self._events * decay + ASSUMED_EVENTS))
        by_event *= 0.5 ** (max(0.0, now - self._noted_at) / UNSEEN_HALF_LIFE_S)
        return float(1.0 - (1.0 - by_event) ** events)

    def _decay(self, now: float) -> float:
        return float(0.5 ** (max(0.0, now - self._noted_at) / RISK_HALF_LIFE_S))


def pause_risk_penalty_s(risk: PauseRisk, *, events: int, longest_s: float, now: float) -> float:
    """Return the penalty for a place where a stream may pause too long, seconds of waiting.

    ``longest_s`` is the longest pause that the caller accepts; 0 if pauses don't matter.
    """
    if longest_s <= 0:
        return 0.0
    return LATE_STREAM_PENALTY_S * risk.of_stream(events, now=now)
