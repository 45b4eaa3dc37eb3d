"""Encodes the requests on one connection and parses the responses to them."""

from __future__ import annotations

import h11

from figpaddle.http1._messages import Headers, header
from figpaddle.http1._plain_heads import (
    PlainResponseHead,
    encode_request_head,
    read_response_head,
)
from figpaddle.http1._whole_chunks import take_whole_chunks

#: The end of a chunked body without trailer fields.
_LAST_CHUNK = b"0\r\n\r\n"
_END = h11.EndOfMessage()


class ClientParser:
    """The client's side of the messages on one connection.

    Requests and responses with plain heads, and the bodies of these, are written and read here, all others
    by the parser of the library, which then continues where this one is.
    """

    def __init__(self) -> None:
        self._library: h11.Connection | None = None
        self._received = b""
        self._method = b""
        #: Whether request and response, as far as it was read, keep the connection open.
        self._keeps_open = True
        self._begin_response()

    @property
    def unparsed_bytes(self) -> int:
        """Bytes received that aren't parsed."""
        if self._library is not None:
            return len(self._library.trailing_data[0])
        return len(self._received)

    @property
    def needs_data(self) -> bool:
        """Whether there is surely no event before further bytes come."""
        return not self._received and self._missing_bytes != 0 and self._library is None

    @property
    def can_continue(self) -> bool:
        """Whether request and response are complete and another request may follow."""
        if self._library is not None:
            return self._library.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        return self._response_read and self._keeps_open

    def encode_request(
        self, *, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> list[bytes]:
        """Return a request in parts to be sent; raises LocalProtocolError."""
        head = None
        if self._library is None:
            head = encode_request_head(
                method=method, target=target, headers=headers, body_bytes=len(body)
            )
        if head is not None:
            self._method, self._keeps_open = method, True
            return [head, body] if body else [head]
        request = h11.Request(method=method, target=target, headers=list(headers))
        self._method = request.method
        self._keeps_open = header(headers, b"connection") is None
        self._library = self._library or h11.Connection(h11.CLIENT)
        parts: list[bytes] = []
        for event in (request, h11.Data(data=body), _END):
            parts += self._library.send_with_data_passthrough(event) or []
        return parts

    def receive_data(self, data: bytes) -> bytes:
        """Add bytes that were received; none tell that the server has closed the connection.

        Returns the next content of the body where whole chunks begin with these bytes, else none.
        """
        if self._library is None and data:
            if self._received:
                self._received += data
            elif self._in_body and self._missing_bytes is None:
                content, self._received = take_whole_chunks(data)
                return content
            else:
                self._received = data
            return b""
        (self._library or self._pass_to_library()).receive_data(data)
        return b""

    def next_event(
        self,
    ) -> PlainResponseHead | h11.Event | bytes | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of the response, or content of its body; raises RemoteProtocolError."""
        if self._library is None:
            event = self._next_plain_event()
            if event is not None:
                return event
        library = self._library or self._pass_to_library()
        read = library.next_event()
        if isinstance(read, h11.Response):
            has_field = header(tuple(read.headers), b"connection") is not None
            self._keeps_open = self._keeps_open and read.http_version == b"1.1" and not has_field
        elif isinstance(read, h11.Data) and read.chunk_end:
            self._leave_library(library)
        return read

    def expect_another_response(self) -> None:
        """Await the response to the present request after one to an earlier request."""
        if self._library is None:
            self._begin_response()
            return
        self._received, _ = self._library.trailing_data
        self._library = None
        self._begin_response()
        self._pass_to_library()

    def start_next_cycle(self) -> None:
        """Begin the next exchange; valid while ``can_continue`` is true and no bytes are left."""
        self._library, self._received = None, b""
        self._begin_response()

    def _begin_response(self) -> None:
        self._in_body = False
        self._response_read = False
        #: Bytes of the body that haven't come; None if it is chunked.
        self._missing_bytes: int | None = None

    def _next_plain_event(
        self,
    ) -> PlainResponseHead | h11.Event | bytes | type[h11.NEED_DATA] | None:
        """Return the next event, or None if it is left to the library."""
        if self._missing_bytes == 0:
            self._response_read = True
            return _END
        if not self._received:
            return h11.NEED_DATA
        if not self._in_body:
            head = read_response_head(self._received)
            if head is not None:
                self._received = self._received[head.size :]
                self._in_body, self._missing_bytes = True, head.length
                self._keeps_open = self._keeps_open and head.keeps_open
            return head
        if self._missing_bytes is not None:
            content = self._received[: self._missing_bytes]
            self._received = self._received[len(content) :]
            self._missing_bytes -= len(content)
            return content
        content, self._received = take_whole_chunks(self._received)
        if content:
            return content
        if not self._received.startswith(_LAST_CHUNK):
            return None
        self._received = self._received[len(_LAST_CHUNK) :]
        self._response_read = True
        return _END

    def _pass_to_library(self) -> h11.Connection:
        """Return the library's parser in the state that this one has."""
        library = h11.Connection(h11.CLIENT)
        library.send(h11.Request(method=self._method, target=b"/", headers=[(b"Host", b"a")]))
        library.send(_END)
        if self._in_body:
            # The rest of the response stands for the whole.
            framing = b"Transfer-Encoding: chunked"
            if self._missing_bytes is not None:
                framing = b"Content-Length: %d" % self._missing_bytes
            close = b"" if self._keeps_open else b"Connection: close\r\n"
            library.receive_data(b"HTTP/1.1 200 \r\n%b\r\n%b\r\n" % (framing, close))
            library.next_event()
        if self._received:
            library.receive_data(self._received)
        self._library, self._received = library, b""
        return library

    def _leave_library(self, library: h11.Connection) -> None:
        """Go on without the library after a chunk whose end has come."""
        received, is_closed = library.trailing_data
        if not is_closed and received.startswith(b"\r\n"):
            self._library, self._received = None, received[2:]
            self._in_body, self._missing_bytes = True, None
