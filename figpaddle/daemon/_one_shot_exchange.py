"""Request-reply exchanges between instances, each on a new connection to the peer port.

The connection carries a GET request with the authenticated message in its path; the response body
is the authenticated reply. A connection that stopped delivering data thus can't affect a later
exchange, and each exchange tests the network path to the peer port that a forwarded request would
use.
"""

from __future__ import annotations

import base64
import binascii
import secrets
from collections.abc import Awaitable, Callable

import anyio
from websockets.asyncio.server import ServerConnection
from websockets.datastructures import Headers
from websockets.http11 import Request, Response

from figpaddle.daemon._sockets import split_address
from figpaddle.errors import FigpaddleError, HandshakeError, PeerUnreachableError
from figpaddle.wire import EXCHANGE_NONCE_BYTES, ExchangeAuthenticator, Message, decode, encode

#: Path under which exchanges are served.
EXCHANGE_PATH = "/exchange/"
#: Largest HTTP response that is read, bytes.
MAX_RESPONSE_BYTES = 64 * 1024

ExchangeHandler = Callable[[Message], Awaitable[Message | None]]


class ExchangeServer:
    """Serves exchanges on the peer port."""

    def __init__(self, *, key: bytes, handler: ExchangeHandler) -> None:
        self._authenticator = ExchangeAuthenticator(key=key)
        self._handler = handler

    async def process_request(
        self, connection: ServerConnection, request: Request
    ) -> Response | None:
        """Return the response to an exchange, or None for a WebSocket opening handshake."""
        if not request.path.startswith(EXCHANGE_PATH):
            return None
        try:
            body = await self._authenticated_reply(request.path[len(EXCHANGE_PATH) :])
        except FigpaddleError:
            return _response(403, "Forbidden", b"")
        if body is None:
            return _response(503, "Service Unavailable", b"")
        return _response(200, "OK", body)

    async def _authenticated_reply(self, encoded: str) -> bytes | None:
        try:
            message_bytes = base64.urlsafe_b64decode(encoded)
        except (binascii.Error, ValueError) as error:
            raise HandshakeError(what="not base64", where="exchange") from error
        nonce, data = self._authenticator.verify_request(message_bytes)
        reply = await self._handler(decode(data))
        return None if reply is None else self._authenticator.sign_reply(nonce, encode(reply))


class ExchangeClient:
    """Starts exchanges, each on a new connection from the instance's own IP address."""

    def __init__(self, *, key: bytes, own_ip: str) -> None:
        self._authenticator = ExchangeAuthenticator(key=key)
        self._own_ip = own_ip
        #: Number of exchanges started.
        self.exchanges = 0
        #: Bytes sent, without TCP and IP headers.
        self.bytes_sent = 0
        #: Bytes received, without TCP and IP headers.
        self.bytes_received = 0

    async def exchange(self, address: str, message: Message, *, timeout_s: float) -> Message:
        """Return the reply to ``message``; raises PeerUnreachableError or another WireError."""
        nonce = secrets.token_bytes(EXCHANGE_NONCE_BYTES)
        path = base64.urlsafe_b64encode(
            self._authenticator.sign_request(nonce, encode(message))
        ).decode()
        head = f"GET {EXCHANGE_PATH}{path} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        self.exchanges += 1
        self.bytes_sent += len(head)
        try:
            with anyio.fail_after(timeout_s):
                response = await self._round_trip(address, head.encode())
        except (OSError, TimeoutError, anyio.BrokenResourceError) as error:
            raise PeerUnreachableError(what=type(error).__name__, where=address) from error
        self.bytes_received += len(response)
        status, _, body = response.partition(b"\r\n\r\n")
        if not status.startswith(b"HTTP/1.1 200 "):
            raise PeerUnreachableError(what="the peer did not reply", where=address)
        return decode(self._authenticator.verify_reply(nonce, body))

    async def _round_trip(self, address: str, request: bytes) -> bytes:
        host, port = split_address(address)
        response = bytearray()
        async with await anyio.connect_tcp(host, port, local_host=self._own_ip) as stream:
            await stream.send(request)
            while len(response) < MAX_RESPONSE_BYTES:
                try:
                    response += await stream.receive()
                except anyio.EndOfStream:
                    break
        return bytes(response)


def _response(status: int, reason: str, body: bytes) -> Response:
    headers = Headers()
    headers["Content-Length"] = str(len(body))
    headers["Connection"] = "close"
    return Response(status, reason, headers, body)
