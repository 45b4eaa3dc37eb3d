"""The process that callers connect to."""

from __future__ import annotations

from typing import Any

import anyio
import anyio.abc

from figpaddle.http1 import ConnectionPool, HttpRequest, RequestLimits, Responder
from figpaddle.regional._dialect import EntryLookup, ReadinessCheck
from figpaddle.regional._gateway import Gateway
from figpaddle.regional._introductions import introduces, send_records
from figpaddle.regional._mesh import is_ready
from figpaddle.regional._placer import Placer
from figpaddle.regional._process import NEAR_SILENCE_S, RegionalProcess
from figpaddle.regional._suspects import Suspects
from figpaddle.routing import (
    CLOSE_RESERVE_S,
    KnownEntry,
    entries_for,
    may_retire,
    open_regions,
    tells_load,
)
from figpaddle.wire import InstanceHeartbeat, InstanceRole, Readiness

#: Part of the longest time to live with which entries are named to callers.
LOOKUP_TTL_PART = 0.3
#: Time after its start from which an entry knows the others, seconds; a few heartbeats.
SETTLED_AFTER_S = 3.0
#: Most entries named to one caller.
MAX_NAMED = 64
#: Interval at which an entry that stops looks whether others are ready, seconds.
DRAIN_INTERVAL_S = 0.05


