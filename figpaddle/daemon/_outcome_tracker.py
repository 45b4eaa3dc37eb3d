"""What is known of whether a request has run, while it is in progress."""

from __future__ import annotations

from figpaddle.errors import Outcome


class OutcomeTracker:
    """Tracks the outcome that a request would have if it ended now, over all of its attempts.

    >>> tracker = OutcomeTracker()
    >>> tracker.note_may_run()
    >>> tracker.outcome.value
    'unknown'
    >>> tracker.note_attempt_failed(Outcome.NOT_RUN)
    >>> tracker.outcome.value
    'not run'
    """

    def __init__(self) -> None:
        self._attempt_may_run = False
        self._earlier_may_have_run = False

    @property
    def outcome(self) -> Outcome:
        """NOT_RUN until something may have run, UNKNOWN from then on."""
        if self._attempt_may_run or self._earlier_may_have_run:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def note_may_run(self) -> None:
        """Record that the current attempt may run from now on."""
        self._attempt_may_run = True

    def note_attempt_failed(self, outcome: Outcome) -> None:
        """Record the outcome of the current attempt, which has failed."""
        self._attempt_may_run = False
        if outcome is not Outcome.NOT_RUN:
            self._earlier_may_have_run = True
