"""What a relay passes on of reports of crashes, within a bound on bytes."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from figpaddle.routing import ByteBudget, Process
from figpaddle.wire import SuspectNews, SuspectRecord, encode

#: Bytes of reports that a relay sends at once, over all receivers, and in a second from then on: 0.4 s and
#: a fifth of a link of 5 Mbit/s, the narrowest one.
BURST_BYTES, BYTES_PER_S = 250_000.0, 125_000.0
#: Part of the burst that is left to urgent reports, bytes.
URGENT_BYTES = 62_500.0
#: Time after which a report that found no room is dropped, seconds. It is repeated, and entries exchange
#: their records.
WAITING_TTL_S = 1.0
#: Time in which further reports of the loss of a process aren't urgent, seconds.
KNOWN_TTL_S = 10.0
#: Wait after which the ages in a report are corrected, seconds.
MAX_AGE_ERROR_S = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Waiting:
    report: SuspectNews
    data: bytes
    came_at: float


class ReportQueue:
    """Holds back reports of crashes while they would fill the link of a relay.

    Urgent are those that may end in a verdict, about several losses, and the first of the loss of each
    process, by which others recognise an outage. They come before others, which leave a part of the
    burst to them.

    >>> queue = ReportQueue()
    >>> news = SuspectNews(records=())
    >>> queue.add(news, encode(news), now=0.0)
    >>> len(list(queue.take(receivers=13, now=0.0)))
    1
    """

    def __init__(self) -> None:
        self._budget = ByteBudget(bytes_per_s=BYTES_PER_S, burst_bytes=BURST_BYTES)
        self._urgent: list[_Waiting] = []
        self._others: list[_Waiting] = []
        #: When a report of the loss of each process came first.
        self._known_at: dict[Process, float] = {}

    def add(self, report: SuspectNews, data: bytes, *, now: float) -> None:
        """Add a report that came as ``data``."""
        waiting = _Waiting(report=report, data=data, came_at=now)
        (self._urgent if self._is_urgent(report, now) else self._others).append(waiting)

    def take(self, *, receivers: int, now: float) -> Iterator[bytes]:
        """Return the encoded reports to send to each of some receivers now."""
        for waiting, left_bytes in ((self._urgent, 0.0), (self._others, URGENT_BYTES)):
            waiting[:] = [item for item in waiting if now - item.came_at <= WAITING_TTL_S]
            while waiting and self._budget.is_open(now=now, reserved_bytes=left_bytes):
                item = waiting.pop(0)
                data = _with_present_ages(item, now)
                self._budget.spend(len(data) * receivers, now=now)
                yield data

    def _is_urgent(self, report: SuspectNews, now: float) -> bool:
        self._known_at = {
            process: at for process, at in self._known_at.items() if now - at <= KNOWN_TTL_S
        }
        is_urgent = False
        for record in (*report.records, *report.parts):
            is_urgent |= len(record.losses) > 1 or any(loss.pardoned for loss in record.losses)
            for loss in record.losses:
                process = (loss.backend, loss.incarnation)
                is_urgent |= process not in self._known_at
                self._known_at.setdefault(process, now)
        return is_urgent


def _with_present_ages(item: _Waiting, now: float) -> bytes:
    """Return a report as it is now, and as it came if it hasn't waited."""
    waited_s = now - item.came_at
    if waited_s <= MAX_AGE_ERROR_S:
        return item.data

    def older(records: tuple[SuspectRecord, ...]) -> tuple[SuspectRecord, ...]:
        return tuple(
            dataclasses.replace(
                record,
                losses=tuple(
                    dataclasses.replace(
                        loss, age_s=loss.age_s + waited_s, sent_age_s=loss.sent_age_s + waited_s
                    )
                    for loss in record.losses
                ),
            )
            for record in records
        )

    return encode(SuspectNews(records=older(item.report.records), parts=older(item.report.parts)))
