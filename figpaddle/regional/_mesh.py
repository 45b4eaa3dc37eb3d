"""The other instances of a deployment, and datagrams and queries between them."""

from __future__ import annotations

import collections
import dataclasses
import functools
import itertools
import random
import socket
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import anyio
import anyio.abc

from figpaddle.coordination import (
    HEARTBEAT_TIMEOUT_S,
    RETENTION_S,
    HeartbeatTable,
    ReceivedHeartbeat,
)
from figpaddle.errors import (
    ConnectFailedError,
    MalformedMessageError,
    PeerUnreachableError,
    TransportError,
    UnknownMessageError,
)
from figpaddle.http1 import ConnectionPool, HttpRequest, Responder
from figpaddle.regional._datagram_times import DatagramTimes
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._wake_ups import Alarm
from figpaddle.routing import ClockOffsets, boot_time
from figpaddle.telemetry import Log, MetricsRegistry
from figpaddle.wire import InstanceHeartbeat, InstanceRole, Message, Readiness, decode, encode

#: Number of other instances named in a heartbeat.
SAMPLE_SIZE = 6
#: The same in a heartbeat to another region, where bandwidth is scarce.
OTHER_REGION_SAMPLE_SIZE = 2
#: Time after its start in which an instance names ``SAMPLE_SIZE`` others to every region, seconds.
#: After a power loss all instances have to discover each other.
STARTUP_S = 20.0
#: Largest datagram read, bytes.
MAX_DATAGRAM_BYTES = 65507
#: Datagrams read before other tasks run, and the time after which no further one is read, seconds.
#: Requests of callers wait for the end of a batch.
MAX_DATAGRAMS_PER_BATCH, MAX_BATCH_S = 32, 0.02
#: Pause after a batch of datagrams was read, seconds. Among a hundred instances datagrams arrive one
#: by one, and waking up for each costs more than reading it. The pause is short compared with each
#: interval at which instances send.
DATAGRAM_PAUSE_S = 0.04
#: The same while a request waits for a datagram, seconds.
SHORT_PAUSE_S = 0.01
#: Time for which the lists of live instances and of the live entries of a region are reused, seconds. Placement reads it
#: several times for each request; it is short compared with the time after which an instance counts
#: as silent.
LIVE_TTL_S = 0.02
#: Time for which the number of known entries is reused, seconds.
COUNTS_TTL_S = 0.1
#: Interval between checks for silent instances, seconds.
SILENCE_CHECK_INTERVAL_S = 0.5
#: Path of queries on the port for other instances.
QUERY_PATH = b"/question"
#: Media type of queries and replies.
CBOR_TYPE = b"application/cbor"
#: Largest reply to a query, bytes; a configuration with thousands of routes fits.
MAX_REPLY_BYTES = 16 * 1024 * 1024
#: Timeout for connecting to another instance, seconds; over six times the longest round trip.
CONNECT_TIMEOUT_S = 1.0

#: Idle connections kept to an entry to which requests are forwarded. Opening a connection first
#: delays a request by a round trip between regions, and a burst of requests needs several at once.
SPARE_CONNECTIONS = 3

ReplyT = TypeVar("ReplyT", bound=Message)

#: Returns the reply to a query of another instance.
QueryHandler = Callable[[Message], Awaitable[Message]]


