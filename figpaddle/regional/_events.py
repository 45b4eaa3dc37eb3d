"""Splits event streams into whole events and drops events that the caller already has."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
    """Splits a stream into whole events and keeps the id of the last one.

    Events up to ``last_event`` are dropped, so that a resumed stream doesn't repeat events that the
    caller already has.

    >>> splitter = EventSplitter(last_event="")
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")
    [b'id: 1\\ndata: a\\n\\n']
    >>> splitter.last_event, splitter.incomplete
    ('1', b'id: 2')
    """

    def __init__(self, *, last_event: str) -> None:
        self._last_event = last_event
        self._incomplete = b""

    @property
    def last_event(self) -> str:
        """Identifier of the last whole event."""
        return self._last_event

    @property
    def incomplete(self) -> bytes:
        """Bytes of the event whose end hasn't arrived."""
        return self._incomplete

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes."""
        self._incomplete += data
        events: list[bytes] = []
        while True:
            match = _EVENT_END.search(self._incomplete)
            if match is None:
                return events
            event, self._incomplete = (
                self._incomplete[: match.end()],
                self._incomplete[match.end() :],
            )
            if self._accept(event):
                events.append(event)

    def _accept(self, event: bytes) -> bool:
        event_id = _event_id(event)
        if event_id is None:
            return True
        if _is_repeated(event_id, self._last_event):
            return False
        self._last_event = event_id
        return True


def _is_repeated(event_id: str, last: str) -> bool:
    return event_id.isdigit() and last.isdigit() and int(event_id) <= int(last)


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("ascii", "replace")
    return None
