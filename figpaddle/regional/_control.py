"""Handles the calls of operators and backend servers."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from figpaddle.errors import (
    InvalidRequestError,
    NoMajorityError,
    OrderOvertakenError,
    StorageError,
)
from figpaddle.http1 import HttpRequest, Responder
from figpaddle.regional._backend_records import send_records
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._dialect import (
    BackendCall,
    Dialect,
    GetConfiguration,
    InvalidConfigurationError,
    PutConfiguration,
    SetEvacuation,
)
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._register_host import RegisterHost
from figpaddle.regional._relaying import Relaying
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._wake_ups import sleep_until_shared
from figpaddle.routing import Fleet, RecordChange
from figpaddle.telemetry import Log, MetricsRegistry
from figpaddle.wire import (
    BackendNews,
    BackendRecord,
    BackendState,
    InstanceHeartbeat,
    InstanceRole,
    Message,
    RegionVersions,
    StateChange,
)

#: Timeout of an operator's call, seconds. A longer one has no use, since operators try another
#: instance after a second.
CHANGE_TIMEOUT_S = 4.0
#: Time from the arrival of an order for a zone until it has to be based on the state in force, seconds. Its
#: operator has gone to another instance by then and may have followed it up with other orders.
MAX_ORDER_AGE_S = 1.0
#: Delays after which a changed record is sent again, seconds. If its only datagram were lost,
#: entries could go on sending requests to a backend server that left.
REPEAT_DELAYS_S = (0.15, 0.4, 0.9, 1.8)
#: Time after its start from which an instance knows the backend servers, seconds: those of each region
#: report several times in it, and other control instances send theirs.
FLEET_KNOWN_AFTER_S = 10.0
#: Interval at which all records are sent to the next other instance, seconds.
ANTI_ENTROPY_INTERVAL_S = 0.5


class ControlApi:
    """Answers operators and backend servers, and disseminates the records of the latter."""

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        dialect: Dialect,
        mesh: Mesh,
        relaying: Relaying,
        follower: ClusterFollower,
        register: RegisterHost,
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
        log: Log,
        metrics: MetricsRegistry,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._mesh = mesh
        self._relaying = relaying
        self._follower = follower
        self._register = register
        self._clock = clock
        self._boot_clock = boot_clock
        self._log = log
        self._metrics = metrics
        self._fleet = Fleet()
        self._pending_repeats: list[tuple[float, BackendRecord]] = []
        self._repeat_added = anyio.Event()
        mesh.on_datagram(BackendNews, self._apply_backend_news)
        mesh.on_peer_up(self._send_records_to)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        call = self._dialect.read_call(request)
        kind = type(call).__name__ if call is not None else "unknown"
        match call:
            case PutConfiguration():
                status, body = await self._put_configuration(request)
            case GetConfiguration():
                status, body = await self._get_configuration()
            case SetEvacuation():
                status, body = await self._set_evacuation(call, request, responder)
            case BackendCall():
                status, body = await self._handle_backend_call(call, request)
            case _:
                status, body = 404, b""
        self._metrics.count("calls_total", call=kind, status=str(status))
        headers = ((b"Content-Type", self._dialect.document_type.encode()),)
        await responder.answer(status, headers, body)

    def recent_versions(self, service: str) -> tuple[RegionVersions, ...]:
        """Return the versions of a service by region; none while too few may have reported."""
        if self._mesh.uptime_s < FLEET_KNOWN_AFTER_S:
            return ()
        zones_by_region: dict[str, set[str]] = {}
        for zone, region in self._settings.zones.items():
            zones_by_region.setdefault(region, set()).add(zone)
        return tuple(
            RegionVersions(
                region=region,
                versions=self._fleet.recent_versions(service, region_zones=frozenset(zones)),
            )
            for region, zones in zones_by_region.items()
        )

    async def run(self) -> None:
        """Send records of backend servers to other instances until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_repeats)
            tasks.start_soon(self._run_anti_entropy)

    async def _put_configuration(self, request: HttpRequest) -> tuple[int, bytes]:
        try:
            configuration = self._dialect.read_configuration(request.body)
        except InvalidConfigurationError as error:
            self._log.warning("configuration_refused", reason=str(error))
            return 400, b""
        change_request = StateChange(
            kind="configuration", version=configuration.version, document=request.body, zone=""
        )
        return await self._make_change(change_request), b""

    async def _get_configuration(self) -> tuple[int, bytes]:
        try:
            with anyio.fail_after(CHANGE_TIMEOUT_S):
                state = await self._register.read()
        except (NoMajorityError, TimeoutError) as error:
            self._log.warning("configuration_not_read", reason=str(error))
            return 503, b""
        if not state.version:
            return 503, b""
        self._log.info("configuration_read", version=state.version, revision=state.revision)
        return 200, state.document

    async def _set_evacuation(
        self, call: SetEvacuation, request: HttpRequest, responder: Responder
    ) -> tuple[int, bytes]:
        began_at = self._boot_clock()
        if call.zone not in self._settings.zones:
            self._log.warning("evacuation_refused", zone=call.zone, reason="unknown zone")
            return 404, b""
        # Mostly the state that is known here is the newest one, and the order needs no read before it. An
        # order that rests on an older state has no effect. Then it rests on a read that began as the order
        # came: what is confirmed later overtakes it.
        bases: list[int] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_order_count, call.zone, bases)
            base = self._follower.state.order_count(call.zone)
            status = await self._make_order(call, request, responder, base=base, began_at=began_at)
            if status is not None:
                tasks.cancel_scope.cancel()
        if status is None and bases:
            base = bases[0]
            status = await self._make_order(call, request, responder, base=base, began_at=began_at)
        return 503 if status is None else status, b""

    async def _read_order_count(self, zone: str, counts: list[int]) -> None:
        """Append the number of orders for a zone that are confirmed by now."""
        try:
            with anyio.fail_after(CHANGE_TIMEOUT_S):
                counts.append((await self._register.read()).order_count(zone))
        except (NoMajorityError, StorageError, TimeoutError) as error:
            self._log.warning("evacuation_not_based", zone=zone, reason=str(error) or "timeout")

    async def _make_order(
        self,
        call: SetEvacuation,
        request: HttpRequest,
        responder: Responder,
        *,
        base: int,
        began_at: float,
    ) -> int | None:
        """Make an order for a zone that rests on ``base`` orders; return None if another one overtook it."""
        kind = "evacuate" if call.evacuated else "return"
        # Whatever is confirmed from here on overtakes the order. What was confirmed before, while this
        # process stood still, its operator may have sent after it.
        age_s = self._boot_clock() - began_at + request.unread_s
        if age_s > MAX_ORDER_AGE_S or responder.caller_left():
            self._log.warning(
                "evacuation_too_late", kind=kind, zone=call.zone, age_s=round(age_s, 3)
            )
            return 503
        order = StateChange(kind=kind, version=0, document=b"", zone=call.zone, base=base)
        try:
            return await self._make_change(order)
        except OrderOvertakenError as error:
            self._log.info("evacuation_overtaken", kind=kind, zone=call.zone, reason=str(error))
            return None

    async def _make_change(self, change_request: StateChange) -> int:
        """Make a change and return the status of the answer; raises OrderOvertakenError."""
        started_at = self._clock()
        try:
            with anyio.fail_after(CHANGE_TIMEOUT_S):
                state = await self._register.change(change_request)
        except (NoMajorityError, StorageError, TimeoutError) as error:
            self._log.warning(
                "order_not_confirmed",
                kind=change_request.kind,
                version=change_request.version,
                zone=change_request.zone,
                reason=str(error) or "timeout",
                took_s=round(self._clock() - started_at, 3),
            )
            return 503
        self._log.info(
            "order_confirmed",
            kind=change_request.kind,
            version=change_request.version,
            zone=change_request.zone,
            revision=state.revision,
            took_s=round(self._clock() - started_at, 3),
        )
        return 200

    async def _handle_backend_call(
        self, call: BackendCall, request: HttpRequest
    ) -> tuple[int, bytes]:
        try:
            record = self._dialect.read_backend(call, request.body)
        except InvalidRequestError as error:
            self._log.warning("backend_call_unreadable", backend=call.name, reason=str(error))
            return 400, b""
        if record is None:
            self._log.warning("backend_call_ignored", backend=call.name, leaves=call.leaves)
            return 400, b""
        if call.leaves:
            record = self._complete_leave(record)
        if record is not None:
            change = self._apply_record(record)
            if change is RecordChange.CONFIRMED:
                self._send_confirmation(record)
            else:
                names = [heartbeat.name for heartbeat in self._recipients(record)]
                self._mesh.send_datagrams(BackendNews(records=(record,)), names)
        return 200, b"{}"

    def _complete_leave(self, record: BackendRecord) -> BackendRecord | None:
        """Add the known fields of a leaving backend server to its record.

        Returns None if the server's address is unknown.
        """
        known = self._fleet.get(record.name)
        if known is None:
            return record if record.address else None
        return BackendRecord(
            name=record.name,
            born=max(record.born, known.record.born),
            sequence=max(record.sequence, known.record.sequence),
            service=known.record.service,
            address=known.record.address,
            zone=known.record.zone,
            state=BackendState.GONE,
            slots=known.record.slots,
            warmup_s=0.0,
            age_s=0.0,
        )

    def _apply_backend_news(self, message: Message) -> None:
        assert isinstance(message, BackendNews)
        for record in message.records:
            self._apply_record(record)

    def _send_confirmation(self, record: BackendRecord) -> None:
        """Send a record that changes nothing; relays add it to their next news.

        Backend servers confirm their state all the time, and what changes is sent to each instance.
        """
        recipients = self._recipients(record)
        region = self._settings.zones.get(record.zone, "")
        if self._relaying.send_to_region(record, region):
            recipients = [
                heartbeat
                for heartbeat in recipients
                if heartbeat.role is InstanceRole.CONTROL or not heartbeat.relays
            ]
        names = [heartbeat.name for heartbeat in recipients]
        self._mesh.send_datagrams(BackendNews(records=(record,)), names)

    def _apply_record(self, record: BackendRecord) -> RecordChange:
        now = self._clock()
        change = self._fleet.apply(record, now=self._mesh.message_at)
        if change in (RecordChange.NOTHING, RecordChange.CONFIRMED):
            return change
        self._log.info(
            "backend_believed",
            backend=record.name,
            service=record.service,
            zone=record.zone,
            state=record.state.value,
            born=record.born,
            sequence=record.sequence,
            age_s=round(record.age_s, 2),
            change=change.value,
        )
        # Each control instance repeats records new to it, since the one that got the call may crash.
        self._pending_repeats += [(now + delay_s, record) for delay_s in REPEAT_DELAYS_S]
        self._repeat_added.set()
        return change

    async def _send_repeats(self) -> None:
        while True:
            now = self._clock()
            due = [record for at, record in self._pending_repeats if at <= now]
            self._pending_repeats = [repeat for repeat in self._pending_repeats if repeat[0] > now]
            for record in due:
                news = BackendNews(records=(record,))
                self._relaying.spread(news, self._recipients(record))
            if not self._pending_repeats:
                self._repeat_added = anyio.Event()
                await self._repeat_added.wait()
            await anyio.sleep(0.05)

    async def _run_anti_entropy(self) -> None:
        """Send all records to each other instance in turn, to repair lost updates."""
        round_number = 0
        while True:
            await sleep_until_shared(ANTI_ENTROPY_INTERVAL_S)
            self._fleet.expire(now=self._clock())
            peers = self._mesh.live_heartbeats()
            if not peers:
                continue
            self._send_records_to(peers[round_number % len(peers)])
            round_number += 1

    def _send_records_to(self, peer: InstanceHeartbeat) -> None:
        """Send a control instance all records, and an entry those of its region."""
        records = [
            record
            for record in self._fleet.records(now=self._clock())
            if peer.role is InstanceRole.CONTROL
            or self._settings.zones.get(record.zone) == peer.region
        ]
        send_records(self._mesh, records, peer.name)

    def _recipients(self, record: BackendRecord) -> list[InstanceHeartbeat]:
        """Return the instances that need a record: all control instances and its region's entries."""
        region = self._settings.zones.get(record.zone, "")
        return [
            heartbeat
            for heartbeat in self._mesh.live_heartbeats()
            if heartbeat.role is InstanceRole.CONTROL or heartbeat.region == region
        ]
