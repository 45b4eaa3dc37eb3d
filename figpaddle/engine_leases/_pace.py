"""The pace that the streams of an engine are owed, and what may begin there so that they keep it."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

#: Fraction of the time between events that is owed which the account uses: the streams of one engine differ, and
#: what is measured is their mean.
OWED_FRACTION = 0.9
#: Largest fraction of an engine's time that prompts may take.
MAX_READING_FRACTION = 0.9
#: Fraction of an engine's time that each less urgent class keeps for its prompts, so that it yields without
#: vanishing.
MIN_READING_FRACTION = 0.05
#: Fraction of the slots that is used however slow the streams are: a pace that a fault of the machine causes is
#: no reason to leave it idle.
MIN_STREAMS_FRACTION = 0.15


def owed_gap_s(*, timeout_s: float, target_s: float, events: int) -> float:
    """Return the longest mean time between events at which the longest answer of a route ends in its timeout, seconds.

    ``events`` is the most events that requests of the route state; the first one may come at the target.
    Infinity where an answer has one event, or the route no timeout.

    >>> owed_gap_s(timeout_s=10.0, target_s=1.0, events=91)
    0.1
    """
    if events < 2 or timeout_s <= target_s:
        return float("inf")
    return (timeout_s - target_s) / (events - 1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineUse:
    """What one entry states of its use of one engine, by class from 0, the most urgent."""

    #: Prompt tokens a second that it would have read there.
    prompt_per_s: tuple[float, ...]
    #: Streams a second that it would begin there.
    starts_per_s: tuple[float, ...]
    #: Prompt tokens a second that it has had read there lately.
    begun_per_s: tuple[float, ...] = ()
    #: Streams that it has there.
    streams: int = 0
    #: Mean time between the events of these, seconds; 0 if it has seen none lately.
    gap_s: float = 0.0
    #: Mean time for which a stream runs, seconds.
    stream_s: float = 2.0
    #: Time between events that it knows streams of each class to be owed, seconds; infinity where nothing is.
    owed_s: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class PaceEstimate:
    """The pace of an engine, and what follows for what may begin there.

    An engine that reads prompts for a fraction ``f`` of its time makes events ``1 / (1 - f)`` times as slowly as
    without prompts. So the fraction that leaves its streams the time between events that they are owed follows
    from the present one.

    >>> pace = PaceEstimate(gap_s=0.1, streams=20, reading=0.5)
    >>> round(pace.reading_fraction(owed_s=0.1 / 0.9), 3), round(pace.reading_fraction(owed_s=1.0), 3)
    (0.5, 0.9)
    >>> pace.most_streams(owed_s=0.1 / 0.9, slots=64, yielding=0.0)
    20.0
    >>> pace.most_streams(owed_s=0.1 / 0.9, slots=64, yielding=0.5)
    40.0
    """

    #: Mean time between events, seconds; 0 where it isn't known.
    gap_s: float
    #: Streams that run.
    streams: int
    #: Fraction of the time in which prompts are read.
    reading: float

    def reading_fraction(self, *, owed_s: float) -> float:
        """Return the fraction of the time that prompts may take so that events come each ``owed_s``."""
        if self.gap_s <= 0.0:
            return MAX_READING_FRACTION
        plain_s = self.gap_s * (1.0 - min(self.reading, MAX_READING_FRACTION))
        return min(MAX_READING_FRACTION, max(0.0, 1.0 - plain_s / (OWED_FRACTION * owed_s)))

    def most_streams(self, *, owed_s: float, slots: int, yielding: float) -> float:
        """Return how many streams may run so that events come each ``owed_s``.

        ``yielding`` is the part of ``reading`` that belongs to less urgent prompts, which begin no more where the
        pace doesn't suffice. The time between events grows with the number of streams at most in proportion, so
        that repeated estimates approach the number that fits.
        """
        gap_s = self.gap_s * (1.0 - min(yielding, MAX_READING_FRACTION))
        if gap_s <= 0.0 or not self.streams:
            return float(slots)
        fitting = self.streams * OWED_FRACTION * owed_s / gap_s
        return min(float(slots), max(MIN_STREAMS_FRACTION * slots, fitting))


def mean_gap_s(uses: Iterable[EngineUse]) -> float:
    """Return the mean time between events over the streams of several entries, seconds; 0 if none knows it."""
    known = [(use.gap_s, max(1, use.streams)) for use in uses if use.gap_s > 0.0]
    weight = sum(streams for _, streams in known)
    return sum(gap_s * streams for gap_s, streams in known) / weight if weight else 0.0
