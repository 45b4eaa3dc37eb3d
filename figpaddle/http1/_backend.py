"""The side that calls: connections to backend servers and other instances, kept for reuse."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import AsyncIterator, Callable

import h11

from figpaddle.errors import ConnectionLostError, MalformedAnswerError
from figpaddle.http1._channel import Channel, End, connect
from figpaddle.http1._messages import Headers, header

#: Most foreign answers skipped before a connection is given up.
MAX_STRAY_ANSWERS = 4
#: Time for which an idle connection is kept where the server names no timeout, seconds.
DEFAULT_KEEP_S = 8.0
#: Part of the server's own idle timeout for which a connection is reused; the rest covers a
#: request that is under way when the server closes.
KEEP_PART = 0.6
#: Idle connections kept for each address.
MAX_IDLE = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerHead:
    """Status line and header of an answer."""

    #: HTTP status code.
    status: int
    #: Header fields in their order.
    headers: Headers


class BackendConnection:
    """One connection to a server, used for one exchange at a time.

    ``send`` and then ``read_head`` and ``read_body`` make an exchange. ``reusable`` tells
    afterwards whether the connection may carry another one.
    """

    def __init__(self, *, channel: Channel, opened_at: float) -> None:
        self._channel = channel
        self._parser = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._keep_until = opened_at + DEFAULT_KEEP_S
        self._keep_s = DEFAULT_KEEP_S
        self._complete = True
        self._last = False
        self._uses = 0

    @property
    def channel(self) -> Channel:
        """The connection itself."""
        return self._channel

    @property
    def fresh(self) -> bool:
        """Whether no exchange before the present one used it."""
        return self._uses <= 1

    @property
    def reusable(self) -> bool:
        """Whether an exchange ended cleanly and the connection may carry another one."""
        clean = self._channel.end is None and not self._channel.closed
        return clean and self._complete and not self._last and self._channel.unread == 0

    def idle_since(self, now: float) -> None:
        """Note when the connection became idle."""
        self._keep_until = now + self._keep_s

    def expired(self, now: float) -> bool:
        """Whether the server may be about to close it for idleness."""
        return now >= self._keep_until

    async def send(self, *, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a whole request; raises ConnectionLostError.

        An answer may come while the body is still being sent; the connection is then not used
        again, since the server may take bytes of the next request for the rest of this body.
        """
        self._request = h11.Request(method=method, target=target, headers=list(headers))
        self._uses += 1
        self._complete = False
        data = self._parser.send(self._request) or b""
        data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        await self._channel.send(data)
        if self._channel.unread:
            self._last = True

    async def read_head(self, accept: Callable[[AnswerHead], bool]) -> AnswerHead:
        """Return the head of the answer; answers that ``accept`` declines are read and dropped.

        Raises ConnectionLostError or MalformedAnswerError.
        """
        for _ in range(MAX_STRAY_ANSWERS):
            event = await self._next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await self._next_event()
            if not isinstance(event, h11.Response):
                raise self._malformed(f"{type(event).__name__} before a head")
            answer = AnswerHead(status=event.status_code, headers=tuple(event.headers.raw_items()))
            if accept(answer):
                self._note_keep_alive(answer)
                return answer
            async for _ in self.read_body():
                pass
            self._skip_answer()
        raise self._malformed("answers to other requests")

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the pieces of the body as they come.

        Raises ConnectionLostError where the connection ends before the body does, also where a
        body without a length ends with a reset.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
        self._complete = True
        if self._parser.their_state is not h11.DONE or self._parser.our_state is not h11.DONE:
            self._last = True
            return
        self._last = self._last or self._channel.unread > 0 or bool(self._parser.trailing_data[0])
        if not self._last:
            self._parser.start_next_cycle()

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    def _skip_answer(self) -> None:
        """Expect another answer to the same request: the one read belonged to an earlier one."""
        if self._channel.end is not None or self._request is None:
            raise self._malformed("an answer to another request")
        rest = self._parser.trailing_data[0]
        self._parser = h11.Connection(h11.CLIENT)
        self._parser.send(self._request)
        self._parser.send(h11.EndOfMessage())
        self._complete = False
        self._last = True
        if rest:
            self._parser.receive_data(rest)

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                if self._channel.end is not None and not self._channel.unread:
                    raise self._lost() from error
                raise self._malformed(str(error)) from error
            if event is not h11.NEED_DATA:
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    raise self._lost()
                assert isinstance(event, h11.Event)
                return event
            await self._channel.wait_for_input()
            data = self._channel.take()
            if not data and self._channel.end is End.RESET:
                raise self._lost()
            self._parser.receive_data(data)

    def _note_keep_alive(self, answer: AnswerHead) -> None:
        connection = header(answer.headers, b"connection") or b""
        if b"close" in connection.lower():
            self._last = True
        named = header(answer.headers, b"keep-alive") or b""
        for part in named.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self._keep_s = max(0.2, int(value) * KEEP_PART)

    def _lost(self) -> ConnectionLostError:
        return ConnectionLostError(
            where=self._channel.peer,
            reset=self._channel.end is End.RESET,
            received=self._channel.received > 0,
        )

    def _malformed(self, what: str) -> MalformedAnswerError:
        return MalformedAnswerError(what=what, where=self._channel.peer)


class ConnectionPool:
    """Connections by address."""

    def __init__(self, *, clock: Callable[[], float], silence_s: float) -> None:
        self._clock = clock
        self._silence_s = silence_s
        self._idle: dict[str, collections.deque[BackendConnection]] = {}
        self._open: collections.Counter[str] = collections.Counter()
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self._opened

    def open_to(self, address: str) -> int:
        """Return how many connections to ``address`` are open, idle ones included."""
        return self._open[address]

    def idle_to(self, address: str) -> int:
        """Return how many idle connections to ``address`` are kept."""
        return len(self._idle.get(address, ()))

    async def acquire(self, address: str, *, timeout_s: float) -> BackendConnection:
        """Return an idle connection or open one; raises ConnectFailedError."""
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.reusable and not connection.expired(self._clock()):
                return connection
            connection.close()
        return await self.open(address, timeout_s=timeout_s)

    async def open(self, address: str, *, timeout_s: float) -> BackendConnection:
        """Open a connection; raises ConnectFailedError."""
        channel = await connect(address, timeout_s=timeout_s, silence_s=self._silence_s)
        self._opened += 1
        self._open[address] += 1
        channel.on_end(lambda: self._note_end(channel, address))
        return BackendConnection(channel=channel, opened_at=self._clock())

    def release(self, address: str, connection: BackendConnection) -> None:
        """Keep a connection whose exchange ended cleanly; close any other."""
        idle = self._idle.setdefault(address, collections.deque())
        if connection.reusable and len(idle) < MAX_IDLE:
            connection.idle_since(self._clock())
            idle.append(connection)
        else:
            connection.close()

    def drop(self, address: str) -> None:
        """Close all idle connections to ``address``."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def sweep(self) -> None:
        """Close idle connections that are too old or that the server has ended."""
        now = self._clock()
        for address, idle in list(self._idle.items()):
            stale = [one for one in idle if not one.reusable or one.expired(now)]
            for connection in stale:
                idle.remove(connection)
            if not idle and self._idle.get(address) is idle:
                del self._idle[address]
            for connection in stale:
                connection.close()

    def _note_end(self, channel: Channel, address: str) -> None:
        self._open[address] -= 1
        if not self._open[address]:
            del self._open[address]
        if channel.unread == 0:
            channel.close()
