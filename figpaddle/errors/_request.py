"""Errors that end a caller's request, each with its outcome and a retry delay."""

from __future__ import annotations

import enum

from figpaddle.errors._base import FigpaddleError


class Outcome(enum.Enum):
    """Whether a request that failed without an answer from the service may have run."""

    #: No byte of the request reached a backend server, or the backend server refused it.
    NOT_RUN = "not run"
    #: The request may have run.
    UNKNOWN = "unknown"
    #: The request ran, but its answer is not available.
    RAN = "ran"


class RequestError(FigpaddleError):
    """A request failed without an answer from the service.

    Subclasses define the HTTP status and the problem type; the code that raises the error gives
    the outcome and the retry delay.

    >>> error = NoBackendServerError(service="draft", retry_after_s=2.0)
    >>> error.status, error.problem, error.outcome.value
    (503, 'no-backend-server', 'not run')
    """

    #: HTTP status code of the response.
    status = 500
    #: Short name of the error, the last segment of the problem document's type.
    problem = "internal"
    #: Whether another backend server or instance might serve the request.
    retryable = False

    def __init__(
        self,
        *,
        what: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
        where: str = "",
        hint: str = "",
    ) -> None:
        super().__init__(what=what, where=where, hint=hint)
        #: Whether the request may have run.
        self.outcome = outcome
        #: Delay before a retry, seconds; None if a retry is of no use.
        self.retry_after_s = retry_after_s


class InvalidRequestError(RequestError):
    """The request is malformed."""

    status = 400
    problem = "invalid-request"


class AnnouncementConflictError(RequestError):
    """The announcement conflicts with a valid one of another backend server."""

    status = 409
    problem = "announcement-conflict"

    def __init__(self, *, name: str, address: str) -> None:
        super().__init__(
            what=f"the name {name} or the address {address} belongs to another backend server",
            hint="give each backend server a unique name and address",
        )


class UnauthorizedError(RequestError):
    """The caller's key is missing or unknown."""

    status = 401
    problem = "unauthorized"

    def __init__(self) -> None:
        super().__init__(what="the key is missing or unknown", hint="send a valid bearer key")


class ForbiddenError(RequestError):
    """The caller may not use this service; the error doesn't reveal whether it exists."""

    status = 403
    problem = "forbidden"

    def __init__(self) -> None:
        super().__init__(what="this key may not use this service")


class BodyTooLargeError(RequestError):
    """The body of the request exceeds the limit."""

    status = 413
    problem = "body-too-large"

    def __init__(self, *, limit_bytes: int) -> None:
        super().__init__(
            what=f"the body is larger than {limit_bytes} bytes", hint="send a smaller body"
        )


class RegionNotAllowedError(RequestError):
    """The request may not be served in this region."""

    status = 421
    problem = "region-not-allowed"

    def __init__(self, *, region: str, retry_after_s: float | None = None) -> None:
        super().__init__(
            what=f"region {region} may not hold this request's data",
            hint="use an entry instance in an allowed region",
            retry_after_s=retry_after_s,
        )


class ForwardingLoopError(RequestError):
    """A forwarded request returned to an instance, or crossed too many region boundaries."""

    status = 508
    problem = "forwarding-loop"

    def __init__(self, *, instance: str) -> None:
        super().__init__(
            what=f"instance {instance} may not forward the request again", retry_after_s=1.0
        )


class NoBackendServerError(RequestError):
    """No backend server for the service can be reached."""

    status = 503
    problem = "no-backend-server"
    retryable = True

    def __init__(self, *, service: str, retry_after_s: float) -> None:
        super().__init__(
            what=f"no backend server for {service} is reachable", retry_after_s=retry_after_s
        )


class OverloadedError(RequestError):
    """The request can't be answered in time and was rejected by admission control."""

    status = 503
    problem = "overloaded"

    def __init__(self, *, service: str, retry_after_s: float) -> None:
        super().__init__(
            what=f"{service} can't answer within the deadline", retry_after_s=retry_after_s
        )


