"""The next attempts of a request, begun beside one whose receiver is silent."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from figpaddle.daemon._request_response import ResponseHead, ResponseSink

#: Time for which two attempts may be in progress once the second one was sent, seconds. Covers the round
#: trip of a refusal between regions.
OVERLAP_S = 0.25

#: Sends a request; called with the sink of its response.
RunAttempt = Callable[[ResponseSink], Awaitable[None]]


class AttemptWithdrawnError(Exception):
    """An attempt isn't sent, as its rival goes on."""


class Takeover:
    """Runs an attempt, and others beside it once its receiver is overdue.

    The first response that begins is passed on, and ends the other attempt. The present attempt also
    ends once another one was sent and not refused for ``OVERLAP_S``; if it is refused before, the
    present one goes on, as it does if its receiver accepts it before another one was sent. A present attempt
    that only asked its receiver for acceptance isn't sent while another one is.
    """

    def __init__(self, *, sink: ResponseSink) -> None:
        self._overdue = anyio.Event()
        self._present = _Contender(sink=sink)
        self._following = _Contender(sink=sink)
        self._present.rival = self._following
        self._following.rival = self._present
        #: Set once the other attempt in progress was sent.
        self._sent = anyio.Event()
        #: Whether the receiver of the present attempt has accepted it before another one was sent.
        self._goes_on = False
        #: Whether another one may have run a request that may run only once.
        self._is_over = False
        self._errors: list[Exception] = []

    @property
    def begun(self) -> bool:
        """Whether another attempt was begun."""
        return self._overdue.is_set()

    def begin(self) -> None:
        """Let another attempt begin: the receiver of the present one is overdue."""
        self._overdue.set()

    def note_accepted(self) -> None:
        """Record that the receiver of the present attempt has accepted it."""
        if self.begun and not self._sent.is_set():
            self._goes_on = True
            self._following.scope.cancel()

    def check_sending(self) -> None:
        """Raise AttemptWithdrawnError if the present attempt may not be sent, as another one was."""
        if self._is_over or self._sent.is_set():
            raise AttemptWithdrawnError

    def end_present(self) -> None:
        """End the present attempt: another one may have run a request that may run only once."""
        self._is_over = True
        self._present.scope.cancel()

    async def run(self, present: RunAttempt, following: RunAttempt) -> None:
        """Run ``present``, and ``following`` once ``begin`` was called.

        Raises the later error if no attempt succeeds.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow, following)
            await self._compete(self._present, present)
            if not self.begun:
                tasks.cancel_scope.cancel()
        if self._errors and not (self._present.succeeded or self._following.succeeded):
            raise self._errors[-1]

    async def offer(self, attempt: Callable[[Callable[[], None]], Awaitable[None]]) -> None:
        """Run another attempt, called with what it calls as it is sent; raises its error."""
        self._sent = anyio.Event()
        failure: Exception | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._end_present, self._sent)
            try:
                await attempt(self._note_sent)
            except Exception as error:  # noqa: BLE001
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            self._sent = anyio.Event()
            raise failure

    def _note_sent(self) -> None:
        # A cancelled attempt still runs to where it waits next.
        if self._goes_on:
            raise AttemptWithdrawnError
        self._sent.set()

    async def _end_present(self, sent: anyio.Event) -> None:
        await sent.wait()
        await anyio.sleep(OVERLAP_S)
        if not self._present.answered:
            self._present.scope.cancel()

    async def _follow(self, following: RunAttempt) -> None:
        await self._overdue.wait()
        await self._compete(self._following, following)

    async def _compete(self, contender: _Contender, attempt: RunAttempt) -> None:
        with contender.scope:
            try:
                await attempt(contender)
                contender.succeeded = True
            except AttemptWithdrawnError as error:
                # The error of its rival tells how the request ended.
                self._errors.insert(0, error)
            except Exception as error:  # noqa: BLE001
                # The other attempt may still succeed.
                self._errors.append(error)


class _Contender(ResponseSink):
    """Passes the response to one attempt on, unless that to its rival has begun before."""

    def __init__(self, *, sink: ResponseSink) -> None:
        self._sink = sink
        #: Ends the attempt.
        self.scope = anyio.CancelScope()
        #: Whether the response to the attempt has begun.
        self.answered = False
        #: Whether the attempt has ended without an error.
        self.succeeded = False
        #: The other attempt.
        self.rival: _Contender = self

    @property
    def started(self) -> bool:
        """Whether the head of a response was passed on."""
        return self._sink.started

    async def start(self, head: ResponseHead) -> None:
        """End the rival and pass the head on."""
        if self.scope.cancel_called:
            await anyio.sleep_forever()
        self.answered = True
        self.rival.scope.cancel()
        await self._sink.start(head)

    async def write(self, data: bytes) -> None:
        """Pass a chunk of the body on."""
        await self._sink.write(data)

    async def finish(self) -> None:
        """Pass the end on."""
        await self._sink.finish()
