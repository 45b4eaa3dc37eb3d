"""Chunked bodies are read alike however their bytes are cut and whoever reads a chunk."""

from __future__ import annotations

import random

import h11
import pytest

from figpaddle.errors import TransportError
from figpaddle.http1._client import HttpClientConnection
from figpaddle.http1._whole_chunks import encode_chunk

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class _CutChannel:
    """Gives the bytes of an answer in pieces, and then the end of the connection."""

    peer, closed, peer_close = "server:1", False, None

    def __init__(self, pieces: list[bytes]) -> None:
        self._pieces = pieces
        self.received_bytes = 0

    @property
    def unread_bytes(self) -> int:
        return sum(map(len, self._pieces))

    async def send(self, data: bytes) -> None:
        pass

    async def wait_for_input(self) -> None:
        pass

    def read_buffered(self) -> bytes:
        data = self._pieces.pop(0) if self._pieces else b""
        self.received_bytes += len(data)
        return data


async def _read(pieces: list[bytes]) -> bytes:
    connection = HttpClientConnection(channel=_CutChannel(pieces), opened_at=0.0)  # type: ignore
    await connection.send(method=b"GET", target=b"/", headers=((b"Host", b"a"),), body=b"")
    await connection.read_head(lambda _: True)
    return await connection.read_whole_body(max_bytes=1 << 20)


def _parsed(answer: bytes) -> bytes | None:
    """Return the body that the parser alone finds in a whole answer; None if it refuses it."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"a")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(answer)
    parser.receive_data(b"")
    body = b""
    try:
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            body += event.data if isinstance(event, h11.Data) else b""
    except h11.RemoteProtocolError:
        return None
    return body


@pytest.mark.anyio
@pytest.mark.parametrize("seed", range(60))
async def test_a_body_is_the_one_that_the_parser_finds(seed: int) -> None:
    rng = random.Random(seed)
    chunks = [
        rng.choice(
            (
                encode_chunk(b"ab" * rng.randint(1, 40)),
                encode_chunk(b"3\r\nabc\r\n"),
                b"2;name=value\r\nde\r\n",
                b"0002\r\nfg\r\n",
                b"A \r\n0123456789\r\n",
            )
        )
        for _ in range(12)
    ]
    if seed % 3 == 0:
        faulty = (
            b"3\r\nabcd\r\n",
            b"g\r\na\r\n",
            b"1\na\n",
            b"\r\n",
            b"-1\r\na\r\n",
            b"2\r\nab\rx",
        )
        chunks.insert(rng.randint(1, 12), rng.choice(faulty))
    if seed % 5:
        chunks.append(rng.choice((b"0\r\n\r\n", b"0\r\nX-Trailer: a\r\n\r\n")))
    answer = HEAD + b"".join(chunks)
    edges = {len(HEAD) + sum(map(len, chunks[:count])) for count in range(len(chunks))}
    cuts = sorted(edges | set(rng.sample(range(1, len(answer)), rng.randint(0, 25))))
    pieces = [answer[a:b] for a, b in zip([0, *cuts], [*cuts, len(answer)], strict=True) if a < b]
    expected = _parsed(answer)
    if expected is None:
        with pytest.raises(TransportError):
            await _read(pieces)
    else:
        assert await _read(pieces) == expected
