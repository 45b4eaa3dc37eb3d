"""Quarantine of requests suspected of crashing backend servers."""

from __future__ import annotations

import collections
import dataclasses
import enum

from figpaddle.wire import BackendLoss, SuspectRecord

#: Number of backend servers that must have crashed while running a request before it is refused.
MAX_LOSSES = 2
#: How long a loss counts, seconds.
LOSS_TTL_S = 600.0
#: Maximum number of recorded requests; beyond it, the oldest record of the member with the most is
#: evicted.
MAX_SUSPECT_RECORDS = 1024
#: Time after which a suspect's slot on a backend server expires if it was not released, seconds.
SUSPECT_SLOT_TTL_S = 120.0


class QuarantineVerdict(enum.Enum):
    """How a request is handled."""

    #: No loss counts against it.
    CLEAR = "clear"
    #: It must not run together with other suspects on one backend server.
    SUSPECT = "suspect"
    #: It is refused.
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loss:
    """The loss of a process with one request, or requests with one prompt part."""

    #: When it was first noticed, seconds.
    lost_at: float
    #: When the last of these requests was sent there, seconds.
    sent_at: float
    pardoned: bool


@dataclasses.dataclass(kw_only=True)
class _Suspect:
    member: str
    losses: dict[tuple[str, int], Loss]


class Quarantine:
    """Counts, for each request, the backend servers that crashed while running it.

    Records only grow until they expire: a loss is added once, whichever instance notices it, and
    may be pardoned. Instances that exchange records therefore reach the same verdicts in any order
    of merges.

    >>> quarantine = Quarantine()
    >>> quarantine.note_loss(
    ...     "hanbit", b"d", backend="e1", incarnation=1, sent_at=0.0, now=0.1
    ... )
    True
    >>> quarantine.verdict(b"d", now=1.0)
    <QuarantineVerdict.SUSPECT: 'suspect'>
    """

    def __init__(
        self,
        *,
        max_losses: int = MAX_LOSSES,
        loss_ttl_s: float = LOSS_TTL_S,
        max_records: int = MAX_SUSPECT_RECORDS,
    ) -> None:
        self._max_losses = max_losses
        self._loss_ttl_s = loss_ttl_s
        self._max_records = max_records
        self._suspects: dict[bytes, _Suspect] = {}
        #: When this instance first noticed the crash of a backend server's process.
        self._crash_noticed_at: dict[tuple[str, int], float] = {}

    def verdict(self, digest: bytes, *, now: float) -> QuarantineVerdict:
        """Return how the request with ``digest`` is handled."""
        active_losses = len(self._active_losses(digest, now))
        if active_losses >= self._max_losses:
            return QuarantineVerdict.REFUSED
        return QuarantineVerdict.SUSPECT if active_losses else QuarantineVerdict.CLEAR

    def refused_for_s(self, digest: bytes, *, now: float) -> float:
        """Return the time until the request is no longer refused, seconds."""
        times = sorted(loss.lost_at for loss in self._active_losses(digest, now))
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
        """Record the loss of a backend server that ran a request; return whether this is new.

        A request sent after this instance noticed the crash can't have caused it and isn't
        recorded.
        """
        if sent_at > self._crash_noticed_at.setdefault((backend, incarnation), now):
            return False
        loss = Loss(lost_at=now, sent_at=sent_at, pardoned=False)
        is_new = self._add(member, digest, (backend, incarnation), loss)
        self._evict_excess_records()
        return is_new

    def pardon(self, digest: bytes, *, now: float) -> bool:
        """Pardon all known losses of a request; return whether any counted before."""
        if not self._active_losses(digest, now):
            return False
        suspect = self._suspects[digest]
        for key, loss in suspect.losses.items():
            suspect.losses[key] = dataclasses.replace(loss, pardoned=True)
        return True

    def merge(self, records: tuple[SuspectRecord, ...], *, now: float) -> None:
        """Merge the records of another instance."""
        for record in records:
            for reported in record.losses:
                loss = Loss(
                    lost_at=now - max(0.0, reported.age_s),
                    sent_at=now - max(0.0, reported.sent_age_s),
                    pardoned=reported.pardoned,
                )
                if now - loss.lost_at < self._loss_ttl_s:
                    key = (reported.backend, reported.incarnation)
                    self._add(record.member, record.digest, key, loss)
        self._evict_excess_records()

    def active_losses(self, *, now: float) -> dict[bytes, dict[tuple[str, int], Loss]]:
        """Return the losses that count against each digest, by process."""
        return {
            digest: losses
            for digest, suspect in self._suspects.items()
            if (
                losses := {
                    key: loss
                    for key, loss in suspect.losses.items()
                    if not loss.pardoned and now - loss.lost_at < self._loss_ttl_s
                }
            )
        }

    def records(
        self, *, now: float, member: str | None = None, digest: bytes | None = None
    ) -> tuple[SuspectRecord, ...]:
        """Return the records, only those of ``member`` or ``digest`` if given."""
        self._expire(now)
        return tuple(
            _record(key, suspect, now)
            for key, suspect in self._suspects.items()
            if member in (None, suspect.member) and digest in (None, key)
        )

    def _active_losses(self, digest: bytes, now: float) -> list[Loss]:
        suspect = self._suspects.get(digest)
        if suspect is None:
            return []
        losses = suspect.losses.values()
        return [
            loss for loss in losses if not loss.pardoned and now - loss.lost_at < self._loss_ttl_s
        ]

    def _add(self, member: str, digest: bytes, key: tuple[str, int], loss: Loss) -> bool:
        suspect = self._suspects.setdefault(digest, _Suspect(member=member, losses={}))
        known = suspect.losses.get(key)
        if known is not None:
            loss = Loss(
                lost_at=min(known.lost_at, loss.lost_at),
                sent_at=max(known.sent_at, loss.sent_at),
                pardoned=known.pardoned or loss.pardoned,
            )
        suspect.losses[key] = loss
        return known is None or known.pardoned is not loss.pardoned

    def _expire(self, now: float) -> None:
        for key, noticed_at in list(self._crash_noticed_at.items()):
            if now - noticed_at >= self._loss_ttl_s:
                del self._crash_noticed_at[key]
        for digest, suspect in list(self._suspects.items()):
            for key, loss in list(suspect.losses.items()):
                if now - loss.lost_at >= self._loss_ttl_s:
                    del suspect.losses[key]
            if not suspect.losses:
                del self._suspects[digest]

    def _evict_excess_records(self) -> None:
        while len(self._suspects) > self._max_records:
            counts = collections.Counter(suspect.member for suspect in self._suspects.values())
            member = max(sorted(counts), key=lambda name: counts[name])
            digests = [
                digest for digest, suspect in self._suspects.items() if suspect.member == member
            ]
            del self._suspects[min(digests, key=self._latest_loss_at)]

    def _latest_loss_at(self, digest: bytes) -> float:
        return max(loss.lost_at for loss in self._suspects[digest].losses.values())


