"""Correction of expected times by those that were measured."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Hashable

#: Weight of a new sample in the moving averages.
SAMPLE_WEIGHT = 0.05
#: Half-life of a correction without new samples, seconds.
CORRECTION_HALF_LIFE_S = 5.0
#: Largest factor of a correction.
MAX_CORRECTION = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Correction:
    """What measured times say about an expected one.

    The estimate may already contain what made the measured times long: a backend server that becomes slow
    also lengthens its expected times. So no estimate is raised beyond the longest time measured of late.

    >>> Correction(factor=4.0, longest_s=2.0).corrected_s(0.1)
    0.4
    >>> Correction(factor=4.0, longest_s=2.0).corrected_s(1.0)
    2.0
    >>> Correction(factor=4.0, longest_s=2.0).corrected_s(3.0)
    3.0
    """

    #: Ratio of measured to expected times, at least 1.
    factor: float = 1.0
    #: Longest time measured of late, seconds.
    longest_s: float = math.inf

    def corrected_s(self, expected_s: float) -> float:
        """Return the corrected time to the first byte, seconds."""
        return max(expected_s, min(expected_s * self.factor, self.longest_s))


#: The correction of a kind of request that hasn't been measured.
NO_CORRECTION = Correction()


@dataclasses.dataclass(kw_only=True, slots=True)
class _Fit:
    """Moving averages for a least-squares fit of measured to expected times, and the longest measured one."""

    measured_by_expected: float
    expected_squared: float
    longest_s: float
    updated_at: float


class ExpectationModel:
    """Ratio of measured to expected time to the first byte, by kind of request.

    An estimate from the known load of one backend server misses what comes later: more urgent
    requests that overtake, and requests of other entries that aren't reported yet. Both delay the
    requests of a kind at all backend servers alike, so few requests at each suffice to measure them.
    In the fit, long expected times count most: on those the decision to refuse a request depends.

    >>> model = ExpectationModel()
    >>> for _ in range(100):
    ...     model.note("long prompts", expected_s=0.5, measured_s=1.0, now=0.0)
    >>> round(model.correction("long prompts", now=0.0).factor, 1)
    2.0
    """

    def __init__(self) -> None:
        self._fits: dict[Hashable, _Fit] = {}

    def correction(self, kind: Hashable, *, now: float) -> Correction:
        """Return the correction of expected times of ``kind``.

        A factor below 1 would accept more requests only because the last ones were lucky.
        """
        fit = self._fits.get(kind)
        if fit is None:
            return NO_CORRECTION
        ratio = min(MAX_CORRECTION, max(1.0, fit.measured_by_expected / fit.expected_squared))
        decay = _decay(fit, now=now)
        return Correction(factor=1.0 + (ratio - 1.0) * decay, longest_s=fit.longest_s * decay)

    def note(self, kind: Hashable, *, expected_s: float, measured_s: float, now: float) -> None:
        """Record the uncorrected expected time of a request and the measured one, seconds."""
        fit = self._fits.get(kind)
        product, square = measured_s * expected_s, expected_s * expected_s
        if fit is None:
            # Begins with one accurate estimate of the same length.
            fit = self._fits[kind] = _Fit(
                measured_by_expected=square,
                expected_squared=square,
                longest_s=measured_s,
                updated_at=now,
            )
        fit.measured_by_expected += (product - fit.measured_by_expected) * SAMPLE_WEIGHT
        fit.expected_squared += (square - fit.expected_squared) * SAMPLE_WEIGHT
        fit.longest_s = max(measured_s, fit.longest_s * _decay(fit, now=now))
        fit.updated_at = now


def _decay(fit: _Fit, *, now: float) -> float:
    return float(0.5 ** ((now - fit.updated_at) / CORRECTION_HALF_LIFE_S))