class Mesh:
    """Tracks the other instances and exchanges messages with them.

    Heartbeats and one-way messages are sent as datagrams, since a later one replaces one that is
    lost. Queries are sent over HTTP with CBOR bodies.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        incarnation: int,
        pool: ConnectionPool,
        clock: Callable[[], float],
        rng: random.Random,
        log: Log,
        metrics: MetricsRegistry,
        boot_clock: Callable[[], float] = boot_time,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._pool = pool
        self._clock = clock
        self._boot_clock = boot_clock
        self._clock_offsets = ClockOffsets()
        self._started_at = clock()
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._table: HeartbeatTable[InstanceHeartbeat] = HeartbeatTable()
        self._peer_names: set[str] = set(settings.seeds) - {settings.ip}
        # The live instances and until when they are reused.
        self._live: tuple[float, list[InstanceHeartbeat]] = (0.0, [])
        # The live entries of a region and until when they are reused, by region.
        self._live_entries: dict[str, tuple[float, list[InstanceHeartbeat]]] = {}
        # The number of known entries by region and until when it is reused.
        self._entry_counts: tuple[float, tuple[int, ...]] = (0.0, ())
        self._named_at: dict[str, float] = {}
        # When instances were last heard that hear this one.
        self._heard_by_at: dict[str, float] = {}
        self._next_check_at = 0.0
        self._silent: set[str] = set()
        self._sequence = itertools.count(1)
        self._socket: socket.socket | None = None
        self._datagram_bytes_sent = 0
        # When the datagram arrived that is being handled; None outside of one.
        self._arrived_at: float | None = None
        #: Seconds spent on the datagrams of each type of message.
        self._datagram_seconds: dict[str, float] = collections.defaultdict(float)
        self._datagram_handlers: dict[type[Message], list[Callable[[Message], None]]] = {}
        self._peer_up_handlers: list[Callable[[InstanceHeartbeat], None]] = []
        self._query_handlers: dict[type[Message], QueryHandler] = {}
        self._make_heartbeat: Callable[[bool], InstanceHeartbeat]
        self._heartbeats_requested = Alarm()
        self._replies_requested: set[str] = set()
        # Until when each reply is expected as a datagram; the alarm rings when one begins to be.
        self._expected_replies: dict[int, float] = {}
        self._reply_numbers = itertools.count()
        self._reply_expected = Alarm()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._warming_addresses: set[str] = set()

    @property
    def incarnation(self) -> int:
        """When this process started, milliseconds of Unix time."""
        return self._incarnation

    @property
    def clock_offsets(self) -> ClockOffsets:
        """How far the clocks of other instances are from the own one, those that go on in a suspension."""
        return self._clock_offsets

    @property
    def pool(self) -> ConnectionPool:
        """The connections to other instances."""
        return self._pool

    def on_datagram(self, kind: type[Message], handler: Callable[[Message], None]) -> None:
        """Call ``handler`` with each datagram message of type ``kind``."""
        self._datagram_handlers.setdefault(kind, []).append(handler)

    def on_query(self, kind: type[Message], query_handler: QueryHandler) -> None:
        """Answer queries of type ``kind`` with the reply of ``query_handler``."""
        self._query_handlers[kind] = query_handler

    def on_peer_up(self, handler: Callable[[InstanceHeartbeat], None]) -> None:
        """Call ``handler`` when an instance is first heard, heard again after silence, or restarted."""
        self._peer_up_handlers.append(handler)

    def set_heartbeat_source(self, make_heartbeat: Callable[[bool], InstanceHeartbeat]) -> None:
        """Set the function that makes heartbeats; its argument is whether they stay in the region."""
        self._make_heartbeat = make_heartbeat

    def next_sequence(self) -> int:
        """Return the sequence number of the next heartbeat."""
        return next(self._sequence)

    @property
    def uptime_s(self) -> float:
        """Time since this process started, seconds."""
        return self._clock() - self._started_at

    @property
    def peer_names(self) -> set[str]:
        """The names of the other instances, those never heard included."""
        return self._peer_names

    def add_peers(self, names: Iterable[str]) -> None:
        """Add names of instances that another instance takes for live."""
        now = self._clock()
        for name in names:
            if name != self._settings.ip:
                self._peer_names.add(name)
                self._named_at[name] = now

    def was_named(self, name: str, now: float) -> bool:
        """Return whether another instance took ``name`` for live a short time ago."""
        return now - self._named_at.get(name, float("-inf")) <= HEARTBEAT_TIMEOUT_S

    def own_heartbeat(self, *, same_region: bool) -> InstanceHeartbeat:
        """Return a heartbeat of this instance, with the next sequence number."""
        return dataclasses.replace(self._make_heartbeat(same_region), sent_at_s=self._boot_clock())

    @property
    def message_at(self) -> float:
        """When the datagram arrived that is being handled; the present time outside of one."""
        return self._clock() if self._arrived_at is None else self._arrived_at

    def vouch(self, heartbeats: Iterable[InstanceHeartbeat], *, heard_at: float) -> None:
        """Take in the members of a roster that came at ``heard_at``, made into heartbeats."""
        now = heard_at
        for heartbeat in heartbeats:
            if heartbeat.name == self._settings.ip:
                continue
            self._peer_names.add(heartbeat.name)
            if self._table.vouch(heartbeat, now=now):
                self._note_peer_up(heartbeat, source="roster")
            heard = self._table.get(heartbeat.name)
            if heard is not None and heard.received_at == now:
                # Relays send rosters to instances that they hear, whose names are in theirs.
                self._heard_by_at[heartbeat.name] = now

    def heard_directly(self, max_age_s: float) -> list[InstanceHeartbeat]:
        """Return the newest heartbeats that came from their senders within ``max_age_s``."""
        return self._table.heard_directly(max_age_s, now=self._clock())

    def silent_names_by_zone(self) -> dict[str, list[str]]:
        """Return the known instances of the zones from which nothing is heard."""
        live_zones = {heartbeat.zone for heartbeat in self.live_heartbeats()}
        names: dict[str, list[str]] = {}
        for name in self._table.names():
            heard = self._table.get(name)
            if heard is not None and heard.heartbeat.zone not in live_zones:
                names.setdefault(heard.heartbeat.zone, []).append(name)
        return names

    def sample_live_names(self, *, same_region: bool) -> tuple[str, ...]:
        """Return a random sample of live instances to name in a heartbeat."""
        is_starting = self.uptime_s < STARTUP_S
        count = SAMPLE_SIZE if same_region or is_starting else OTHER_REGION_SAMPLE_SIZE
        live = [heartbeat.name for heartbeat in self.live_heartbeats()]
        return tuple(self._rng.sample(live, min(count, len(live))))

    def live_heartbeats(self) -> list[InstanceHeartbeat]:
        """Return the newest heartbeat of each live instance."""
        now = self._clock()
        expires_at, heartbeats = self._live
        if now >= expires_at:
            heartbeats = self._table.live(now=now)
            self._live = (now + LIVE_TTL_S, heartbeats)
        return list(heartbeats)

    def last_heard(self, name: str) -> ReceivedHeartbeat[InstanceHeartbeat] | None:
        """Return the newest heartbeat of an instance and its time; None if there is none."""
        return self._table.get(name)

    def heard_by_at(self, name: str) -> float:
        """Return when an instance was last heard that hears this one; minus infinity for never.

        A link may carry messages one way only: the other instance then counts this one as gone.
        """
        return self._heard_by_at.get(name, float("-inf"))

    def known_names(self) -> list[str]:
        """Return the names of all instances in the heartbeat table, silent ones included."""
        return self._table.names()

    def live_entries(self, region: str) -> list[InstanceHeartbeat]:
        """Return the newest heartbeats of the live entries of ``region``."""
        now = self._clock()
        expires_at, entries = self._live_entries.get(region, (now, []))
        if now >= expires_at:
            entries = [
                heartbeat
                for heartbeat in self.live_heartbeats()
                if heartbeat.role is InstanceRole.ENTRY and heartbeat.region == region
            ]
            self._live_entries[region] = (now + LIVE_TTL_S, entries)
        return list(entries)

    def ready_entries(self, region: str, *, since: float) -> int:
        """Return how many other entries of a region have said since a time that they are ready."""
        return sum(
            is_ready(heartbeat)
            and (heard := self.last_heard(heartbeat.name)) is not None
            and heard.received_at > since
            for heartbeat in self.live_entries(region)
        )

    def known_entries(self, region: str) -> list[str]:
        """Return the names of the other entries of a region, silent ones included."""
        return [heartbeat.name for heartbeat in self._known_entries() if heartbeat.region == region]

    def entry_counts(self) -> tuple[int, ...]:
        """Return the number of known entries of each region, in the order of the regions' names."""
        now = self._clock()
        expires_at, counts = self._entry_counts
        if now >= expires_at:
            known = collections.Counter(heartbeat.region for heartbeat in self._known_entries())
            if self._settings.role is InstanceRole.ENTRY:
                known[self._settings.region] += 1
            counts = tuple(known[region] for region in self._settings.regions)
            self._entry_counts = (now + COUNTS_TTL_S, counts)
        return counts

    def stated_counts(self, region: str) -> list[int]:
        """Return the number of entries of a region that each instance states that was just heard.

        A live instance whose heartbeats go to relays may have stated its number long ago.
        """
        regions = self._settings.regions
        index = regions.index(region)
        return [
            heartbeat.entry_counts[index]
            for heartbeat in self.heard_directly(HEARTBEAT_TIMEOUT_S)
            if len(heartbeat.entry_counts) == len(regions)
        ]

    def entry_total(self) -> int:
        """Return the number of entries of all regions, by the highest count of each."""
        return sum(
            max(own, *self.stated_counts(region), 0)
            for region, own in zip(self._settings.regions, self.entry_counts(), strict=True)
        )

    def live_controls(self) -> list[InstanceHeartbeat]:
        """Return the newest heartbeats of the live control instances."""
        return [
            heartbeat
            for heartbeat in self.live_heartbeats()
            if heartbeat.role is InstanceRole.CONTROL
        ]

    def known_controls(self) -> list[InstanceHeartbeat]:
        """Return the newest heartbeats of all other control instances, silent ones included."""
        return [received.heartbeat for received in self._received(InstanceRole.CONTROL)]

    def controls_heard_at(self) -> list[float]:
        """Return when each other control instance was last heard, silent ones included."""
        return [received.received_at for received in self._received(InstanceRole.CONTROL)]

    def peer_address(self, name: str) -> str:
        """Return the address at which an instance accepts queries and forwarded requests."""
        return f"{name}:{self._settings.peer_port}"

    def add_seeds(self, seeds: tuple[str, ...]) -> list[str]:
        """Add seed instances; return the names that were unknown."""
        added = [
            name for name in seeds if name not in self._peer_names and name != self._settings.ip
        ]
        self._peer_names.update(added)
        return added

    def warm_connections(self, name: str) -> None:
        """Open idle connections to an instance, up to ``SPARE_CONNECTIONS``, in the background."""
        address = self.peer_address(name)
        if self._tasks is None or address in self._warming_addresses:
            return
        if self._pool.idle_count(address) < SPARE_CONNECTIONS:
            self._warming_addresses.add(address)
            self._tasks.start_soon(self._open_spare_connections, address)

    def send_heartbeats_now(self) -> None:
        """Have heartbeats sent immediately, because this instance's state changed."""
        self._heartbeats_requested.ring()

    async def wait_for_heartbeat_request(self, timeout_s: float) -> bool:
        """Wait for ``send_heartbeats_now``, about ``timeout_s`` at most; return whether it was called."""
        return await self._heartbeats_requested.wait(timeout_s)

    def request_reply(self, name: str) -> None:
        """Have one heartbeat sent to an instance that doesn't get them regularly."""
        self._replies_requested.add(name)

    def take_reply_requests(self) -> set[str]:
        """Return the instances that are to get one heartbeat, and forget them."""
        requested, self._replies_requested = self._replies_requested, set()
        return requested

    def send_datagrams(self, message: Message, names: list[str]) -> None:
        """Send a message to instances as datagrams."""
        if self._socket is None or not names:
            return
        self.send_encoded(encode(message), names)

    @property
    def datagram_bytes_sent(self) -> int:
        """Bytes of the datagrams that were sent, without their headers."""
        return self._datagram_bytes_sent

    def expect_reply(self, within_s: float) -> Callable[[], object]:
        """Read datagrams with hardly a pause for a time, as something waits for a reply.

        The function that is returned ends this time, once the reply has come.
        """
        number = next(self._reply_numbers)
        self._expected_replies[number] = self._clock() + within_s
        self._reply_expected.ring()
        return functools.partial(self._expected_replies.pop, number, None)

    def send_encoded(self, data: bytes, names: list[str]) -> None:
        """Send an encoded message to instances as datagrams."""
        for name in names:
            self._send_datagram(data, name)

    def detect_silent(self, now: float) -> None:
        """Log instances that have become silent, and forget those that are for long."""
        if now < self._next_check_at:
            return
        self._next_check_at = now + SILENCE_CHECK_INTERVAL_S
        self._clock_offsets.expire(now=self._boot_clock())
        for heard in self._table.received():
            name = heard.heartbeat.name
            if now - heard.alive_at <= HEARTBEAT_TIMEOUT_S or name in self._silent:
                continue
            self._silent.add(name)
            self._log.warning(
                "instance_silent",
                peer=name,
                role=heard.heartbeat.role.value,
                region=heard.heartbeat.region,
                silent_s=round(now - heard.alive_at, 2),
            )
        expired = self._table.expire(now=now)
        never_heard = [
            name
            for name, named_at in self._named_at.items()
            if now - named_at > RETENTION_S and self._table.get(name) is None
        ]
        for name in (*expired, *never_heard):
            self._silent.discard(name)
            self._named_at.pop(name, None)
            self._heard_by_at.pop(name, None)
            if name not in self._settings.seeds:
                self._peer_names.discard(name)

    def receive_datagram(self, data: bytes, *, arrived_at: float | None = None) -> None:
        """Handle a datagram of another instance, which arrived just now unless a time is given."""
        began_at = self._clock()
        try:
            message = decode(data)
        except (MalformedMessageError, UnknownMessageError) as error:
            self._metrics.count("datagrams_unreadable_total")
            self._log.warning("datagram_unreadable", reason=str(error))
            return
        self._arrived_at = arrived_at
        try:
            if isinstance(message, InstanceHeartbeat):
                self._handle_heartbeat(message)
            self.dispatch(message)
        except Exception:  # noqa: BLE001
            # The next datagrams are of other senders.
            self._metrics.count("internal_errors_total")
            self._log.exception("datagram_failed", message=message.wire_name)
        finally:
            self._arrived_at = None
        self._datagram_seconds[message.wire_name] += self._clock() - began_at

    def take_datagram_seconds(self) -> dict[str, float]:
        """Return the seconds spent on datagrams since the last call, by message type, as log fields."""
        longest = sorted(self._datagram_seconds.items(), key=lambda item: -item[1])[:3]
        self._datagram_seconds.clear()
        return {name.replace(".", "_") + "_s": round(seconds, 3) for name, seconds in longest}

    def dispatch(self, message: Message) -> None:
        """Call the handlers of a message that came as a datagram or in one of a relay."""
        for handler in self._datagram_handlers.get(type(message), ()):
            handler(message)

    async def send_query(self, name: str, query: Message, *, timeout_s: float) -> Message:
        """Send a query and return the reply; raises PeerUnreachableError."""
        address = self.peer_address(name)
        try:
            with anyio.fail_after(timeout_s):
                return await self._exchange_query(address, query)
        except TimeoutError as error:
            self._pool.close_idle(address)
            raise PeerUnreachableError(what=f"no reply in {timeout_s} s", where=address) from error
        except (TransportError, MalformedMessageError, UnknownMessageError) as error:
            raise PeerUnreachableError(what=str(error), where=address) from error

    async def answer_query(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a query that came over HTTP."""
        try:
            query = decode(request.body)
            query_handler = self._query_handlers.get(type(query))
            if query_handler is None:
                raise UnknownMessageError(what=f"no handler for queries of type {query.wire_name}")
            reply = await query_handler(query)
        except (MalformedMessageError, UnknownMessageError) as error:
            self._log.warning("question_unreadable", reason=str(error))
            await responder.answer(400, (), b"")
            return
        await responder.answer(200, ((b"Content-Type", CBOR_TYPE),), encode(reply))

    async def run(self) -> None:
        """Send and receive until cancelled."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            datagrams.setblocking(False)
            datagrams.bind((self._settings.ip, self._settings.peer_port))
            self._socket = datagrams
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._receive, datagrams)

    async def _open_spare_connections(self, address: str) -> None:
        try:
            while self._pool.idle_count(address) < SPARE_CONNECTIONS:
                connection = await self._pool.open(address, timeout_s=CONNECT_TIMEOUT_S)
                self._pool.release(address, connection)
        except ConnectFailedError as error:
            self._log.debug("connection_not_warmed", address=address, reason=error.what)
        finally:
            self._warming_addresses.discard(address)

    async def _exchange_query(self, address: str, query: Message) -> Message:
        connection = await self._pool.acquire(address, timeout_s=CONNECT_TIMEOUT_S)
        complete = False
        try:
            body = encode(query)
            headers = (
                (b"Host", address.encode()),
                (b"Content-Type", CBOR_TYPE),
                (b"Content-Length", str(len(body)).encode()),
            )
            await connection.send(method=b"POST", target=QUERY_PATH, headers=headers, body=body)
            head = await connection.read_head(lambda _: True)
            data = await connection.read_whole_body(max_bytes=MAX_REPLY_BYTES)
            complete = True
        finally:
            if complete:
                self._pool.release(address, connection)
            else:
                connection.close()
        if head.status != 200:
            raise MalformedMessageError(what=f"status {head.status}", where=address)
        return decode(data)

    async def _receive(self, datagrams: socket.socket) -> None:
        times = DatagramTimes(datagrams, clock=self._clock, wall=time.time)
        is_empty = True
        while True:
            if is_empty:
                await anyio.wait_readable(datagrams)
            ends_at = self._clock() + MAX_BATCH_S
            is_empty = True
            for _ in range(MAX_DATAGRAMS_PER_BATCH):
                if self._clock() >= ends_at:
                    break
                try:
                    data, arrived_at = times.receive(MAX_DATAGRAM_BYTES)
                    # Some often come during the pause; to be told of them costs more than to look.
                    is_empty = False
                except BlockingIOError:
                    break
                except OSError as error:
                    is_empty = False
                    # An ICMP error for an earlier datagram; the next heartbeat replaces that datagram.
                    self._log.debug("datagram_refused", reason=str(error))
                    continue
                self.receive_datagram(data, arrived_at=arrived_at)
            else:
                await anyio.sleep(0)
                continue
            if not is_empty:
                await self._pause_reading()

    async def _pause_reading(self) -> None:
        now = self._clock()
        for number in [item for item, until in self._expected_replies.items() if until <= now]:
            del self._expected_replies[number]
        if self._expected_replies:
            await anyio.sleep(SHORT_PAUSE_S)
            return
        self._reply_expected.clear()
        await self._reply_expected.wait(DATAGRAM_PAUSE_S)

    def _handle_heartbeat(self, heartbeat: InstanceHeartbeat) -> None:
        if heartbeat.name == self._settings.ip:
            return
        now = self.message_at
        if heartbeat.sent_at_s is not None:
            # When it was read, which is certainly not before it came.
            self._clock_offsets.note(
                (heartbeat.name, heartbeat.incarnation),
                sent_at=heartbeat.sent_at_s,
                received_at=self._boot_clock(),
            )
        if self._table.record(heartbeat, now=now):
            self._note_peer_up(heartbeat, source="direct")
        self._peer_names.add(heartbeat.name)
        self.add_peers(heartbeat.acquaintances)
        heard = self._table.get(heartbeat.name)
        if heartbeat.asks_for_reply:
            self.request_reply(heartbeat.name)
        elif heard is not None and heard.heartbeat is heartbeat:
            self._heard_by_at[heartbeat.name] = now

    def _known_entries(self) -> list[InstanceHeartbeat]:
        """Return the newest heartbeats of all other entries, silent ones included."""
        return [received.heartbeat for received in self._received(InstanceRole.ENTRY)]

    def _received(self, role: InstanceRole) -> list[ReceivedHeartbeat[InstanceHeartbeat]]:
        """Return the newest heartbeat of each other instance of a role, silent ones included."""
        return [heard for heard in self._table.received() if heard.heartbeat.role is role]

    def _note_peer_up(self, heartbeat: InstanceHeartbeat, *, source: str) -> None:
        self._live = (0.0, [])
        self._live_entries.clear()
        self._entry_counts = (0.0, ())
        self._silent.discard(heartbeat.name)
        self._log.info(
            "instance_heard",
            peer=heartbeat.name,
            role=heartbeat.role.value,
            region=heartbeat.region,
            incarnation=heartbeat.incarnation,
            readiness=heartbeat.readiness.value,
            source=source,
        )
        for handler in self._peer_up_handlers:
            handler(heartbeat)

    def _send_datagram(self, data: bytes, name: str) -> None:
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, (name, self._settings.peer_port))
            self._datagram_bytes_sent += len(data)
        except OSError as error:
            self._metrics.count("datagrams_unsent_total")
            self._log.debug("datagram_unsent", peer=name, reason=str(error))


def is_ready(heartbeat: InstanceHeartbeat) -> bool:
    """Return whether the sender accepts callers' requests."""
    return heartbeat.readiness is Readiness.READY


def accepts_while_stopping(heartbeat: InstanceHeartbeat) -> bool:
    """Return whether the sender, an entry, is stopping and still accepts callers' requests."""
    return heartbeat.readiness is Readiness.LEAVING and bool(heartbeat.caller_address)


def accepting(heartbeats: Iterable[InstanceHeartbeat]) -> list[InstanceHeartbeat]:
    """Return the entries that accept requests: the ready ones, or those that are stopping if there are none."""
    known = list(heartbeats)
    return [item for item in known if is_ready(item)] or [
        item for item in known if accepts_while_stopping(item)
    ]
