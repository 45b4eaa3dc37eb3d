"""Splits event streams into whole events and drops events that the caller already has."""

from __future__ import annotations

import re
from collections.abc import Callable

from figpaddle.errors import AnswerTooLargeError, MalformedAnswerError
from figpaddle.wire import digits

#: Largest event, bytes.
MAX_EVENT_BYTES = 1024 * 1024

#: Length of the longest end of an event, bytes.
_MAX_END_BYTES = 4
_EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
    """Splits a stream into whole events and keeps the id of the last one.

    Events up to ``last_event`` are dropped, so that a resumed stream doesn't repeat events that the
    caller already has. With ``requires_ids`` an event without an id is an error: what follows the
    events of another server has to show that it belongs there. Events for which ``is_statement`` is true
    are statements of another entry and not of the stream, so they are dropped.

    >>> splitter = EventSplitter(last_event="")
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")
    [b'id: 1\\ndata: a\\n\\n']
    >>> splitter.last_event, splitter.incomplete
    ('1', b'id: 2')
    """

    def __init__(
        self,
        *,
        last_event: str,
        requires_ids: bool = False,
        is_statement: Callable[[bytes], bool] = lambda event: False,
    ) -> None:
        self._is_statement = is_statement
        self._last_event = last_event
        # The same as a number, if it is one.
        self._last_number = digits(last_event)
        self._requires_ids = requires_ids
        self._has_events = False
        self._incomplete = bytearray()
        # Up to here ``_incomplete`` holds no end of an event.
        self._searched = 0

    @property
    def last_event(self) -> str:
        """Identifier of the last whole event."""
        return self._last_event

    @property
    def has_events(self) -> bool:
        """Whether any whole event has come, dropped ones included."""
        return self._has_events

    @property
    def incomplete(self) -> bytes:
        """Bytes of the event whose end hasn't arrived."""
        return bytes(self._incomplete)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes.

        Raises AnswerTooLargeError once an event without its end exceeds ``MAX_EVENT_BYTES``, and
        MalformedAnswerError for an event without an id where ids are required.
        """
        self._incomplete += data
        events: list[bytes] = []
        start = 0
        for match in _EVENT_END.finditer(self._incomplete, self._searched):
            event = bytes(self._incomplete[start : match.end()])
            start = match.end()
            if self._accept(event):
                events.append(event)
        del self._incomplete[:start]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise AnswerTooLargeError(
                what=f"an event of more than {MAX_EVENT_BYTES} bytes", where="stream"
            )
        self._searched = max(0, len(self._incomplete) - _MAX_END_BYTES + 1)
        return events

    def _accept(self, event: bytes) -> bool:
        if self._is_statement(event):
            return False
        event_id = _event_id(event)
        self._has_events = True
        if event_id is None:
            if self._requires_ids:
                raise MalformedAnswerError(what="an event without an id", where="stream")
            return True
        number = digits(event_id)
        if number is not None and self._last_number is not None and number <= self._last_number:
            return False
        self._last_event, self._last_number = event_id, number
        return True


def _event_id(event: bytes) -> str | None:
    if b"id:" not in event:
        return None
    for line in event.splitlines():
        if line.startswith(b"id:"):
            # As header fields are decoded, so that the bytes of an id are kept.
            return line[3:].strip().decode("latin-1")
    return None
