"""Requests and responses as they pass through one instance: heads, bodies and sinks."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import AsyncIterator

from figpaddle.wire import PromptShape

Headers = tuple[tuple[str, str], ...]

#: Largest request body that is buffered in memory for retries, bytes.
MAX_BUFFERED_BODY_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHead:
    """A request without its body."""

    #: Identifier, the same at every hop.
    request_id: str
    #: Member to which the client belongs.
    member: str
    #: Client that sent the request.
    client: str
    #: Home region of the client; empty for a forwarded request.
    home: str
    #: Requested service.
    service: str
    #: HTTP method.
    method: str
    #: Path and query sent to the backend server.
    target: str
    #: HTTP headers for the backend server, names in lower case.
    headers: Headers
    #: Whether it may be sent to a backend server more than once.
    idempotent: bool
    #: Idempotency key; every non-idempotent request from a caller has one.
    idempotency_key: str | None
    #: Deadline for the first byte of the response, seconds on the instance's clock.
    deadline_at: float
    #: Time allowed from receipt to the first byte of the response, seconds.
    deadline_s: float
    #: Priority class within the member; 0 is the highest.
    priority: int
    #: Size and prefix hashes of the prompt, for placement; empty for a service without prompts.
    prompt: PromptShape = PromptShape()
    #: Instances that the request has passed through.
    visited: tuple[str, ...] = ()
    #: Number of times that the request was forwarded to another region.
    crossings: int = 0
    #: Whether the request was forwarded out of a region that offers the service itself. The
    #: receiving region admits such requests only up to part of its capacity.
    spilled: bool = False
    #: Longest time without data while reading the response, seconds.
    idle_timeout_s: float = 30.0

    @property
    def service_key(self) -> str:
        """Name under which backend servers announce the service: ``member/service``.

        It includes the member since two members may use the same name for a service.
        """
        return f"{self.member}/{self.service}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Head of a response and the processes that produced it."""

    #: HTTP status.
    status: int
    #: HTTP headers of the backend server.
    headers: Headers
    #: Backend server that sent the response.
    backend: str
    #: Instance that sent the request to the backend server.
    instance: str
    #: Region of the backend server.
    region: str


class BodySource(abc.ABC):
    """A request body, read chunk by chunk."""

    @property
    @abc.abstractmethod
    def read_started(self) -> bool:
        """Whether reading has started and the body can't be read again from its start."""

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body in order."""


class BufferedBody(BodySource):
    """A body buffered completely in memory, which can be read repeatedly."""

    def __init__(self, *, data: bytes) -> None:
        self._data = data

    @property
    def data(self) -> bytes:
        """The complete body."""
        return self._data

    @property
    def read_started(self) -> bool:
        """Always False: the body can be read again from its start."""
        return False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the complete body as one chunk."""
        if self._data:
            yield self._data


class PartlyReadBody(BodySource):
    """A body too large to buffer, with its first chunks already read."""

    def __init__(self, *, first: bytes, rest: AsyncIterator[bytes]) -> None:
        self._first = first
        self._rest = rest
        self._read_started = False

    @property
    def read_started(self) -> bool:
        """Whether ``chunks`` has started."""
        return self._read_started

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body in order."""
        self._read_started = True
        yield self._first
        async for chunk in self._rest:
            yield chunk


async def buffer_small_body(body: BodySource) -> BodySource:
    """Return ``body`` buffered in memory if it is small, so that it can be sent repeatedly.

    A larger body is returned with its first chunks read and can be sent only once.
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
    """Receives the response to a request."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the head of the response was passed on."""

    @abc.abstractmethod
    async def start(self, head: ResponseHead) -> None:
        """Send the head of the response."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a chunk of the body; waits while the receiver is slow."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the response; one without this call is incomplete."""
