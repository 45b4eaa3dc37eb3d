"""Quarantines requests and prompt parts that crash the backend servers that run them."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import Any

import anyio

from figpaddle.errors import ConnectFailedError
from figpaddle.http1 import PeerClose, connect
from figpaddle.regional._backend_records import is_record_sender, reports_heard_at
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._relaying import Relaying
from figpaddle.regional._request_context import RequestContext
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._tasks import ContainedTasks
from figpaddle.routing import (
    CONTROL_SILENCE_S,
    ByteBudget,
    CrashQuarantine,
    CrashReports,
    Fleet,
    Process,
    RequestTraits,
    SuspectedAttempt,
    UnsettledAttempts,
)
from figpaddle.telemetry import Log, MetricsRegistry
from figpaddle.wire import (
    InstanceHeartbeat,
    InstanceRole,
    Message,
    SuspectNews,
    SuspectRecord,
    encode,
)

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
#: Interval at which reports are sent that were due later or found no room, seconds.
REPORT_INTERVAL_S = 0.05
#: Bytes that the reports of all entries together may put on one link at once, and in a second from then
#: on. The narrowest link, 5 Mbit/s, carries the first in 0.4 s.
REPORT_BURST_BYTES, REPORT_BYTES_PER_S = 250_000.0, 125_000.0
#: Longest time for which a failure waits until its report has found room, seconds.
MAX_REPORT_WAIT_S = 0.5
#: Time in which servers that end belong to one event, seconds.
SAME_EVENT_S = 0.5
#: Time from the first report of a crash until the entries of all regions have it, seconds: half a
#: round trip between regions and twice the pause between two batches of datagrams, at a relay too.
REPORT_PROPAGATION_S = 0.2
#: Interval at which records are sent to ``GOSSIP_PEERS`` other entries, seconds. An entry that was cut
#: off or restarted while a report was sent learns of it so.
GOSSIP_INTERVAL_S = 1.0
#: Records that are sent at each interval, drawn at random: of requests and of parts, with several losses
#: and with one, this many each. Each crash leaves one loss for every request in progress, most of which
#: never come again.
GOSSIP_RECORDS = 64
#: Number of entries that get the records at each interval.
GOSSIP_PEERS = 2
#: Number of entries of a zone that send the records to entries of any zone at each interval.
GOSSIP_CROSSINGS = 4
#: Bytes of all its records that an entry sends to others that come up, at once and in a second from then
#: on: 0.05 s and a twentieth of the narrowest link.
RECORD_BURST_BYTES, RECORD_BYTES_PER_S = 31_250.0, 31_250.0
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

    ``CrashQuarantine`` decides by the digests of the whole request and of the parts of its prompt. Each
    entry reports the crashes that it sees to the entries of all regions.

    ``fleet`` has the records of the backend servers. ``reaches_others`` returns whether this entry
    reaches backend servers other than the named ones; ``on_unreachable`` is called with the name of one
    that a probe didn't reach.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        mesh: Mesh,
        relaying: Relaying,
        tasks: ContainedTasks,
        fleet: Fleet,
        reaches_others: Callable[[Collection[str]], Awaitable[bool]],
        on_unreachable: Callable[[str], object],
        rng: random.Random,
        clock: Callable[[], float],
        log: Log,
        metrics: MetricsRegistry,
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._relaying = relaying
        self._tasks = tasks
        self._fleet = fleet
        self._reaches_others = reaches_others
        self._on_unreachable = on_unreachable
        self._rng = rng
        self._clock = clock
        self._log = log
        self._metrics = metrics
        #: End of the first probe of each backend server that closed a connection.
        self._probes: dict[Process, anyio.Event] = {}
        #: Those of them that closed it within an answer or before.
        self._doubted: set[Process] = set()
        self._attempts = UnsettledAttempts()
        self._quarantine = CrashQuarantine()
        self._reports = CrashReports(quarantine=self._quarantine, rng=rng)
        self._report_budget = ByteBudget(
            bytes_per_s=REPORT_BYTES_PER_S, burst_bytes=REPORT_BURST_BYTES
        )
        self._is_report_begun = False
        self._are_reports_repeated = False
        self._record_budget = ByteBudget(
            bytes_per_s=RECORD_BYTES_PER_S, burst_bytes=RECORD_BURST_BYTES
        )
        self._refused: frozenset[bytes] = frozenset()
        #: Lost processes at which this entry has looked for its own unsettled attempts.
        self._examined: set[Process] = set()
        mesh.on_datagram(SuspectNews, self._apply_news)
        mesh.on_peer_up(self._send_records_to)
        tasks.start_service(self._gossip)

    def refusal(self, traits: RequestTraits) -> QuarantineRefusal | None:
        """Return why a request is refused, or None if it isn't."""
        now = self._clock()
        digest = self._quarantine.refused_digest(traits, now=now)
        if digest is None:
            return None
        is_part = digest in traits.parts
        return QuarantineRefusal(
            reason=f"{'a part of the prompt ' if is_part else ''}crashed several backend servers",
            remaining_s=self._quarantine.refused_for_s(digest, now=now),
            part_index=traits.parts.index(digest) if is_part else None,
        )

    def suspect_digest(self, traits: RequestTraits) -> bytes | None:
        """Return the digest by which a request may have crashed a backend server, or None."""
        return self._quarantine.suspect_digest(traits, now=self._clock())

    def confine(self, context: RequestContext) -> None:
        """Set where a request may go that may have crashed a backend server, if it is such a one.

        A forwarded one is confined by what the entry that forwarded it knows, if this one knows nothing.
        """
        now = self._clock()
        digest = self._quarantine.suspect_digest(context.traits, now=now)
        context.confined_by = context.stated_suspect if digest is None else digest
        context.confined_regions = (
            frozenset() if digest is None else self._quarantine.suspect_regions(digest, now=now)
        )

    def note_sent(self, key: str, traits: RequestTraits, *, process: Process) -> None:
        """Record that an attempt is being sent; ``key`` identifies it until it ends."""
        self._attempts.note_sent(key, traits, process=process, now=self._clock())

    def note_progress(self, key: str) -> None:
        """Record that bytes of the answer to an attempt arrived."""
        traits = self._attempts.note_progress(key, now=self._clock())
        if traits is not None:
            self._quarantine.note_answer(traits)

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
        self._doubted.add(process)
        self._begin_probe(process, address)

    def note_unmarked_end(self, traits: RequestTraits, process: Process, address: str) -> None:
        """Probe a backend server whose answer ended with its connection, as after a crash.

        Requests whose parts all have settled answers need no probe.
        """
        if not self._quarantine.is_proven(traits.parts):
            self._begin_probe(process, address)

    async def may_retry(self, traits: RequestTraits, *, process: Process) -> bool:
        """Return whether a request that lost its connection to ``process`` may be sent again.

        A request for which, or for a part of which, no answer has settled waits for the probe of
        ``process``. A suspect part ends the request: each request with that part would cost a server.
        """
        await self._wait_for_probe(traits, process)
        return not self.refuses_retry(traits)

    def refuses_retry(self, traits: RequestTraits) -> bool:
        """Return whether a request may not be sent again by what is known now."""
        return self.refusal(traits) is not None or self.suspect_digest(traits) in traits.parts

    async def wait_until_reported(
        self, traits: RequestTraits, *, process: Process, timeout_s: float
    ) -> None:
        """Wait until a crash of ``process`` that counts against a request is known to all entries.

        Its caller may send it again to any entry once it gets the failure.
        """
        with anyio.move_on_after(timeout_s):
            await self._wait_for_probe(traits, process)
            if self._quarantine.refused_digest(traits, now=self._clock()) or self.suspect_digest(
                traits
            ):
                with anyio.move_on_after(MAX_REPORT_WAIT_S):
                    while any(map(self._reports.is_unsent, traits.digests)):
                        await anyio.sleep(REPORT_INTERVAL_S)
                await anyio.sleep(REPORT_PROPAGATION_S)

    def pardon(self, digest: bytes) -> bool:
        """Pardon the losses of a request or part for an operator; return whether any counted."""
        if not self._quarantine.pardon(digest, now=self._clock()):
            return False
        self._log.info("quarantine_pardoned", digest=digest.hex())
        self._reports.note_pardon(digest, now=self._clock())
        self._begin_report()
        return True

    def dump(self) -> dict[str, list[dict[str, Any]]]:
        """Return the requests and prompt parts with losses, for operators, as JSON objects."""
        now = self._clock()
        news = self._quarantine.news(now=now)
        return {
            "quarantined_requests": [self._row("request", record, now) for record in news.records],
            "quarantined_parts": [self._row("part", record, now) for record in news.parts],
        }

    def run_housekeeping(self) -> None:
        """Count the answers that have settled."""
        for traits in self._attempts.take_settled(now=self._clock()):
            self._quarantine.note_answer(traits)
        self._examined &= self._quarantine.processes_lost()
        self._log_verdicts()

    def _row(self, kind: str, record: SuspectRecord, now: float) -> dict[str, Any]:
        return {
            kind: record.digest.hex(),
            "member": record.member,
            "verdict": self._quarantine.verdict(record.digest, now=now).value,
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

    async def _wait_for_probe(self, traits: RequestTraits, process: Process) -> None:
        probe_ended = self._probes.get(process)
        if probe_ended is not None and not self._quarantine.is_proven(traits.digests):
            await probe_ended.wait()

    def _begin_probe(self, process: Process, address: str) -> None:
        if process not in self._probes:
            self._probes[process] = anyio.Event()
            self._tasks.start_soon(self._probe, process, address)

    async def _probe(self, process: Process, address: str) -> None:
        closed_at = self._clock()
        await anyio.sleep(PROBE_DELAY_S)
        try:
            failure = await _probe_failure(address)
            if failure:
                self._on_unreachable(process[0])
                lost = {name for name, _ in self._examined}
                if await self._reaches_others({process[0], *lost}):
                    self._note_lost(process, lost_at=closed_at, reason=failure)
                    return
        finally:
            self._doubted.discard(process)
            self._probes.pop(process).set()
        would_report = True
        for delay_s in RECHECK_DELAYS_S:
            await anyio.sleep(delay_s)
            silent_s = self._clock() - reports_heard_at(self._mesh, self._fleet)
            would_report = would_report and silent_s <= CONTROL_SILENCE_S
            if self._fleet.is_replaced(*process):
                self._note_lost(process, lost_at=closed_at, reason="it has restarted")
                return
        # This entry may itself be cut off. A process that has crashed reports nothing any more, but
        # neither does any to an entry out of contact with the control instances.
        has_reported = self._fleet.has_reported_since(*process, closed_at + PROBE_DELAY_S)
        if failure and would_report and not has_reported:
            self._note_lost(process, lost_at=closed_at, reason=f"{failure}, and it is silent")

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
        self._fleet.note_lost(process, lost_at=self._clock())
        self._count_loss(process, suspects)

    def _count_loss(self, process: Process, suspects: Iterable[SuspectedAttempt]) -> None:
        """Count a loss against the suspects, and have the others told."""
        now = self._clock()
        self._examined.add(process)
        told_members = self._quarantine.members_of(process)
        digests = self._quarantine.note_crash(
            suspects, process=process, now=now, region=self._settings.region
        )
        self._reports.note_loss(digests, told_members=told_members, now=now)
        if digests:
            self._begin_report()

    def _begin_report(self) -> None:
        """Report in the next turn of the event loop what is known by then."""
        if not self._is_report_begun:
            self._is_report_begun = True
            self._tasks.start_soon(self._report)
        if not self._are_reports_repeated:
            self._are_reports_repeated = True
            self._tasks.start_service(self._repeat_reports)

    async def _repeat_reports(self) -> None:
        """Send reports whenever some are due, as long as there are any."""
        while self._reports:
            await anyio.sleep(REPORT_INTERVAL_S)
            await self._report()
        self._are_reports_repeated = False

    async def _report(self) -> None:
        """Send the due reports to all entries, as far as there is room."""
        self._is_report_begun = False
        now = self._clock()
        entries = self._entries()
        senders = 1 + len(entries)
        self._report_budget.resize(
            bytes_per_s=REPORT_BYTES_PER_S / senders,
            burst_bytes=REPORT_BURST_BYTES / senders,
            now=now,
        )
        losing = self._quarantine.processes_lost_since(now - SAME_EVENT_S) | self._doubted
        urgent, others = self._reports.take_due(losing=len(losing), now=now)
        for digests in (*_batches(urgent), *_batches(others)):
            if not self._report_budget.is_open(now=now):
                break
            message = self._quarantine.news(now=now, digests=digests)
            self._report_budget.spend(len(encode(message)), now=now)
            self._relaying.spread(message, entries)
            for digest in digests:
                self._reports.note_sent(digest, now=now)

    async def _gossip(self) -> None:
        while True:
            await anyio.sleep(GOSSIP_INTERVAL_S)
            peers = self._gossip_peers()
            if peers:
                news = self._quarantine.news(now=self._clock())
                sample = SuspectNews(
                    records=self._sample(news.records), parts=self._sample(news.parts)
                )
                for message in _in_datagrams(sample):
                    self._mesh.send_datagrams(message, peers)

    def _gossip_peers(self) -> list[str]:
        """Return the entries that get the records now, at most ``GOSSIP_PEERS``.

        Among many entries most are of the own zone, where bytes cost least: ``GOSSIP_CROSSINGS``
        entries of a zone, in the mean, send to another one.
        """
        entries = self._entries()
        names = [heartbeat.name for heartbeat in entries]
        zone = self._settings.zone
        near = [heartbeat.name for heartbeat in entries if heartbeat.zone == zone]
        if near and self._rng.random() * (1 + len(near)) > GOSSIP_CROSSINGS:
            names = near
        return self._rng.sample(names, min(GOSSIP_PEERS, len(names)))

    def _sample(self, records: tuple[SuspectRecord, ...]) -> tuple[SuspectRecord, ...]:
        """Return some of the records with several losses, and some of the others."""
        several: list[SuspectRecord] = []
        single: list[SuspectRecord] = []
        for record in records:
            is_single = len(record.losses) == 1 and not record.losses[0].pardoned
            (single if is_single else several).append(record)
        return tuple(
            record
            for kind in (several, single)
            for record in self._rng.sample(kind, min(GOSSIP_RECORDS, len(kind)))
        )

    def _send_records_to(self, newcomer: InstanceHeartbeat) -> None:
        """Have the records sent to an entry of the region that has just come up."""
        settings = self._settings
        neighbours = [heartbeat.name for heartbeat in self._mesh.live_entries(settings.region)]
        if is_record_sender(settings.ip, newcomer, neighbours, settings.region):
            self._tasks.start_soon(self._send_all_records, newcomer.name)

    async def _send_all_records(self, name: str) -> None:
        """Send all records to one entry, those with most losses first, as there is room."""
        known = self._quarantine.news(now=self._clock())
        records = sorted((*known.records, *known.parts), key=lambda record: -len(record.losses))
        for digests in _batches([record.digest for record in records]):
            while not self._record_budget.is_open(now=self._clock()):
                await anyio.sleep(REPORT_INTERVAL_S)
            now = self._clock()
            message = self._quarantine.news(now=now, digests=digests)
            self._record_budget.spend(len(encode(message)), now=now)
            self._mesh.send_datagrams(message, [name])

    def _entries(self) -> list[InstanceHeartbeat]:
        return [
            heartbeat
            for heartbeat in self._mesh.live_heartbeats()
            if heartbeat.role is InstanceRole.ENTRY
        ]

    def _apply_news(self, news: Message) -> None:
        assert isinstance(news, SuspectNews)
        now = self._clock()
        lost = self._quarantine.merge(news, now=now)
        for record in (*news.records, *news.parts):
            if not self._quarantine.knows_more(record, now=now):
                self._reports.note_heard(record.digest)
        for process, lost_at in lost.items():
            self._fleet.note_lost(process, lost_at=lost_at)
            if process not in self._examined:
                self._count_loss(process, self._attempts.take_lost(process, lost_at=lost_at))

    def _log_verdicts(self) -> None:
        """Log each digest that is newly refused, with the losses that it is refused for."""
        now = self._clock()
        refused = self._quarantine.refused_digests(now=now)
        added = refused - self._refused
        self._refused = refused
        if not added:
            return
        news = self._quarantine.news(now=now, digests=tuple(added))
        for record in news.records:
            self._log.warning(
                "request_quarantined", digest=record.digest.hex(), **_evidence(record)
            )
        for record in news.parts:
            self._log.warning("part_quarantined", part=record.digest.hex(), **_evidence(record))


def _batches(digests: list[bytes]) -> list[tuple[bytes, ...]]:
    """Return ``digests`` in groups whose records fit into one datagram each."""
    step = RECORDS_PER_DATAGRAM
    return [tuple(digests[start : start + step]) for start in range(0, len(digests), step)]


def _in_datagrams(news: SuspectNews) -> list[SuspectNews]:
    """Return ``news`` in messages that each fit into a few packets."""
    step = RECORDS_PER_DATAGRAM
    return [
        SuspectNews(records=news.records[start : start + step])
        for start in range(0, len(news.records), step)
    ] + [
        SuspectNews(records=(), parts=news.parts[start : start + step])
        for start in range(0, len(news.parts), step)
    ]


def _evidence(record: SuspectRecord) -> dict[str, Any]:
    """Return the log fields with the losses and answers of a digest."""
    return {
        "member": record.member,
        "answers": record.answers,
        "lost": " ".join(f"{loss.backend}:{loss.age_s:.2f}s" for loss in record.losses),
    }


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
