"""The entry: the process that callers connect to."""

from __future__ import annotations

import dataclasses
from typing import Any

import anyio

from figpaddle.deployment import GatewayConfiguration
from figpaddle.engine_leases import LeaseExchange
from figpaddle.http1 import ConnectionPool, HttpRequest, RequestLimits, Responder, header
from figpaddle.regional._backend_records import is_record_sender, send_records
from figpaddle.regional._contact_watch import ContactWatch
from figpaddle.regional._dialect import EntryLookup, ReadinessCheck
from figpaddle.regional._gateway import Gateway
from figpaddle.regional._lease_surroundings import EntryLeaseSurroundings
from figpaddle.regional._mesh import accepts_while_stopping, is_ready
from figpaddle.regional._placer import Placer
from figpaddle.regional._process import (
    DRAIN_CHECK_INTERVAL_S,
    EXPLAIN_PATH,
    EXPLAIN_WORKSPACE,
    SAME_REGION_ACK_TIMEOUT_S,
    RegionalProcess,
)
from figpaddle.regional._quota_client import QuotaClient
from figpaddle.regional._request_explanation import RequestExplainer
from figpaddle.regional._request_quarantine import RequestQuarantine
from figpaddle.regional._stream_origins import StreamOrigins
from figpaddle.regional._tasks import ContainedTasks
from figpaddle.regional._warmth_checks import WarmthChecks
from figpaddle.routing import (
    KnownEntry,
    entries_for,
    may_stop_accepting,
    reports_load,
    unrestricted_regions,
)
from figpaddle.wire import InstanceHeartbeat, InstanceRole, Readiness

#: Fraction of the longest permitted time to live that lookup answers get.
LOOKUP_TTL_FRACTION = 0.3
#: Time after its start in which an entry discovers the others, seconds; a few heartbeats.
DISCOVERY_S = 3.0
#: Maximum number of addresses in one lookup answer.
MAX_LOOKUP_ADDRESSES = 64


