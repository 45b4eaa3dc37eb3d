"""Records of the backend servers that were lost with requests and prompt parts."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from figpaddle.routing._unsettled_attempts import Process
from figpaddle.wire import BackendLoss, SuspectNews, SuspectRecord

#: How long a loss counts, seconds.
LOSS_TTL_S = 600.0
#: Maximum number of digests with losses; beyond it, one with the fewest losses of the member with the
#: most digests is evicted, whole requests and the oldest first.
MAX_SUSPECT_RECORDS = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loss:
    """The loss of a process with one request, or requests with one prompt part."""

    #: When it was first noticed, seconds.
    lost_at: float
    #: When the last of these requests was sent there, seconds.
    sent_at: float
    pardoned: bool
    #: Region of the backend server; empty if no instance has reported it.
    region: str = ""


@dataclasses.dataclass(kw_only=True)
class _Suspect:
    member: str
    #: Whether the digest is that of a whole request, not of a prompt part.
    is_request: bool
    losses: dict[Process, Loss]


class LossRecords:
    """Counts the lost processes of backend servers by the digest of a request or of a prompt part.

    Records only grow until they expire: a loss is added once, whichever instance notices it, and
    may be pardoned. Instances that exchange records therefore hold the same ones in any order of
    merges.

    >>> records = LossRecords()
    >>> records.note_loss(
    ...     "hanbit", b"d", is_request=True, process=("e1", 1), sent_at=0.0, now=0.1
    ... )
    True
    >>> list(records.active_losses(now=1.0)[b"d"])
    [('e1', 1)]
    """

    def __init__(
        self, *, loss_ttl_s: float = LOSS_TTL_S, max_records: int = MAX_SUSPECT_RECORDS
    ) -> None:
        self._loss_ttl_s = loss_ttl_s
        self._max_records = max_records
        self._suspects: dict[bytes, _Suspect] = {}
        #: When this instance first noticed the crash of a backend server's process.
        self._crash_noticed_at: dict[Process, float] = {}
        #: When each process was lost with requests of a member, as far as any instance has noticed it.
        self._lost_at: dict[str, dict[Process, float]] = {}

    def lost_at(self, member: str) -> Mapping[Process, float]:
        """Return when each process was lost that had requests of a member, seconds."""
        return self._lost_at.get(member, {})

    def processes(self) -> set[Process]:
        """Return all processes lost."""
        return {process for lost_at in self._lost_at.values() for process in lost_at}

    def members_of(self, process: Process) -> set[str]:
        """Return the members with whose requests a process was lost."""
        return {member for member, lost_at in self._lost_at.items() if process in lost_at}

    def processes_since(self, since: float) -> set[Process]:
        """Return the processes that were lost at ``since`` or later."""
        return {
            process
            for lost_at in self._lost_at.values()
            for process, at in lost_at.items()
            if at >= since
        }

    def member_of(self, digest: bytes) -> str:
        """Return the member whose request or part has a digest with losses."""
        return self._suspects[digest].member

    def is_request(self, digest: bytes) -> bool:
        """Return whether a recorded digest is that of a whole request."""
        suspect = self._suspects.get(digest)
        return suspect is not None and suspect.is_request

    def note_loss(
        self,
        member: str,
        digest: bytes,
        *,
        is_request: bool,
        process: Process,
        sent_at: float,
        now: float,
        region: str = "",
    ) -> bool:
        """Record the loss of a process; return whether this is new.

        A request sent after any instance noticed the crash can't have caused it and isn't
        recorded.
        """
        noticed_at = self._crash_noticed_at.setdefault(process, now)
        elsewhere = (lost_at.get(process, now) for lost_at in self._lost_at.values())
        if sent_at > min((noticed_at, *elsewhere)):
            return False
        loss = Loss(lost_at=now, sent_at=sent_at, pardoned=False, region=region)
        return self._add(member, digest, is_request, process, loss)

    def pardon(self, digest: bytes, *, now: float) -> bool:
        """Pardon all known losses of a digest; return whether any counted before."""
        suspect = self._suspects.get(digest)
        if suspect is None or not self._active(suspect, now):
            return False
        for key, loss in suspect.losses.items():
            suspect.losses[key] = dataclasses.replace(loss, pardoned=True)
        return True

    def merge(self, news: SuspectNews, *, now: float) -> set[bytes]:
        """Merge the records of another instance; return the digests with new losses."""
        changed = set()
        for is_request, records in ((True, news.records), (False, news.parts)):
            for record in records:
                if self._merge_record(record, is_request=is_request, now=now):
                    changed.add(record.digest)
        return changed

    def active_losses(self, *, now: float) -> dict[bytes, dict[Process, Loss]]:
        """Return the losses that count against each digest, by process."""
        self._evict_excess_records()
        return {
            digest: losses
            for digest, suspect in self._suspects.items()
            if (losses := self._active(suspect, now))
        }

    def losses_of(self, digest: bytes, *, now: float) -> dict[Process, Loss]:
        """Return the losses that count against one digest, by process."""
        suspect = self._suspects.get(digest)
        return {} if suspect is None else self._active(suspect, now)

    def is_pardoned(self, digest: bytes) -> bool:
        """Return whether a loss of a digest has been pardoned."""
        suspect = self._suspects.get(digest)
        return suspect is not None and any(loss.pardoned for loss in suspect.losses.values())

    def digests(self, *, now: float) -> list[bytes]:
        """Return all digests with losses that haven't expired."""
        self._expire(now)
        self._evict_excess_records()
        return list(self._suspects)

    def news(self, *, now: float, digests: Iterable[bytes] | None = None) -> SuspectNews:
        """Return the records for another instance, only those of ``digests`` if given."""
        records: list[SuspectRecord] = []
        parts: list[SuspectRecord] = []
        for digest in self.digests(now=now) if digests is None else digests:
            suspect = self._suspects.get(digest)
            if suspect is not None:
                (records if suspect.is_request else parts).append(_record(digest, suspect, now))
        return SuspectNews(records=tuple(records), parts=tuple(parts))

    def _active(self, suspect: _Suspect, now: float) -> dict[Process, Loss]:
        return {
            process: loss
            for process, loss in suspect.losses.items()
            if not loss.pardoned and now - loss.lost_at < self._loss_ttl_s
        }

    def _merge_record(self, record: SuspectRecord, *, is_request: bool, now: float) -> bool:
        is_new = False
        for reported in record.losses:
            loss = Loss(
                lost_at=now - max(0.0, reported.age_s),
                sent_at=now - max(0.0, reported.sent_age_s),
                pardoned=reported.pardoned,
                region=reported.region,
            )
            if now - loss.lost_at < self._loss_ttl_s:
                process = (reported.backend, reported.incarnation)
                is_new |= self._add(record.member, record.digest, is_request, process, loss)
        return is_new

    def _add(
        self, member: str, digest: bytes, is_request: bool, process: Process, loss: Loss
    ) -> bool:
        suspect = self._suspects.setdefault(
            digest, _Suspect(member=member, is_request=is_request, losses={})
        )
        known = suspect.losses.get(process)
        if known is not None:
            loss = Loss(
                lost_at=min(known.lost_at, loss.lost_at),
                sent_at=max(known.sent_at, loss.sent_at),
                pardoned=known.pardoned or loss.pardoned,
                region=known.region or loss.region,
            )
        suspect.losses[process] = loss
        lost_at = self._lost_at.setdefault(suspect.member, {})
        lost_at[process] = min(loss.lost_at, lost_at.get(process, loss.lost_at))
        return known is None or known.pardoned is not loss.pardoned

    def _expire(self, now: float) -> None:
        for key, noticed_at in list(self._crash_noticed_at.items()):
            if now - noticed_at >= self._loss_ttl_s:
                del self._crash_noticed_at[key]
        for member, lost_at in list(self._lost_at.items()):
            for key, at in list(lost_at.items()):
                if now - at >= self._loss_ttl_s:
                    del lost_at[key]
            if not lost_at:
                del self._lost_at[member]
        for digest, suspect in list(self._suspects.items()):
            for key, loss in list(suspect.losses.items()):
                if now - loss.lost_at >= self._loss_ttl_s:
                    del suspect.losses[key]
            if not suspect.losses:
                del self._suspects[digest]

    def _evict_excess_records(self) -> None:
        """Evict at the next use of all records, not with each loss: one crash adds hundreds."""
        excess = len(self._suspects) - self._max_records
        if excess <= 0:
            return
        counts = collections.Counter(suspect.member for suspect in self._suspects.values())
        heaviest_first: dict[str, list[bytes]] = {}
        for _ in range(excess):
            member = max(sorted(counts), key=lambda name: counts[name])
            if member not in heaviest_first:
                digests = [key for key, item in self._suspects.items() if item.member == member]
                # Of equal weight, the one recorded first is evicted first.
                digests.reverse()
                heaviest_first[member] = sorted(digests, key=self._weight, reverse=True)
            del self._suspects[heaviest_first[member].pop()]
            counts[member] -= 1

    def _weight(self, digest: bytes) -> tuple[int, bool, float]:
        """Return the rank in which a digest is kept: the lowest is evicted first.

        At equal losses a prompt part, which many requests may have, outranks a whole request.
        """
        suspect = self._suspects[digest]
        losses = suspect.losses.values()
        return len(losses), not suspect.is_request, max(loss.lost_at for loss in losses)


def _record(digest: bytes, suspect: _Suspect, now: float) -> SuspectRecord:
    losses = tuple(
        BackendLoss(
            backend=backend,
            incarnation=incarnation,
            age_s=now - loss.lost_at,
            sent_age_s=now - loss.sent_at,
            pardoned=loss.pardoned,
            region=loss.region,
        )
        for (backend, incarnation), loss in sorted(suspect.losses.items())
    )
    return SuspectRecord(member=suspect.member, digest=digest, losses=losses)