def _record(digest: bytes, suspect: _Suspect, now: float) -> SuspectRecord:
    losses = tuple(
        BackendLoss(
            backend=backend,
            incarnation=incarnation,
            age_s=now - loss.lost_at,
            sent_age_s=now - loss.sent_at,
            pardoned=loss.pardoned,
        )
        for (backend, incarnation), loss in sorted(suspect.losses.items())
    )
    return SuspectRecord(member=suspect.member, digest=digest, losses=losses)


class SuspectSlots:
    """Limits each backend server to one suspect at a time.

    >>> slots = SuspectSlots()
    >>> slots.take("e1", b"one", now=0.0), slots.take("e1", b"two", now=0.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._holders: dict[str, tuple[bytes, float]] = {}

    def take(self, backend: str, digest: bytes, *, now: float) -> bool:
        """Give the slot of ``backend`` to a suspect; return False while another suspect has it."""
        holder_digest, taken_at = self._holders.get(backend, (digest, now))
        if holder_digest != digest and now - taken_at < SUSPECT_SLOT_TTL_S:
            return False
        self._holders[backend] = (digest, now)
        return True

    def release(self, backend: str, digest: bytes) -> None:
        """Release the slot of ``backend`` if ``digest`` has it."""
        if self._holders.get(backend, (b"", 0.0))[0] == digest:
            del self._holders[backend]