class EntryProcess(RegionalProcess):
    """Handles callers' requests, entry lookups and readiness checks."""

    def prepare(self) -> None:
        """Do nothing: an entry keeps no durable state."""

    def start(self, tasks: ContainedTasks) -> None:
        """Start the gateway and open the ports of an entry."""
        settings = self._settings
        self._started_at = self._clock()
        self._stopped_accepting = False
        self._stopping_at: float | None = None
        # The configuration of the last look-up, and the regions whose entries may handle all its requests.
        self._looked_up_in: GatewayConfiguration | None = None
        self._unrestricted_regions: frozenset[str] = frozenset()
        self._backend_pool = ConnectionPool(
            clock=self._clock, ack_timeout_s=SAME_REGION_ACK_TIMEOUT_S
        )
        self._placer = Placer(
            settings=settings,
            mesh=self._mesh,
            follower=self._follower,
            pool=self._backend_pool,
            clock=self._clock,
            rng=self._rng,
            log=self._log,
            metrics=self._metrics,
            arrived_after=lambda: self._turns.arrived_after(now=self._clock()),
        )
        self._relaying.on_work(self._placer.reports.apply_relayed_work)
        self._relaying.on_load(self._placer.reports.apply_relayed_load)
        self._relaying.set_load_source(self._placer.regional_loads)
        contact_watch = ContactWatch(
            contact=self._placer.contact,
            addresses=self._placer.backend_addresses,
            on_change=self._handle_contact_change,
            rng=self._rng,
            clock=self._clock,
            log=self._log,
            metrics=self._metrics,
        )
        tasks.start_service(contact_watch.run)
        warmth_checks = WarmthChecks(
            placer=self._placer,
            pool=self._backend_pool,
            dialect=self._dialect,
            tasks=tasks,
            clock=self._clock,
            log=self._log,
            metrics=self._metrics,
        )
        tasks.start_service(warmth_checks.run)
        self._lease_exchange = LeaseExchange(
            surroundings=EntryLeaseSurroundings(
                settings=settings, mesh=self._mesh, placer=self._placer
            ),
            book=self._placer.leases,
            clock=self._clock,
            rng=self._rng,
            log=self._log,
        )
        tasks.start_service(self._lease_exchange.run)
        self._quarantine = RequestQuarantine(
            settings=settings,
            mesh=self._mesh,
            relaying=self._relaying,
            tasks=tasks,
            fleet=self._placer.fleet,
            reaches_others=contact_watch.reaches_others,
            on_unreachable=self._placer.note_unreachable,
            rng=self._rng,
            clock=self._clock,
            log=self._log,
            metrics=self._metrics,
        )
        self._streams = StreamOrigins(
            settings=settings,
            mesh=self._mesh,
            follower=self._follower,
            placer=self._placer,
            tasks=tasks,
            clock=self._clock,
            metrics=self._metrics,
        )
        self._quotas = QuotaClient(
            settings=settings,
            mesh=self._mesh,
            follower=self._follower,
            clock=self._clock,
            boot_clock=self._boot_clock,
            rng=self._rng,
            log=self._log,
            metrics=self._metrics,
        )
        self._metrics.labeled_gauge("quota_stock", "workspace", self._quotas.available)
        self._gateway = Gateway(
            settings=settings,
            dialect=self._dialect,
            mesh=self._mesh,
            follower=self._follower,
            placer=self._placer,
            pool=self._backend_pool,
            requests=self._requests,
            clock=self._clock,
            boot_clock=self._boot_clock,
            quarantine=self._quarantine,
            streams=self._streams,
            quotas=self._quotas,
            leases=self._lease_exchange,
            rng=self._rng,
            log=self._log,
            metrics=self._metrics,
        )
        self._explainer = RequestExplainer(
            settings=settings,
            dialect=self._dialect,
            follower=self._follower,
            gateway=self._gateway,
            placer=self._placer,
            quotas=self._quotas,
            quarantine=self._quarantine,
            clock=self._clock,
        )
        self._metrics.labeled_gauge("backends_believed", "state", self._placer.count_by_state)
        self._metrics.labeled_gauge(
            "backends_oldest_seconds", "service", self._placer.oldest_record_ages
        )
        self._metrics.labeled_gauge(
            "retry_budget_left",
            "service",
            lambda: self._gateway.retry_budget.remaining(now=self._clock()),
        )
        self._mesh.on_peer_up(self._send_records_to)
        self._metrics.gauge("requests_active", lambda: self._gateway.active)
        self._metrics.gauge("backend_connections_opened", lambda: self._backend_pool.opened_total)
        self._caller_listener = self._listen(
            settings.caller_address, self._gateway.handle_caller, limits=self._limits
        )
        self._listen(settings.readiness_address, self._handle_call, keeps_body=False)
        if settings.lookup_address:
            self._listen(settings.lookup_address, self._handle_call, keeps_body=False)

    @property
    def _caller_address(self) -> str:
        """The address at which this entry accepts callers; empty once it no longer does."""
        return "" if self._stopped_accepting else self._settings.caller_address

    def heartbeat(self, *, same_region: bool) -> InstanceHeartbeat:
        """Return the heartbeat to send now.

        Instances of the same region get the work at each backend server. Those of other regions,
        where bandwidth is scarce, get the load of the whole region, and only from a few entries.
        Control instances need neither, but are so few that sending it to them costs little.
        """
        settings = self._settings
        return InstanceHeartbeat(
            name=settings.ip,
            incarnation=self._mesh.incarnation,
            sequence=self._mesh.next_sequence(),
            role=InstanceRole.ENTRY,
            region=settings.region,
            zone=settings.zone,
            caller_address=self._caller_address,
            readiness=self.readiness(),
            stopping_s=self._stopping_for_s(),
            revision=self._follower.state.revision,
            founding=False,
            work=self._placer.own_work() if same_region else (),
            limits=self._placer.named_limits() if same_region else (),
            loads=self._placer.regional_loads() if not same_region and self._reports_load() else (),
            acquaintances=self._mesh.sample_live_names(same_region=same_region),
            entry_counts=self._mesh.entry_counts(),
            keeps_stream_versions=True,
            states_offers=True,
            states_workspaces=True,
            leases_engines=True,
            cut_off=self._placer.contact.cut_off,
            relays=True,
            relayed=self._relaying.enabled,
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of the process for operators, as a JSON object."""
        return {
            **super().dump(),
            "backends": self._placer.dump(),
            "quotas": self._quotas.dump(),
            "engine_leases": self._lease_exchange.dump(),
            **self._quarantine.dump(),
        }

    def _pardon(self, digest: bytes) -> bool:
        """Pardon a quarantined request or prompt part at all entries."""
        try:
            return self._quarantine.pardon(bytes.fromhex(digest.decode("ascii")))
        except ValueError:
            return False

    def _explain(self, request: HttpRequest) -> dict[str, Any]:
        """Return where a request, whose path follows ``EXPLAIN_PATH``, would go."""
        workspace = (header(request.headers, EXPLAIN_WORKSPACE) or b"").decode("latin-1")
        target = request.target.removeprefix(EXPLAIN_PATH)
        asked = dataclasses.replace(request, target=target)
        return self._explainer.explain(asked, workspace=workspace)

    async def handle_forwarded(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a request that an entry of another region forwarded."""
        await self._gateway.handle_forwarded_request(request, responder)

    async def drain(self, *, since: float) -> None:
        """Serve callers until other entries can, then refuse new requests and finish those begun."""
        grace_s = self._settings.bounds.grace_s
        self._stopping_at = since
        self._gateway.begin_stopping(self._stopping_at)
        while not self._may_stop_accepting(grace_s):
            await anyio.sleep(DRAIN_CHECK_INTERVAL_S)
        self._stopped_accepting = True
        self._gateway.stop_accepting()
        self._caller_listener.drain()
        self._mesh.send_heartbeats_now()
        self._log.info(
            "callers_sent_elsewhere",
            active=self._gateway.active,
            after_s=round(self._stopping_for_s(), 2),
        )
        await self.finish_requests(ends_at=self._stopping_at + grace_s)

    def _may_stop_accepting(self, grace_s: float) -> bool:
        assert self._stopping_at is not None
        region = self._settings.region
        neighbours = self._mesh.live_entries(region)
        return may_stop_accepting(
            stopping_for_s=self._stopping_for_s(),
            grace_s=grace_s,
            # One that was heard before the stop request may have been stopped or have ended then.
            others_ready=self._mesh.ready_entries(region, since=self._stopping_at),
            others_stopping_s=tuple(
                heartbeat.stopping_s + self._heartbeat_age_s(heartbeat)
                for heartbeat in neighbours
                if accepts_while_stopping(heartbeat)
            ),
        )

    def _heartbeat_age_s(self, heartbeat: InstanceHeartbeat) -> float:
        heard = self._mesh.last_heard(heartbeat.name)
        return 0.0 if heard is None else self._clock() - heard.received_at

    def _reports_load(self) -> bool:
        if self._placer.contact.cut_off:
            return False
        neighbours = self._mesh.live_entries(self._settings.region)
        ready = [
            heartbeat.name
            for heartbeat in neighbours
            if is_ready(heartbeat) and not heartbeat.cut_off
        ]
        return reports_load(self._settings.ip, self._settings.region, ready)

    def _handle_contact_change(self) -> None:
        """Tell the other instances, and drop connections that may be half-open after a cut."""
        self._mesh.send_heartbeats_now()
        contact = self._placer.contact
        if not contact.cut_off and not contact.kept_connections:
            for address in self._placer.backend_addresses().values():
                self._backend_pool.close_idle(address)

    def _stopping_for_s(self) -> float:
        return 0.0 if self._stopping_at is None else self._clock() - self._stopping_at

    async def run_housekeeping(self) -> None:
        """Expire outdated connections and records, and update the share of the retry budget."""
        self._backend_pool.close_expired()
        self._placer.expire()
        self._quarantine.run_housekeeping()
        self._streams.run_housekeeping()
        self._quotas.run_housekeeping()
        self._gateway.expire()
        self._gateway.retry_budget.note_entries(self._mesh.entry_total())

    def _send_records_to(self, newcomer: InstanceHeartbeat) -> None:
        """Send the records of backend servers to an entry of the region that has just come up."""
        settings = self._settings
        neighbours = [heartbeat.name for heartbeat in self._mesh.live_entries(settings.region)]
        if is_record_sender(settings.ip, newcomer, neighbours, settings.region):
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
                await self._answer_lookup(call, responder)
            case _:
                await responder.answer(404, (), b"")

    async def _answer_lookup(self, call: EntryLookup, responder: Responder) -> None:
        addresses = self._lookup_addresses(call)
        self._metrics.count("lookups_total", found=str(bool(addresses)))
        if not addresses:
            await responder.answer(503, (), b"")
            return
        ttl_s = self._settings.bounds.lookup_ttl_s * LOOKUP_TTL_FRACTION
        body = self._dialect.lookup_answer(addresses, ttl_s=ttl_s)
        headers = ((b"Content-Type", self._dialect.document_type.encode()),)
        await responder.answer(200, headers, body)

    def _lookup_addresses(self, call: EntryLookup) -> tuple[str, ...]:
        """Return the caller addresses of the entries that a lookup answer lists."""
        configuration = self._follower.configuration
        if configuration is None:
            return ()
        known = [
            KnownEntry(
                address=heartbeat.caller_address,
                region=heartbeat.region,
                ready=is_ready(heartbeat),
                stopping=accepts_while_stopping(heartbeat),
            )
            for heartbeat in self._mesh.live_heartbeats()
            if heartbeat.role is InstanceRole.ENTRY
        ]
        readiness = self.readiness()
        known.append(
            KnownEntry(
                address=self._caller_address,
                region=self._settings.region,
                ready=readiness is Readiness.READY,
                stopping=readiness is Readiness.LEAVING and bool(self._caller_address),
            )
        )
        if configuration is not self._looked_up_in:
            self._looked_up_in = configuration
            self._unrestricted_regions = unrestricted_regions(
                configuration, frozenset(self._settings.zones.values())
            )
        addresses = entries_for(
            call.region,
            known,
            unrestricted=self._unrestricted_regions,
            view_is_complete=self._clock() - self._started_at >= DISCOVERY_S,
        )
        return tuple(addresses[:MAX_LOOKUP_ADDRESSES])
