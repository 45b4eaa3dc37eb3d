"""The records of all known instances, with digests for anti-entropy."""

from __future__ import annotations

import dataclasses
import hashlib
import random
import zlib

from figpaddle.wire import InstanceInfo, InstanceState, MemberNews

#: Number of buckets that the members are hashed into for anti-entropy.
BUCKET_COUNT = 32
#: Length of the digest of a bucket.
DIGEST_BYTES = 8

#: Within one incarnation the higher value wins; a suspicion adds one.
_STATE_PRECEDENCE = {InstanceState.SERVING: 0, InstanceState.LEAVING: 2, InstanceState.GONE: 4}


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberRecord:
    """What this instance knows of one instance."""

    #: The instance.
    info: InstanceInfo
    #: Whether the instance is suspected to be dead.
    suspected: bool
    #: When a suspected instance is considered dead, or the record of one that is gone is removed,
    #: seconds; None for never.
    expires_at: float | None

    @property
    def gone(self) -> bool:
        """Whether the instance has left or is considered dead."""
        return self.info.state is InstanceState.GONE

    @property
    def update(self) -> MemberNews:
        """The record as it is sent to other instances."""
        return MemberNews(info=self.info, suspected=self.suspected)


class MemberTable:
    """The records by the names of their instances.

    Digests cover live members only, so that they agree between two instances of which only one
    still keeps the record of a dead member.

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
        self._digests = [0] * BUCKET_COUNT
        self._expiry_times: dict[str, float] = {}
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
        """Names of the members that are gone and whose records are still kept."""
        return sorted(self._gone)

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """All records in the order of their names."""
        return tuple(self._records[name] for name in sorted(self._records))

    def find(self, name: str) -> MemberRecord | None:
        """Return the record of ``name``, or None."""
        return self._records.get(name)

    def put(self, record: MemberRecord) -> None:
        """Store ``record`` in place of an older one of the same name."""
        name = record.info.name
        self.remove(name)
        self._records[name] = record
        if record.gone:
            self._gone.add(name)
        else:
            self._digests[_bucket(name)] ^= _digest(record.info)
        if record.expires_at is not None:
            self._expiry_times[name] = record.expires_at

    def remove(self, name: str) -> None:
        """Remove the record of ``name``, if there is one."""
        record = self._records.pop(name, None)
        if record is None:
            return
        if not record.gone:
            self._digests[_bucket(name)] ^= _digest(record.info)
        self._gone.discard(name)
        self._expiry_times.pop(name, None)

    def expired(self, *, now: float) -> list[MemberRecord]:
        """Return the records whose expiry time has passed, in the order of their names."""
        expired_names = sorted(name for name, at in self._expiry_times.items() if at <= now)
        return [self._records[name] for name in expired_names]

    def postpone_expiries(self, seconds: float) -> None:
        """Move every expiry time to ``seconds`` later."""
        for name, at in list(self._expiry_times.items()):
            self.put(dataclasses.replace(self._records[name], expires_at=at + seconds))

    def digests(self) -> bytes:
        """Return the concatenated digests of all buckets."""
        return b"".join(digest.to_bytes(DIGEST_BYTES, "big") for digest in self._digests)

    def sample(
        self, buckets: set[int], *, limit: int, rng: random.Random
    ) -> tuple[MemberNews, ...]:
        """Return updates for at most ``limit`` members of ``buckets``, chosen at random."""
        names = sorted(name for name in self._records if _bucket(name) in buckets)
        if len(names) > limit:
            names = rng.sample(names, limit)
        return tuple(self._records[name].update for name in names)


def supersedes(update: MemberNews, known: MemberNews) -> bool:
    """Return whether ``update`` replaces ``known``, which is about the same instance.

    A higher incarnation wins; within one, the order is serving, leaving, gone, and a suspicion
    replaces the same state without one.
    """
    return _precedence(update) > _precedence(known)


def differing_buckets(first: bytes, second: bytes) -> set[int]:
    """Return the numbers of the buckets whose digests differ."""
    width = DIGEST_BYTES
    return {
        bucket
        for bucket in range(BUCKET_COUNT)
        if first[bucket * width : (bucket + 1) * width]
        != second[bucket * width : (bucket + 1) * width]
    }


def _precedence(update: MemberNews) -> tuple[int, int]:
    return update.info.incarnation, _STATE_PRECEDENCE[update.info.state] + int(update.suspected)


def _bucket(name: str) -> int:
    return zlib.crc32(name.encode()) % BUCKET_COUNT


def _digest(info: InstanceInfo) -> int:
    text = f"{info.name}/{info.incarnation}/{info.state.value}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big")
