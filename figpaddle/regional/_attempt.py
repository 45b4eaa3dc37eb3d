"""One attempt of a request at one place."""

from __future__ import annotations

from collections.abc import Callable

from figpaddle.regional._exchange import Exchange
from figpaddle.regional._request_context import AttemptOutcome, AttemptResult
from figpaddle.routing import Choice

#: Result of an attempt that this process ended, which says nothing of the server.
WITHDRAWN = AttemptResult(
    outcome=AttemptOutcome.UNKNOWN, reason="ended by this process", own_cause=True
)


class Attempt:
    """An attempt that counts at the place in ``choice`` from now on until it ends.

    ``note_end`` records the result, ``WITHDRAWN`` included, and returns it with what it adds.
    """

    def __init__(
        self,
        *,
        choice: Choice,
        exchange: Exchange,
        note_end: Callable[[AttemptResult], AttemptResult],
    ) -> None:
        self._choice = choice
        self._exchange = exchange
        self._note_end = note_end
        self._ended = False

    @property
    def choice(self) -> Choice:
        """The place of the attempt."""
        return self._choice

    @property
    def may_have_arrived(self) -> bool:
        """Whether a part of the request was sent at least."""
        return self._exchange.may_have_arrived

    @property
    def is_accepted(self) -> bool:
        """Whether the place has shown that it takes the request, while the attempt was begun."""
        return self._exchange.is_accepted

    async def begin(self, *, timeout_s: float) -> AttemptResult | None:
        """Send the request; return a result if the attempt fails within ``timeout_s``.

        Otherwise ``run`` goes on with it. Raises CallerGoneError.
        """
        result = await self._exchange.begin(timeout_s=timeout_s)
        return None if result is None else self._end(result)

    async def run(self) -> AttemptResult:
        """Relay the answer and return the result; raises CallerGoneError."""
        try:
            return self._end(await self._exchange.run())
        finally:
            if not self._ended:
                self.withdraw()

    def withdraw(self) -> AttemptResult:
        """End the attempt before it has a result."""
        self._exchange.abandon()
        return self._end(WITHDRAWN)

    def _end(self, result: AttemptResult) -> AttemptResult:
        self._ended = True
        return self._note_end(result)
