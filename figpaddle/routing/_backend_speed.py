"""Speed of one backend server, learned from its answers."""

from __future__ import annotations

from collections.abc import Iterable

#: Weight of a new sample in the moving averages.
SAMPLE_WEIGHT = 0.05
#: Measured time of one sample at most, as a multiple of the expected one: a pause of a server says
#: nothing of its speed.
MAX_SAMPLE_RATIO = 4.0
#: Range of the learned factor.
MIN_FACTOR, MAX_FACTOR = 0.5, 3.0


class BackendSpeed:
    """Factor on the time of work at one backend server, from the times to the first byte.

    Servers of one service may differ in speed for good. Without the factor all entries take a slow one
    for as good as a fast one until its queue shows. In the fit long expected times count most, as the
    time of a short request says little of the speed. The fewer samples there are, the more the factor
    is that of the fastest server beside it: otherwise a server of which little is known would get no
    requests, and nothing would be learned of it.

    >>> speed = BackendSpeed()
    >>> speed.factor(fastest=0.8)
    0.8
    >>> for _ in range(200):
    ...     speed.note(expected_s=0.2, measured_s=0.32)
    >>> round(speed.factor(fastest=0.8), 1)
    1.6
    """

    def __init__(self) -> None:
        self._measured_by_expected = self._expected_squared = 0.0
        #: Weight of the samples in the factor, from 0 to 1.
        self._confidence = 0.0

    @property
    def learned(self) -> float:
        """Factor as the samples alone say it; 1 without any."""
        if not self._expected_squared:
            return 1.0
        ratio = self._measured_by_expected / self._expected_squared
        return min(MAX_FACTOR, max(MIN_FACTOR, ratio))

    def factor(self, *, fastest: float = 1.0) -> float:
        """Return the factor by which estimates for a server of the usual speed are multiplied.

        ``fastest`` is that of the fastest server beside it.
        """
        return fastest + (self.learned - fastest) * self._confidence

    def note(self, *, expected_s: float, measured_s: float) -> None:
        """Record the time that was expected of a server of the usual speed, and the measured one."""
        if expected_s <= 0:
            return
        measured_s = min(measured_s, MAX_SAMPLE_RATIO * expected_s)
        square, product = expected_s * expected_s, expected_s * measured_s
        self._expected_squared += (square - self._expected_squared) * SAMPLE_WEIGHT
        self._measured_by_expected += (product - self._measured_by_expected) * SAMPLE_WEIGHT
        self._confidence += (1.0 - self._confidence) * SAMPLE_WEIGHT


def fastest_factor(speeds: Iterable[BackendSpeed]) -> float:
    """Return the factor of the fastest of several servers."""
    return min((speed.factor() for speed in speeds), default=1.0)
