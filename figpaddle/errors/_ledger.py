"""Errors of the ledger of non-idempotent requests."""

from __future__ import annotations

from figpaddle.errors._coordination import StorageError
from figpaddle.errors._request import Outcome, RequestError


class ForeignFileError(StorageError):
    """A ledger file belongs to another slot or to a different list of slots."""


class KeyReusedError(RequestError):
    """The idempotency key was reused for a different request."""

    status = 409
    problem = "key-reused"

    def __init__(self) -> None:
        super().__init__(
            what="this idempotency key was used before for a different request",
            hint="use a new key for each request and the same key for its retries",
        )


class OutcomeUnknownError(RequestError):
    """An earlier attempt of the request is recorded, and whether it has run is unknown."""

    status = 409
    problem = "outcome-unknown"

    def __init__(self) -> None:
        super().__init__(
            what="an earlier attempt of this request has no recorded answer",
            outcome=Outcome.UNKNOWN,
            retry_after_s=1.0,
            hint="retry later with the same key; the request will not run twice",
        )


class AnswerNotKeptError(RequestError):
    """The request has run, but its answer was too large to store for replay."""

    status = 410
    problem = "answer-not-kept"

    def __init__(self) -> None:
        super().__init__(
            what="this request has run, but its answer was too large to store",
            outcome=Outcome.RAN,
        )


class LedgerUnavailableError(RequestError):
    """Too few ledger slots of the client's home region voted for the request."""

    status = 503
    problem = "ledger-unavailable"

    def __init__(self, *, home: str, outcome: Outcome, retry_after_s: float | None) -> None:
        super().__init__(
            what=f"the ledger of region {home} could not record the request",
            outcome=outcome,
            retry_after_s=retry_after_s,
            hint="retry with the same key",
        )
