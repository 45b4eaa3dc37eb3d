"""Reads and writes plain heads of messages; all others are left to the parser of the library.

The library's parser takes every head apart several times, which costs more processor time than placing
the request. Nearly all heads are plain: whole in one read, in printable ASCII, with at most one length.
Whatever isn't plainly so is refused here with None, also where it is valid.
"""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Iterable

from figpaddle.http1._messages import Headers

_TOKEN = rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]++"
#: The fields of a head and its end. No part of them is matched in two ways, so that a long head takes
#: linear time.
_FIELDS = rb"((?:" + _TOKEN + rb":[\x20-\x7e]*+\r\n)*+)\r\n"
_REQUEST = re.compile(rb"([A-Z]++) ([\x21-\x7e]++) HTTP/1\.1\r\n" + _FIELDS)
_RESPONSE = re.compile(rb"HTTP/1\.1 ([2-5][0-9][0-9])(?: [\x20-\x7e]*+)?\r\n" + _FIELDS)
_FIELD = re.compile(rb"([^:]++):([^\r]*+)\r\n")
_NAME = re.compile(_TOKEN)
#: A value that is sent as it is: printable ASCII without a space at either end.
_VALUE = re.compile(rb"(?:[\x21-\x7e]++(?: ++[\x21-\x7e]++)*+)?")
_METHOD = re.compile(rb"[A-Z]++")
_TARGET = re.compile(rb"[\x21-\x7e]++")
_LENGTH = re.compile(rb"[0-9]{1,15}")
#: Fields that decide where a message ends and what becomes of the connection.
_FRAMING_FIELDS = frozenset(
    {b"host", b"content-length", b"transfer-encoding", b"connection", b"upgrade", b"expect"}
)
#: Methods whose responses are framed in a way of their own.
UNUSUAL_METHODS = frozenset({b"HEAD", b"CONNECT"})
#: Statuses of responses without a body, whatever their fields say.
_BODILESS_STATUSES = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlainRequestHead:
    """The head of a request."""

    #: Method, as sent.
    method: bytes
    #: Path and query, as sent.
    target: bytes
    #: All header fields, of which exactly one is Host.
    headers: Headers
    #: Size of the body, bytes.
    length: int
    #: Whether the client allows another request on the connection.
    keeps_open: bool
    #: Size of the head, bytes.
    size: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlainResponseHead:
    """The head of a response that isn't an interim one."""

    #: HTTP status code.
    status: int
    #: All header fields.
    headers: Headers
    #: Size of the body, bytes; None if it has chunked coding.
    length: int | None
    #: Whether the server allows another request on the connection.
    keeps_open: bool
    #: Size of the head, bytes.
    size: int


def read_request_head(data: bytes) -> PlainRequestHead | None:
    """Return the head at the front of ``data``, or None if it isn't whole or isn't plain.

    >>> head = read_request_head(b"POST /a HTTP/1.1\\r\\nHost: b\\r\\nContent-Length: 2\\r\\n\\r\\n{}")
    >>> head.method, head.target, head.length, head.keeps_open
    (b'POST', b'/a', 2, True)
    >>> read_request_head(b"GET /a HTTP/1.1\\r\\nHost: b\\r\\n folded\\r\\n\\r\\n") is None
    True
    """
    match = _REQUEST.match(data)
    if match is None:
        return None
    method, target, block = match.groups()
    headers = _split_fields(block)
    framing = _framing_fields(headers)
    if framing is None or not framing.keys().isdisjoint(
        (b"transfer-encoding", b"upgrade", b"expect")
    ):
        return None
    length = framing.get(b"content-length", b"0")
    keeps_open = _keeps_open(framing)
    if b"host" not in framing or keeps_open is None or _LENGTH.fullmatch(length) is None:
        return None
    if method in UNUSUAL_METHODS:
        return None
    return PlainRequestHead(
        method=method,
        target=target,
        headers=headers,
        length=int(length),
        keeps_open=keeps_open,
        size=match.end(),
    )


