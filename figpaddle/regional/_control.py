"""The calls of operators and backend servers."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from figpaddle.errors import InvalidRequestError, NoMajorityError, StorageError
from figpaddle.http1 import HttpRequest, Responder
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._dialect import (
    BackendCall,
    Dialect,
    GetConfiguration,
    InvalidConfigurationError,
    PutConfiguration,
    SetEvacuation,
)
from figpaddle.regional._introductions import send_records
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._register_host import RegisterHost
from figpaddle.regional._settings import ProcessSettings
from figpaddle.routing import Fleet, News
from figpaddle.telemetry import Counters, Log
from figpaddle.wire import (
    BackendNews,
    BackendRecord,
    BackendState,
    InstanceHeartbeat,
    InstanceRole,
    Message,
    StateChange,
)

#: Longest time for which a call of an operator is worked on, seconds. The operator turns to
#: another instance after a second, so that more would keep nobody.
ORDER_TIMEOUT_S = 4.0
#: Pauses after which news that take a backend server out of use are sent again, seconds; lost
#: datagrams would leave it in use.
REPEATS_S = (0.15, 0.4, 0.9, 1.8)
#: Interval at which all records are sent to one other instance, seconds.
ANTI_ENTROPY_INTERVAL_S = 0.5


class ControlPort:
    """Answers operators and backend servers, and spreads what the latter say."""

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        dialect: Dialect,
        mesh: Mesh,
        follower: ClusterFollower,
        register: RegisterHost,
        clock: Callable[[], float],
        log: Log,
        counters: Counters,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._mesh = mesh
        self._follower = follower
        self._register = register
        self._clock = clock
        self._log = log
        self._counters = counters
        self._fleet = Fleet()
        self._urgent: list[tuple[float, BackendRecord]] = []
        self._changed = anyio.Event()
        mesh.on_news(BackendNews, self._take_news)
        mesh.on_heard(self._send_all)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        call = self._dialect.read_call(request)
        kind = type(call).__name__ if call is not None else "unknown"
        match call:
            case PutConfiguration():
                status, body = await self._put(request)
            case GetConfiguration():
                status, body = await self._get()
            case SetEvacuation():
                status, body = await self._evacuate(call)
            case BackendCall():
                status, body = await self._note_backend(call, request)
            case _:
                status, body = 404, b""
        self._counters.count("calls_total", call=kind, status=str(status))
        headers = ((b"Content-Type", self._dialect.document_type.encode()),)
        await responder.answer(status, headers, body)

    async def run(self) -> None:
        """Spread news until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._repeat_urgent)
            tasks.start_soon(self._exchange_all)

    async def _put(self, request: HttpRequest) -> tuple[int, bytes]:
        try:
            configuration = self._dialect.read_configuration(request.body)
        except InvalidConfigurationError as error:
            self._log.warning("configuration_refused", reason=str(error))
            return 400, b""
        order = StateChange(
            kind="configuration", version=configuration.version, document=request.body, zone=""
        )
        return await self._order(order), b""

    async def _get(self) -> tuple[int, bytes]:
        try:
            with anyio.fail_after(ORDER_TIMEOUT_S):
                state = await self._register.read()
        except (NoMajorityError, TimeoutError) as error:
            self._log.warning("configuration_not_read", reason=str(error))
            return 503, b""
        if not state.version:
            return 503, b""
        self._log.info("configuration_read", version=state.version, revision=state.revision)
        return 200, state.document

    async def _evacuate(self, call: SetEvacuation) -> tuple[int, bytes]:
        kind = "evacuate" if call.evacuated else "return"
        if call.zone not in self._settings.zones:
            self._log.warning("evacuation_refused", zone=call.zone, reason="unknown zone")
            return 404, b""
        return (
            await self._order(StateChange(kind=kind, version=0, document=b"", zone=call.zone)),
            b"",
        )

    async def _order(self, order: StateChange) -> int:
        began_at = self._clock()
        try:
            with anyio.fail_after(ORDER_TIMEOUT_S):
                state = await self._register.change(order)
        except (NoMajorityError, StorageError, TimeoutError) as error:
            self._log.warning(
                "order_not_confirmed",
                kind=order.kind,
                version=order.version,
                zone=order.zone,
                reason=str(error) or "timeout",
                took_s=round(self._clock() - began_at, 3),
            )
            return 503
        self._log.info(
            "order_confirmed",
            kind=order.kind,
            version=order.version,
            zone=order.zone,
            revision=state.revision,
            took_s=round(self._clock() - began_at, 3),
        )
        return 200

    async def _note_backend(self, call: BackendCall, request: HttpRequest) -> tuple[int, bytes]:
        try:
            record = self._dialect.read_backend(call, request.body)
        except InvalidRequestError as error:
            self._log.warning("backend_call_unreadable", backend=call.name, reason=str(error))
            return 400, b""
        if record is None:
            self._log.warning("backend_call_ignored", backend=call.name, leaves=call.leaves)
            return 400, b""
        if call.leaves:
            record = self._completed(record)
        if record is not None:
            self._learn(record)
            self._mesh.tell(BackendNews(records=(record,)), self._audience(record))
        return 200, b"{}"

    def _completed(self, record: BackendRecord) -> BackendRecord | None:
        """Return a leave with what is known of the backend server besides."""
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

    def _take_news(self, news: Message) -> None:
        assert isinstance(news, BackendNews)
        for record in news.records:
            self._learn(record)

    def _learn(self, record: BackendRecord) -> None:
        now = self._clock()
        change = self._fleet.note(record, now=now)
        if change in (News.NOTHING, News.CONFIRMED):
            return
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
        # Each control instance repeats what is new to it: the one that was told may die.
        self._urgent += [(now + pause_s, record) for pause_s in REPEATS_S]
        self._changed.set()

    async def _repeat_urgent(self) -> None:
        while True:
            now = self._clock()
            due = [record for at, record in self._urgent if at <= now]
            self._urgent = [one for one in self._urgent if one[0] > now]
            for record in due:
                self._mesh.tell(BackendNews(records=(record,)), self._audience(record))
            if not self._urgent:
                self._changed = anyio.Event()
                await self._changed.wait()
            await anyio.sleep(0.05)

    async def _exchange_all(self) -> None:
        """Send all records to each other instance in turn, so that nothing stays unknown."""
        turn = 0
        while True:
            await anyio.sleep(ANTI_ENTROPY_INTERVAL_S)
            self._fleet.expire(now=self._clock())
            peers = self._mesh.live()
            if not peers:
                continue
            self._send_all(peers[turn % len(peers)])
            turn += 1

    def _send_all(self, peer: InstanceHeartbeat) -> None:
        """Send all records that an instance uses or keeps."""
        records = [
            record
            for record in self._fleet.records(now=self._clock())
            if peer.role is InstanceRole.CONTROL
            or self._settings.zones.get(record.zone) == peer.region
        ]
        send_records(self._mesh, records, peer.name)

    def _audience(self, record: BackendRecord) -> list[str]:
        """Return the instances that use or keep a record: its region's entries and control."""
        region = self._settings.zones.get(record.zone, "")
        return [
            beat.name
            for beat in self._mesh.live()
            if beat.role is InstanceRole.CONTROL or beat.region == region
        ]
