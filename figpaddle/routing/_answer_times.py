"""How long the answers of a kind of request take until their end."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Hashable

#: Number of answers of a kind that are kept for its usual time.
MAX_SAMPLES = 64
#: How long a measured time counts, seconds; load and speed of backend servers change within minutes.
MAX_SAMPLE_AGE_S = 60.0
#: Number of kinds of requests that are kept.
MAX_KINDS = 1024
#: Fraction of the answers of a kind that take no longer than its usual time.
USUAL_FRACTION = 0.9
#: Number of answers from which the longest time of a kind is known.
MIN_TAIL_SAMPLES = 4
#: Part by which a later answer may take longer than those measured.
MARGIN = 0.2
#: Time that the caller of an answer in progress may take to read its parts, seconds; beyond it the
#: answer isn't measured.
MAX_HELD_UP_S = 0.1
#: Least status of an answer that tells of a failure.
MIN_FAILURE_STATUS = 400
#: Longest time between tokens of an engine under load, seconds.
MAX_TOKEN_INTERVAL_S = 0.014
#: Assumed time of a response without its tokens, seconds.
RESPONSE_OVERHEAD_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sample:
    at: float
    #: Measured time as a multiple of the scale of its request.
    ratio: float


class _Measured:
    """What was measured of the answers of a kind."""

    def __init__(self) -> None:
        self.samples: collections.deque[_Sample] = collections.deque(maxlen=MAX_SAMPLES)
        #: Samples than which no later one was longer, oldest and longest first.
        self._longest: collections.deque[_Sample] = collections.deque()

    def add(self, sample: _Sample) -> None:
        self.samples.append(sample)
        while self._longest and self._longest[-1].ratio <= sample.ratio:
            self._longest.pop()
        if len(self._longest) == MAX_SAMPLES:
            # The shortest one stands for this one, too.
            sample = _Sample(at=sample.at, ratio=self._longest.pop().ratio)
        self._longest.append(sample)

    def longest(self, *, now: float) -> float:
        while now - self._longest[0].at > MAX_SAMPLE_AGE_S:
            self._longest.popleft()
        return self._longest[0].ratio


@dataclasses.dataclass(kw_only=True)
class _Unfinished:
    kind: Hashable
    begun_at: float
    scale_s: float
    #: Since when a part of the answer is being sent to the caller; None if none is.
    relaying_since: float | None = None
    held_up_s: float = 0.0

    def ratio(self, now: float) -> float:
        until = now if self.relaying_since is None else self.relaying_since
        return (until - self.begun_at) / self.scale_s


def assumed_answer_s(output_tokens: int) -> float:
    """Return the time until the end of an answer, seconds, that is assumed without measurements.

    >>> assumed_answer_s(0)
    1.0
    """
    return RESPONSE_OVERHEAD_S + output_tokens * MAX_TOKEN_INTERVAL_S


class AnswerTimes:
    """Times from sending a request to the end of its answer, by kind of request.

    Times are kept as multiples of a scale, so that short answers tell of long ones where their lengths are
    known: ``scale_s`` is proportional to the time that a request is expected to take. A request that has
    already taken longer than usual counts too, before it ends. The time in which a caller reads its answer
    doesn't count. Times are given with a margin.

    >>> times = AnswerTimes()
    >>> for number in range(4):
    ...     times.note_begun(f"r{number}", "reads", now=0.0)
    ...     times.note_ended(f"r{number}", answered=True, now=0.5)
    >>> times.usual_s("reads", now=0.5), times.longest_s("reads", now=0.5)
    (0.6, 0.6)
    """

    def __init__(self) -> None:
        self._measured: dict[Hashable, _Measured] = {}
        self._unfinished: dict[str, _Unfinished] = {}

    def note_begun(self, key: str, kind: Hashable, *, scale_s: float = 1.0, now: float) -> None:
        """Record that a request of a kind is being sent; ``key`` identifies it until it ends."""
        self._unfinished[key] = _Unfinished(kind=kind, begun_at=now, scale_s=scale_s)

    def note_relaying(self, key: str, *, now: float) -> None:
        """Record that a part of an answer, or all of it, has come and is being sent to the caller."""
        request = self._unfinished.get(key)
        if request is not None:
            request.relaying_since = now

    def note_relayed(self, key: str, *, now: float) -> None:
        """Record that the caller has read this part, and that the answer goes on.

        How long its server takes isn't known any more once the caller holds it up.
        """
        request = self._unfinished.get(key)
        if request is None or request.relaying_since is None:
            return
        request.held_up_s += now - request.relaying_since
        request.relaying_since = None
        if request.held_up_s > MAX_HELD_UP_S:
            del self._unfinished[key]

    def note_ended(self, key: str, *, answered: bool, now: float) -> None:
        """Record the end of a request; ``answered`` is whether it got a sound answer.

        Any other counts only if it took longer than usual: a failure comes as soon as something fails.
        """
        request = self._unfinished.pop(key, None)
        if request is None:
            return
        if not answered:
            ratios = self._ratios(request.kind, now=now)
            if not ratios or request.ratio(now) <= _usual(ratios):
                return
        # The kind that was measured least recently is forgotten first.
        measured = self._measured.pop(request.kind, None) or _Measured()
        measured.add(_Sample(at=now, ratio=request.ratio(now)))
        self._measured[request.kind] = measured
        if len(self._measured) > MAX_KINDS:
            del self._measured[next(iter(self._measured))]

    def usual_s(
        self,
        kind: Hashable,
        *,
        scale_s: float = 1.0,
        unmeasured_s: float = math.inf,
        now: float,
    ) -> float:
        """Return the time within which most answers end, seconds.

        It is ``unmeasured_s`` if no answer was measured, or longer if requests are overdue.
        """
        ended = self._ratios(kind, now=now)
        if not ended:
            overdue = self._overdue(kind, usual=unmeasured_s / scale_s, now=now)
            return _with_margin(_usual(overdue)) * scale_s if overdue else unmeasured_s
        ratios = sorted([*ended, *self._overdue(kind, usual=_usual(ended), now=now)])
        return _with_margin(_usual(ratios)) * scale_s

    def median_s(self, kind: Hashable, *, scale_s: float = 1.0, now: float) -> float | None:
        """Return the time within which half of the answers have ended, seconds; None if none was measured.

        It has no margin, and requests that are overdue don't count, so that those at a server that hangs
        say nothing of the others.
        """
        ended = self._ratios(kind, now=now)
        return ended[(len(ended) - 1) // 2] * scale_s if ended else None

    def longest_s(self, kind: Hashable, *, scale_s: float = 1.0, now: float) -> float:
        """Return the time within which all answers end, seconds; infinity if too few were measured.

        All answers of ``MAX_SAMPLE_AGE_S`` count, however many they are.
        """
        ended = self._ratios(kind, now=now)
        if len(ended) < MIN_TAIL_SAMPLES:
            return math.inf
        longest = self._measured[kind].longest(now=now)
        overdue = self._overdue(kind, usual=_usual(ended), now=now)
        return _with_margin(max([longest, *overdue])) * scale_s

    def _ratios(self, kind: Hashable, *, now: float) -> list[float]:
        measured = self._measured.get(kind)
        samples = measured.samples if measured is not None else ()
        return sorted(sample.ratio for sample in samples if now - sample.at <= MAX_SAMPLE_AGE_S)

    def _overdue(self, kind: Hashable, *, usual: float, now: float) -> list[float]:
        """Return the ratios so far of unfinished requests that are over the usual one."""
        return sorted(
            ratio
            for request in self._unfinished.values()
            if request.kind == kind and (ratio := request.ratio(now)) > usual
        )


def _usual(ratios: list[float]) -> float:
    return ratios[math.ceil(USUAL_FRACTION * len(ratios)) - 1]


def _with_margin(ratio: float) -> float:
    return ratio * (1 + MARGIN)
