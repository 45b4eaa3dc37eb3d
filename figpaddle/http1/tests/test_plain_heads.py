"""Heads are read and written as the library's parser alone does it, whoever takes them."""

from __future__ import annotations

import random

import h11
import pytest

from figpaddle.http1._client import _head_of
from figpaddle.http1._client_parser import ClientParser
from figpaddle.http1._plain_heads import (
    PlainRequestHead,
    PlainResponseHead,
    encode_request_head,
    encode_response_head,
    read_request_head,
    read_response_head,
)
from figpaddle.http1._server_parser import ServerParser

PLAIN_FIELDS = (
    (b"Content-Length", b"2"),
    (b"Transfer-Encoding", b"chunked"),
    (b"X-One", b"a b  c"),
    (b"x-long", b"x" * 30000),
    (b"a!#$%&'*+.^_`|~", b""),
    (b"Transfer-Encoding", b"Chunked"),
    (b"Connection", b"close"),
    (b"connection", b"Keep-Alive"),
)
NAMES = (b"Host", b"host", b"Content-Length", b"content-length", b"Transfer-Encoding") + (
    (b"Connection", b"Upgrade", b"Expect", b"X-One", b"Accept", b"")
)
ODD_NAMES = (b"X One", b"X-One ", b" X-One", b"X\x00", b"X\xe9", b"\tX", b"X\r", b"X\nY", b"X(")
VALUES = (
    b"",
    b"0",
    b"2",
    b"2",
    b"007",
    b"chunked",
    b"close",
    b"keep-alive",
    b"a b  c",
    b"x" * 30000,
)
ODD_VALUES = (
    (b"2, 2", b"+2", b"-1", b"1e1", b"2 2", b"9" * 25, b"CHUNKED", b"gzip, chunked", b"\x0b")
    + (b"close, x", b"100-continue", b"h2c", b"a\tb", b"\xe9", b"a\x01", b"a\x00b", b"a\x7f", b"\t")
    + (b"a\r\n b", b"a\nX-Two: b", b"a\rb", b"a\x0bb", b" " * 5000 + b"a")
)
REQUEST_LINES = (b"GET / HTTP/1.1", b"POST /a?b=c HTTP/1.1", b"PUT /%20 HTTP/1.1") * 6 + (
    (b"HEAD / HTTP/1.1", b"CONNECT a:1 HTTP/1.1", b"get / HTTP/1.1", b"GET / HTTP/1.0")
    + (b"GET  / HTTP/1.1", b"GET /\xe9 HTTP/1.1", b"GET / HTTP/1.1 ", b"\x16\x03", b"GET /")
)
STATUS_LINES = (b"HTTP/1.1 200 OK", b"HTTP/1.1 503 ", b"HTTP/1.1 404", b"HTTP/1.1 200 a b") * 6 + (
    (b"HTTP/1.1 204 x", b"HTTP/1.1 304 x", b"HTTP/1.1 100 x", b"HTTP/1.1 000 x", b"HTTP/1.0 200 OK")
    + (
        b"HTTP/1.1 600 x",
        b"HTTP/1.1 20 x",
        b"HTTP/1.1 2000",
        b"HTTP/1.1  200 a",
        b"HTTP/1.1 200 \xe9",
    )
)
BODIES = (
    b"",
    b"ab",
    b"1234567",
    b"2\r\nab\r\n0\r\n\r\n",
    b"3\r\nab",
    b"\r\n",
    b"GET / HTTP/1.1\r\n",
)


def _fields(rng: random.Random, *, odd: float) -> list[tuple[bytes, bytes]]:
    fields = [(b"Host", b"a")] if rng.random() < 0.9 else []
    for _ in range(rng.randint(0, 4)):
        if rng.random() < 0.7:
            fields.append(rng.choice(PLAIN_FIELDS))
            continue
        name = rng.choice(ODD_NAMES if rng.random() < odd else NAMES)
        fields.append((name, rng.choice(ODD_VALUES if rng.random() < odd else VALUES)))
    rng.shuffle(fields)
    return fields


