"""Errors that end the handling of a request before anything of it was sent on."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

from figpaddle.errors import FigpaddleError
from figpaddle.http1 import Responder


class UnsentRequestError(FigpaddleError):
    """The handling of a request failed when nothing of it had been sent to a server or another entry.

    ``error`` is what was raised.
    """

    def __init__(self, *, error: Exception) -> None:
        super().__init__(what=f"not sent: {error!r}")
        self.error = error


@contextlib.contextmanager
def unsent_on_error(
    responder: Responder, *, may_have_run: Callable[[], bool] = lambda: False
) -> Iterator[None]:
    """Raise UnsentRequestError for an error, unless the request may have run or its answer has begun."""
    try:
        yield
    except Exception as error:
        if responder.started or may_have_run():
            raise
        raise UnsentRequestError(error=error) from error
