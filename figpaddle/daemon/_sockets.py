"""Listening sockets."""

from __future__ import annotations

import dataclasses
import socket

#: Connections that may wait to be accepted.
BACKLOG = 512


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listener:
    """A bound socket and its address."""

    #: The listening socket.
    socket: socket.socket
    #: Where it listens, ``ip:port``.
    address: str


def split_address(address: str) -> tuple[str, int]:
    """Return the IP and the port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def listen(address: str) -> Listener:
    """Return a socket that listens on ``address``; port 0 takes a free one."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(split_address(address))
    bound.listen(BACKLOG)
    bound.setblocking(False)
    host, port = bound.getsockname()
    return Listener(socket=bound, address=f"{host}:{port}")


def hand_over(listener: Listener) -> str:
    """Return the ``fd://`` name under which a server takes the socket over for good.

    The listener gives its descriptor up, since a descriptor with two owners is closed twice, the
    second time when the number may already belong to another file.
    """
    return f"fd://{listener.socket.detach()}"