def read_response_head(data: bytes) -> PlainResponseHead | None:
    """Return the head at the front of ``data``, or None if it isn't whole or isn't plain.

    The request must not have had one of the methods that ``encode_request_head`` leaves out.
    """
    match = _RESPONSE.match(data)
    if match is None:
        return None
    status = int(match[1])
    headers = _split_fields(match[2])
    framing = _framing_fields(headers)
    if framing is None or status in _BODILESS_STATUSES:
        return None
    length, coding = framing.get(b"content-length"), framing.get(b"transfer-encoding")
    keeps_open = _keeps_open(framing)
    if keeps_open is None or (length is None) is (coding is None):
        return None
    if coding is not None and coding != b"chunked":
        return None
    if length is not None and _LENGTH.fullmatch(length) is None:
        return None
    return PlainResponseHead(
        status=status,
        headers=headers,
        length=None if length is None else int(length),
        keeps_open=keeps_open,
        size=match.end(),
    )


def encode_request_head(
    *, method: bytes, target: bytes, headers: Headers, body_bytes: int
) -> bytes | None:
    """Return the head of a request, or None if it isn't plain or doesn't state the size of its body.

    >>> encode_request_head(method=b"GET", target=b"/", headers=((b"Host", b"a"),), body_bytes=0)
    b'GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n'
    """
    if method in UNUSUAL_METHODS or not (_METHOD.fullmatch(method) and _TARGET.fullmatch(target)):
        return None
    framing = _framing_fields(headers)
    if framing is None or not framing.keys() <= {b"host", b"content-length"}:
        return None
    if b"host" not in framing or framing.get(b"content-length", b"0") != b"%d" % body_bytes:
        return None
    if headers[0][0].lower() != b"host":
        # It is sent first, whatever its place.
        headers = tuple(sorted(headers, key=lambda field: field[0].lower() != b"host"))
    fields = _join_fields(headers)
    if fields is None:
        return None
    return b"%b %b HTTP/1.1\r\n%b\r\n" % (method, target, fields)


def encode_response_head(
    *, status: int, headers: Headers, length: int | None, closes: bool, keeps_open: bool
) -> bytes | None:
    """Return the head of a response, or None if it isn't plain.

    The body is chunked if ``length`` is None. ``keeps_open`` tells whether the client allows another
    request on the connection, and ``closes`` whether the server ends it all the same.

    >>> encode_response_head(status=200, headers=(), length=2, closes=False, keeps_open=True)
    b'HTTP/1.1 200 \\r\\nContent-Length: 2\\r\\n\\r\\n'
    """
    if not 200 <= status < 600 or status in _BODILESS_STATUSES or _framing_fields(headers) != {}:
        return None
    fields = _join_fields(headers)
    if fields is None or (length is not None and length < 0):
        return None
    close = b"Connection: close\r\n" if closes or not keeps_open else b""
    if length is not None:
        return b"HTTP/1.1 %d \r\n%bContent-Length: %d\r\n%b\r\n" % (status, fields, length, close)
    ends = (b"Transfer-Encoding: chunked\r\n", close)
    first, last = ends if not keeps_open else ends[::-1]
    return b"HTTP/1.1 %d \r\n%b%b%b\r\n" % (status, fields, first, last)


def _split_fields(block: bytes) -> Headers:
    return tuple([(name, value.strip(b" ")) for name, value in _FIELD.findall(block)])


def _join_fields(headers: Iterable[tuple[bytes, bytes]]) -> bytes | None:
    lines = []
    for name, value in headers:
        if _NAME.fullmatch(name) is None or _VALUE.fullmatch(value) is None:
            return None
        lines.append(b"%b: %b\r\n" % (name, value))
    return b"".join(lines)


def _framing_fields(headers: Headers) -> dict[bytes, bytes] | None:
    """Return the framing fields by their names in lowercase; None if one is repeated."""
    framing: dict[bytes, bytes] = {}
    for name, value in headers:
        lowered = name.lower()
        if lowered in _FRAMING_FIELDS:
            if lowered in framing:
                return None
            framing[lowered] = value
    return framing


def _keeps_open(framing: dict[bytes, bytes]) -> bool | None:
    """Return whether the sender keeps the connection open; None if its field isn't plain."""
    value = framing.get(b"connection")
    if value is None:
        return True
    return {b"keep-alive": True, b"close": False}.get(value.lower())
