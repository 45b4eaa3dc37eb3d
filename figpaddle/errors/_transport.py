"""Failures of a connection that carries HTTP."""

from __future__ import annotations

from figpaddle.errors._base import FigpaddleError


class TransportError(FigpaddleError):
    """An exchange over a connection did not end as HTTP says."""


class ConnectFailedError(TransportError):
    """No connection could be opened, so nothing was sent."""


class ConnectionLostError(TransportError):
    """The other side closed or reset the connection before the exchange was complete.

    ``reset`` tells a reset from an orderly close, ``received`` whether any byte of an answer had
    come.
    """

    def __init__(self, *, where: str, reset: bool, received: bool) -> None:
        super().__init__(what="reset" if reset else "closed before the end", where=where)
        self.reset = reset
        self.received = received


class MalformedAnswerError(TransportError):
    """The bytes received are not an answer to the request sent."""


class MalformedRequestError(TransportError):
    """A caller sent bytes that are not a request, or more than the limits allow.

    ``status`` is the HTTP status that tells the caller why.
    """

    def __init__(self, *, what: str, status: int) -> None:
        super().__init__(what=what, where="request")
        self.status = status
