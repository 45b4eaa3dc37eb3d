"""The sending end of requests forwarded between regions."""

from __future__ import annotations

import contextlib
import random
from collections.abc import AsyncIterator, Callable, Iterator

import anyio

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._channel import Channel
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.daemon._request_response import BodySource, RequestHead, ResponseHead, ResponseSink
from figpaddle.daemon._response_deadline import ResponseDeadline
from figpaddle.errors import (
    DeadlineExceededError,
    ForwardRefusedError,
    MalformedMessageError,
    NoBackendServerError,
    Outcome,
    PeerLostError,
    RequestError,
    WireError,
)
from figpaddle.routing import boot_time
from figpaddle.wire import (
    ForwardAlive,
    ForwardAsk,
    ForwardBody,
    ForwardFailed,
    ForwardHead,
    ForwardOpen,
    InstanceState,
    Message,
)

#: Timeout for the receiver to accept a request that can be sent elsewhere, seconds.
ACCEPT_TIMEOUT_S = 1.5
#: Longest time without a message from a receiver, seconds.
SILENCE_TIMEOUT_S = 4.0
#: Largest part of a body in one message, bytes.
MAX_CHUNK_BYTES = 256 * 1024

#: Called with the error by which a forward that isn't accepted in time would end, and whether its retry
#: has to go to another region or a backend server of the own one. A retry may begin beside it.
BeginRetry = Callable[[PeerLostError, bool], None]


class Forwarder:
    """Forwards requests to instances of other regions."""

    def __init__(
        self,
        *,
        directory: InstanceDirectory,
        configuration: ConfigurationState,
        network: PeerNetwork,
        rng: random.Random,
        clock: Callable[[], float],
        boot_clock: Callable[[], float] = boot_time,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._network = network
        self._rng = rng
        self._clock = clock
        self._boot_clock = boot_clock
        #: Latest known configuration digest of each peer.
        self._peer_configurations: dict[str, str] = {}

    async def forward(
        self,
        head: RequestHead,
        body: BodySource,
        sink: ResponseSink,
        *,
        region: str,
        tried: set[str],
        on_sending: Callable[[], None],
        begin_retry: BeginRetry,
        on_accepted: Callable[[], None] = lambda: None,
    ) -> None:
        """Forward the request to an instance of ``region`` and stream its response to ``sink``.

        A peer that may have another configuration first has to accept the request without its
        content, so that no content reaches a region where it isn't allowed. Non-idempotent requests
        always take this step.

        An instance in ``tried`` is chosen only if there is no other; the choice is added to it.
        ``on_sending`` is called before the receiver may begin the request, and may raise an error so that it
        isn't sent. ``begin_retry`` is called if it isn't accepted in time; it is given up only after a
        longer silence. ``on_accepted`` is called with the first message of the receiver.
        """
        peer = self._choose_instance(head, region, tried)
        tried.add(peer)
        tracked_body = _TrackedBody(body, on_sending)
        try:
            with self._within_deadline(head, tracked_body) as deadline:
                async with self._network.forward_channel(peer) as channel:
                    # A connection that was opened just now is no more silent than another one.
                    only_elsewhere = not (
                        channel.was_idle or self.has_untried_instance(head, region, tried)
                    )

                    def note_overdue() -> None:
                        # The retry may go to the same peer.
                        self._network.drop_idle_channels(peer)
                        error = PeerLostError(peer=peer, outcome=tracked_body.outcome)
                        begin_retry(error, only_elsewhere)

                    reader = _ResponseReader(
                        channel=channel,
                        request_id=head.request_id,
                        note_overdue=note_overdue,
                        on_accepted=on_accepted,
                    )
                    await self._send_and_receive(
                        head, tracked_body, sink, channel, reader, deadline
                    )
        except WireError as error:
            self._network.drop_idle_channels(peer)
            raise PeerLostError(peer=peer, outcome=tracked_body.outcome) from error
        except RequestError as error:
            if tracked_body.outcome is Outcome.UNKNOWN and not isinstance(
                error, ForwardRefusedError
            ):
                error.outcome = Outcome.UNKNOWN
            raise

    @contextlib.contextmanager
    def _within_deadline(
        self, head: RequestHead, tracked_body: _TrackedBody
    ) -> Iterator[ResponseDeadline]:
        with ResponseDeadline(remaining_s=head.deadline_at - self._clock()) as deadline:
            yield deadline
        if deadline.passed:
            raise DeadlineExceededError(deadline_s=head.deadline_s, outcome=tracked_body.outcome)

    def has_untried_instance(self, head: RequestHead, region: str, tried: set[str]) -> bool:
        """Return whether the request may be forwarded to an instance of ``region`` not in ``tried``."""
        return any(name not in tried for name in self._instances(head, region))

    def _instances(self, head: RequestHead, region: str) -> list[str]:
        return [
            info.name
            for info in self._directory.peers()
            if info.region == region
            and info.state is InstanceState.SERVING
            and info.name not in head.visited
        ]

    def _choose_instance(self, head: RequestHead, region: str, tried: set[str]) -> str:
        names = self._instances(head, region)
        names = [name for name in names if name not in tried] or names
        names_with_link = [name for name in names if name in self._network.open_links]
        candidates = names_with_link or names
        if not candidates:
            raise NoBackendServerError(service=head.service, retry_after_s=1.0)
        return self._rng.choice(candidates)

    async def _send_and_receive(
        self,
        head: RequestHead,
        body: _TrackedBody,
        sink: ResponseSink,
        channel: Channel,
        reader: _ResponseReader,
        deadline: ResponseDeadline,
    ) -> None:
        same_configuration = (
            self._peer_configurations.get(channel.peer) == self._configuration.digest
        )
        if not (same_configuration and head.idempotent):
            await channel.send(self._ask_message(head))
            await reader.wait_accepted()
        remaining = head.deadline_at - self._clock()
        await channel.send(self._open_message(head, remaining))
        async for chunk in body.chunks():
            for start in range(0, len(chunk), MAX_CHUNK_BYTES):
                piece = chunk[start : start + MAX_CHUNK_BYTES]
                await channel.send(ForwardBody(data=piece, last=False))
        await channel.send(ForwardBody(data=b"", last=True))
        response_head = await reader.head()
        self._peer_configurations[channel.peer] = reader.configuration
        deadline.lift()
        await sink.start(response_head)
        async for data in reader.chunks():
            await sink.write(data)
        await sink.finish()

    def _ask_message(self, head: RequestHead) -> ForwardAsk:
        return ForwardAsk(
            request_id=head.request_id,
            member=head.member,
            service=head.service,
            visited=(*head.visited, self._directory.own.name),
            crossings=head.crossings + 1,
        )

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
            spilled=head.spilled,
            sent_at_s=self._boot_clock(),
            incarnation=self._directory.own.incarnation,
        )