def _head(rng: random.Random, lines: tuple[bytes, ...]) -> bytes:
    odd = rng.choice((0.0, 0.0, 0.2))
    head = rng.choice(lines) + b"\r\n"
    for name, value in _fields(rng, odd=odd):
        space = rng.choice((b" ", b" ", b"", b"  ", b"\t" if odd else b""))
        end = b"\n" if rng.random() < odd / 4 else b"\r\n"
        head += name + b":" + space + value + rng.choice((b"", b"", b" ")) + end
        if rng.random() < odd / 4:
            head += rng.choice((b" folded\r\n", b"\tfolded\r\n", b"no colon\r\n", b"\n"))
    return head + (b"\n" if rng.random() < odd / 4 else b"\r\n")


def _events(
    parser: h11.Connection | ServerParser | ClientParser, pieces: list[bytes]
) -> list[object]:
    """Return what a parser reads from some input and the end of the connection, its errors included."""
    events: list[object] = []
    body = b""
    for piece in pieces:
        body += parser.receive_data(piece) or b""
        while True:
            try:
                event = parser.next_event()
            except (h11.RemoteProtocolError, ValueError) as error:
                return [*events, body, getattr(error, "error_status_hint", None)]
            if isinstance(event, bytes | h11.Data):
                body += event if isinstance(event, bytes) else event.data
                continue
            if isinstance(event, PlainRequestHead | h11.Request):
                events.append((event.method, event.target))
            elif isinstance(event, PlainResponseHead):
                events.append(event.status)
            elif isinstance(event, h11.Response | h11.InformationalResponse):
                events.append(event.status_code)
            if isinstance(event, PlainRequestHead | PlainResponseHead):
                events.append(event.headers)
            elif isinstance(event, h11.Request | h11.Response | h11.InformationalResponse):
                events.append(tuple(event.headers.raw_items()))
            elif isinstance(event, h11.EndOfMessage):
                left = (
                    len(parser.trailing_data[0])
                    if isinstance(parser, h11.Connection)
                    else parser.unparsed_bytes
                )
                return [*events, body, "end", left]
            elif event in (h11.NEED_DATA, h11.PAUSED) or isinstance(event, h11.ConnectionClosed):
                break
    return [*events, body]


def _cut(rng: random.Random, data: bytes) -> list[bytes]:
    cuts = sorted(rng.sample(range(1, len(data)), min(len(data) - 1, rng.choice((0, 0, 1, 5)))))
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]


def _send(
    parser: h11.Connection | ServerParser, rng: random.Random, chunks: list[bytes]
) -> tuple[list[bytes], bool, bool]:
    """Send a response drawn by ``rng``; return its bytes, whether it failed and whether another may come."""
    status = rng.choice((200, 200, 404, 503, 204, 304, 599, 600, 150))
    fields = [(b"X-One", b"a b")]
    if rng.random() < 0.3:
        fields = [field for field in _fields(rng, odd=0.1) if len(field[1]) < 100]
    closes, has_length = rng.random() < 0.3, rng.random() < 0.5
    length = sum(map(len, chunks)) + rng.choice((0, 0, 0, 1, -1)) if has_length else None
    sent: list[bytes] = []
    try:
        if isinstance(parser, ServerParser):
            sent.append(parser.encode_head(status, tuple(fields), length=length, closes=closes))
            sent += [parser.encode_data(chunk) for chunk in chunks]
            sent.append(parser.encode_end())
            return sent, False, parser.can_continue
        if length is not None:
            fields.append((b"Content-Length", b"%d" % length))
        if closes:
            fields.append((b"Connection", b"close"))
        sent.append(parser.send(h11.Response(status_code=status, headers=fields)))
        sent += [parser.send(h11.Data(data=chunk)) for chunk in chunks]
        sent.append(parser.send(h11.EndOfMessage()))
        return sent, False, parser.our_state is parser.their_state is h11.DONE
    except h11.LocalProtocolError:
        has_failed = (
            parser.has_failed if isinstance(parser, ServerParser) else parser.our_state is h11.ERROR
        )
        return sent, has_failed, False


@pytest.mark.parametrize("seed", range(20))
def test_requests_and_their_responses_are_those_of_the_library(seed: int) -> None:
    rng = random.Random(seed)
    plain = 0
    for _ in range(250):
        data = _head(rng, REQUEST_LINES) + rng.choice(BODIES)
        plain += read_request_head(data) is not None
        pieces = _cut(rng, data)
        library = h11.Connection(h11.SERVER, max_incomplete_event_size=1 << 20)
        parser = ServerParser()
        expected = _events(library, pieces)
        assert _events(parser, pieces) == expected, data
        chunks = [rng.choice((b"", b"a", b"ab" * 40)) for _ in range(rng.randint(0, 3))]
        draws = rng.getrandbits(32)
        assert _send(parser, random.Random(draws), chunks) == _send(
            library, random.Random(draws), chunks
        ), data
    assert plain > 10


