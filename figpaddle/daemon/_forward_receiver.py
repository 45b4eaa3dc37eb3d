"""The receiving end of requests forwarded between regions."""

from __future__ import annotations

import contextlib
import math
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio

from figpaddle.daemon._channel import AcceptedChannel
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._fault_reporter import FaultReporter
from figpaddle.daemon._in_flight import InFlightRequests
from figpaddle.daemon._outcome_tracker import OutcomeTracker
from figpaddle.daemon._request_response import BodySource, RequestHead, ResponseHead, ResponseSink
from figpaddle.errors import (
    DeadlineExceededError,
    MalformedMessageError,
    Outcome,
    PeerUnreachableError,
    RequestError,
    WireError,
)
from figpaddle.routing import TransitTimes, boot_time
from figpaddle.wire import (
    ForwardAlive,
    ForwardAsk,
    ForwardBody,
    ForwardFailed,
    ForwardHead,
    ForwardOpen,
)

#: Interval at which a receiver reports that it is still processing a request, seconds.
ALIVE_INTERVAL_S = 1.0
#: Longest wait for the next chunk of a forwarded request's body, seconds.
BODY_IDLE_TIMEOUT_S = 30.0
#: Longest wait for a peer to read the end of a response, seconds.
DELIVERY_TIMEOUT_S = 30.0
#: Longest time without a byte from a sender that waits for a response, seconds; it pings meanwhile.
SENDER_SILENCE_TIMEOUT_S = 4.0
#: Time without a request after which the receiver closes a channel, seconds.
UNUSED_CHANNEL_TIMEOUT_S = 15.0
#: Interval at which peers that no longer forward requests are forgotten, seconds.
TRANSITS_EXPIRY_INTERVAL_S = 60.0

ServeRequest = Callable[[RequestHead, BodySource, ResponseSink, OutcomeTracker], Awaitable[None]]
#: Called with member, service, visited instances and number of crossings between regions; raises
#: RequestError if the request may not be served here.
PermissionCheck = Callable[[str, str, tuple[str, ...], int], object]


class ForwardReceiver:
    """Serves requests that other instances forwarded."""

    def __init__(
        self,
        *,
        instance: str,
        serve: ServeRequest,
        check_permitted: PermissionCheck,
        configuration: ConfigurationState,
        faults: FaultReporter,
        clock: Callable[[], float],
        boot_clock: Callable[[], float] = boot_time,
    ) -> None:
        self._serve = serve
        self._check_permitted = check_permitted
        self._configuration = configuration
        self._faults = faults
        self._in_flight = InFlightRequests(instance=instance)
        self._clock = clock
        self._boot_clock = boot_clock
        self._transits = TransitTimes()
        self._transits_expire_at = boot_clock() + TRANSITS_EXPIRY_INTERVAL_S
        #: Number of forwarded requests whose response was not delivered to the peer yet.
        self.in_progress = 0

    def end_unanswered_requests(self) -> None:
        """End the requests whose answers haven't begun; their senders are told the outcome."""
        self._in_flight.end_unanswered()

    def end_requests(self) -> None:
        """End all requests in progress; their senders are told the outcome."""
        self._in_flight.end_all()

    async def handle(self, peer: str, channel: AcceptedChannel) -> None:
        """Serve the next request on ``channel``.

        Raises PeerUnreachableError if the channel is closed or stays unused.
        """
        opened = await channel.receive_within(UNUSED_CHANNEL_TIMEOUT_S)
        if isinstance(opened, ForwardAsk):
            await self._answer_ask(opened, channel)
            return
        if not isinstance(opened, ForwardOpen):
            raise MalformedMessageError(what="expected ForwardAsk or ForwardOpen", where=peer)
        head = self._head(opened, left_s=opened.deadline_s - self._delay_s(peer, opened))
        self.in_progress += 1
        try:
            await self._serve_opened(head, channel)
        finally:
            self.in_progress -= 1

    async def _serve_opened(self, head: RequestHead, channel: AcceptedChannel) -> None:
        body = _ChannelBody(channel=channel)
        sink = _ChannelSink(channel=channel, request_id=head.request_id)
        failure: Exception | None = None
        try:
            with self._in_flight.track(sink) as tracker:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._keep_alive, channel, head.request_id)
                    tasks.start_soon(_close_when_silent, channel)
                    tasks.start_soon(_cancel_when_closed, channel, tasks.cancel_scope)
                    try:
                        self._check_in_time(head)
                        await self._serve(head, body, sink, tracker)
                    except Exception as error:  # noqa: BLE001
                        failure = error
                    tasks.cancel_scope.cancel()
        except RequestError as interruption:
            failure = interruption
        if isinstance(failure, WireError):
            raise failure
        if failure is not None and not sink.finished:
            reported = self._faults.request_error(failure, request_id=head.request_id)
            await channel.send(_failure_message(reported))
        await body.discard_rest()
        await channel.wait_delivered(DELIVERY_TIMEOUT_S)

    async def _answer_ask(self, ask: ForwardAsk, channel: AcceptedChannel) -> None:
        try:
            self._check_permitted(ask.member, ask.service, ask.visited, ask.crossings)
        except RequestError as error:
            await channel.send(_failure_message(error))
        else:
            await channel.send(self._alive_message(ask.request_id))

    def _alive_message(self, request_id: str) -> ForwardAlive:
        return ForwardAlive(request_id=request_id, configuration=self._configuration.digest)

    async def _keep_alive(self, channel: AcceptedChannel, request_id: str) -> None:
        with contextlib.suppress(PeerUnreachableError):
            while True:
                await channel.send(self._alive_message(request_id))
                await anyio.sleep(ALIVE_INTERVAL_S)

    def _delay_s(self, peer: str, opened: ForwardOpen) -> float:
        """Return how much later than usual a request has come, seconds.

        A pause of this process counts too: its caller waits meanwhile.
        """
        if opened.sent_at_s is None or not math.isfinite(opened.sent_at_s):
            return 0.0
        now = self._boot_clock()
        if now >= self._transits_expire_at:
            self._transits_expire_at = now + TRANSITS_EXPIRY_INTERVAL_S
            self._transits.expire(now=now)
        return self._transits.note(
            (peer, opened.incarnation),
            sent_at=opened.sent_at_s,
            received_after=now,
            received_at=now,
        )

    def _check_in_time(self, head: RequestHead) -> None:
        """Raise DeadlineExceededError if the deadline has passed on the way: its caller has left."""
        if self._clock() >= head.deadline_at:
            raise DeadlineExceededError(deadline_s=head.deadline_s, outcome=Outcome.NOT_RUN)

    def _head(self, opened: ForwardOpen, *, left_s: float) -> RequestHead:
        return RequestHead(
            request_id=opened.request_id,
            member=opened.member,
            client=opened.client,
            home="",
            service=opened.service,
            method=opened.method,
            target=opened.target,
            headers=opened.headers,
            idempotent=opened.idempotent,
            idempotency_key=None,
            deadline_at=self._clock() + left_s,
            deadline_s=opened.deadline_s,
            priority=opened.priority,
            prompt=opened.prompt,
            spilled=opened.spilled,
            visited=opened.visited,
            crossings=opened.crossings,
        )


