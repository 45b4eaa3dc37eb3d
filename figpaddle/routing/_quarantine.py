"""Requests suspected of crashing backend servers."""

from __future__ import annotations

import collections
import dataclasses
import enum

from figpaddle.wire import BackendLoss, SuspectRecord

#: A request is refused once this many backend servers died while they ran it.
MAX_LOSSES = 2
#: A loss counts for this long, seconds.
LOSS_TTL_S = 600.0
#: Most requests on record; the oldest of the member with the most goes first.
MAX_RECORDS = 1024
#: A suspect's slot on a backend server is free again after this at the latest, seconds.
SLOT_TTL_S = 120.0


class Verdict(enum.Enum):
    """How a request is treated."""

    #: Nothing is held against it.
    CLEAR = "clear"
    #: It runs apart from other suspects.
    SUSPECT = "suspect"
    #: It is refused.
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Loss:
    at: float
    pardoned: bool


@dataclasses.dataclass(kw_only=True)
class _Suspect:
    member: str
    losses: dict[tuple[str, int], _Loss]


class Quarantine:
    """Counts, for each request, the backend servers that died while they ran it.

    Records only grow until they expire: a loss is added once, whoever notices it, and may be
    pardoned. Instances that exchange records in any order thus come to the same verdicts.

    >>> quarantine = Quarantine()
    >>> quarantine.note_loss(
    ...     "hanbit", b"d", backend="e1", incarnation=1, sent_at=0.0, now=0.1
    ... )
    True
    >>> quarantine.verdict(b"d", now=1.0)
    <Verdict.SUSPECT: 'suspect'>
    """

    def __init__(
        self,
        *,
        max_losses: int = MAX_LOSSES,
        loss_ttl_s: float = LOSS_TTL_S,
        max_records: int = MAX_RECORDS,
    ) -> None:
        self._max_losses = max_losses
        self._loss_ttl_s = loss_ttl_s
        self._max_records = max_records
        self._suspects: dict[bytes, _Suspect] = {}
        #: When the own instance first noticed the death of a process of a backend server.
        self._deaths: dict[tuple[str, int], float] = {}

    def verdict(self, digest: bytes, *, now: float) -> Verdict:
        """Return how the request with ``digest`` is treated."""
        counting = len(self._counting(digest, now))
        if counting >= self._max_losses:
            return Verdict.REFUSED
        return Verdict.SUSPECT if counting else Verdict.CLEAR

    def refused_for_s(self, digest: bytes, *, now: float) -> float:
        """Return the seconds until the request is no longer refused."""
        times = sorted(loss.at for loss in self._counting(digest, now))
        if len(times) < self._max_losses:
            return 0.0
        return times[-self._max_losses] + self._loss_ttl_s - now

    def note_loss(
        self,
        member: str,
        digest: bytes,
        *,
        backend: str,
        incarnation: int,
        sent_at: float,
        now: float,
    ) -> bool:
        """Hold the loss of a backend server against a request; return whether it is news.

        A request that was sent after the death had been noticed can't have caused it.
        """
        if sent_at > self._deaths.setdefault((backend, incarnation), now):
            return False
        loss = _Loss(at=now, pardoned=False)
        changed = self._add(member, digest, (backend, incarnation), loss)
        self._shrink()
        return changed

    def pardon(self, digest: bytes, *, now: float) -> bool:
        """Hold none of the known losses against a request any more; return whether any was."""
        if not self._counting(digest, now):
            return False
        suspect = self._suspects[digest]
        for key, loss in suspect.losses.items():
            suspect.losses[key] = dataclasses.replace(loss, pardoned=True)
        return True

    def merge(self, records: tuple[SuspectRecord, ...], *, now: float) -> None:
        """Take in the records of another instance."""
        for record in records:
            for one in record.losses:
                loss = _Loss(at=now - max(0.0, one.age_s), pardoned=one.pardoned)
                if now - loss.at < self._loss_ttl_s:
                    key = (one.backend, one.incarnation)
                    self._add(record.member, record.digest, key, loss)
        self._shrink()

    def records(
        self, *, now: float, member: str | None = None, digest: bytes | None = None
    ) -> tuple[SuspectRecord, ...]:
        """Return what is on record, of one ``member`` or one ``digest`` if given."""
        self._expire(now)
        return tuple(
            _record(key, suspect, now)
            for key, suspect in self._suspects.items()
            if member in (None, suspect.member) and digest in (None, key)
        )

    def _counting(self, digest: bytes, now: float) -> list[_Loss]:
        suspect = self._suspects.get(digest)
        if suspect is None:
            return []
        losses = suspect.losses.values()
        return [loss for loss in losses if not loss.pardoned and now - loss.at < self._loss_ttl_s]

    def _add(self, member: str, digest: bytes, key: tuple[str, int], loss: _Loss) -> bool:
        suspect = self._suspects.setdefault(digest, _Suspect(member=member, losses={}))
        known = suspect.losses.get(key)
        if known is not None:
            loss = _Loss(at=min(known.at, loss.at), pardoned=known.pardoned or loss.pardoned)
        suspect.losses[key] = loss
        return known is None or known.pardoned is not loss.pardoned

    def _expire(self, now: float) -> None:
        for key, noticed_at in list(self._deaths.items()):
            if now - noticed_at >= self._loss_ttl_s:
                del self._deaths[key]
        for digest, suspect in list(self._suspects.items()):
            for key, loss in list(suspect.losses.items()):
                if now - loss.at >= self._loss_ttl_s:
                    del suspect.losses[key]
            if not suspect.losses:
                del self._suspects[digest]

    def _shrink(self) -> None:
        while len(self._suspects) > self._max_records:
            counts = collections.Counter(one.member for one in self._suspects.values())
            member = max(sorted(counts), key=lambda name: counts[name])
            own = [key for key, one in self._suspects.items() if one.member == member]
            del self._suspects[min(own, key=self._newest_loss)]

    def _newest_loss(self, digest: bytes) -> float:
        return max(loss.at for loss in self._suspects[digest].losses.values())


def _record(digest: bytes, suspect: _Suspect, now: float) -> SuspectRecord:
    losses = tuple(
        BackendLoss(
            backend=backend,
            incarnation=incarnation,
            age_s=now - loss.at,
            pardoned=loss.pardoned,
        )
        for (backend, incarnation), loss in sorted(suspect.losses.items())
    )
    return SuspectRecord(member=suspect.member, digest=digest, losses=losses)


class SuspectSlots:
    """At most one suspect at a time on each backend server.

    >>> slots = SuspectSlots()
    >>> slots.take("e1", b"one", now=0.0), slots.take("e1", b"two", now=0.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._taken: dict[str, tuple[bytes, float]] = {}

    def take(self, backend: str, digest: bytes, *, now: float) -> bool:
        """Give the slot of ``backend`` to a suspect; return False while another one has it."""
        holder, since = self._taken.get(backend, (digest, now))
        if holder != digest and now - since < SLOT_TTL_S:
            return False
        self._taken[backend] = (digest, now)
        return True

    def release(self, backend: str, digest: bytes) -> None:
        """Free the slot of ``backend`` if ``digest`` has it."""
        if self._taken.get(backend, (b"", 0.0))[0] == digest:
            del self._taken[backend]
