"""Looks up the socket of a TCP connection in the kernel, whichever process has it."""

from __future__ import annotations

import socket
import struct

Address = tuple[str, int]

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_STATES = ANY_COOKIE = 0xFFFFFFFF
#: struct nlmsghdr.
HEADER = struct.Struct("=IHHII")
#: struct inet_diag_req_v2 without its socket, and struct inet_diag_sockid without its addresses.
REQUEST = struct.Struct("=BBBBI")
PORTS, INTERFACE_AND_COOKIE = struct.Struct("!HH"), struct.Struct("=III")
#: struct inet_diag_msg: its four bytes, a socket and four numbers stand before the inode.
INODE = struct.Struct("=4x48x16xI")
IPV6_PADDING = bytes(12)
REPLY_BYTES = 8192


def inode_of(local: Address, remote: Address) -> int | None:
    """Return the inode of the socket from ``local`` to ``remote``, None if there is none.

    Unlike a search of /proc/net/tcp, it takes no longer where the machine has thousands of sockets.
    """
    payload = b"".join(
        (
            REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES),
            PORTS.pack(local[1], remote[1]),
            socket.inet_aton(local[0]) + IPV6_PADDING,
            socket.inet_aton(remote[0]) + IPV6_PADDING,
            INTERFACE_AND_COOKIE.pack(0, ANY_COOKIE, ANY_COOKIE),
        )
    )
    length = HEADER.size + len(payload)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as kernel:
        kernel.send(HEADER.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0) + payload)
        reply = kernel.recv(REPLY_BYTES)
    _, kind, _, _, _ = HEADER.unpack_from(reply)
    if kind != SOCK_DIAG_BY_FAMILY:
        return None
    (inode,) = INODE.unpack_from(reply, HEADER.size)
    return int(inode) or None
