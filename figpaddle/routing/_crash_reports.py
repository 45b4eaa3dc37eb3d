"""The order in which an entry reports the losses of backend servers to the others."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection, Iterable

from figpaddle.routing._crash_quarantine import CrashQuarantine
from figpaddle.routing._outages import MIN_OUTAGE_PROCESSES

#: Shortest and longest time after each sending of a report until the next, seconds; it is repeated
#: because datagrams get lost. Drawn, so that of several entries with the same to repeat one is first.
REPEAT_DELAYS_S = ((0.15, 0.25), (0.4, 0.8))
#: Time for which digests with one loss are held back while an outage may have ended their server,
#: seconds. By then the entries have heard of each other's losses.
HOLD_S = 0.15
#: Time after which a report that never found room is left to the exchange of records, seconds.
REPORT_TTL_S = 3.0


@dataclasses.dataclass(kw_only=True)
class _Report:
    noted_at: float
    due_at: float
    #: Number of times that this instance, or another in its place, has sent it.
    sent: int = 0
    #: Whether another instance has reported the same since the last sending.
    is_covered: bool = False
    #: Whether it tells the others of a process that was lost, whatever the digest is.
    is_lead: bool = False
    #: Whether it is sent even if no loss counts against it, as after a pardon.
    is_pardon: bool = False


class CrashReports:
    """Decides which digests with losses are due to be reported, most important first.

    A digest is reported a few times. One of each member for each loss, its lead, goes out whatever caused the loss, as
    others recognise an outage by its processes. The others are dropped once an outage explains their
    losses, and held back for ``HOLD_S`` while one may be under way. Digests with several losses come
    first and wait for nothing, since others may refuse them by the report.
    """

    def __init__(self, *, quarantine: CrashQuarantine, rng: random.Random) -> None:
        self._quarantine = quarantine
        self._rng = rng
        self._reports: dict[bytes, _Report] = {}

    def __len__(self) -> int:
        return len(self._reports)

    def note_loss(
        self, digests: Iterable[bytes], *, told_members: Collection[str], now: float
    ) -> None:
        """Record the digests with news of one loss.

        Other instances have reported the loss already for each member in ``told_members``.
        """
        told = set(told_members)
        for digest in digests:
            member = self._quarantine.member_of(digest)
            known = self._reports.get(digest)
            is_lead = member not in told or (known is not None and known.is_lead)
            told.add(member)
            self._reports[digest] = _Report(noted_at=now, due_at=now, is_lead=is_lead)

    def note_pardon(self, digest: bytes, *, now: float) -> None:
        """Record that the losses of a digest were pardoned."""
        self._reports[digest] = _Report(noted_at=now, due_at=now, is_pardon=True)

    def note_heard(self, digest: bytes) -> None:
        """Record that another instance has reported all that this one knows of a digest.

        That takes the place of the next repetition. The first sending isn't replaced, as the other
        report may have gone to this instance alone.
        """
        report = self._reports.get(digest)
        if report is not None and report.sent and not report.is_pardon:
            report.is_covered = True

    def is_unsent(self, digest: bytes) -> bool:
        """Return whether a report of a digest still waits for its first sending."""
        report = self._reports.get(digest)
        return report is not None and not report.sent

    def note_sent(self, digest: bytes, *, now: float) -> None:
        """Record that a report was sent."""
        report = self._reports[digest]
        if report.sent >= len(REPEAT_DELAYS_S):
            del self._reports[digest]
            return
        report.is_covered = False
        report.due_at = now + self._rng.uniform(*REPEAT_DELAYS_S[report.sent])
        report.sent += 1

    def take_due(self, *, losing: int, now: float) -> tuple[list[bytes], list[bytes]]:
        """Return the digests to report now, the urgent and the others, most important first.

        ``losing`` is the number of processes that were lost just now or may be. Digests that needn't
        be reported any more are forgotten.
        """
        urgent: list[tuple[tuple[bool, int, float], bytes]] = []
        others: list[tuple[tuple[bool, int, float], bytes]] = []
        for digest, report in list(self._reports.items()):
            if report.due_at > now:
                continue
            losses = self._quarantine.losses_caused(digest, now=now)
            is_wanted = losses or report.is_lead or report.is_pardon
            if not is_wanted or now - report.noted_at > REPORT_TTL_S:
                del self._reports[digest]
                continue
            if report.is_covered:
                self.note_sent(digest, now=now)
                continue
            is_urgent = losses > 1 or report.is_lead or report.is_pardon
            may_be_outage = losing >= MIN_OUTAGE_PROCESSES - 1
            if not is_urgent and may_be_outage and now - report.noted_at < HOLD_S:
                continue
            answers = self._quarantine.answers_to(digest)
            rank = (report.sent > 0, -losses, answers)
            (urgent if is_urgent else others).append((rank, digest))
        return [digest for _, digest in sorted(urgent)], [digest for _, digest in sorted(others)]
