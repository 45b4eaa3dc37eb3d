"""A stream is split into whole events, each passed on once and in order."""

from __future__ import annotations

import pytest

from figpaddle.regional._events import EventSplitter

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 5))


@pytest.mark.parametrize("cut", range(1, len(STREAM)))
def test_events_are_whole_however_the_bytes_are_cut(cut: int) -> None:
    splitter = EventSplitter(last_event="")
    events = splitter.feed(STREAM[:cut]) + splitter.feed(STREAM[cut:])
    assert b"".join(events) == STREAM and len(events) == 4
    assert splitter.incomplete == b"" and splitter.last_event == "4"


def test_an_event_that_has_not_ended_is_kept_back() -> None:
    splitter = EventSplitter(last_event="")
    assert splitter.feed(b"id: 1\ndata: half") == []
    assert splitter.incomplete and splitter.last_event == ""


def test_events_that_the_caller_has_are_not_repeated() -> None:
    splitter = EventSplitter(last_event="2")
    assert [event.split(b"\n")[0] for event in splitter.feed(STREAM)] == [b"id: 3", b"id: 4"]


def test_events_without_a_number_are_passed_on() -> None:
    splitter = EventSplitter(last_event="2")
    assert splitter.feed(b": comment\n\n") == [b": comment\n\n"]


def test_lines_may_end_with_carriage_returns() -> None:
    splitter = EventSplitter(last_event="")
    assert len(splitter.feed(b"id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n")) == 2
