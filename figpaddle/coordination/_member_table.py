"""What membership remembers of each instance, with digests for anti-entropy."""

from __future__ import annotations

import dataclasses
import hashlib
import random
import zlib

from figpaddle.wire import InstanceInfo, InstanceState, MemberNews

#: Buckets that members are spread over for anti-entropy.
BUCKETS = 32
#: Length of the digest of a bucket, bytes.
DIGEST_BYTES = 8

_RANK = {InstanceState.SERVING: 0, InstanceState.LEAVING: 2, InstanceState.GONE: 4}


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberRecord:
    """One instance as it is known here."""

    #: The instance.
    info: InstanceInfo
    #: Whether it is suspected to be dead.
    suspected: bool
    #: When the suspicion turns into a death, or a death is forgotten, seconds; None for never.
    expires_at: float | None

    @property
    def gone(self) -> bool:
        """Whether the instance has left or is considered dead."""
        return self.info.state is InstanceState.GONE

    @property
    def news(self) -> MemberNews:
        """The record as others are told of it."""
        return MemberNews(info=self.info, suspected=self.suspected)


class MemberTable:
    """Records by name; newer knowledge of an instance replaces older.

    Digests cover live members only, so that an instance that has forgotten a dead one agrees
    with another that still remembers it.

    >>> info = InstanceInfo(
    ...     name="one", region="seoul", zone="seoul-a", peer_address="127.0.0.1:1",
    ...     caller_address="127.0.0.1:2", incarnation=1,
    ... )
    >>> table = MemberTable()
    >>> empty = table.digests()
    >>> table.put(MemberRecord(info=info, suspected=False, expires_at=None))
    >>> len(differing_buckets(empty, table.digests()))
    1
    """

    def __init__(self) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._digests = [0] * BUCKETS
        self._expiring: dict[str, float] = {}
        self._gone: set[str] = set()

    @property
    def live(self) -> list[str]:
        """Names of the members that are not gone."""
        return [name for name in self._records if name not in self._gone]

    @property
    def live_count(self) -> int:
        """Number of members that are not gone."""
        return len(self._records) - len(self._gone)

    @property
    def gone(self) -> list[str]:
        """Names of the members that are gone and not yet forgotten."""
        return sorted(self._gone)

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """All records in the order of their names."""
        return tuple(self._records[name] for name in sorted(self._records))

    def find(self, name: str) -> MemberRecord | None:
        """Return the record of ``name``, or None."""
        return self._records.get(name)

    def put(self, record: MemberRecord) -> None:
        """Keep ``record`` in place of any other of its name."""
        name = record.info.name
        self.remove(name)
        self._records[name] = record
        if record.gone:
            self._gone.add(name)
        else:
            self._digests[_bucket(name)] ^= _digest(record.info)
        if record.expires_at is not None:
            self._expiring[name] = record.expires_at

    def remove(self, name: str) -> None:
        """Forget ``name``."""
        record = self._records.pop(name, None)
        if record is None:
            return
        if not record.gone:
            self._digests[_bucket(name)] ^= _digest(record.info)
        self._gone.discard(name)
        self._expiring.pop(name, None)

    def expired(self, *, now: float) -> list[MemberRecord]:
        """Return the records whose time is over, in the order of their names."""
        due = sorted(name for name, at in self._expiring.items() if at <= now)
        return [self._records[name] for name in due]

    def postpone(self, seconds: float) -> None:
        """Move every expiry to a later time."""
        for name, at in list(self._expiring.items()):
            self.put(dataclasses.replace(self._records[name], expires_at=at + seconds))

    def digests(self) -> bytes:
        """Return the digests of all buckets."""
        return b"".join(digest.to_bytes(DIGEST_BYTES, "big") for digest in self._digests)

    def sample(
        self, buckets: set[int], *, limit: int, rng: random.Random
    ) -> tuple[MemberNews, ...]:
        """Return at most ``limit`` members of ``buckets``, chosen at random."""
        names = sorted(name for name in self._records if _bucket(name) in buckets)
        if len(names) > limit:
            names = rng.sample(names, limit)
        return tuple(self._records[name].news for name in names)


def supersedes(news: MemberNews, known: MemberNews) -> bool:
    """Return whether ``news`` is newer than ``known`` of the same instance.

    A higher incarnation wins; within one, serving gives way to suspicion, leaving and death.
    """
    return _age(news) > _age(known)


def differing_buckets(one: bytes, other: bytes) -> set[int]:
    """Return the numbers of the buckets whose digests differ."""
    width = DIGEST_BYTES
    return {
        bucket
        for bucket in range(BUCKETS)
        if one[bucket * width : (bucket + 1) * width]
        != other[bucket * width : (bucket + 1) * width]
    }


def _age(news: MemberNews) -> tuple[int, int]:
    return news.info.incarnation, _RANK[news.info.state] + int(news.suspected)


def _bucket(name: str) -> int:
    return zlib.crc32(name.encode()) % BUCKETS


def _digest(info: InstanceInfo) -> int:
    text = f"{info.name}/{info.incarnation}/{info.state.value}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big")
