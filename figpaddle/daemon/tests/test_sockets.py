"""A listening socket has one owner at a time."""

from __future__ import annotations

import os

from figpaddle.daemon._sockets import detach_to_fd_address, listen


def test_descriptor_handed_over_is_not_closed_by_its_former_owner() -> None:
    listener = listen("127.0.0.1:0")
    descriptor = int(detach_to_fd_address(listener).removeprefix("fd://"))
    listener.socket.close()
    os.fstat(descriptor)
    os.close(descriptor)
