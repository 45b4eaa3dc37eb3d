"""What the parts of a request's path hand each other: its head, its body and its answer."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import AsyncIterator

from figpaddle.wire import PromptShape

Headers = tuple[tuple[str, str], ...]

#: Largest body of a request that is held in memory to be sent again, bytes.
MAX_BUFFERED_BODY_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHead:
    """Everything about a request but its body."""

    #: Identifier through all hops.
    request_id: str
    #: Member whose request it is.
    member: str
    #: Client whose request it is.
    client: str
    #: Region where the client is at home.
    home: str
    #: Service that it asks for.
    service: str
    #: HTTP method.
    method: str
    #: Path and query at the backend server.
    target: str
    #: HTTP headers for the backend server, names in lower case.
    headers: Headers
    #: Whether it may be sent to a backend server more than once.
    idempotent: bool
    #: Key of a non-idempotent request.
    idempotency_key: str | None
    #: Latest time for the first byte of the answer, seconds on the clock of the instance.
    deadline_at: float
    #: Time allowed from receipt to the first byte, seconds.
    deadline_s: float
    #: Priority class within the member, 0 first.
    priority: int
    #: What its placement may know of its prompt; empty for a service without one.
    prompt: PromptShape = PromptShape()
    #: Instances that the request has passed.
    visited: tuple[str, ...] = ()
    #: How often it has crossed regions.
    crossings: int = 0
    #: Whether it left a region that has the service itself; such work leaves room for others.
    spilled: bool = False
    #: Longest silence within an answer, seconds.
    idle_timeout_s: float = 30.0

    @property
    def service_key(self) -> str:
        """Name under which backend servers announce the service: ``member/service``.

        Two members may give services the same name, so the member is always part of it.
        """
        return f"{self.member}/{self.service}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Head of an answer and where it came from."""

    #: HTTP status.
    status: int
    #: HTTP headers of the backend server.
    headers: Headers
    #: Backend server that answers.
    backend: str
    #: Instance that talks to the backend server.
    instance: str
    #: Region that the request is served in.
    region: str


class BodySource(abc.ABC):
    """The body of a request."""

    @property
    @abc.abstractmethod
    def read_started(self) -> bool:
        """Whether a part of the body was already taken and can't be taken again."""

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Return the pieces of the body in order."""


class BufferedBody(BodySource):
    """A body held whole in memory, which can be sent again."""

    def __init__(self, *, data: bytes) -> None:
        self._data = data

    @property
    def data(self) -> bytes:
        """The whole body."""
        return self._data

    @property
    def read_started(self) -> bool:
        """Whether a part of the body can't be taken again: never."""
        return False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the whole body as one piece."""
        if self._data:
            yield self._data


class PartlyReadBody(BodySource):
    """A body too large to hold, whose first pieces were already read."""

    def __init__(self, *, first: bytes, rest: AsyncIterator[bytes]) -> None:
        self._first = first
        self._rest = rest
        self._read_started = False

    @property
    def read_started(self) -> bool:
        """Whether a part of the body was already taken from here."""
        return self._read_started

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the pieces of the body in order."""
        self._read_started = True
        yield self._first
        async for chunk in self._rest:
            yield chunk


async def buffer_small_body(body: BodySource) -> BodySource:
    """Return ``body`` held in memory if it is small, so that it can be sent again.

    A larger one is returned with its first pieces read and can be sent once only.
    """
    if isinstance(body, BufferedBody):
        return body
    held = bytearray()
    rest = body.chunks()
    async for chunk in rest:
        held += chunk
        if len(held) > MAX_BUFFERED_BODY_BYTES:
            return PartlyReadBody(first=bytes(held), rest=rest)
    return BufferedBody(data=bytes(held))


class ResponseSink(abc.ABC):
    """Where the answer to a request goes."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the head of the answer has been sent."""

    @abc.abstractmethod
    async def start(self, head: ResponseHead) -> None:
        """Send the head of the answer."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a piece of the answer's body; waits while the receiver is slow."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Send the end mark; an answer without it is not whole."""
