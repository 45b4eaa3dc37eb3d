"""The requests that a port is serving, which a planned stop may end."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Protocol

import anyio

from figpaddle.daemon._outcome_tracker import OutcomeTracker
from figpaddle.errors import DrainingError, DrainTimeoutError, Outcome, RequestError


class TrackedSink(Protocol):
    """Sends the response to a request in progress."""

    #: Called when sending the head starts.
    on_start: Callable[[], None]

    @property
    def started(self) -> bool:
        """Whether sending the head has started."""


class InFlightRequests:
    """Ends requests in progress, each with an error that states its outcome."""

    def __init__(self, *, instance: str) -> None:
        self._instance = instance
        self._requests: set[_InFlightRequest] = set()

    @contextlib.contextmanager
    def track(self, sink: TrackedSink | None = None) -> Iterator[OutcomeTracker]:
        """Serve a request in the block; raises RequestError if it is ended meanwhile.

        Without a sink, one whose answer has begun is ended like all others.
        """
        tracker = OutcomeTracker()
        request = _InFlightRequest(sink)
        self._requests.add(request)
        try:
            with request.until_answered, request.until_end:
                yield tracker
        finally:
            self._requests.discard(request)
        if request.is_ended:
            raise self._interruption(tracker.outcome)

    def end_unanswered(self) -> None:
        """End the requests in progress whose answers haven't begun."""
        for request in tuple(self._requests):
            request.end_unanswered()

    def end_all(self) -> None:
        """End all requests in progress."""
        for request in tuple(self._requests):
            request.until_end.cancel()

    def _interruption(self, outcome: Outcome) -> RequestError:
        if outcome is Outcome.NOT_RUN:
            return DrainingError(instance=self._instance)
        return DrainTimeoutError(instance=self._instance)


class _InFlightRequest:
    def __init__(self, sink: TrackedSink | None) -> None:
        self._sink = sink
        self.until_answered = anyio.CancelScope()
        self.until_end = anyio.CancelScope()
        if sink is not None:
            sink.on_start = self._shield_answer

    @property
    def is_ended(self) -> bool:
        return self.until_answered.cancelled_caught or self.until_end.cancelled_caught

    def end_unanswered(self) -> None:
        if self._sink is None or not self._sink.started:
            self.until_answered.cancel()

    def _shield_answer(self) -> None:
        # A task that has been woken up runs on before its cancellation reaches it.
        if self.until_answered.cancel_called:
            self.until_end.shield = True
