"""Selection of backend servers by announcements and refused connections."""

from __future__ import annotations

import dataclasses

from figpaddle.routing import BackendTable
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