class NoRoomError(RequestError):
    """The instance holds too much for all clients and can't take the request."""

    status = 503
    problem = "no-room"

    def __init__(self, *, retry_after_s: float) -> None:
        super().__init__(
            what="the instance has no memory left for the request", retry_after_s=retry_after_s
        )


class DrainingError(RequestError):
    """The instance is draining and accepts no new requests."""

    status = 503
    problem = "draining"

    def __init__(self, *, instance: str) -> None:
        super().__init__(
            what=f"instance {instance} is draining",
            hint="use another entry instance",
            retry_after_s=0.0,
        )


class DrainTimeoutError(RequestError):
    """A planned stop ended the request, which may have run."""

    status = 504
    problem = "drain-timeout"
    retryable = True

    def __init__(self, *, instance: str) -> None:
        super().__init__(
            what=f"instance {instance} stopped before the answer came",
            outcome=Outcome.UNKNOWN,
            hint="use another entry instance",
            retry_after_s=0.0,
        )


class BackendServerLostError(RequestError):
    """The connection to the backend server was lost after the request had been sent."""

    status = 502
    problem = "backend-server-lost"
    retryable = True

    def __init__(
        self,
        *,
        backend: str,
        outcome: Outcome = Outcome.UNKNOWN,
        retry_after_s: float | None = 1.0,
    ) -> None:
        super().__init__(
            what=f"the connection to backend server {backend} was lost",
            outcome=outcome,
            retry_after_s=retry_after_s,
        )


class InvalidAnswerError(BackendServerLostError):
    """The backend server's answer is malformed or incomplete."""

    problem = "invalid-answer"


class BodyTimeoutError(RequestError):
    """The caller stopped sending before the end of the request body."""

    status = 408
    problem = "body-timeout"

    def __init__(self, *, timeout_s: float) -> None:
        super().__init__(
            what=f"no data of the body arrived for {timeout_s:g} s", hint="send the request again"
        )


class RequestQuarantinedError(RequestError):
    """The request is refused because backend servers crashed while they ran it."""

    status = 422
    problem = "request-quarantined"

    def __init__(self, *, retry_after_s: float) -> None:
        super().__init__(
            what="backend servers crashed while they ran this request",
            hint="change the request, or ask an operator to lift the quarantine",
            retry_after_s=retry_after_s,
        )


class DeadlineExceededError(RequestError):
    """The deadline of the request passed."""

    status = 504
    problem = "deadline-exceeded"

    def __init__(self, *, deadline_s: float, outcome: Outcome) -> None:
        super().__init__(
            what=f"no answer within {deadline_s:g} s", outcome=outcome, retry_after_s=1.0
        )


class PeerLostError(RequestError):
    """The connection to the instance that the request was forwarded to was lost."""

    status = 502
    problem = "peer-lost"
    retryable = True

    def __init__(self, *, peer: str, outcome: Outcome) -> None:
        super().__init__(
            what=f"the connection to instance {peer} was lost",
            outcome=outcome,
            retry_after_s=1.0,
        )


#: Problem types that concern only the refusing instance, so that another one may succeed.
_RETRYABLE_PROBLEMS = frozenset(
    {
        "backend-server-lost",
        "configuration-unconfirmed",
        "drain-timeout",
        "draining",
        "forbidden",
        "forwarding-loop",
        "invalid-answer",
        "no-backend-server",
        "no-configuration",
        "overloaded",
        "peer-lost",
        "region-not-allowed",
    }
)

#: Those for which another instance of the same region may succeed too.
_INSTANCE_PROBLEMS = frozenset(
    {"configuration-unconfirmed", "drain-timeout", "draining", "no-configuration"}
)


class ForwardRefusedError(RequestError):
    """The instance that the request was forwarded to refused it."""

    def __init__(
        self,
        *,
        status: int,
        problem: str,
        what: str,
        outcome: Outcome,
        retry_after_s: float | None,
    ) -> None:
        super().__init__(what=what, outcome=outcome, retry_after_s=retry_after_s)
        self.status = status
        self.problem = problem
        self.retryable = problem in _RETRYABLE_PROBLEMS
        #: Whether another instance of the same region might serve the request.
        self.concerns_instance = problem in _INSTANCE_PROBLEMS
