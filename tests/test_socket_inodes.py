"""The inode of a connection's socket is found among all sockets of the machine."""

from __future__ import annotations

import os
import socket

from tests.socket_inodes import inode_of


def test_each_end_of_a_connection_has_its_inode() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as client,
        listener.accept()[0] as server,
    ):
        for end in (client, server):
            inode = inode_of(end.getsockname(), end.getpeername())
            assert inode == os.fstat(end.fileno()).st_ino


def test_two_connections_to_one_address_are_told_apart() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
        with (
            socket.create_connection(address) as first,
            socket.create_connection(address) as second,
        ):
            inodes = [inode_of(end.getsockname(), address) for end in (first, second)]
            assert inodes == [os.fstat(end.fileno()).st_ino for end in (first, second)]


def test_a_connection_that_does_not_exist_has_none() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        with socket.create_connection(listener.getsockname()) as client:
            local, remote = client.getsockname(), client.getpeername()
        assert inode_of(local, (remote[0], 1)) is None


def test_a_closed_connection_has_none() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        with socket.create_connection(listener.getsockname()) as client:
            local, remote = client.getsockname(), client.getpeername()
            server, _ = listener.accept()
        server.close()
        assert inode_of(local, remote) is None
