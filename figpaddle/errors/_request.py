"""Failures that end a caller's request, each with its outcome and a time to come back."""

from __future__ import annotations

import enum

from figpaddle.errors._base import FigpaddleError


class Outcome(enum.Enum):
    """What is known of the execution of a request that did not get the service's own answer."""

    #: No byte of the request reached a backend server, or the backend server refused it.
    NOT_RUN = "not run"
    #: The request may have run.
    UNKNOWN = "unknown"
    #: The request ran, though its answer can't be given.
    RAN = "ran"


class RequestError(FigpaddleError):
    """A request ended without the service's own answer.

    Subclasses fix the HTTP status and the problem type; the outcome and the time to come back
    are given where the failure is found.

    >>> error = NoBackendServerError(service="draft", retry_after_s=2.0)
    >>> error.status, error.problem, error.outcome.value
    (503, 'no-backend-server', 'not run')
    """

    #: HTTP status code of the answer.
    status = 500
    #: Short name of the failure, the last part of the problem document's type.
    problem = "internal"
    #: Whether another backend server or instance might serve the request.
    retriable = False

    def __init__(
        self,
        *,
        what: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
        where: str = "",
        mend: str = "",
    ) -> None:
        super().__init__(what=what, where=where, mend=mend)
        #: What is known of the execution.
        self.outcome = outcome
        #: Seconds after which a new attempt makes sense; None where it never does.
        self.retry_after_s = retry_after_s


class InvalidRequestError(RequestError):
    """The request can't be understood."""

    status = 400
    problem = "invalid-request"


class AnnouncementConflictError(RequestError):
    """Another backend server's announcement that is still valid contradicts this one."""

    status = 409
    problem = "announcement-conflict"

    def __init__(self, *, name: str, address: str) -> None:
        super().__init__(
            what=f"the name {name} or the address {address} is announced otherwise",
            mend="give each backend server a name and an address of its own",
        )


class UnauthorizedError(RequestError):
    """The caller's key is missing or unknown."""

    status = 401
    problem = "unauthorized"

    def __init__(self) -> None:
        super().__init__(what="the key is missing or not known", mend="send a valid bearer key")


class ForbiddenError(RequestError):
    """The caller may not use this service; no hint is given whether it exists."""

    status = 403
    problem = "forbidden"

    def __init__(self) -> None:
        super().__init__(what="this key may not use this service")


class BodyTooLargeError(RequestError):
    """The body of the request exceeds the limit."""

    status = 413
    problem = "body-too-large"

    def __init__(self, *, limit_bytes: int) -> None:
        super().__init__(what=f"the body is over {limit_bytes} bytes", mend="send a smaller body")


class RegionNotAllowedError(RequestError):
    """The request may not be served in this region."""

    status = 421
    problem = "region-not-allowed"

    def __init__(self, *, region: str, retry_after_s: float | None = None) -> None:
        super().__init__(
            what=f"region {region} may not hold this request's data",
            mend="ask for an entry instance in an allowed region",
            retry_after_s=retry_after_s,
        )


class ForwardingLoopError(RequestError):
    """A forwarded request came back, or crossed regions more often than allowed."""

    status = 508
    problem = "forwarding-loop"

    def __init__(self, *, instance: str) -> None:
        super().__init__(what=f"instance {instance} may not forward it again", retry_after_s=1.0)


class NoBackendServerError(RequestError):
    """No backend server for the service can be reached."""

    status = 503
    problem = "no-backend-server"
    retriable = True

    def __init__(self, *, service: str, retry_after_s: float) -> None:
        super().__init__(
            what=f"no backend server for {service} is reachable", retry_after_s=retry_after_s
        )


class OverloadedError(RequestError):
    """The request can't be answered in time and was refused at once."""

    status = 503
    problem = "overloaded"

    def __init__(self, *, service: str, retry_after_s: float) -> None:
        super().__init__(
            what=f"{service} can't answer within the deadline", retry_after_s=retry_after_s
        )


class DrainingError(RequestError):
    """The instance is leaving and takes no new work."""

    status = 503
    problem = "draining"

    def __init__(self, *, instance: str) -> None:
        super().__init__(
            what=f"instance {instance} is leaving",
            mend="use another entry instance",
            retry_after_s=0.0,
        )


class BackendServerLostError(RequestError):
    """The backend server broke off after the request had been sent to it."""

    status = 502
    problem = "backend-server-lost"
    retriable = True

    def __init__(
        self,
        *,
        backend: str,
        outcome: Outcome = Outcome.UNKNOWN,
        retry_after_s: float | None = 1.0,
    ) -> None:
        super().__init__(
            what=f"backend server {backend} broke off",
            outcome=outcome,
            retry_after_s=retry_after_s,
        )


class InvalidAnswerError(BackendServerLostError):
    """The backend server's answer makes no sense or has no end mark."""

    problem = "invalid-answer"


class BodyTimeoutError(RequestError):
    """The caller stopped sending in the middle of the request."""

    status = 408
    problem = "body-timeout"

    def __init__(self, *, timeout_s: float) -> None:
        super().__init__(
            what=f"no part of the body came for {timeout_s:g} s", mend="send the request again"
        )


class RequestQuarantinedError(RequestError):
    """The request is refused because backend servers died while they ran it."""

    status = 422
    problem = "request-quarantined"

    def __init__(self, *, retry_after_s: float) -> None:
        super().__init__(
            what="backend servers died while they ran this request",
            mend="change the request, or ask an operator to lift the quarantine",
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
    """The instance that the request was forwarded to broke off."""

    status = 502
    problem = "peer-lost"
    retriable = True

    def __init__(self, *, peer: str, outcome: Outcome) -> None:
        super().__init__(what=f"instance {peer} broke off", outcome=outcome, retry_after_s=1.0)


#: Refusals of one instance that say nothing about what another one would do.
_LOCAL_REFUSALS = frozenset(
    {
        "backend-server-lost",
        "draining",
        "forbidden",
        "forwarding-loop",
        "invalid-answer",
        "no-backend-server",
        "overloaded",
        "peer-lost",
        "region-not-allowed",
    }
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
        self.retriable = problem in _LOCAL_REFUSALS
