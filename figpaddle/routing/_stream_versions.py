"""Which software version began a stream, so that it goes on only at that version."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from collections.abc import Iterable

from figpaddle.routing._ranking import highest_ranked
from figpaddle.wire import StreamRecord

#: Time for which the version of a stream is kept after its first event, seconds; longer than callers
#: wait for a stream.
STREAM_TTL_S = 60.0
#: Largest number of streams kept; beyond it, the oldest one of the member with the most is dropped.
MAX_STREAMS = 16384
#: Other entries that are told which version began a stream.
HOLDERS = 2
#: Entries of a region that are asked about a stream: its holders, and the entry that told them, which
#: may rank among them.
ASKED_PER_REGION = HOLDERS + 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamOrigin:
    """The software that began a stream."""

    service: str
    #: Version of the service's software; empty if it isn't known.
    version: str


def stream_key(*, host: str, route: str, request_id: str) -> bytes:
    """Return the key of a stream that the request ``request_id`` began.

    An id is chosen by the caller, so the key includes host and route: another member that names the
    same id learns nothing.

    >>> stream_key(host="a", route="r", request_id="1") == stream_key(
    ...     host="b", route="r", request_id="1"
    ... )
    False
    """
    digest = hashlib.blake2b(digest_size=12)
    for field in (host, route, request_id):
        encoded = field.encode()
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return digest.digest()


def stream_holders(key: bytes, neighbours: Iterable[str], others: Iterable[str]) -> list[str]:
    """Return the entries that are told about a stream.

    ``neighbours`` are the other entries of the region. Entries of other regions, ``others``, are told
    only where the region has too few.

    >>> stream_holders(b"k", ["a"], ["x", "y"])[0]
    'a'
    """
    subject = key.hex()
    holders = highest_ranked(subject, neighbours, count=HOLDERS)
    return holders + highest_ranked(subject, others, count=HOLDERS - len(holders))


def entries_to_ask(key: bytes, entries: Iterable[str]) -> list[str]:
    """Return the ``entries`` of one region that may know a stream."""
    return highest_ranked(key.hex(), entries, count=ASKED_PER_REGION)


def is_known_to_nobody(*, asked: int, answered: int) -> bool:
    """Return whether nobody knows a stream that none of those who answered know.

    ``asked`` counts the silent ones that would know as well. Who hears fewer than most of them is itself
    out of contact.

    >>> [is_known_to_nobody(asked=6, answered=answered) for answered in (3, 4)]
    [False, True]
    """
    return 2 * answered > asked or asked == 0


class StreamVersions:
    """The origins of streams by key, bounded in number and age.

    >>> streams = StreamVersions()
    >>> origin = StreamOrigin(service="model", version="v1")
    >>> streams.note_begun(b"k", "guide.example", origin, now=0.0)
    >>> streams.origin_of(b"k", now=1.0)
    StreamOrigin(service='model', version='v1')
    """

    def __init__(self, *, max_streams: int = MAX_STREAMS) -> None:
        self._max_streams = max_streams
        #: Origin and age of each stream, by member and key; the oldest first.
        self._streams: dict[str, collections.OrderedDict[bytes, tuple[StreamOrigin, float]]] = {}
        self._members: dict[bytes, str] = {}

    def __len__(self) -> int:
        return len(self._members)

    def note_begun(self, key: bytes, member: str, origin: StreamOrigin, *, now: float) -> None:
        """Record the origin of a stream; the first one of a key counts."""
        if self.origin_of(key, now=now) is not None:
            return
        self._remove(key)
        self._streams.setdefault(member, collections.OrderedDict())[key] = (origin, now)
        self._members[key] = member
        if len(self._members) > self._max_streams:
            largest = max(sorted(self._streams), key=lambda name: len(self._streams[name]))
            self._remove(next(iter(self._streams[largest])))

    def origin_of(self, key: bytes, *, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it isn't known."""
        member = self._members.get(key)
        if member is None:
            return None
        origin, begun_at = self._streams[member][key]
        return origin if now - begun_at < STREAM_TTL_S else None

    def merge(self, records: Iterable[StreamRecord], *, now: float) -> None:
        """Record the origins that another instance reports."""
        for record in records:
            origin = StreamOrigin(service=record.service, version=record.version)
            self.note_begun(record.key, record.member, origin, now=now - max(0.0, record.age_s))

    def expire(self, *, now: float) -> None:
        """Forget streams that are older than ``STREAM_TTL_S``."""
        for streams in list(self._streams.values()):
            while streams:
                key, (_, begun_at) = next(iter(streams.items()))
                if now - begun_at < STREAM_TTL_S:
                    break
                self._remove(key)

    def _remove(self, key: bytes) -> None:
        member = self._members.pop(key, None)
        if member is None:
            return
        del self._streams[member][key]
        if not self._streams[member]:
            del self._streams[member]
