"""Parses the requests of one connection and encodes the responses to them."""

from __future__ import annotations

import enum

import h11

from figpaddle.http1._messages import Headers
from figpaddle.http1._plain_heads import (
    UNUSUAL_METHODS,
    PlainRequestHead,
    encode_response_head,
    read_request_head,
)
from figpaddle.http1._whole_chunks import encode_chunk

#: Input without a complete event above which the library's parser gives up, bytes.
MAX_INCOMPLETE_BYTES = 1 << 20
_END = h11.EndOfMessage()


class _ResponseState(enum.Enum):
    """How far the response to a plain request is."""

    NOT_BEGUN = "not begun"
    BODY = "body"
    DONE = "done"
    FAILED = "failed"


class ServerParser:
    """The server's side of the messages on one connection.

    Requests with plain heads and their responses are read and written here, all others by the parser of the
    library, which then continues where this one is. A caller can't tell which of them has done it.
    """

    def __init__(self) -> None:
        self._library: h11.Connection | None = None
        self._received = b""
        #: Method of the request in progress, and the bytes of its body that haven't come.
        self._method: bytes | None = None
        self._missing_bytes = 0
        #: Whether the request was read to its end, and whether the connection stays open after it.
        self._request_read = False
        self._keeps_open = True
        self._response = _ResponseState.NOT_BEGUN
        #: Bytes of the response's body to be sent; None if it is chunked.
        self._unsent_bytes: int | None = None

    @property
    def unparsed_bytes(self) -> int:
        """Bytes received that aren't parsed."""
        if self._library is not None:
            return len(self._library.trailing_data[0])
        return len(self._received)

    @property
    def may_begin_response(self) -> bool:
        """Whether the response to the present request isn't begun and none has failed."""
        if self._library is not None:
            return self._library.our_state in (h11.IDLE, h11.SEND_RESPONSE)
        return self._response is _ResponseState.NOT_BEGUN

    @property
    def has_failed(self) -> bool:
        """Whether a response was refused, after which nothing can be sent."""
        if self._library is not None:
            return self._library.our_state is h11.ERROR
        return self._response is _ResponseState.FAILED

    @property
    def can_continue(self) -> bool:
        """Whether request and response are complete and another request may follow."""
        if self._library is not None:
            return self._library.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        return self._request_read and self._response is _ResponseState.DONE and self._keeps_open

    @property
    def awaits_continue(self) -> bool:
        """Whether the client waits for an interim response before it sends the body."""
        return self._library is not None and self._library.they_are_waiting_for_100_continue

    def receive_data(self, data: bytes) -> None:
        """Add bytes that were received."""
        if self._library is not None:
            self._library.receive_data(data)
        else:
            self._received = self._received + data if self._received else data

    def next_event(self) -> PlainRequestHead | h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of the request; raises RemoteProtocolError or ValueError."""
        if self._library is None:
            event = self._next_plain_event()
            if event is not None:
                return event
        library = self._library or self._pass_to_library()
        read = library.next_event()
        if isinstance(read, h11.Request):
            self._method = read.method
        elif isinstance(read, h11.EndOfMessage) and self._may_leave(library):
            self._received, _ = library.trailing_data
            self._library, self._request_read = None, True
        return read

    def start_next_cycle(self) -> None:
        """Begin the next request; valid while ``can_continue`` is true."""
        if self._library is not None:
            self._library.start_next_cycle()
            self._received, _ = self._library.trailing_data
            self._library = None
        self._method = None
        self._request_read = False
        self._keeps_open = True
        self._response = _ResponseState.NOT_BEGUN

    def encode_interim(self, status: int, headers: Headers) -> bytes:
        """Return an interim response (1xx)."""
        interim = h11.InformationalResponse(status_code=status, headers=list(headers))
        return (self._library or self._pass_to_library()).send(interim)

    def encode_head(
        self, status: int, headers: Headers, *, length: int | None, closes: bool
    ) -> bytes:
        """Return the head of the response; raises LocalProtocolError.

        The body is chunked if ``length`` is None, as far as the client understands that. ``closes`` tells
        that the connection ends after the response.
        """
        if self._library is None and self._request_read and self.may_begin_response:
            head = encode_response_head(
                status=status,
                headers=headers,
                length=length,
                closes=closes,
                keeps_open=self._keeps_open,
            )
            if head is not None:
                self._response, self._unsent_bytes = _ResponseState.BODY, length
                self._keeps_open = self._keeps_open and not closes
                return head
        fields = list(headers)
        if length is not None:
            fields.append((b"Content-Length", b"%d" % length))
        if closes:
            fields.append((b"Connection", b"close"))
        response = h11.Response(status_code=status, headers=fields)
        return (self._library or self._pass_to_library()).send(response)

    def encode_data(self, data: bytes) -> bytes:
        """Return a piece of the response's body; raises LocalProtocolError."""
        if self._library is not None:
            return self._library.send(h11.Data(data=data))
        if self._response is not _ResponseState.BODY:
            raise self._response_error("a body without a head, or after its end")
        if self._unsent_bytes is None:
            return encode_chunk(data) if data else b""
        self._unsent_bytes -= len(data)
        if self._unsent_bytes < 0:
            raise self._response_error("Too much data for declared Content-Length")
        return data

    def encode_end(self) -> bytes:
        """Return the end of the response; raises LocalProtocolError."""
        if self._library is not None:
            return self._library.send(_END)
        if self._response is not _ResponseState.BODY:
            raise self._response_error("an end without a head, or after another")
        if self._unsent_bytes:
            raise self._response_error("Too little data for declared Content-Length")
        self._response = _ResponseState.DONE
        return b"0\r\n\r\n" if self._unsent_bytes is None else b""

    def _next_plain_event(self) -> PlainRequestHead | h11.Event | type[h11.NEED_DATA] | None:
        """Return the next event, or None if it is left to the library."""
        if self._method is None:
            if not self._received:
                return h11.NEED_DATA
            head = read_request_head(self._received)
            if head is None:
                return None
            self._method = head.method
            self._received = self._received[head.size :]
            self._missing_bytes, self._keeps_open = head.length, head.keeps_open
            return head
        if self._missing_bytes:
            piece = self._received[: self._missing_bytes]
            if not piece:
                return h11.NEED_DATA
            self._received = self._received[len(piece) :]
            self._missing_bytes -= len(piece)
            return h11.Data(data=piece)
        if self._request_read:
            return None
        self._request_read = True
        return _END

    def _pass_to_library(self) -> h11.Connection:
        """Return the library's parser in the state that this one has."""
        library = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_INCOMPLETE_BYTES)
        if self._method is not None:
            # The rest of the request stands for the whole.
            length = b"" if self._request_read else b"Content-Length: %d\r\n" % self._missing_bytes
            close = b"" if self._keeps_open else b"Connection: close\r\n"
            head = b"%b / HTTP/1.1\r\nHost: a\r\n%b%b\r\n" % (self._method, length, close)
            library.receive_data(head)
            library.next_event()
            if self._request_read:
                library.next_event()
        if self._received:
            library.receive_data(self._received)
        if self._response is not _ResponseState.NOT_BEGUN:
            # Only one that was refused or is complete gets here.
            library.send_failed()
        self._library, self._received = library, b""
        return library

    def _may_leave(self, library: h11.Connection) -> bool:
        """Whether the response to a request that the library has read to its end may be plain."""
        return (
            library.their_state is h11.DONE
            and library.our_state is h11.SEND_RESPONSE
            and library.their_http_version == b"1.1"
            and self._method not in UNUSUAL_METHODS
        )

    def _response_error(self, what: str) -> h11.LocalProtocolError:
        self._response = _ResponseState.FAILED
        return h11.LocalProtocolError(what)
