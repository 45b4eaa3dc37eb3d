"""HTTP/1.1 in both directions, with a clear view of how each connection ends.

The parser is h11. What this package adds is knowledge that a gateway for requests that run at most
once depends on: whether any byte was sent or received, who closed a connection and how, bytes that
nobody asked for, and a caller that leaves while its request waits.
"""

from figpaddle.http1._backend import AnswerHead, BackendConnection, ConnectionPool
from figpaddle.http1._channel import Channel, End, connect
from figpaddle.http1._listener import HttpListener
from figpaddle.http1._messages import (
    Headers,
    HttpRequest,
    end_to_end,
    header,
    header_values,
    with_header,
)
from figpaddle.http1._server import Handler, RequestLimits, Responder, ServerConnection

__all__ = [
    "AnswerHead",
    "BackendConnection",
    "Channel",
    "ConnectionPool",
    "End",
    "Handler",
    "Headers",
    "HttpListener",
    "HttpRequest",
    "RequestLimits",
    "Responder",
    "ServerConnection",
    "connect",
    "end_to_end",
    "header",
    "header_values",
    "with_header",
]