class EntryProcess(RegionalProcess):
    """Takes callers' requests, names entries to callers and says whether it is ready."""

    def prepare(self) -> None:
        """Do nothing: an entry has no disk."""

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Open the ports of an entry."""
        settings = self._settings
        self._started_at = self._clock()
        self._retired = False
        self._stopping_at: float | None = None
        self._backends = ConnectionPool(clock=self._clock, silence_s=NEAR_SILENCE_S)
        self._placer = Placer(
            settings=settings,
            mesh=self._mesh,
            follower=self._follower,
            pool=self._backends,
            clock=self._clock,
            rng=self._rng,
            log=self._log,
            counters=self._counters,
        )
        self._suspects = Suspects(mesh=self._mesh, tasks=tasks, clock=self._clock, log=self._log)
        self._gateway = Gateway(
            settings=settings,
            dialect=self._dialect,
            mesh=self._mesh,
            follower=self._follower,
            placer=self._placer,
            pool=self._backends,
            clock=self._clock,
            suspects=self._suspects,
            rng=self._rng,
            log=self._log,
            counters=self._counters,
        )
        self._counters.gauges("backends_believed", "state", self._placer.believed)
        self._counters.gauges("backends_oldest_seconds", "service", self._placer.oldest)
        self._counters.gauges(
            "retry_budget_left",
            "service",
            lambda: self._gateway.retries.left(now=self._clock()),
        )
        self._mesh.on_heard(self._introduce)
        self._counters.gauge("requests_active", lambda: self._gateway.active)
        self._counters.gauge("backend_connections_opened", lambda: self._backends.opened)
        self._callers = self._listen(
            settings.caller_address, self._gateway.handle_caller, limits=self._limits
        )
        self._listen(settings.readiness_address, self._handle_call)
        if settings.lookup_address:
            self._listen(settings.lookup_address, self._handle_call)

    @property
    def active(self) -> int:
        """Requests in progress."""
        return self._gateway.active

    def heartbeat(self, *, near: bool) -> InstanceHeartbeat:
        """Return the heartbeat to send now.

        Entries of the own region get the work at each backend server; those of others, over the
        thin links, the sum of it, which a few entries tell for all. Control instances need neither,
        but are few.
        """
        settings = self._settings
        return InstanceHeartbeat(
            name=settings.ip,
            incarnation=self._mesh.incarnation,
            sequence=self._mesh.next_sequence(),
            role=InstanceRole.ENTRY,
            region=settings.region,
            zone=settings.zone,
            caller_address="" if self._retired else settings.caller_address,
            readiness=self.readiness(),
            stopping_s=self._stopping_for_s(),
            revision=self._follower.state.revision,
            founding=False,
            work=self._placer.own_work() if near else (),
            loads=self._placer.loads() if not near and self._tells_load() else (),
            acquaintances=self._mesh.acquaintances(near=near),
        )

    def dump(self) -> dict[str, Any]:
        """Return what the process knows, for a person to read."""
        return {**super().dump(), "backends": self._placer.dump()}

    async def handle_forwarded(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a request that another entry passed on."""
        await self._gateway.handle_hop(request, responder)

    async def drain(self) -> None:
        """Serve what comes on open connections until no more comes or the time is over."""
        grace_s = self._settings.bounds.grace_s
        self._stopping_at = self._clock()
        self._gateway.stop_at(self._stopping_at)
        while not self._may_retire(grace_s):
            await anyio.sleep(DRAIN_INTERVAL_S)
        self._retired = True
        self._gateway.retire()
        self._callers.retire()
        self._mesh.send_soon()
        self._log.info(
            "callers_sent_elsewhere",
            active=self._gateway.active,
            after_s=round(self._stopping_for_s(), 2),
        )
        while self._gateway.active and self._stopping_for_s() < grace_s - CLOSE_RESERVE_S:
            await anyio.sleep(DRAIN_INTERVAL_S)

    def _may_retire(self, grace_s: float) -> bool:
        neighbours = self._mesh.entries(self._settings.region)
        return may_retire(
            stopping_for_s=self._stopping_for_s(),
            grace_s=grace_s,
            others_ready=sum(map(is_ready, neighbours)),
            others_stopping_s=tuple(
                beat.stopping_s for beat in neighbours if _takes_while_leaving(beat)
            ),
        )

    def _tells_load(self) -> bool:
        neighbours = self._mesh.entries(self._settings.region)
        ready = [beat.name for beat in neighbours if is_ready(beat)]
        return tells_load(self._settings.ip, self._settings.region, ready)

    def _stopping_for_s(self) -> float:
        return 0.0 if self._stopping_at is None else self._clock() - self._stopping_at

    async def keep_house(self) -> None:
        """Forget what is out of date."""
        self._backends.sweep()
        self._placer.expire()
        self._gateway.retries.note_entries(
            1 + sum(beat.role is InstanceRole.ENTRY for beat in self._mesh.live())
        )

    def _introduce(self, newcomer: InstanceHeartbeat) -> None:
        """Tell an entry of the region that starts or was silent which backend servers there are."""
        settings = self._settings
        neighbours = [beat.name for beat in self._mesh.entries(settings.region)]
        if introduces(settings.ip, newcomer, neighbours, settings.region):
            records = self._placer.fleet.records(now=self._clock())
            send_records(self._mesh, list(records), newcomer.name)

    def _limits(self) -> RequestLimits:
        configuration = self._follower.configuration
        if configuration is None:
            return RequestLimits()
        limits = configuration.limits
        return RequestLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    async def _handle_call(self, request: HttpRequest, responder: Responder) -> None:
        call = self._dialect.read_call(request)
        match call:
            case ReadinessCheck():
                status = 200 if self.readiness() is Readiness.READY else 503
                await responder.answer(status, (), b"")
            case EntryLookup():
                await self._look_up(call, responder)
            case _:
                await responder.answer(404, (), b"")

    async def _look_up(self, call: EntryLookup, responder: Responder) -> None:
        addresses = self._entries_for(call)
        self._counters.count("lookups_total", found=str(bool(addresses)))
        if not addresses:
            await responder.answer(503, (), b"")
            return
        ttl_s = self._settings.bounds.lookup_ttl_s * LOOKUP_TTL_PART
        body = self._dialect.lookup_answer(addresses, ttl_s=ttl_s)
        headers = ((b"Content-Type", self._dialect.document_type.encode()),)
        await responder.answer(200, headers, body)

    def _entries_for(self, call: EntryLookup) -> tuple[str, ...]:
        """Return the entries that a caller is told of."""
        configuration = self._follower.configuration
        if configuration is None:
            return ()
        beats = [beat for beat in self._mesh.live() if beat.role is InstanceRole.ENTRY]
        beats.append(self.heartbeat(near=True))
        known = [
            KnownEntry(
                address=beat.caller_address,
                region=beat.region,
                ready=is_ready(beat),
                stopping=_takes_while_leaving(beat),
            )
            for beat in beats
        ]
        addresses = entries_for(
            call.region,
            known,
            open_to_all=open_regions(configuration, frozenset(self._settings.zones.values())),
            settled=self._clock() - self._started_at >= SETTLED_AFTER_S,
        )
        return tuple(addresses[:MAX_NAMED])


def _takes_while_leaving(beat: InstanceHeartbeat) -> bool:
    return beat.readiness is Readiness.LEAVING and bool(beat.caller_address)