@pytest.mark.parametrize("seed", range(20))
def test_responses_are_those_that_the_library_reads(seed: int) -> None:
    rng = random.Random(seed)
    plain = 0
    for _ in range(250):
        data = _head(rng, STATUS_LINES) + rng.choice(BODIES)
        plain += read_response_head(data) is not None
        pieces = [*_cut(rng, data), b""]
        library, parser = h11.Connection(h11.CLIENT), ClientParser()
        method = rng.choice((b"GET", b"POST", b"HEAD"))
        library.send(h11.Request(method=method, target=b"/", headers=[(b"Host", b"a")]))
        library.send(h11.EndOfMessage())
        parser.encode_request(method=method, target=b"/", headers=((b"Host", b"a"),), body=b"")
        assert _events(parser, pieces) == _events(library, pieces), data
        is_done = library.our_state is library.their_state is h11.DONE
        assert parser.can_continue <= is_done, data
        if is_done and read_response_head(data) is not None:
            assert parser.can_continue, data
    assert plain > 10


@pytest.mark.parametrize("seed", range(20))
def test_requests_are_written_as_the_library_writes_them(seed: int) -> None:
    rng = random.Random(seed)
    for _ in range(250):
        method, target = rng.choice((b"GET", b"POST", b"get", b"A B")), rng.choice((b"/a", b"/ b"))
        headers, body = tuple(_fields(rng, odd=0.1)), rng.choice((b"", b"ab"))
        library = h11.Connection(h11.CLIENT)
        expected = b""
        try:
            request = h11.Request(method=method, target=target, headers=list(headers))
            for event in (request, h11.Data(data=body), h11.EndOfMessage()):
                expected += library.send(event) or b""
        except h11.LocalProtocolError:
            assert (
                encode_request_head(
                    method=method, target=target, headers=headers, body_bytes=len(body)
                )
                is None
            )
            continue
        parts = ClientParser().encode_request(
            method=method, target=target, headers=headers, body=body
        )
        assert b"".join(parts) == expected


def test_a_field_cannot_carry_another() -> None:
    for field in ((b"X", b"a\r\nY: b"), (b"X: a\r\nY", b"b"), (b"X", b"a\nY: b"), (b"X", b" a")):
        headers = ((b"Host", b"a"), field)
        assert (
            encode_request_head(method=b"GET", target=b"/", headers=headers, body_bytes=0) is None
        )
        assert (
            encode_response_head(
                status=200, headers=(field,), length=0, closes=False, keeps_open=True
            )
            is None
        )


def test_a_head_whose_body_comes_later_is_continued_on_either_way() -> None:
    """The request is refused while its body still comes, and the library writes the refusal."""
    parser = ServerParser()
    parser.receive_data(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc")
    assert isinstance(parser.next_event(), PlainRequestHead)
    head = parser.encode_head(413, ((b"Connection", b"close"),), length=0, closes=False)
    assert head == b"HTTP/1.1 413 \r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    assert parser.encode_end() == b"" and not parser.can_continue


@pytest.mark.parametrize("value", [b"plain", b"\xe9"])
def test_a_request_with_a_body_gets_its_response_after_one_to_another_request(
    value: bytes,
) -> None:
    parser = ClientParser()
    headers = ((b"Host", b"a"), (b"Content-Length", b"2"), (b"X-One", value))
    parser.encode_request(method=b"POST", target=b"/", headers=headers, body=b"ab")
    first = b"HTTP/1.1 200 \r\nContent-Length: 1\r\n\r\n1"
    second = b"HTTP/1.1 404 \r\nContent-Length: 1\r\n\r\n2"
    events = _events(parser, [first + second])
    assert (events[0], events[2]) == (200, b"1")
    parser.expect_another_response()
    assert isinstance(event := parser.next_event(), PlainResponseHead | h11.Response)
    assert _head_of(event).status == 404
