"""Requests to backend servers over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator

import httpx

from figpaddle.daemon._request_response import (
    BodySource,
    BufferedBody,
    RequestHead,
    ResponseHead,
    ResponseSink,
)
from figpaddle.errors import (
    BackendServerLostError,
    InvalidAnswerError,
    NoBackendServerError,
    Outcome,
    RequestError,
)
from figpaddle.routing import KnownBackend

#: Longest time to open a connection to a backend server, seconds.
CONNECT_TIMEOUT_S = 1.0
#: Most connections open to backend servers.
MAX_CONNECTIONS = 1024
#: Most headers of an answer.
MAX_RESPONSE_HEADERS = 128
#: Headers that concern one connection only and are never passed on.
HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "host", "expect"}
)
#: Prefix of figpaddle's own headers; a backend server's headers of that name are dropped.
OWN_HEADER_PREFIX = "figpaddle-"
#: Statuses of answers that have no body.
BODILESS_STATUSES = frozenset({204, 304})
#: Last event of a stream of chat completions.
FINAL_EVENT = b"data: [DONE]"
#: Bytes at the end of a stream in which its last event is looked for.
STREAM_TAIL_BYTES = 64


class BackendClient:
    """Sends a request to one backend server and its answer to a sink.

    Each exchange has a connection for itself, which is closed after it. A late, doubled or
    crossed answer thus never meets another request, and a connection that went silent while idle
    can't hold one up.
    """

    def __init__(self, *, own_ip: str, region: str, instance: str) -> None:
        self._region = region
        self._instance = instance
        transport = httpx.AsyncHTTPTransport(
            local_address=own_ip,
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS, max_keepalive_connections=0),
        )
        self._client = httpx.AsyncClient(
            transport=transport, follow_redirects=False, trust_env=False, headers={}
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def send(
        self, head: RequestHead, body: BodySource, backend: KnownBackend, sink: ResponseSink
    ) -> None:
        """Run the request on ``backend`` and pass the answer on as it comes.

        Raises NoBackendServerError if no byte was sent, BackendServerLostError afterwards.
        """
        name = backend.info.name
        response = await self._open(head, body, backend)
        end_check = _StreamEndCheck(response)
        try:
            _check_head(response, name)
            await sink.start(self._response_head(response, name))
            async for chunk in response.aiter_raw():
                end_check.add(chunk)
                await sink.write(chunk)
        except httpx.RemoteProtocolError as error:
            raise InvalidAnswerError(backend=name) from error
        except httpx.HTTPError as error:
            raise BackendServerLostError(backend=name) from error
        finally:
            await response.aclose()
        if not end_check.is_complete:
            raise InvalidAnswerError(backend=name)
        await sink.finish()

    async def _open(
        self, head: RequestHead, body: BodySource, backend: KnownBackend
    ) -> httpx.Response:
        outgoing = _OutgoingBody(body)
        request = self._client.build_request(
            head.method,
            f"http://{backend.info.address}{head.target}",
            headers=[*head.headers, ("x-request-id", head.request_id), ("connection", "close")],
            content=body.data if isinstance(body, BufferedBody) else outgoing.chunks(),
            timeout=httpx.Timeout(head.idle_timeout_s, connect=CONNECT_TIMEOUT_S),
        )
        try:
            return await self._client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise NoBackendServerError(service=head.service, retry_after_s=1.0) from error
        except httpx.RemoteProtocolError as error:
            raise InvalidAnswerError(backend=backend.info.name) from error
        except httpx.HTTPError as error:
            raise BackendServerLostError(backend=backend.info.name) from error
        except RequestError as error:
            if outgoing.read_started:
                error.outcome = Outcome.UNKNOWN
            raise

    def _response_head(self, response: httpx.Response, backend: str) -> ResponseHead:
        headers = tuple(
            (key.lower(), value)
            for key, value in response.headers.multi_items()
            if key.lower() not in HOP_BY_HOP_HEADERS
            and not key.lower().startswith(OWN_HEADER_PREFIX)
        )
        return ResponseHead(
            status=response.status_code,
            headers=headers,
            backend=backend,
            instance=self._instance,
            region=self._region,
        )


class _OutgoingBody:
    """Passes a body on and notes whether the backend server was given any of it."""

    def __init__(self, body: BodySource) -> None:
        self._body = body
        #: Whether the exchange has begun; httpx asks for the body only after the head is sent.
        self.read_started = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the pieces of the body in order."""
        self.read_started = True
        async for chunk in self._body.chunks():
            yield chunk


class _StreamEndCheck:
    """Tells whether a stream of events ended with its last event.

    The length and the end mark of HTTP bodies are checked by the HTTP library.
    """

    def __init__(self, response: httpx.Response) -> None:
        self._is_chat = response.headers.get("content-type", "").startswith(
            "text/event-stream"
        ) and response.request.url.path.endswith("/chat/completions")
        self._tail = b""

    @property
    def is_complete(self) -> bool:
        """Whether the answer is whole as far as its events tell."""
        return not self._is_chat or FINAL_EVENT in self._tail

    def add(self, chunk: bytes) -> None:
        """Take in the next piece."""
        self._tail = (self._tail + chunk)[-STREAM_TAIL_BYTES:]


def _check_head(response: httpx.Response, backend: str) -> None:
    """Raise InvalidAnswerError unless the end of the answer can be told from a broken one."""
    status = response.status_code
    is_bodiless = response.request.method == "HEAD" or status in BODILESS_STATUSES
    has_end = "content-length" in response.headers or "transfer-encoding" in response.headers
    has_too_many_headers = len(response.headers.raw) > MAX_RESPONSE_HEADERS
    if status < 200 or has_too_many_headers or not (is_bodiless or has_end):
        raise InvalidAnswerError(backend=backend)
