"""Reads the whole chunks at the front of a body with chunked coding."""

from __future__ import annotations

import re

#: The line before a chunk of at least one byte, without extensions or leading zeros.
_CHUNK_LINE = re.compile(rb"([1-9A-Fa-f][0-9A-Fa-f]{0,6})\r\n")
_CHUNK_END = b"\r\n"


def take_whole_chunks(data: bytes) -> tuple[bytes, bytes]:
    """Return the content of the whole chunks at the front of ``data``, and the bytes that follow them.

    ``data`` begins where a chunk may begin. Streams arrive as one small chunk in one read, for which the
    states and events of the parser cost several times what this does. The last chunk of a body, a part of
    a chunk, and anything unusual are left to the parser.

    >>> take_whole_chunks(b"3\\r\\nabc\\r\\n2\\r\\nde\\r\\n4\\r\\nf")
    (b'abcde', b'4\\r\\nf')
    >>> take_whole_chunks(b"0\\r\\n\\r\\n")
    (b'', b'0\\r\\n\\r\\n')
    """
    pieces: list[bytes] = []
    position = 0
    while (line := _CHUNK_LINE.match(data, position)) is not None:
        begins_at = line.end()
        ends_at = begins_at + int(line[1], 16)
        if data[ends_at : ends_at + len(_CHUNK_END)] != _CHUNK_END:
            break
        pieces.append(data[begins_at:ends_at])
        position = ends_at + len(_CHUNK_END)
    return b"".join(pieces), data[position:]


def encode_chunk(data: bytes) -> bytes:
    """Return ``data``, at least one byte, as one chunk.

    >>> encode_chunk(b"0123456789abcdef")
    b'10\\r\\n0123456789abcdef\\r\\n'
    """
    return b"%x\r\n%b\r\n" % (len(data), data)
