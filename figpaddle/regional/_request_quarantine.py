"""Quarantines requests and prompt parts that crash the backend servers that run them."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Iterable
from typing import Any

import anyio
import anyio.abc

from figpaddle.errors import ConnectFailedError
from figpaddle.http1 import PeerClose, connect
from figpaddle.regional._backend_records import is_record_sender
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._settings import ProcessSettings
from figpaddle.routing import (
    PartQuarantine,
    Process,
    Quarantine,
    QuarantineVerdict,
    RequestTraits,
    SuspectedAttempt,
    UnsettledAttempts,
)
from figpaddle.telemetry import Log, MetricsRegistry
from figpaddle.wire import (
    CrashReport,
    InstanceHeartbeat,
    InstanceRole,
    Message,
    SuspectNews,
    SuspectRecord,
)

#: A request is refused once this many backend servers crashed while they ran it. A crash also
#: counts against the other requests that hadn't settled there; a harmless one is very unlikely to be
#: among them at all of the servers that crashed.
MAX_LOSSES = 3
#: Time for which the crash of a backend server counts against whole requests, seconds; longer than a
#: backend server takes to restart.
LOSS_TTL_S = 60.0
#: Delay before a backend server that closed a connection is probed, seconds. A crash closes its
#: port within this time.
PROBE_DELAY_S = 0.05
#: Time within which a live backend server accepts a connection, seconds.
PROBE_TIMEOUT_S = 0.4
#: Time within which a probe's connection must not be closed in an orderly way, seconds. A load
#: balancer before a crashed server does so; a live server with too many connections resets one.
PROBE_HOLD_S = 0.1
#: Delays, each after the one before, until a server that accepted the probe is compared with its
#: record again, seconds. One that restarted at once reports a new incarnation by then.
RECHECK_DELAYS_S = (0.6, 1.5)
#: Delays before each sending of a report, seconds; it is repeated because datagrams get lost.
REPORT_DELAYS_S = (0.0, 0.2, 0.6)
#: Interval at which the records of parts are sent to ``GOSSIP_PEERS`` other entries, seconds. An
#: entry that was cut off or restarted while a report was sent learns of it so.
GOSSIP_INTERVAL_S = 1.0
#: Number of entries that get the records at each interval.
GOSSIP_PEERS = 2
#: Records in one datagram; keeps it within a few packets.
RECORDS_PER_DATAGRAM = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuarantineRefusal:
    """Why a request is refused, and for how long."""

    reason: str
    #: Time until the request may be refused no longer, seconds.
    remaining_s: float
    #: Position of the refused part in ``RequestTraits.parts``; None for the whole request.
    part_index: int | None = None


class RequestQuarantine:
    """Refuses requests that crash the backend servers that run them.

    A whole request is refused for a while once ``MAX_LOSSES`` backend servers crashed while they ran
    it. A request with a prompt part that crashes backend servers is refused too, whatever else it
    holds (``PartQuarantine``). Each entry reports the crashes that it sees to the other entries.

    ``is_replaced`` returns whether the process of a backend server, by name and incarnation, has
    ended according to newer records.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        mesh: Mesh,
        tasks: anyio.abc.TaskGroup,
        is_replaced: Callable[[str, int], bool],
        rng: random.Random,
        clock: Callable[[], float],
        log: Log,
        metrics: MetricsRegistry,
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._tasks = tasks
        self._is_replaced = is_replaced
        self._rng = rng
        self._clock = clock
        self._log = log
        self._metrics = metrics
        #: End of the first probe of each backend server that closed a connection.
        self._probes: dict[Process, anyio.Event] = {}
        self._attempts = UnsettledAttempts()
        self._requests = Quarantine(max_losses=MAX_LOSSES, loss_ttl_s=LOSS_TTL_S)
        self._parts = PartQuarantine()
        self._refused_parts: frozenset[bytes] = frozenset()
        #: Lost processes at which this entry has looked for its own unsettled attempts.
        self._examined: set[Process] = set()
        mesh.on_datagram(CrashReport, self._apply_report)
        mesh.on_datagram(SuspectNews, self._apply_news)
        mesh.on_peer_up(self._send_records_to)
        tasks.start_soon(self._gossip)

    def refusal(self, traits: RequestTraits) -> QuarantineRefusal | None:
        """Return why a request is refused, or None if it isn't."""
        now = self._clock()
        part = self._parts.refused_part(traits.parts, now=now)
        if part is not None:
            return QuarantineRefusal(
                reason="a part of the prompt crashed several backend servers",
                remaining_s=self._parts.refused_for_s(part, now=now),
                part_index=traits.parts.index(part),
            )
        remaining_s = self._requests.refused_for_s(traits.fingerprint, now=now)
        if remaining_s > 0:
            return QuarantineRefusal(
                reason="crashed several backend servers", remaining_s=remaining_s
            )
        return None

    def suspect_part(self, traits: RequestTraits) -> bytes | None:
        """Return a part of the prompt that may have crashed a backend server, or None."""
        return self._parts.suspect_part(traits.parts, now=self._clock())

    def note_sent(self, key: str, traits: RequestTraits, *, process: Process) -> None:
        """Record that an attempt is being sent; ``key`` identifies it until it ends."""
        self._attempts.note_sent(key, traits, process=process, now=self._clock())

    def note_progress(self, key: str) -> None:
        """Record that bytes of the answer to an attempt arrived."""
        traits = self._attempts.note_progress(key, now=self._clock())
        if traits is not None:
            self._parts.note_answer(traits.member, traits.parts)

    def note_ended(self, key: str, *, complete: bool) -> None:
        """Record the end of an attempt; ``complete`` tells whether its whole answer arrived."""
        self._attempts.note_ended(key, complete=complete, now=self._clock())

    def note_not_run(self, key: str) -> None:
        """Forget an attempt that the backend server states it hasn't run."""
        self._attempts.note_not_run(key)

    def note_lost_connection(self, process: Process, address: str) -> None:
        """Probe whether a backend server that closed a request's connection has crashed.

        One probe serves all requests that lose their connection to the server before it ends.
        """
        if process not in self._probes:
            self._probes[process] = anyio.Event()
            self._tasks.start_soon(self._probe, process, address)

    def note_unmarked_end(self, traits: RequestTraits, process: Process, address: str) -> None:
        """Probe a backend server whose answer ended with its connection, as after a crash.

        Requests whose parts all have settled answers need no probe.
        """
        if not self._parts.is_proven(traits.parts):
            self.note_lost_connection(process, address)

    async def may_retry(self, traits: RequestTraits, *, process: Process) -> bool:
        """Return whether a request that lost its connection to ``process`` may be sent again.

        A request with a part for which no answer has settled waits for the probe of ``process``.
        """
        probe_ended = self._probes.get(process)
        if probe_ended is not None and not self._parts.is_proven(traits.parts):
            await probe_ended.wait()
        return self.refusal(traits) is None and self.suspect_part(traits) is None

    def pardon(self, part: bytes) -> bool:
        """Pardon the losses of a prompt part for an operator; return whether any counted."""
        if not self._parts.pardon(part, now=self._clock()):
            return False
        self._log.info("part_pardoned", part=part.hex())
        self._tasks.start_soon(self._broadcast, (part,))
        return True

    def dump(self) -> list[dict[str, Any]]:
        """Return the prompt parts with losses, for operators, as JSON objects."""
        now = self._clock()
        return [
            {
                "part": record.digest.hex(),
                "member": record.member,
                "verdict": self._parts.verdict((record.digest,), now=now).value,
                "answers": record.answers,
                "losses": [
                    {
                        "backend": loss.backend,
                        "age_s": round(loss.age_s, 2),
                        "pardoned": loss.pardoned,
                    }
                    for loss in record.losses
                ],
            }
            for record in self._parts.records(now=now)
        ]

    def run_housekeeping(self) -> None:
        """Count the answers that have settled."""
        for traits in self._attempts.take_settled(now=self._clock()):
            self._parts.note_answer(traits.member, traits.parts)
        self._parts.note_instances(1 + len(self._entries()))
        self._log_verdicts()

    async def _probe(self, process: Process, address: str) -> None:
        closed_at = self._clock()
        await anyio.sleep(PROBE_DELAY_S)
        try:
            failure = await _probe_failure(address)
            if failure:
                self._note_lost(process, lost_at=closed_at, reason=failure)
                return
        finally:
            self._probes.pop(process).set()
        for delay_s in RECHECK_DELAYS_S:
            await anyio.sleep(delay_s)
            if self._is_replaced(*process):
                self._note_lost(process, lost_at=closed_at, reason="it has restarted")
                return

    def _note_lost(self, process: Process, *, lost_at: float, reason: str) -> None:
        """Count the loss of a process against the requests that hadn't settled there."""
        suspects = self._attempts.take_lost(process, lost_at=lost_at)
        self._log.warning(
            "backend_lost",
            backend=process[0],
            born=process[1],
            requests=len(suspects),
            reason=reason,
        )
        self._metrics.count("backends_lost_total")
        now = self._clock()
        reports = tuple(
            CrashReport(
                fingerprint=suspect.traits.fingerprint,
                backend=process[0],
                born=process[1],
                sent_age_s=now - suspect.sent_at,
            )
            for suspect in suspects
        )
        for report in reports:
            self._apply_report(report)
        self._tasks.start_soon(self._broadcast, self._count_loss(process, suspects), reports)

    def _count_loss(
        self, process: Process, suspects: Iterable[SuspectedAttempt]
    ) -> tuple[bytes, ...]:
        """Count a loss against the parts of the suspects; return the parts that others are told."""
        self._examined.add(process)
        news = self._parts.note_crash(suspects, process=process, now=self._clock())
        self._log_verdicts()
        return news

    async def _broadcast(
        self, parts: tuple[bytes, ...], reports: tuple[CrashReport, ...] = ()
    ) -> None:
        """Send reports, and the records of some parts, to all entries several times."""
        for delay_s in REPORT_DELAYS_S:
            await anyio.sleep(delay_s)
            entries = self._entries()
            for report in reports:
                self._mesh.send_datagrams(report, entries)
            self._send_records(self._parts.records(now=self._clock(), parts=parts), entries)

    async def _gossip(self) -> None:
        while True:
            await anyio.sleep(GOSSIP_INTERVAL_S)
            records = self._parts.records(now=self._clock())
            entries = self._entries()
            if records and entries:
                peers = self._rng.sample(entries, min(GOSSIP_PEERS, len(entries)))
                self._send_records(records, peers)

    def _send_records_to(self, newcomer: InstanceHeartbeat) -> None:
        """Send the records to an entry of the region that has just come up."""
        settings = self._settings
        neighbours = [heartbeat.name for heartbeat in self._mesh.live_entries(settings.region)]
        if is_record_sender(settings.ip, newcomer, neighbours, settings.region):
            self._send_records(self._parts.records(now=self._clock()), [newcomer.name])

    def _send_records(self, records: tuple[SuspectRecord, ...], names: list[str]) -> None:
        for start in range(0, len(records), RECORDS_PER_DATAGRAM):
            batch = records[start : start + RECORDS_PER_DATAGRAM]
            self._mesh.send_datagrams(SuspectNews(records=(), parts=batch), names)

    def _entries(self) -> list[str]:
        return [
            heartbeat.name
            for heartbeat in self._mesh.live_heartbeats()
            if heartbeat.role is InstanceRole.ENTRY
        ]

    def _apply_report(self, report: Message) -> None:
        assert isinstance(report, CrashReport)
        now = self._clock()
        is_new = self._requests.note_loss(
            "",
            report.fingerprint,
            backend=report.backend,
            incarnation=report.born,
            sent_at=now - report.sent_age_s,
            now=now,
        )
        if is_new and self._requests.verdict(report.fingerprint, now=now) is (
            QuarantineVerdict.REFUSED
        ):
            self._log.warning("request_quarantined", fingerprint=report.fingerprint.hex())

    def _apply_news(self, news: Message) -> None:
        assert isinstance(news, SuspectNews)
        now = self._clock()
        self._parts.merge(news.parts, now=now)
        lost = self._parts.processes_lost(now=now)
        self._examined &= lost.keys()
        for process in lost.keys() - self._examined:
            suspects = self._attempts.take_lost(process, lost_at=lost[process])
            parts = self._count_loss(process, suspects)
            if parts:
                self._tasks.start_soon(self._broadcast, parts)
        self._log_verdicts()

    def _log_verdicts(self) -> None:
        """Log each part that is newly refused, with the losses that it is refused for."""
        now = self._clock()
        refused = self._parts.refused_parts(now=now)
        news = refused - self._refused_parts
        self._refused_parts = refused
        for record in self._parts.records(now=now) if news else ():
            if record.digest in news:
                self._log.warning(
                    "part_quarantined",
                    part=record.digest.hex(),
                    member=record.member,
                    answers=record.answers,
                    lost=" ".join(f"{loss.backend}:{loss.age_s:.2f}s" for loss in record.losses),
                )


async def _probe_failure(address: str) -> str:
    """Return why ``address`` doesn't accept and keep a connection; empty if it does."""
    try:
        channel = await connect(address, timeout_s=PROBE_TIMEOUT_S, ack_timeout_s=1.0)
    except ConnectFailedError as error:
        return error.what
    with anyio.move_on_after(PROBE_HOLD_S):
        await channel.wait_for_peer_close()
    closed = channel.peer_close is PeerClose.CLOSED
    channel.close()
    return "it closes new connections" if closed else ""
