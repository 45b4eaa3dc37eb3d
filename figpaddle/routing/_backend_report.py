"""What a backend server states of its own load."""

from __future__ import annotations

import dataclasses

#: Half-life of a stated pace, seconds. Neighbours on a machine slow a server down for some tenths of a
#: second, so an older statement says little of the next request.
PACE_HALF_LIFE_S = 0.25
#: Range of a stated pace that is believed.
MIN_PACE, MAX_PACE = 0.5, 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendReport:
    """The load that a backend server states in an answer.

    >>> report = BackendReport(running=3, waiting=2, slots=8, pace=2.0)
    >>> report.requests, report.pace_after(0.25)
    (5, 1.5)
    """

    #: Requests running.
    running: int
    #: Requests that wait for a slot.
    waiting: int
    #: Requests that it processes at once.
    slots: int
    #: How long work takes there at the moment of the statement, as a multiple of the usual time.
    pace: float = 1.0

    @property
    def requests(self) -> int:
        """Number of requests running or waiting."""
        return self.running + self.waiting

    def pace_after(self, age_s: float) -> float:
        """Return the factor on the time of work that is expected ``age_s`` after the statement."""
        pace = min(MAX_PACE, max(MIN_PACE, self.pace))
        return float(1.0 + (pace - 1.0) * 0.5 ** (max(0.0, age_s) / PACE_HALF_LIFE_S))
