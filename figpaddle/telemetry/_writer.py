"""A bounded log buffer in front of standard output that never blocks the event loop."""

from __future__ import annotations

import collections
import os
import re

#: Buffer size above which lines of ordinary levels are dropped, bytes.
MAX_BUFFERED_BYTES = 512 * 1024
#: Additional buffer space for lines that report failures, bytes.
FAILURE_RESERVE_BYTES = 128 * 1024
#: Size from which on no further lines are added to one write, bytes.
MAX_WRITE_BYTES = 64 * 1024
#: Matches lines that report failures by their level.
FAILURE_LEVELS = re.compile("level=(?:warning|error|critical)")


class BoundedWriter:
    """A file-like object that buffers lines and writes them in ``write_available``.

    When the reader of the output is slow and the buffer is full, lines below the warning level are
    dropped first. The number of dropped lines is logged before the next line that fits.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._unreported_drops = 0
        self._dropped_total = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped_total(self) -> int:
        """Number of lines dropped so far."""
        return self._dropped_total

    @property
    def buffered_bytes(self) -> int:
        """Size of the lines not yet written, bytes."""
        return self._buffered_bytes

    def write(self, text: str) -> int:
        """Buffer ``text``, or drop it if the buffer is full; return its length."""
        limit = MAX_BUFFERED_BYTES
        if FAILURE_LEVELS.search(text) is not None:
            limit += FAILURE_RESERVE_BYTES
        data = text.encode(errors="backslashreplace")
        if self._buffered_bytes + len(data) > limit:
            self._unreported_drops += 1
            self._dropped_total += 1
            return len(text)
        if self._unreported_drops:
            notice = (
                f"level=warning event=log_lines_dropped lines={self._unreported_drops}\n".encode()
            )
            self._unreported_drops = 0
            self._buffer(notice)
        self._buffer(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written by ``write_available``."""

    def write_available(self) -> None:
        """Write as much as the reader accepts without blocking."""
        while self._lines:
            chunk = bytearray()
            while self._lines and len(chunk) < MAX_WRITE_BYTES:
                chunk += self._lines.popleft()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the output, so nobody will read the lines.
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(chunk):
                self._lines.appendleft(bytes(chunk[written:]))
                return

    def _buffer(self, data: bytes) -> None:
        self._lines.append(data)
        self._buffered_bytes += len(data)
