"""A bounded buffer in front of standard output that never blocks the event loop."""

from __future__ import annotations

import collections
import os

#: Bytes of lines that wait for a slow reader before ordinary ones are dropped.
MAX_BUFFERED_BYTES = 512 * 1024
#: Bytes that lines about failures may use beyond that.
FAILURE_RESERVE_BYTES = 128 * 1024
#: Most bytes written at once.
MAX_WRITE_BYTES = 64 * 1024
#: Marks that make a line one about a failure.
FAILURE_MARKS = ("level=warning", "level=error", "level=critical")


class BoundedWriter:
    """Takes lines as a file does and writes them when ``flush_some`` is called.

    Once the buffer is full, lines about ordinary successes are dropped first; the number of
    dropped lines is written as a line of its own as soon as there is room.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._dropped = 0
        self._dropped_total = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped so far."""
        return self._dropped_total

    @property
    def buffered_bytes(self) -> int:
        """Bytes that wait to be written."""
        return self._size

    def write(self, text: str) -> int:
        """Buffer ``text`` or drop it; return its length."""
        limit = MAX_BUFFERED_BYTES
        if any(mark in text for mark in FAILURE_MARKS):
            limit += FAILURE_RESERVE_BYTES
        data = text.encode()
        if self._size + len(data) > limit:
            self._dropped += 1
            self._dropped_total += 1
            return len(text)
        if self._dropped:
            notice = f"level=warning event=log_lines_dropped lines={self._dropped}\n".encode()
            self._dropped = 0
            self._append(notice)
        self._append(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written by ``flush_some``."""

    def flush_some(self) -> None:
        """Write what the reader takes without waiting for it."""
        while self._lines:
            chunk = bytearray()
            while self._lines and len(chunk) < MAX_WRITE_BYTES:
                chunk += self._lines.popleft()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone for good, so that nobody misses the lines.
                self._lines.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(chunk):
                self._lines.appendleft(bytes(chunk[written:]))
                return

    def _append(self, data: bytes) -> None:
        self._lines.append(data)
        self._size += len(data)
