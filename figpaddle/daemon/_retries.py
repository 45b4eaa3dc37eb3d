"""Whether a failed attempt may be followed by another one."""

from __future__ import annotations

from collections.abc import Callable

from figpaddle.daemon._request_response import BodySource, RequestHead, ResponseSink
from figpaddle.errors import DeadlineExceededError, Outcome, RequestError
from figpaddle.routing import RetryBudget

#: Most attempts for one request, the first included.
MAX_ATTEMPTS = 4


class Attempts:
    """The attempts of one request.

    The outcome of the whole request is that of its worst attempt: once an attempt may have run,
    a later refusal no longer tells the caller that nothing was run.
    """

    def __init__(
        self, *, head: RequestHead, budget: RetryBudget, clock: Callable[[], float]
    ) -> None:
        self._head = head
        self._budget = budget
        self._clock = clock
        self._failed_attempts = 0
        self._may_have_run = False
        #: Names of backend servers, instances and regions that failed this request.
        self.tried: set[str] = set()
        budget.note_request(head.member, now=clock())

    def record_failure(self, error: RequestError) -> None:
        """Count a failed attempt and give ``error`` the outcome of the whole request."""
        self._failed_attempts += 1
        if error.outcome is Outcome.UNKNOWN:
            self._may_have_run = True
        self.apply_overall_outcome(error)

    def apply_overall_outcome(self, error: RequestError) -> None:
        """Give ``error`` the outcome of the whole request."""
        if self._may_have_run and error.outcome is Outcome.NOT_RUN:
            error.outcome = Outcome.UNKNOWN

    def allow_retry(self, error: RequestError, body: BodySource, sink: ResponseSink) -> bool:
        """Return whether another attempt is allowed, and take it from the budget."""
        if sink.started or body.read_started or self._failed_attempts >= MAX_ATTEMPTS:
            return False
        if not error.retriable or isinstance(error, DeadlineExceededError):
            return False
        if not self._head.idempotent and error.outcome is not Outcome.NOT_RUN:
            return False
        now = self._clock()
        return now < self._head.deadline_at and self._budget.take(self._head.member, now=now)
