"""Event streams: whole events, their ids, and what must not be passed on twice."""

from __future__ import annotations

import re

_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
    """Cuts a stream into whole events and remembers the id of the last one.

    Events up to ``last_event`` are dropped, so that a stream that was taken up again doesn't
    repeat what the caller has.

    >>> splitter = EventSplitter(last_event="")
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")
    [b'id: 1\\ndata: a\\n\\n']
    >>> splitter.last_event, splitter.rest
    ('1', b'id: 2')
    """

    def __init__(self, *, last_event: str) -> None:
        self._last_event = last_event
        self._rest = b""

    @property
    def last_event(self) -> str:
        """Identifier of the last whole event."""
        return self._last_event

    @property
    def rest(self) -> bytes:
        """Bytes of an event that hasn't ended."""
        return self._rest

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes."""
        self._rest += data
        events: list[bytes] = []
        while True:
            match = _END.search(self._rest)
            if match is None:
                return events
            event, self._rest = self._rest[: match.end()], self._rest[match.end() :]
            if self._take(event):
                events.append(event)

    def _take(self, event: bytes) -> bool:
        number = _event_id(event)
        if number is None:
            return True
        if _is_repeated(number, self._last_event):
            return False
        self._last_event = number
        return True


def _is_repeated(number: str, last: str) -> bool:
    return number.isdigit() and last.isdigit() and int(number) <= int(last)


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("ascii", "replace")
    return None
