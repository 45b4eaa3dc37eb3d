"""Failures of non-idempotent requests that the ledger finds."""

from __future__ import annotations

from figpaddle.errors._coordination import StorageError
from figpaddle.errors._request import Outcome, RequestError


class ForeignFileError(StorageError):
    """A file belongs to another slot or to another list of slots."""


class KeyReusedError(RequestError):
    """The idempotency key was used before for another request."""

    status = 409
    problem = "key-reused"

    def __init__(self) -> None:
        super().__init__(
            what="this key was used before for another request",
            mend="use a new key for each request and keep it when sending again",
        )


class OutcomeUnknownError(RequestError):
    """The request was begun before, and whether it has run is not known."""

    status = 409
    problem = "outcome-unknown"

    def __init__(self) -> None:
        super().__init__(
            what="this request was begun before and has no recorded answer",
            outcome=Outcome.UNKNOWN,
            retry_after_s=1.0,
            mend="send it again later with the same key; it will not run twice",
        )


class AnswerNotKeptError(RequestError):
    """The request has run, and its answer was too large to be kept."""

    status = 410
    problem = "answer-not-kept"

    def __init__(self) -> None:
        super().__init__(
            what="this request has run and its answer was too large to keep", outcome=Outcome.RAN
        )


class LedgerUnavailableError(RequestError):
    """Too few holders of the client's home region could vote."""

    status = 503
    problem = "ledger-unavailable"

    def __init__(self, *, home: str, outcome: Outcome, retry_after_s: float | None) -> None:
        super().__init__(
            what=f"the ledger of region {home} could not record the request",
            outcome=outcome,
            retry_after_s=retry_after_s,
            mend="send it again with the same key",
        )
