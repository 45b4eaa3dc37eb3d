"""HTTP client: pooled connections to backend servers and other instances."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import AsyncIterator, Callable

import h11

from figpaddle.errors import AnswerTooLargeError, ConnectionLostError, MalformedAnswerError
from figpaddle.http1._body_parts import BodyParts
from figpaddle.http1._channel import Channel, PeerClose, connect
from figpaddle.http1._client_parser import ClientParser
from figpaddle.http1._messages import Headers, header, joined_parts
from figpaddle.http1._plain_heads import PlainResponseHead

#: Highest status code of HTTP; the parser takes three digits.
MAX_STATUS = 599
#: Number of discarded responses to other requests after which an exchange fails.
MAX_MISMATCHED_RESPONSES = 4
#: Largest size of the body of a discarded response, bytes.
MAX_DISCARDED_BODY_BYTES = 256 * 1024
#: Number of interim responses (1xx) before a response after which an exchange fails.
MAX_INTERIM_RESPONSES = 8
#: Time for which an idle connection is kept if the server announces no timeout, seconds.
DEFAULT_IDLE_TIMEOUT_S = 8.0
#: Fraction of the server's idle timeout during which a connection is reused; the rest is a margin
#: for a request that is still in transit when the server closes the connection.
IDLE_TIMEOUT_FRACTION = 0.6
#: Largest number of idle connections kept for each address.
MAX_IDLE_PER_ADDRESS = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status and header fields of a response."""

    #: HTTP status code.
    status: int
    #: Header fields in their order.
    headers: Headers


