"""Logs errors that no code anticipates and turns them into errors for the caller."""

from __future__ import annotations

from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.errors import Outcome, RequestError
from figpaddle.telemetry import Log


class InternalError(RequestError):
    """A fault in figpaddle itself or a malformed message from another process."""

    def __init__(self, *, outcome: Outcome = Outcome.UNKNOWN) -> None:
        super().__init__(what="internal error", outcome=outcome, retry_after_s=1.0)


class FaultReporter:
    """Decides what a caller is told of any error that ended its request.

    The caller learns nothing of the cause; the log has it, with the request id of the answer.
    """

    def __init__(self, *, configuration: ConfigurationState, log: Log) -> None:
        self._configuration = configuration
        self._log = log

    def request_error(
        self, error: Exception, *, request_id: str, outcome: Outcome = Outcome.UNKNOWN
    ) -> RequestError:
        """Return ``error`` if it is meant for callers, else log it and return an InternalError."""
        cause = _sole_cause(error)
        if isinstance(cause, RequestError):
            return cause
        self._log.error(
            "internal_fault",
            request_id=request_id,
            error=type(cause).__name__,
            what=str(cause),
            revision=self._configuration.current.revision,
            exc_info=cause,
        )
        return InternalError(outcome=outcome)


def _sole_cause(error: Exception) -> Exception:
    """Return the error inside the groups that task groups add to a single one."""
    while isinstance(error, ExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error
