"""Forwarding of requests to instances of other regions, both ends."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._exchange import AnswerHead, AnswerSink, BodySource, RequestHead
from figpaddle.daemon._peers import Channel, PeerNetwork
from figpaddle.errors import (
    DeadlineExceededError,
    ForwardRefusedError,
    MalformedMessageError,
    NoBackendServerError,
    Outcome,
    PeerLostError,
    PeerUnreachableError,
    RequestError,
)
from figpaddle.wire import (
    ForwardBody,
    ForwardFailed,
    ForwardHead,
    ForwardOpen,
    InstanceState,
)

Serve = Callable[[RequestHead, BodySource, AnswerSink], Awaitable[None]]


class Forwarder:
    """Sends requests to other regions."""

    def __init__(
        self,
        *,
        directory: InstanceDirectory,
        configuration: ConfigurationState,
        network: PeerNetwork,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._network = network
        self._rng = rng
        self._clock = clock

    async def forward(
        self, head: RequestHead, body: BodySource, sink: AnswerSink, *, region: str
    ) -> None:
        """Have an instance of ``region`` serve the request and pass its answer on."""
        peer = self._choose_instance(head, region)
        sent = False
        try:
            async with self._network.forward_channel(peer) as channel:
                sent = True
                await self._exchange(head, body, sink, channel)
        except PeerUnreachableError as error:
            if not sent:
                raise NoBackendServerError(service=head.service, retry_after_s=1.0) from error
            raise PeerLostError(peer=peer, outcome=Outcome.UNKNOWN) from error

    def _choose_instance(self, head: RequestHead, region: str) -> str:
        names = [
            info.name
            for info in self._directory.peers()
            if info.region == region
            and info.state is InstanceState.SERVING
            and info.name not in head.visited
        ]
        linked = [name for name in names if name in self._network.open_links]
        usable = linked or names
        if not usable:
            raise NoBackendServerError(service=head.service, retry_after_s=1.0)
        return self._rng.choice(usable)

    async def _exchange(
        self, head: RequestHead, body: BodySource, sink: AnswerSink, channel: Channel
    ) -> None:
        remaining = head.deadline_at - self._clock()
        with anyio.CancelScope(deadline=anyio.current_time() + remaining) as scope:
            await channel.send(self._open_message(head, remaining))
            async for chunk in body.chunks():
                await channel.send(ForwardBody(data=chunk, last=False))
            await channel.send(ForwardBody(data=b"", last=True))
            await self._relay_answer(sink, channel, scope)
        if scope.cancelled_caught:
            raise DeadlineExceededError(deadline_s=head.deadline_s, outcome=Outcome.UNKNOWN)

    async def _relay_answer(
        self, sink: AnswerSink, channel: Channel, scope: anyio.CancelScope
    ) -> None:
        first = await channel.receive()
        if isinstance(first, ForwardFailed):
            raise _refusal(first)
        if not isinstance(first, ForwardHead):
            raise MalformedMessageError(what="no head of an answer", where=channel.peer)
        scope.deadline = float("inf")
        await sink.start(
            AnswerHead(
                status=first.status,
                headers=first.headers,
                backend=first.backend,
                instance=first.instance,
                region=first.region,
            )
        )
        while True:
            piece = await channel.receive()
            if isinstance(piece, ForwardFailed):
                raise _refusal(piece)
            if not isinstance(piece, ForwardBody):
                raise MalformedMessageError(what="no body of an answer", where=channel.peer)
            if piece.data:
                await sink.write(piece.data)
            if piece.last:
                break
        await sink.finish()

    def _open_message(self, head: RequestHead, remaining_s: float) -> ForwardOpen:
        return ForwardOpen(
            request_id=head.request_id,
            member=head.member,
            client=head.client,
            service=head.service,
            method=head.method,
            target=head.target,
            headers=head.headers,
            visited=(*head.visited, self._directory.own.name),
            crossings=head.crossings + 1,
            deadline_s=remaining_s,
            configuration_revision=self._configuration.current.revision,
            idempotent=head.idempotent,
            priority=head.priority,
            prompt=head.prompt,
        )


def _refusal(failed: ForwardFailed) -> ForwardRefusedError:
    return ForwardRefusedError(
        status=failed.status,
        problem=failed.problem,
        what=failed.what,
        outcome=Outcome(failed.outcome),
        retry_after_s=failed.retry_after_s,
    )


class ForwardReceiver:
    """Serves requests that other instances forwarded."""

    def __init__(self, *, serve: Serve, clock: Callable[[], float]) -> None:
        self._serve = serve
        self._clock = clock

    async def handle(self, peer: str, channel: Channel) -> None:
        """Serve the next request on ``channel``; raises PeerUnreachableError at its end."""
        opened = await channel.receive()
        if not isinstance(opened, ForwardOpen):
            raise MalformedMessageError(what="a forward must open first", where=peer)
        body = _ChannelBody(channel=channel)
        sink = _ChannelSink(channel=channel)
        try:
            await self._serve(self._head(opened), body, sink)
        except RequestError as error:
            await channel.send(_failed(error))
        await body.discard_rest()

    def _head(self, opened: ForwardOpen) -> RequestHead:
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
            deadline_at=self._clock() + opened.deadline_s,
            deadline_s=opened.deadline_s,
            priority=opened.priority,
            prompt=opened.prompt,
            visited=opened.visited,
            crossings=opened.crossings,
        )


def _failed(error: RequestError) -> ForwardFailed:
    return ForwardFailed(
        status=error.status,
        problem=error.problem,
        what=error.what,
        outcome=error.outcome.value,
        retry_after_s=error.retry_after_s,
    )


class _ChannelBody(BodySource):
    """The body of a forwarded request, read from its connection."""

    def __init__(self, *, channel: Channel) -> None:
        self._channel = channel
        self._touched = False
        #: Whether the end mark has been read.
        self.ended = False

    @property
    def touched(self) -> bool:
        """Whether a part of the body was already taken."""
        return self._touched

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the pieces as they arrive."""
        self._touched = True
        while not self.ended:
            piece = await self._channel.receive()
            if not isinstance(piece, ForwardBody):
                raise MalformedMessageError(what="no body", where=self._channel.peer)
            self.ended = piece.last
            if piece.data:
                yield piece.data

    async def discard_rest(self) -> None:
        """Read what is left of the body, so that the connection can carry the next request."""
        async for _ in self.chunks():
            pass


class _ChannelSink(AnswerSink):
    """Sends the answer to a forwarded request back."""

    def __init__(self, *, channel: Channel) -> None:
        self._channel = channel
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the head of the answer has been sent."""
        return self._started

    async def start(self, head: AnswerHead) -> None:
        """Send the head of the answer."""
        self._started = True
        await self._channel.send(
            ForwardHead(
                status=head.status,
                headers=head.headers,
                backend=head.backend,
                instance=head.instance,
                region=head.region,
            )
        )

    async def write(self, data: bytes) -> None:
        """Send a piece of the answer."""
        await self._channel.send(ForwardBody(data=data, last=False))

    async def finish(self) -> None:
        """Send the end mark."""
        await self._channel.send(ForwardBody(data=b"", last=True))
