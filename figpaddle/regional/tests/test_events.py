"""A stream is split into whole events, each passed on once and in order."""

from __future__ import annotations

import pytest

from figpaddle.errors import AnswerTooLargeError
from figpaddle.regional._events import MAX_EVENT_BYTES, EventSplitter

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


def test_an_event_without_end_is_given_up_at_a_bound() -> None:
    splitter = EventSplitter(last_event="")
    piece = b"data: " + bytes(16 * 1024)
    received = 0
    with pytest.raises(AnswerTooLargeError):
        while True:
            splitter.feed(piece)
            received += len(piece)
            assert received <= MAX_EVENT_BYTES


def test_an_event_is_searched_once_however_small_its_pieces() -> None:
    splitter = EventSplitter(last_event="")
    body = b"id: 1\ndata: " + b"x" * (MAX_EVENT_BYTES // 2)
    for start in range(0, len(body), 64):
        assert splitter.feed(body[start : start + 64]) == []
    assert splitter.feed(b"\r\n\r") == []
    assert splitter.feed(b"\n") == [body + b"\r\n\r\n"]


def test_statements_of_another_entry_are_no_events_of_a_stream_that_goes_on() -> None:
    splitter = EventSplitter(
        last_event="2", requires_ids=True, is_statement=lambda event: event == b": key 2\n\n"
    )
    assert splitter.feed(b": key 2\n\n") == [] and not splitter.has_events
    assert splitter.feed(b"id: 3\ndata: piece 3\n\n") == [b"id: 3\ndata: piece 3\n\n"]
    assert splitter.last_event == "3"
