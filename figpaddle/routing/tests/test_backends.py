"""Selection of backend servers by announcements and refused connections."""

from __future__ import annotations

import dataclasses

from figpaddle.routing import (
    ANNOUNCEMENT_TTL_S,
    ANNOUNCEMENTS_READ_INTERVAL_S,
    BackendTable,
)
from figpaddle.wire import BackendInfo

INFO = BackendInfo(
    name="e1",
    address="127.0.0.1:9",
    region="seoul",
    zone="seoul-a",
    services=("hanbit/draft",),
    incarnation=1,
    sequence=1,
)


def test_backend_is_avoided_after_two_refused_connections_until_it_announces_again() -> None:
    table = BackendTable()
    table.announce(INFO, now=0.0)
    table.note_connection("e1", opened=False)
    table.note_connection("e1", opened=True)
    table.note_connection("e1", opened=False)
    assert table.candidates("hanbit/draft", now=0.1)
    table.note_connection("e1", opened=False)
    assert not table.candidates("hanbit/draft", now=0.1)
    table.announce(dataclasses.replace(INFO, sequence=2), now=0.2)
    assert table.candidates("hanbit/draft", now=0.3)


def read_until(table: BackendTable, end: float, *, start: float = 0.0) -> None:
    """Read announcements in time from ``start`` to ``end``."""
    for number in range(round((end - start) / ANNOUNCEMENTS_READ_INTERVAL_S) + 1):
        table.note_reading(now=start + number * ANNOUNCEMENTS_READ_INTERVAL_S)


def test_a_server_stays_while_its_announcements_wait_unread_in_a_busy_process() -> None:
    table = BackendTable()
    table.announce(INFO, now=0.0)
    read_until(table, 4.0)
    # Requests are placed in the turn that has taken long, before anything else is read.
    busy_until = 4.0 + 2 * ANNOUNCEMENT_TTL_S
    assert table.candidates("hanbit/draft", now=busy_until)
    assert table.expire(now=busy_until) == ()
    table.note_reading(now=busy_until)
    assert table.candidates("hanbit/draft", now=busy_until + 0.1)
    read_until(table, busy_until + 2.0, start=busy_until)
    assert table.expire(now=busy_until + 2.0) == ("e1",)


def test_a_server_stays_through_many_long_turns_and_an_announcement_within_them_counts_anew() -> (
    None
):
    table = BackendTable()
    table.announce(INFO, now=0.0)
    for second in range(9):
        table.note_reading(now=float(second))
        assert table.candidates("hanbit/draft", now=second + 0.9)
    table.announce(dataclasses.replace(INFO, sequence=2), now=8.9)
    read_until(table, 12.6, start=9.0)
    assert table.expire(now=13.6) == ()


def test_a_silent_server_expires_in_its_time_in_a_process_that_reads() -> None:
    table = BackendTable()
    table.announce(INFO, now=0.0)
    read_until(table, ANNOUNCEMENT_TTL_S)
    assert table.expire(now=ANNOUNCEMENT_TTL_S) == ()
    assert not table.candidates("hanbit/draft", now=ANNOUNCEMENT_TTL_S + 0.1)
    assert table.expire(now=ANNOUNCEMENT_TTL_S + 0.1) == ("e1",)
