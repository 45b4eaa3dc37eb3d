"""HTTP client for backend servers."""

from __future__ import annotations

import urllib.parse
from collections.abc import AsyncIterator, Callable, Mapping

import httpx

from figpaddle.daemon._request_response import (
    BodySource,
    BufferedBody,
    Headers,
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

#: Timeout for opening a connection to a backend server, seconds.
CONNECT_TIMEOUT_S = 1.0
#: Largest number of open connections to backend servers.
MAX_CONNECTIONS = 1024
#: Largest number of headers in a response.
MAX_RESPONSE_HEADERS = 128
#: Highest status code of HTTP; the HTTP library takes three digits.
MAX_STATUS = 599
#: Hop-by-hop headers, which are never forwarded; Host and Expect are set anew for each hop.
HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "host", "expect"}
)
#: Prefix of figpaddle's own headers; such headers are dropped from a backend server's response.
OWN_HEADER_PREFIX = "figpaddle-"
#: Status codes of responses without a body.
BODILESS_STATUSES = frozenset({204, 304})
#: Characters of a request target that are sent as they are: all visible ones of ASCII.
TARGET_CHARACTERS = "".join(map(chr, range(0x21, 0x7F)))
#: Event of the HTTP client's trace before the first byte of a request is sent.
SENDING_EVENT = "http11.send_request_headers.started"
#: Last event of a chat completion stream.
FINAL_EVENT = b"data: [DONE]"
#: Length of the end of a stream that is searched for its last event, bytes.
STREAM_TAIL_BYTES = 64


class BackendClient:
    """Sends a request to one backend server and its response to a sink.

    Each request uses a new connection, which is closed afterwards. A late, duplicated or mismatched
    response thus can't be taken for that of another request, and no request is delayed by a pooled
    connection that stopped working while idle.
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
        self,
        head: RequestHead,
        body: BodySource,
        backend: KnownBackend,
        sink: ResponseSink,
        *,
        on_sending: Callable[[], None],
    ) -> None:
        """Send the request to ``backend`` and stream the response to ``sink``.

        ``on_sending`` is called before the first byte is sent.

        Raises NoBackendServerError if no connection could be opened, so that no byte was sent, and
        BackendServerLostError after any later failure.
        """
        name = backend.info.name
        response = await self._open(head, body, backend, on_sending)
        end_check = _StreamEndCheck(response, path=head.target.partition("?")[0])
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
        self,
        head: RequestHead,
        body: BodySource,
        backend: KnownBackend,
        on_sending: Callable[[], None],
    ) -> httpx.Response:
        outgoing = _OutgoingBody(body)

        async def trace(event: str, info: Mapping[str, object]) -> None:
            if event == SENDING_EVENT:
                on_sending()

        request = self._client.build_request(
            head.method,
            f"http://{backend.info.address}/",
            headers=_encode_headers(
                (*head.headers, ("x-request-id", head.request_id), ("connection", "close"))
            ),
            content=body.data if isinstance(body, BufferedBody) else outgoing.chunks(),
            timeout=httpx.Timeout(head.idle_timeout_s, connect=CONNECT_TIMEOUT_S),
            # A target in the URL would be normalized.
            extensions={"target": _encode_target(head.target), "trace": trace},
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
    """Passes a request body on and records whether the HTTP client has started to read it."""

    def __init__(self, body: BodySource) -> None:
        self._body = body
        #: Whether the body was read; httpx reads it only after it has sent the request head.
        self.read_started = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body in order."""
        self.read_started = True
        async for chunk in self._body.chunks():
            yield chunk


class _StreamEndCheck:
    """Checks that a chat completion stream ended with its last event.

    The HTTP library already checks Content-Length and the last chunk of chunked bodies.
    """

    def __init__(self, response: httpx.Response, *, path: str) -> None:
        self._is_chat = response.headers.get("content-type", "").startswith(
            "text/event-stream"
        ) and path.endswith("/chat/completions")
        self._tail = b""

    @property
    def is_complete(self) -> bool:
        """Whether the last event was received; True for responses other than chat streams."""
        return not self._is_chat or FINAL_EVENT in self._tail

    def add(self, chunk: bytes) -> None:
        """Add the next chunk of the response."""
        self._tail = (self._tail + chunk)[-STREAM_TAIL_BYTES:]


def _encode_target(target: str) -> bytes:
    """Return a request target as bytes.

    One with other characters comes from an earlier build, which forwards paths without their escapes.
    """
    return urllib.parse.quote(target, safe=TARGET_CHARACTERS).encode("ascii")


def _encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers as bytes; httpx takes only ASCII in strings."""
    return [
        (key.encode("latin-1", "replace"), value.encode("latin-1", "replace"))
        for key, value in headers
    ]


def _check_head(response: httpx.Response, backend: str) -> None:
    """Raise InvalidAnswerError for a response with an invalid head.

    Without Content-Length or Transfer-Encoding the end of a body can't be distinguished from a lost
    connection.
    """
    status = response.status_code
    is_bodiless = response.request.method == "HEAD" or status in BODILESS_STATUSES
    has_end = "content-length" in response.headers or "transfer-encoding" in response.headers
    has_too_many_headers = len(response.headers.raw) > MAX_RESPONSE_HEADERS
    if not 200 <= status <= MAX_STATUS or has_too_many_headers or not (is_bodiless or has_end):
        raise InvalidAnswerError(backend=backend)
