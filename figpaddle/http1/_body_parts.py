"""Keeps a body while it arrives."""

from __future__ import annotations

#: Largest part, bytes. One buffer that grows is moved several times on its way to a long body, and beside
#: others that grow it leaves gaps behind that none of them fits into.
MAX_PART_BYTES = 64 * 1024


class BodyParts:
    """The pieces of a body, joined into parts of a bounded size, so that tiny pieces cost no memory of their own.

    >>> body = BodyParts()
    >>> for piece in (b"ab", b"c", b"d" * MAX_PART_BYTES):
    ...     body.add(piece)
    >>> body.size - MAX_PART_BYTES, body.take()[:4], body.size
    (3, b'abcd', 0)
    """

    def __init__(self) -> None:
        self._parts: list[bytearray] = []
        self._size = 0

    @property
    def size(self) -> int:
        """Bytes that are kept."""
        return self._size

    def add(self, piece: bytes | bytearray) -> None:
        """Add the next piece."""
        if not self._parts or len(self._parts[-1]) + len(piece) > MAX_PART_BYTES:
            self._parts.append(bytearray())
        self._parts[-1] += piece
        self._size += len(piece)

    def take(self) -> bytes:
        """Return the whole body and keep nothing of it."""
        whole = b"".join(self._parts)
        self._parts.clear()
        self._size = 0
        return whole
