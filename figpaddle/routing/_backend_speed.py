"""Speed of one backend server, learned from its answers."""

from __future__ import annotations

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
    time of a short request says little of the speed.

    >>> speed = BackendSpeed()
    >>> for _ in range(200):
    ...     speed.note(expected_s=0.2, measured_s=0.32)
    >>> round(speed.factor, 1)
    1.6
    """

    def __init__(self) -> None:
        # Begins with one estimate of a usual length that was exact.
        self._measured_by_expected = self._expected_squared = 0.2**2

    @property
    def factor(self) -> float:
        """Factor by which estimates for a server of the usual speed are multiplied."""
        ratio = self._measured_by_expected / self._expected_squared
        return min(MAX_FACTOR, max(MIN_FACTOR, ratio))

    def note(self, *, expected_s: float, measured_s: float) -> None:
        """Record the time that was expected of a server of the usual speed, and the measured one."""
        if expected_s <= 0:
            return
        measured_s = min(measured_s, MAX_SAMPLE_RATIO * expected_s)
        square, product = expected_s * expected_s, expected_s * measured_s
        self._expected_squared += (square - self._expected_squared) * SAMPLE_WEIGHT
        self._measured_by_expected += (product - self._measured_by_expected) * SAMPLE_WEIGHT