async def _close_when_silent(channel: AcceptedChannel) -> None:
    """Close the channel if its sender can't be reached: no close of the sender would arrive."""
    await channel.wait_silent(SENDER_SILENCE_TIMEOUT_S)
    channel.abort()


async def _cancel_when_closed(channel: AcceptedChannel, scope: anyio.CancelScope) -> None:
    await channel.wait_closed()
    scope.cancel()


def _failure_message(error: RequestError) -> ForwardFailed:
    return ForwardFailed(
        status=error.status,
        problem=error.problem,
        what=error.what,
        outcome=error.outcome.value,
        retry_after_s=error.retry_after_s,
    )


class _ChannelBody(BodySource):
    """The body of a forwarded request, read from its channel."""

    def __init__(self, *, channel: AcceptedChannel) -> None:
        self._channel = channel
        self._read_started = False
        #: Whether the whole body has been read.
        self.ended = False

    @property
    def read_started(self) -> bool:
        """Whether reading the body has started."""
        return self._read_started

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks as they arrive."""
        self._read_started = True
        while not self.ended:
            message = await self._channel.receive_within(BODY_IDLE_TIMEOUT_S)
            if not isinstance(message, ForwardBody):
                raise MalformedMessageError(what="expected ForwardBody", where=self._channel.peer)
            self.ended = message.last
            if message.data:
                yield message.data

    async def discard_rest(self) -> None:
        """Read the rest of the body, so that the channel can carry the next request."""
        async for _ in self.chunks():
            pass


class _ChannelSink(ResponseSink):
    """Sends the response to a forwarded request back to the peer."""

    def __init__(self, *, channel: AcceptedChannel, request_id: str) -> None:
        self._channel = channel
        self._request_id = request_id
        self._started = False
        #: Whether sending the end of the body has started.
        self.finished = False
        #: Called when sending the head starts.
        self.on_start: Callable[[], None] = lambda: None

    @property
    def started(self) -> bool:
        """Whether sending the head has started."""
        return self._started

    async def start(self, head: ResponseHead) -> None:
        """Send the head of the response."""
        self._started = True
        self.on_start()
        await self._channel.send(
            ForwardHead(
                status=head.status,
                headers=head.headers,
                backend=head.backend,
                instance=head.instance,
                region=head.region,
                request_id=self._request_id,
            )
        )

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self._channel.send(ForwardBody(data=data, last=False))

    async def finish(self) -> None:
        """Send the end of the body."""
        self.finished = True
        await self._channel.send(ForwardBody(data=b"", last=True))
