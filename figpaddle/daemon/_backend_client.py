"""Requests to backend servers over HTTP."""

from __future__ import annotations

import httpx

from figpaddle.daemon._exchange import AnswerHead, AnswerSink, BodySource, RequestHead
from figpaddle.errors import BackendServerLostError, NoBackendServerError, Outcome
from figpaddle.routing import KnownBackend

#: Longest time to open a connection to a backend server, seconds.
CONNECT_TIMEOUT_S = 1.0
#: An idle connection to a backend server is closed after this, seconds.
KEEPALIVE_S = 5.0
#: Longest silence within an answer, seconds.
READ_TIMEOUT_S = 30.0
#: Most connections kept open to backend servers.
MAX_CONNECTIONS = 1024
#: Headers that concern one connection only and are never passed on.
HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "host", "expect"}
)


class BackendClient:
    """Sends a request to one backend server and its answer to a sink.

    A connection is reused only after an answer that ended whole; httpx closes it otherwise.
    """

    def __init__(self, *, own_ip: str, region: str, instance: str) -> None:
        self._region = region
        self._instance = instance
        transport = httpx.AsyncHTTPTransport(
            local_address=own_ip,
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
                keepalive_expiry=KEEPALIVE_S,
            ),
        )
        self._client = httpx.AsyncClient(
            transport=transport,
            timeout=httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            follow_redirects=False,
            trust_env=False,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def send(
        self, head: RequestHead, body: BodySource, backend: KnownBackend, sink: AnswerSink
    ) -> None:
        """Run the request on ``backend`` and pass the answer on as it comes.

        Raises NoBackendServerError if no byte was sent, BackendServerLostError afterwards.
        """
        name = backend.info.name
        request = self._client.build_request(
            head.method,
            f"http://{backend.info.address}{head.target}",
            headers=[*head.headers, ("x-request-id", head.request_id)],
            content=body.chunks(),
        )
        try:
            response = await self._client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise NoBackendServerError(service=head.service, retry_after_s=1.0) from error
        except httpx.HTTPError as error:
            raise BackendServerLostError(backend=name) from error
        try:
            await sink.start(self._answer_head(response, name))
            async for chunk in response.aiter_raw():
                await sink.write(chunk)
        except httpx.HTTPError as error:
            raise BackendServerLostError(backend=name, outcome=Outcome.UNKNOWN) from error
        finally:
            await response.aclose()
        await sink.finish()

    def _answer_head(self, response: httpx.Response, backend: str) -> AnswerHead:
        headers = tuple(
            (key.lower(), value)
            for key, value in response.headers.multi_items()
            if key.lower() not in HOP_HEADERS
        )
        return AnswerHead(
            status=response.status_code,
            headers=headers,
            backend=backend,
            instance=self._instance,
            region=self._region,
        )
