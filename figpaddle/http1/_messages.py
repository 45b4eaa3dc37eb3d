"""Requests and header fields, shared by client and server."""

from __future__ import annotations

import dataclasses

#: Header fields in their order; names keep their original case.
Headers = tuple[tuple[bytes, bytes], ...]

#: Fields that apply to one connection only and are never forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


#: Size from which a part of a message is sent by itself, bytes; joining it with others would copy it.
LONG_PART_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """A complete request."""

    #: Method, as sent.
    method: bytes
    #: Path and query, as sent.
    target: bytes
    #: All header fields.
    headers: Headers
    #: The body, without its transfer coding.
    body: bytes
    #: IP address of the caller.
    caller: str
    #: Time at which its last byte was read, seconds of the monotonic clock.
    received_at: float
    #: Time since when its first byte has come, seconds of the monotonic clock. A busy process reads it
    #: later, but its sender's clock for the answer has been running.
    arrived_after: float
    #: Longest time for which bytes of it can have waited until they were read, seconds.
    unread_s: float = 0.0

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.split(b"?", 1)[0]

    @property
    def query(self) -> bytes:
        """The query without its question mark; empty if there is none."""
        return self.target.partition(b"?")[2]


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a field, or None; ``name`` is in lowercase."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def header_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return all values of a field; ``name`` is in lowercase."""
    return [value for key, value in headers if key.lower() == name]


def with_header(headers: Headers, name: bytes, value: bytes) -> Headers:
    """Return ``headers`` with ``value`` as the only value of ``name``."""
    rest = tuple(field for field in headers if field[0].lower() != name.lower())
    return (*rest, (name, value))


def end_to_end(headers: Headers) -> Headers:
    """Return the end-to-end fields, which may be forwarded on another connection.

    >>> end_to_end(((b"Connection", b"close, X-One"), (b"X-One", b"1"), (b"Accept", b"*/*")))
    ((b'Accept', b'*/*'),)
    """
    excluded = set(HOP_BY_HOP_FIELDS)
    for value in header_values(headers, b"connection"):
        excluded |= {token.strip().lower() for token in value.split(b",")}
    return tuple(field for field in headers if field[0].lower() not in excluded)


def joined_parts(parts: list[bytes]) -> list[bytes]:
    """Return the parts of a message with the short ones joined, so that few writes send them.

    >>> joined_parts([b"head", b"body"])
    [b'headbody']
    """
    joined: list[bytes] = []
    short: list[bytes] = []
    for part in parts:
        if len(part) < LONG_PART_BYTES:
            short.append(part)
            continue
        joined += [b"".join(short), part]
        short = []
    return [part for part in (*joined, b"".join(short)) if part]
