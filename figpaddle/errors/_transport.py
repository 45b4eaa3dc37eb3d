"""Errors of HTTP connections."""

from __future__ import annotations

from figpaddle.errors._base import FigpaddleError


class TransportError(FigpaddleError):
    """An HTTP exchange did not complete as the protocol requires."""


class ConnectFailedError(TransportError):
    """A connection could not be opened, so nothing was sent."""


class ConnectionLostError(TransportError):
    """The peer closed or reset the connection before the exchange was complete.

    ``reset`` distinguishes a reset from an orderly close; ``received`` tells whether any byte had
    been received.
    """

    def __init__(self, *, where: str, reset: bool, received: bool) -> None:
        super().__init__(what="reset" if reset else "closed before the end", where=where)
        self.reset = reset
        self.received = received


class MalformedAnswerError(TransportError):
    """The received bytes are not a valid HTTP response to the request."""


class AnswerTooLargeError(MalformedAnswerError):
    """An answer, or a part of one that has to be read as a whole, exceeds its limit."""


class MalformedRequestError(TransportError):
    """A caller sent an invalid HTTP request, or one that exceeds the limits.

    ``status`` is the HTTP status code of the response.
    """

    def __init__(self, *, what: str, status: int) -> None:
        super().__init__(what=what, where="request")
        self.status = status
