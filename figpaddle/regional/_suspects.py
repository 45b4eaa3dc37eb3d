"""Requests that crash the backend servers that run them."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc

from figpaddle.errors import ConnectFailedError
from figpaddle.http1 import connect
from figpaddle.regional._mesh import Mesh
from figpaddle.routing import Quarantine
from figpaddle.telemetry import Log
from figpaddle.wire import CrashReport, InstanceRole, Message

#: A request is refused once this many backend servers died while they ran it. Others that ran
#: there at the time are suspected too, and are very unlikely to have been at all of them.
MAX_LOSSES = 3
#: A loss counts for this long, seconds: longer than a backend server takes to come back.
LOSS_TTL_S = 60.0
#: Pause before a backend server that broke off is tried, seconds; a crash closes its port.
PROBE_PAUSE_S = 0.05
#: Time within which a live backend server accepts a connection, seconds.
PROBE_TIMEOUT_S = 0.4
#: Pauses after which a report is sent again, seconds; datagrams get lost.
REPEATS_S = (0.0, 0.2, 0.6)


class Suspects:
    """Counts, over all entries, the backend servers that a request has taken down."""

    def __init__(
        self, *, mesh: Mesh, tasks: anyio.abc.TaskGroup, clock: Callable[[], float], log: Log
    ) -> None:
        self._mesh = mesh
        self._tasks = tasks
        self._clock = clock
        self._log = log
        #: Requests that a backend server broke off and that its probe will judge.
        self._waiting: dict[tuple[str, int], list[tuple[bytes, float]]] = {}
        self._quarantine = Quarantine(max_losses=MAX_LOSSES, loss_ttl_s=LOSS_TTL_S)
        mesh.on_news(CrashReport, self._take_report)

    def refused_for_s(self, fingerprint: bytes) -> float:
        """Return for how long a request is refused, seconds; 0 where it isn't."""
        return max(0.0, self._quarantine.refused_for_s(fingerprint, now=self._clock()))

    def note_broken(
        self, fingerprint: bytes, backend: str, address: str, *, born: int, sent_at: float
    ) -> None:
        """Find out whether a backend server that broke off has crashed.

        All requests that it broke off at the moment are judged by one probe.
        """
        waiting = self._waiting.get((backend, born))
        if waiting is not None:
            waiting.append((fingerprint, sent_at))
            return
        self._waiting[backend, born] = [(fingerprint, sent_at)]
        self._tasks.start_soon(self._probe, backend, address, born)

    async def _probe(self, backend: str, address: str, born: int) -> None:
        await anyio.sleep(PROBE_PAUSE_S)
        try:
            channel = await connect(address, timeout_s=PROBE_TIMEOUT_S, silence_s=1.0)
        except ConnectFailedError as error:
            lost = self._waiting.pop((backend, born))
            self._log.warning(
                "backend_lost", backend=backend, born=born, requests=len(lost), reason=error.what
            )
        else:
            del self._waiting[backend, born]
            channel.close()
            return
        now = self._clock()
        reports = [
            CrashReport(
                fingerprint=fingerprint, backend=backend, born=born, sent_age_s=now - sent_at
            )
            for fingerprint, sent_at in lost
        ]
        for report in reports:
            self._take_report(report)
        for pause_s in REPEATS_S:
            await anyio.sleep(pause_s)
            entries = [b.name for b in self._mesh.live() if b.role is InstanceRole.ENTRY]
            for report in reports:
                self._mesh.tell(report, entries)

    def _take_report(self, report: Message) -> None:
        assert isinstance(report, CrashReport)
        now = self._clock()
        is_news = self._quarantine.note_loss(
            "",
            report.fingerprint,
            backend=report.backend,
            incarnation=report.born,
            sent_at=now - report.sent_age_s,
            now=now,
        )
        if is_news and self.refused_for_s(report.fingerprint):
            self._log.warning("request_quarantined", fingerprint=report.fingerprint.hex())
