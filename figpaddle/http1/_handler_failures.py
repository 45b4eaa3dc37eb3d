"""What becomes of a request whose handler fails or doesn't answer."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from figpaddle.http1._messages import Headers, HttpRequest

#: Status that doesn't say whether a request has run.
UNANSWERED_STATUS = 502


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandlerFailure:
    """A handler that raised an error, or that returned without an answer."""

    request: HttpRequest
    #: The error; None if the handler returned.
    error: Exception | None
    #: Whether the head of a response had been sent.
    started: bool
    #: Whether the caller had closed its connection.
    caller_left: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailureResponse:
    """The head of the response to a request that its handler has left unanswered."""

    #: By default the request may have run.
    status: int = UNANSWERED_STATUS
    headers: Headers = ()


#: Notes a failure and returns the response to the request, if none had been started; None to reset the
#: connection.
FailureHandler = Callable[[HandlerFailure], FailureResponse | None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnansweredRequest:
    """A request that was read as a whole and got no byte of an answer, though its caller hadn't left."""

    request: HttpRequest
    #: What ended it.
    reason: str


#: Notes a request that ended without an answer.
UnansweredHandler = Callable[[UnansweredRequest], None]


def answer_as_unknown(failure: HandlerFailure) -> FailureResponse | None:
    """Return a response that promises nothing."""
    return FailureResponse()