class _TrackedBody:
    """Passes a body on and tracks the outcome of the request in case of a failure."""

    def __init__(self, body: BodySource, on_sending: Callable[[], None]) -> None:
        self._body = body
        self._on_sending = on_sending
        #: Outcome if the exchange fails now. The receiver doesn't start the request before it has
        #: received a part of the body or its end.
        self.outcome = Outcome.NOT_RUN

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body in order."""
        self._on_sending()
        self.outcome = Outcome.UNKNOWN
        async for chunk in self._body.chunks():
            yield chunk


class _ResponseReader:
    """Reads the response to one forwarded request and rejects any other message."""

    def __init__(
        self,
        *,
        channel: Channel,
        request_id: str,
        note_overdue: Callable[[], None],
        on_accepted: Callable[[], None],
    ) -> None:
        self._channel = channel
        self._request_id = request_id
        self._note_overdue = note_overdue
        self._on_accepted = on_accepted
        self._accepted = False
        #: Latest known configuration digest of the receiver.
        self.configuration = ""

    async def wait_accepted(self) -> None:
        """Wait until the receiver accepts the request; raises ForwardRefusedError."""
        if not isinstance(await self._receive(), ForwardAlive):
            raise MalformedMessageError(what="expected ForwardAlive", where=self._channel.peer)

    async def head(self) -> ResponseHead:
        """Return the head of the response; raises ForwardRefusedError."""
        message = await self._receive_content()
        if not isinstance(message, ForwardHead) or message.request_id != self._request_id:
            raise MalformedMessageError(
                what="expected ForwardHead for the request", where=self._channel.peer
            )
        return ResponseHead(
            status=message.status,
            headers=message.headers,
            backend=message.backend,
            instance=message.instance,
            region=message.region,
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the response's body."""
        while True:
            message = await self._receive_content()
            if not isinstance(message, ForwardBody):
                raise MalformedMessageError(what="expected ForwardBody", where=self._channel.peer)
            if message.data:
                yield message.data
            if message.last:
                return

    async def _receive_content(self) -> Message:
        while True:
            message = await self._receive()
            if not isinstance(message, ForwardAlive):
                return message

    async def _receive(self) -> Message:
        while True:
            message = await self._receive_any()
            if isinstance(message, ForwardAlive):
                if message.request_id != self._request_id:
                    continue
                self.configuration = message.configuration
            if not self._accepted:
                self._accepted = True
                self._on_accepted()
            if isinstance(message, ForwardFailed):
                raise _refusal(message)
            return message

    async def _receive_any(self) -> Message:
        if self._accepted:
            return await self._channel.receive_within(SILENCE_TIMEOUT_S)
        with anyio.move_on_after(ACCEPT_TIMEOUT_S):
            return await self._channel.receive()
        self._note_overdue()
        return await self._channel.receive_within(SILENCE_TIMEOUT_S - ACCEPT_TIMEOUT_S)


def _refusal(failed: ForwardFailed) -> ForwardRefusedError:
    return ForwardRefusedError(
        status=failed.status,
        problem=failed.problem,
        what=failed.what,
        outcome=Outcome(failed.outcome),
        retry_after_s=failed.retry_after_s,
    )