class HttpClientConnection:
    """A client connection, used for one exchange at a time.

    An exchange consists of ``send``, ``read_head`` and ``read_body``. ``reusable`` tells
    afterwards whether the connection may be used for another one.
    """

    def __init__(self, *, channel: Channel, opened_at: float) -> None:
        self._channel = channel
        self._parser = ClientParser()
        self._idle_deadline = opened_at + DEFAULT_IDLE_TIMEOUT_S
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._exchange_complete = True
        self._must_close = False
        self._ends_with_connection = False
        self._exchange_count = 0
        self._refused_requests: set[str] = set()
        self._received_before = 0

    @property
    def channel(self) -> Channel:
        """The TCP connection."""
        return self._channel

    @property
    def first_use(self) -> bool:
        """Whether the current exchange is the first on this connection."""
        return self._exchange_count <= 1

    def note_refused(self, request_id: str) -> None:
        """Record that the server refused a request on this connection.

        It may write the refusal once more, which would look like the answer if that request were sent
        here again.
        """
        self._refused_requests.add(request_id)

    def has_refused(self, request_id: str) -> bool:
        """Return whether the server refused a request on this connection."""
        return request_id in self._refused_requests

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body of the last response has neither a length nor chunks.

        It is complete when the server closes the connection, so that a server which crashes may
        leave a body that looks complete.
        """
        return self._ends_with_connection

    @property
    def reusable(self) -> bool:
        """Whether the last exchange ended cleanly and the connection may be used for another."""
        is_open = self._channel.peer_close is None and not self._channel.closed
        return (
            is_open
            and self._exchange_complete
            and not self._must_close
            and self._channel.unread_bytes == 0
        )

    def has_input(self) -> bool:
        """Return whether bytes or the end of the connection can be read, as the kernel knows now."""
        self._channel.read_now()
        return self._channel.unread_bytes > 0 or self._channel.peer_close is not None

    def mark_idle(self, now: float) -> None:
        """Start the idle timeout of the connection."""
        self._idle_deadline = now + self._idle_timeout_s

    def expired(self, now: float) -> bool:
        """Whether the connection was idle for so long that the server may be about to close it."""
        return now >= self._idle_deadline

    async def send(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        on_sending: Callable[[], None] = lambda: None,
    ) -> None:
        """Send a complete request; raises ConnectionLostError.

        ``on_sending`` is called before the first byte is sent, and not if the request can't be encoded.
        A response may arrive while the body is still being sent. The connection is then not
        reused, since the server may read the next request as the rest of this body.
        """
        encoded = self._parser.encode_request(
            method=method, target=target, headers=headers, body=body
        )
        self._exchange_count += 1
        self._exchange_complete = False
        self._received_before = self._channel.received_bytes
        on_sending()
        for part in joined_parts(encoded):
            await self._channel.send(part)
        if self._channel.unread_bytes:
            self._must_close = True

    async def read_head(
        self,
        accept: Callable[[ResponseHead], bool],
        *,
        accept_interim: Callable[[ResponseHead], bool] = lambda head: False,
    ) -> ResponseHead:
        """Return the head of the response; responses that ``accept`` rejects are discarded.

        Interim responses are discarded too, but for those that ``accept_interim`` accepts: after
        one that is returned, another call returns what follows. Raises ConnectionLostError or
        MalformedAnswerError.
        """
        interim_count = 0
        for _ in range(MAX_MISMATCHED_RESPONSES):
            event = await self._next_event()
            while isinstance(event, h11.InformationalResponse):
                head = _head_of(event)
                if accept_interim(head):
                    return head
                interim_count += 1
                if interim_count > MAX_INTERIM_RESPONSES:
                    raise self._too_large_error("too many interim responses")
                event = await self._next_event()
            if not isinstance(event, PlainResponseHead | h11.Response):
                raise self._malformed_error(f"{type(event).__name__} before the response head")
            head = _head_of(event)
            if head.status > MAX_STATUS:
                raise self._malformed_error(f"status {head.status}")
            if accept(head):
                self._update_keep_alive(head)
                self._ends_with_connection = not any(
                    header(head.headers, name) for name in (b"content-length", b"transfer-encoding")
                )
                return head
            discarded_bytes = 0
            async for chunk in self.read_body():
                discarded_bytes += len(chunk)
                if discarded_bytes > MAX_DISCARDED_BODY_BYTES:
                    raise self._too_large_error("the body of a response to another request")
            self._expect_another_response()
        raise self._malformed_error("only responses to other requests")

    async def read_whole_body(self, *, max_bytes: int, body: BodyParts | None = None) -> bytes:
        """Return the whole body; raises AnswerTooLargeError once it exceeds ``max_bytes``.

        The chunks are added to ``body``, so that a call that was cancelled can be repeated with what it
        has read. Raises the errors of ``read_body`` too.
        """
        body = BodyParts() if body is None else body
        async for chunk in self.read_body():
            body.add(chunk)
            if body.size > max_bytes:
                raise self._too_large_error(f"a body of more than {max_bytes} bytes")
        return body.take()

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        Raises ConnectionLostError if the connection ends before the body is complete. A body without
        a length is complete when the server closes the connection, but not when it resets it, then or later.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, bytes):
                yield event
            elif isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
        if self._ends_with_connection and self._channel.was_reset():
            raise self._lost_error()
        self._exchange_complete = True
        if not self._parser.can_continue:
            self._must_close = True
            return
        self._must_close = (
            self._must_close or self._channel.unread_bytes > 0 or self._parser.unparsed_bytes > 0
        )
        if not self._must_close:
            self._parser.start_next_cycle()

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    def abandon(self) -> None:
        """Close the connection within an exchange.

        Before the answer has begun, the request may not have arrived: TCP would deliver it even after an
        orderly close, once a partition ends or the server reads. A reset discards it.
        """
        if self._channel.received_bytes == self._received_before:
            self._channel.abort()
        else:
            self._channel.close()

    def _expect_another_response(self) -> None:
        """Await the response to the current request after one to an earlier request."""
        if self._channel.peer_close is not None:
            raise self._malformed_error("a response to another request")
        self._parser.expect_another_response()
        self._exchange_complete = False
        self._must_close = True

    async def _next_event(self) -> PlainResponseHead | h11.Event | bytes:
        """Return the next event of the parser."""
        while True:
            event = None if self._parser.needs_data else self._parse_event()
            if event is not None:
                return event
            await self._channel.wait_for_input()
            data = self._channel.read_buffered()
            if not data and self._channel.peer_close is PeerClose.RESET:
                raise self._lost_error()
            content = self._parser.receive_data(data)
            if content:
                return content

    def _parse_event(self) -> PlainResponseHead | h11.Event | bytes | None:
        """Return the next event that the parser finds in what it has received, or None."""
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            if self._channel.peer_close is not None and not self._channel.unread_bytes:
                raise self._lost_error() from error
            raise self._malformed_error(str(error)) from error
        except ValueError as error:
            # A length of thousands of digits.
            raise self._malformed_error(str(error)) from error
        if event is h11.NEED_DATA:
            return None
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise self._lost_error()
        assert not isinstance(event, type)
        return event

    def _update_keep_alive(self, head: ResponseHead) -> None:
        connection = header(head.headers, b"connection") or b""
        if b"close" in connection.lower():
            self._must_close = True
        keep_alive = header(head.headers, b"keep-alive") or b""
        for parameter in keep_alive.split(b","):
            name, _, value = parameter.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self._idle_timeout_s = max(0.2, int(value) * IDLE_TIMEOUT_FRACTION)

    def _lost_error(self) -> ConnectionLostError:
        return ConnectionLostError(
            where=self._channel.peer,
            reset=self._channel.peer_close is PeerClose.RESET,
            received=self._channel.received_bytes > 0,
        )

    def _too_large_error(self, what: str) -> AnswerTooLargeError:
        return AnswerTooLargeError(what=what, where=self._channel.peer)

    def _malformed_error(self, what: str) -> MalformedAnswerError:
        return MalformedAnswerError(what=what, where=self._channel.peer)


def _head_of(event: PlainResponseHead | h11.Response | h11.InformationalResponse) -> ResponseHead:
    if isinstance(event, PlainResponseHead):
        return ResponseHead(status=event.status, headers=event.headers)
    return ResponseHead(status=event.status_code, headers=tuple(event.headers.raw_items()))


class ConnectionPool:
    """Pool of client connections by address."""

    def __init__(self, *, clock: Callable[[], float], ack_timeout_s: float) -> None:
        self._clock = clock
        self._ack_timeout_s = ack_timeout_s
        self._idle: dict[str, collections.deque[HttpClientConnection]] = {}
        self._open_counts: collections.Counter[str] = collections.Counter()
        self._opened_total = 0

    @property
    def opened_total(self) -> int:
        """Number of connections opened so far."""
        return self._opened_total

    def open_count(self, address: str) -> int:
        """Return the number of open connections to ``address``, including idle ones."""
        return self._open_counts[address]

    def idle_count(self, address: str) -> int:
        """Return the number of idle connections to ``address``."""
        return len(self._idle.get(address, ()))

    async def acquire(
        self, address: str, *, timeout_s: float, request_id: str = ""
    ) -> HttpClientConnection:
        """Return an idle connection or open a new one; raises ConnectFailedError.

        One on which the request ``request_id`` has been refused isn't used for it again.
        """
        idle = self._idle.get(address)
        skipped = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            # In a busy process its server may have closed it since the last poll.
            has_input = connection.has_input()
            if has_input or not connection.reusable or connection.expired(self._clock()):
                connection.close()
            elif connection.has_refused(request_id):
                skipped.append(connection)
            else:
                found = connection
        if idle is not None:
            idle.extend(reversed(skipped))
        if found is not None:
            return found
        return await self.open(address, timeout_s=timeout_s)

    async def open(self, address: str, *, timeout_s: float) -> HttpClientConnection:
        """Open a connection; raises ConnectFailedError."""
        channel = await connect(address, timeout_s=timeout_s, ack_timeout_s=self._ack_timeout_s)
        self._opened_total += 1
        self._open_counts[address] += 1
        channel.on_peer_close(lambda: self._handle_peer_close(channel, address))
        return HttpClientConnection(channel=channel, opened_at=self._clock())

    def release(self, address: str, connection: HttpClientConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        idle = self._idle.setdefault(address, collections.deque())
        if connection.reusable and len(idle) < MAX_IDLE_PER_ADDRESS:
            connection.mark_idle(self._clock())
            idle.append(connection)
        else:
            connection.close()

    def close_idle(self, address: str) -> None:
        """Close all idle connections to ``address``."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close idle connections that have expired or that the server has closed."""
        now = self._clock()
        for address, idle in list(self._idle.items()):
            stale = [item for item in idle if not item.reusable or item.expired(now)]
            for connection in stale:
                idle.remove(connection)
            if not idle and self._idle.get(address) is idle:
                del self._idle[address]
            for connection in stale:
                connection.close()

    def _handle_peer_close(self, channel: Channel, address: str) -> None:
        self._open_counts[address] -= 1
        if not self._open_counts[address]:
            del self._open_counts[address]
        if channel.unread_bytes == 0:
            channel.close()
