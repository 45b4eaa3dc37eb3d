"""HTTP/1.1 client and server that report exactly how each connection ends.

The parser is h11. This package adds what a gateway with at-most-once requests needs to know:
whether any byte was sent or received, which side closed a connection and how, whether unexpected
bytes arrived, and whether a caller has disconnected while its request waits.
"""

from figpaddle.http1._body_parts import BodyParts
from figpaddle.http1._channel import Channel, PeerClose, connect, set_socket_options
from figpaddle.http1._client import ConnectionPool, HttpClientConnection, ResponseHead
from figpaddle.http1._handler_failures import (
    FailureHandler,
    FailureResponse,
    HandlerFailure,
    UnansweredHandler,
    UnansweredRequest,
)
from figpaddle.http1._held_bytes import ClientAccount, ClientLimits, ClientPhase, HeldClient
from figpaddle.http1._listener import HttpListener
from figpaddle.http1._messages import (
    Headers,
    HttpRequest,
    end_to_end,
    header,
    header_values,
    with_header,
)
from figpaddle.http1._request_limits import RequestLimits
from figpaddle.http1._server import Handler, Responder, ServerConnection
from figpaddle.http1._turns import TurnTimes, timed_event_loop

__all__ = [
    "BodyParts",
    "ResponseHead",
    "HttpClientConnection",
    "Channel",
    "ClientAccount",
    "ClientLimits",
    "ClientPhase",
    "ConnectionPool",
    "FailureHandler",
    "FailureResponse",
    "Handler",
    "HandlerFailure",
    "Headers",
    "HeldClient",
    "HttpListener",
    "HttpRequest",
    "PeerClose",
    "RequestLimits",
    "Responder",
    "ServerConnection",
    "TurnTimes",
    "UnansweredHandler",
    "UnansweredRequest",
    "connect",
    "end_to_end",
    "header",
    "header_values",
    "set_socket_options",
    "timed_event_loop",
    "with_header",
]
