"""Quarantines requests that crash the backend servers that run them."""

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

#: A request is refused once this many backend servers crashed while they ran it. A crash also
#: counts against the other requests that ran there at the time; a harmless one is very unlikely to
#: have run at all of the servers that crashed.
MAX_LOSSES = 3
#: Time for which a crash counts, seconds; longer than a backend server takes to restart.
LOSS_TTL_S = 60.0
#: Delay before a backend server that closed a connection is probed, seconds. A crash closes its
#: port within this time.
PROBE_DELAY_S = 0.05
#: Time within which a live backend server accepts a connection, seconds.
PROBE_TIMEOUT_S = 0.4
#: Delays before each sending of a report, seconds; it is repeated because datagrams get lost.
REPORT_DELAYS_S = (0.0, 0.2, 0.6)


class RequestQuarantine:
    """Refuses a request for a while once ``MAX_LOSSES`` backend servers crashed while they ran it.

    Each entry reports the crashes that it sees to the other entries.
    """

    def __init__(
        self, *, mesh: Mesh, tasks: anyio.abc.TaskGroup, clock: Callable[[], float], log: Log
    ) -> None:
        self._mesh = mesh
        self._tasks = tasks
        self._clock = clock
        self._log = log
        #: Requests that lost their connection and await the probe of their backend server, by the
        #: server's name and incarnation.
        self._unprobed: dict[tuple[str, int], list[tuple[bytes, float]]] = {}
        self._quarantine = Quarantine(max_losses=MAX_LOSSES, loss_ttl_s=LOSS_TTL_S)
        mesh.on_datagram(CrashReport, self._apply_report)

    def refused_for_s(self, fingerprint: bytes) -> float:
        """Return for how much longer a request is refused, seconds; 0 if it isn't refused."""
        return max(0.0, self._quarantine.refused_for_s(fingerprint, now=self._clock()))

    def note_lost_connection(
        self, fingerprint: bytes, backend: str, address: str, *, incarnation: int, sent_at: float
    ) -> None:
        """Probe whether a backend server that closed a request's connection has crashed.

        One probe serves all requests that lose their connection to the server before it ends.
        """
        unprobed = self._unprobed.get((backend, incarnation))
        if unprobed is not None:
            unprobed.append((fingerprint, sent_at))
            return
        self._unprobed[backend, incarnation] = [(fingerprint, sent_at)]
        self._tasks.start_soon(self._probe, backend, address, incarnation)

    async def _probe(self, backend: str, address: str, incarnation: int) -> None:
        await anyio.sleep(PROBE_DELAY_S)
        try:
            channel = await connect(address, timeout_s=PROBE_TIMEOUT_S, ack_timeout_s=1.0)
        except ConnectFailedError as error:
            lost = self._unprobed.pop((backend, incarnation))
            self._log.warning(
                "backend_lost",
                backend=backend,
                born=incarnation,
                requests=len(lost),
                reason=error.what,
            )
        else:
            del self._unprobed[backend, incarnation]
            channel.close()
            return
        now = self._clock()
        reports = [
            CrashReport(
                fingerprint=fingerprint, backend=backend, born=incarnation, sent_age_s=now - sent_at
            )
            for fingerprint, sent_at in lost
        ]
        for report in reports:
            self._apply_report(report)
        for delay_s in REPORT_DELAYS_S:
            await anyio.sleep(delay_s)
            entries = [
                heartbeat.name
                for heartbeat in self._mesh.live_heartbeats()
                if heartbeat.role is InstanceRole.ENTRY
            ]
            for report in reports:
                self._mesh.send_datagrams(report, entries)

    def _apply_report(self, report: Message) -> None:
        assert isinstance(report, CrashReport)
        now = self._clock()
        is_new = self._quarantine.note_loss(
            "",
            report.fingerprint,
            backend=report.backend,
            incarnation=report.born,
            sent_at=now - report.sent_age_s,
            now=now,
        )
        if is_new and self.refused_for_s(report.fingerprint):
            self._log.warning("request_quarantined", fingerprint=report.fingerprint.hex())
