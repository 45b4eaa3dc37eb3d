"""Retry decisions for one request."""

from __future__ import annotations

from collections.abc import Callable

from figpaddle.daemon._outcome_tracker import OutcomeTracker
from figpaddle.daemon._request_response import BodySource, RequestHead, ResponseSink
from figpaddle.errors import DeadlineExceededError, Outcome, RequestError
from figpaddle.routing import Placement, RetryBudget

#: Largest number of attempts for one request, including the first.
MAX_ATTEMPTS = 4


class Attempts:
    """Tracks the attempts of one request.

    The outcome of a request covers all of its attempts: after an attempt that may have run, the
    outcome is unknown even if a later attempt was refused.
    """

    def __init__(
        self,
        *,
        head: RequestHead,
        budget: RetryBudget,
        tracker: OutcomeTracker,
        clock: Callable[[], float],
    ) -> None:
        self._head = head
        self._budget = budget
        self._tracker = tracker
        self._clock = clock
        self._failed_attempts = 0
        #: Whether a retry was charged that hasn't begun.
        self._charged = False
        #: Place of the next attempt, if it was found before the present one was given up.
        self._next_place: Placement | None = None
        #: Names of the backend servers, instances and regions that were tried for this request.
        self.tried: set[str] = set()
        budget.note_request(head.member, now=clock())

    def record_failure(self, error: RequestError) -> None:
        """Count a failed attempt and set the outcome of the whole request in ``error``."""
        self._failed_attempts += 1
        self._tracker.note_attempt_failed(error.outcome)
        self.apply_overall_outcome(error)

    def apply_overall_outcome(self, error: RequestError) -> None:
        """Set the outcome of the whole request in ``error``."""
        if error.outcome is Outcome.NOT_RUN:
            error.outcome = self._tracker.outcome

    def allow_retry(self, error: RequestError, body: BodySource, sink: ResponseSink) -> bool:
        """Return whether another attempt is allowed; if so, it is charged to the retry budget.

        The caller either begins it, see ``note_begun``, or calls ``return_unused``.
        """
        return self._charge(error, body, sink, failed_attempts=self._failed_attempts)

    def allow_giving_up(self, error: RequestError, body: BodySource, sink: ResponseSink) -> bool:
        """Return whether a retry is allowed if the attempt in progress ends with ``error``.

        If so, it is charged already, as by ``allow_retry``.
        """
        return self._charge(error, body, sink, failed_attempts=self._failed_attempts + 1)

    def hold_place(self, placement: Placement) -> None:
        """Keep the place of the next attempt, before the one in progress is given up."""
        self._next_place = placement

    def take_held_place(self) -> Placement | None:
        """Return the place that was kept for the next attempt, if any, once."""
        placement, self._next_place = self._next_place, None
        return placement

    def _charge(
        self, error: RequestError, body: BodySource, sink: ResponseSink, *, failed_attempts: int
    ) -> bool:
        if sink.started or body.read_started or failed_attempts >= MAX_ATTEMPTS:
            return False
        if not error.retryable or isinstance(error, DeadlineExceededError):
            return False
        if not self._head.idempotent and error.outcome is not Outcome.NOT_RUN:
            return False
        now = self._clock()
        if now >= self._head.deadline_at:
            return False
        self._charged = self._charged or self._budget.take(self._head.member, now=now)
        return self._charged

    def note_begun(self) -> None:
        """Record that the next attempt begins; what it was charged is used."""
        self._charged = False

    def return_unused(self) -> None:
        """Give a retry that was charged and hasn't begun back to the budget."""
        if self._charged:
            self._charged = False
            self._budget.give_back(self._head.member, now=self._clock())
