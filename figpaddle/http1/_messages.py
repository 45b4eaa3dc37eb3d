"""Requests and headers as both directions see them."""

from __future__ import annotations

import dataclasses

#: Header fields in their order; names keep the case in which they came.
Headers = tuple[tuple[bytes, bytes], ...]

#: Fields that concern one connection only and are never passed on (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """A whole request."""

    #: Method, as sent.
    method: bytes
    #: Path and query, as sent.
    target: bytes
    #: All header fields.
    headers: Headers
    #: The body without its transfer coding.
    body: bytes
    #: IP address of the caller.
    caller: str
    #: When its last byte was read, seconds of the steady clock.
    received_at: float

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
    """Return ``headers`` with one value for ``name``, in place of those it had."""
    rest = tuple(field for field in headers if field[0].lower() != name.lower())
    return (*rest, (name, value))


def end_to_end(headers: Headers) -> Headers:
    """Return the fields that may be passed on to the next connection.

    >>> end_to_end(((b"Connection", b"close, X-One"), (b"X-One", b"1"), (b"Accept", b"*/*")))
    ((b'Accept', b'*/*'),)
    """
    named = set(HOP_BY_HOP)
    for value in header_values(headers, b"connection"):
        named |= {token.strip().lower() for token in value.split(b",")}
    return tuple(field for field in headers if field[0].lower() not in named)
