"""When datagrams arrived that a socket holds until the process reads them."""

from __future__ import annotations

import contextlib
import socket
import struct
import sys
from collections.abc import Callable

#: Socket option with which Linux tells, beside each datagram, when it arrived; the message beside it
#: has the same number.
SO_TIMESTAMPNS = 35
#: Seconds and nanoseconds of Unix time.
_TIMESTAMP = struct.Struct("@ll")
_TIMESTAMP_BESIDE = (socket.SOL_SOCKET, SO_TIMESTAMPNS, _TIMESTAMP.size)


class DatagramTimes:
    """Reads datagrams from a socket with the time of their arrival, by the process's own clock.

    A process that stood still finds datagrams of all that time, and what they tell of their senders may
    hold no longer. Without times from the kernel they count as having come as they are read.
    """

    def __init__(
        self, datagrams: socket.socket, *, clock: Callable[[], float], wall: Callable[[], float]
    ) -> None:
        self._datagrams = datagrams
        self._clock = clock
        self._wall = wall
        #: When the socket was last empty; what is read later came later, whatever the wall clock does.
        self._empty_at = clock()
        if sys.platform == "linux":
            with contextlib.suppress(OSError):
                datagrams.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)

    def receive(self, max_bytes: int) -> tuple[bytes, float]:
        """Return the next datagram and when it arrived; raises BlockingIOError if there is none."""
        now = self._clock()
        try:
            data, beside, _, _ = self._datagrams.recvmsg(
                max_bytes, socket.CMSG_SPACE(_TIMESTAMP.size)
            )
        except BlockingIOError:
            self._empty_at = now
            raise
        for level, kind, content in beside:
            if (level, kind, len(content)) == _TIMESTAMP_BESIDE:
                seconds, nanoseconds = _TIMESTAMP.unpack(content)
                age_s = self._wall() - (seconds + nanoseconds / 1e9)
                return data, min(now, max(self._empty_at, now - age_s))
        return data, now
