"""Listening sockets and addresses."""

from __future__ import annotations

import dataclasses
import socket

from figpaddle.http1 import set_socket_options

#: Length of the queue of connections that are not accepted yet.
BACKLOG = 512


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listener:
    """A bound socket and its address."""

    #: The listening socket.
    socket: socket.socket
    #: Address on which it listens, ``ip:port``.
    address: str


def split_address(address: str) -> tuple[str, int]:
    """Return the IP and the port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def listen(address: str, *, ack_timeout_s: float | None = None) -> Listener:
    """Return a socket that listens on ``address``; port 0 selects a free port.

    The kernel resets an accepted connection whose other end takes nothing, or doesn't respond at all, for
    ``ack_timeout_s``.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if ack_timeout_s is not None:
        set_socket_options(bound, ack_timeout_s=ack_timeout_s)
    bound.bind(split_address(address))
    bound.listen(BACKLOG)
    bound.setblocking(False)
    host, port = bound.getsockname()
    return Listener(socket=bound, address=f"{host}:{port}")


def detach_to_fd_address(listener: Listener) -> str:
    """Detach the socket and return the ``fd://`` address with which a server takes it over.

    The listener no longer owns the descriptor: with two owners it would be closed twice, the
    second time when its number may already belong to another file.
    """
    return f"fd://{listener.socket.detach()}"
