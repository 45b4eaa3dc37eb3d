"""Records of backend servers that a relay adds to its next news."""

from __future__ import annotations

import dataclasses
from collections.abc import Hashable, Iterable

from figpaddle.regional._backend_records import in_datagrams
from figpaddle.wire import BackendRecord, encode


class RecordQueue:
    """Holds records until the next news of a relay, each one once however often it comes.

    >>> queue = RecordQueue()
    >>> queue.add((), now=0.0)
    >>> queue.take(now=0.1)
    []
    """

    def __init__(self) -> None:
        self._waiting: dict[Hashable, tuple[BackendRecord, float]] = {}

    def add(self, records: Iterable[BackendRecord], *, now: float) -> None:
        """Add records that came at ``now``; the newest copy of each is kept."""
        for record in records:
            content = (record.name, record.born, record.sequence, record.state, record.address)
            self._waiting[content] = record, now

    def take(self, *, now: float) -> list[bytes]:
        """Return the encoded records with their present ages, in datagrams, and forget them."""
        records = [
            dataclasses.replace(record, age_s=record.age_s + now - came_at)
            for record, came_at in self._waiting.values()
        ]
        self._waiting.clear()
        return [encode(news) for news in in_datagrams(records)]
