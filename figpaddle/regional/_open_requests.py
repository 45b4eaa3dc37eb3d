"""The requests that a process is handling, which can be interrupted before it ends."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from figpaddle.http1 import Responder


class OpenRequests:
    """Runs the handlers of requests so that each can be interrupted and its request still be answered."""

    def __init__(self) -> None:
        self._requests: set[_OpenRequest] = set()
        self._unanswered_interrupted = False
        self._all_interrupted = False

    @property
    def count(self) -> int:
        """Number of requests in progress."""
        return len(self._requests)

    async def run(self, responder: Responder, handle: Callable[[], Awaitable[None]]) -> bool:
        """Run a handler; return whether it was interrupted.

        After ``interrupt_unanswered`` a handler ends at the first point at which it waits, unless its answer
        has begun by then.
        """
        request = _OpenRequest(responder)
        self._requests.add(request)
        if self._unanswered_interrupted:
            request.interrupt_unanswered()
        if self._all_interrupted:
            request.interrupt()
        try:
            return await request.run(handle)
        finally:
            self._requests.remove(request)

    def interrupt_unanswered(self) -> int:
        """Interrupt the requests whose answers haven't begun, now and later; return their number."""
        self._unanswered_interrupted = True
        return sum([request.interrupt_unanswered() for request in self._requests])

    def interrupt_all(self) -> None:
        """Interrupt all requests, now and later, those too whose answers have begun."""
        self._all_interrupted = True
        for request in self._requests:
            request.interrupt()


class _OpenRequest:
    def __init__(self, responder: Responder) -> None:
        self._responder = responder
        self._until_answered = anyio.CancelScope()
        self._until_end = anyio.CancelScope()

    async def run(self, handle: Callable[[], Awaitable[None]]) -> bool:
        self._responder.on_start(self._shield_answer)
        try:
            with self._until_answered, self._until_end:
                await handle()
        finally:
            self._responder.on_start(None)
        return self._until_answered.cancelled_caught or self._until_end.cancelled_caught

    def interrupt_unanswered(self) -> bool:
        if self._responder.started:
            return False
        self._until_answered.cancel()
        return True

    def interrupt(self) -> None:
        self._until_end.cancel()

    def _shield_answer(self) -> None:
        # A handler that has been woken up runs on before its interruption reaches it. The shield keeps the
        # end of the caller's connection from it too, so answers that no interruption can reach get none.
        if self._until_answered.cancel_called:
            self._until_end.shield = True
