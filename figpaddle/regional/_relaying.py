"""Exchanges rosters, work and loads between the instances of a zone and its relays."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

import anyio

from figpaddle.coordination import (
    HEARTBEAT_TIMEOUT_S,
    MEMBER_TIMEOUT_S,
    MIN_RELAYED_INSTANCES,
    RosterCopy,
    RosterMaker,
    zone_relays,
)
from figpaddle.errors import MalformedMessageError, PeerUnreachableError, UnknownMessageError
from figpaddle.regional._mesh import Mesh, is_ready
from figpaddle.regional._record_queue import RecordQueue
from figpaddle.regional._report_queue import ReportQueue
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._wake_ups import sleep_until_shared
from figpaddle.routing import (
    ByteBudget,
    OwnWorkHistory,
    boot_time,
    newest_limits,
    reports_load,
    sum_work,
)
from figpaddle.telemetry import Log, MetricsRegistry
from figpaddle.wire import (
    BackendLimit,
    BackendNews,
    BackendRecord,
    BackendWork,
    InstanceHeartbeat,
    InstanceRole,
    Message,
    PassedOn,
    RegionalLoad,
    RegionBackendNews,
    RegionLoad,
    RelayedNews,
    RostersQuery,
    RostersReply,
    SuspectNews,
    ZoneRoster,
    ZoneWork,
    decode,
    encode,
)

#: Interval at which a relay sends, seconds. With the interval of heartbeats to relays, placement knows
#: the work of others within half a second, in other zones of the region too.
RELAY_INTERVAL_S = 0.15
#: Interval at which a relay sends its roster to other relays without a change, and the load of its
#: region, seconds; at least two arrive before a silent instance is noticed.
ROSTER_INTERVAL_S = 0.4
#: Interval at which a relay passes on a roster without a change, seconds; eight times before its members
#: count as silent, since its receivers have no second relay that does so.
PASS_ON_INTERVAL_S = 0.25
#: Interval at which the relays of all zones are chosen, seconds.
CHOICE_INTERVAL_S = 0.4
#: Time after the last heartbeat that its first relay has answered with news until an instance asks the
#: second one too, seconds. An answer usually takes up to half a second.
RELAY_LATE_S = 0.7
#: The same time until an instance replaces a relay that it asks, seconds.
RELAY_SILENT_S = 1.5
#: Pause of the own process after which nobody else counts as silent, seconds.
OWN_PAUSE_S = 0.4
#: Time for which a silent relay isn't chosen again, seconds.
RELAY_AVOIDED_S = 5.0
#: Time after which work of other zones and loads of other regions are no longer passed on, seconds.
NEWS_TTL_S = 1.0
#: Interval at which a relay sends to instances of a zone or region from which it hears nothing, seconds.
SEARCH_INTERVAL_S = 0.8
#: Instances of a silent zone to which a relay sends at once.
SEARCHED_INSTANCES = 3
#: Time for which a relay that sent its roster gets one in return, seconds.
SENDER_TTL_S = 1.5
#: Interval between questions for whole rosters, seconds, and their timeout.
QUERY_INTERVAL_S = 0.5
QUERY_TIMEOUT_S = 1.5
#: Interval at which the members of a roster without a change are counted as live, seconds.
VOUCH_INTERVAL_S = 0.4
#: Time after which the roster of a silent relay is forgotten, seconds.
ROSTER_TTL_S = 60.0
#: Bytes of news that a relay with callers sends at once, over all receivers, and in a second in the mean: a third of
#: a second and two fifths of a link of 5 Mbit/s, the narrowest one.
NEWS_BURST_BYTES, NEWS_BYTES_PER_S = 200_000.0, 250_000.0
#: Interval between log lines of what a relay has sent, seconds.
TRAFFIC_INTERVAL_S = 1.0
#: Largest sum of encoded messages in one datagram, bytes, so that most fit into a packet.
MAX_NEWS_BYTES = 1200

#: Gets the work of the other entries of the region by backend server, and named limits.
WorkHandler = Callable[[tuple[BackendWork, ...], tuple[BackendLimit, ...]], None]
#: Gets the load of the services of another region.
LoadHandler = Callable[[str, tuple[RegionalLoad, ...]], None]


@dataclasses.dataclass(kw_only=True)
class _Roster:
    """The roster of another relay and how it was passed on."""

    copy: RosterCopy = dataclasses.field(default_factory=RosterCopy)
    #: The newest message, as it came from the relay itself; empty if it came through another one.
    data: bytes = b""
    heard_at: float = float("-inf")
    #: What distinguishes one roster from the next, of the newest message and of the last passed on.
    state: tuple[int, int, int] = (0, 0, 0)
    passed_state: tuple[int, int, int] = (0, 0, 0)
    passed_at: float = float("-inf")
    #: When the message came by which its members were last counted as live.
    vouched_at: float = float("-inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Reporter:
    """The last heartbeat of an instance that takes this one for a relay of its zone."""

    heartbeat: InstanceHeartbeat
    at: float


@dataclasses.dataclass(kw_only=True)
class _Traffic:
    """What a relay has sent since the last log line about it, without the headers of datagrams."""

    #: Most instances that asked for news at a time.
    asking: int = 0
    news_bytes: int = 0
    #: Bytes of messages that were passed on without waiting for the next news.
    passed_on_bytes: int = 0
    #: Bytes of all datagrams of the process until the last line.
    total_before: int = 0

    def note_news(self, asking: int, sent_bytes: int) -> None:
        """Record one round of news."""
        self.asking = max(self.asking, asking)
        self.news_bytes += sent_bytes


class Relaying:
    """Sends news as a relay while it is one, and takes in the news of relays.

    Decisions are those of ``zone_relays``, ``RosterMaker`` and ``RosterCopy``.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        mesh: Mesh,
        clock: Callable[[], float],
        rng: random.Random,
        log: Log,
        metrics: MetricsRegistry,
        boot_clock: Callable[[], float] = boot_time,
    ) -> None:
        self._boot_clock = boot_clock
        self._settings = settings
        self._mesh = mesh
        self._clock = clock
        self._rng = rng
        self._log = log
        self._maker = RosterMaker(
            relay=settings.ip,
            incarnation=mesh.incarnation,
            region=settings.region,
            zone=settings.zone,
        )
        self._own_roster = _Roster()
        self._own_work = OwnWorkHistory()
        self._rosters: dict[str, _Roster] = {}
        self._reporters: dict[str, _Reporter] = {}
        # Relays that sent their roster to this instance, with their zone and when.
        self._senders: dict[str, tuple[str, float]] = {}
        self._zone_work: dict[str, tuple[ZoneWork, float]] = {}
        self._region_loads: dict[str, tuple[RegionLoad, float]] = {}
        # When the last heartbeat was sent that each asked relay has answered, and until when others are
        # avoided.
        self._relay_heard_at: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}
        self._chosen_at = float("-inf")
        self._relays: tuple[str, ...] = ()
        self._relays_by_zone: dict[str, tuple[str, ...]] = {}
        self._sent_state: tuple[int, int, int] = (0, 0, 0)
        self._roster_due_at: dict[str, float] = {}
        self._load_due_at = 0.0
        self._choice_due_at = 0.0
        self._search_due_at = 0.0
        self._query_due_at = 0.0
        # Records of backend servers to pass on, and when they came.
        self._records = RecordQueue()
        self._news_budget = ByteBudget(
            bytes_per_s=NEWS_BYTES_PER_S, burst_bytes=NEWS_BYTES_PER_S * RELAY_INTERVAL_S
        )
        self._reports = ReportQueue()
        # Instances whose messages apply to rosters that this one lacks.
        self._sources: set[str] = set()
        self._loads_passed: dict[str, tuple[str, int, int]] = {}
        self._sequence = 0
        self._is_relay = False
        self._traffic = _Traffic()
        self._traffic_due_at = 0.0
        # When another instance was last heard that sends through relays.
        self._relayed_heard_at = float("-inf")
        self._handle_work: WorkHandler | None = None
        self._handle_load: LoadHandler | None = None
        self._make_loads: Callable[[], tuple[RegionalLoad, ...]] | None = None
        mesh.on_datagram(InstanceHeartbeat, self._note_heartbeat)
        mesh.on_datagram(ZoneRoster, self._receive_roster)
        mesh.on_datagram(ZoneWork, self._receive_work)
        mesh.on_datagram(RegionLoad, self._receive_load)
        mesh.on_datagram(RelayedNews, self._receive_news)
        mesh.on_datagram(RegionBackendNews, self._receive_records)
        mesh.on_datagram(PassedOn, self._pass_on)
        mesh.on_query(RostersQuery, self._answer_rosters_query)
        metrics.gauge("is_relay", lambda: int(self._is_relay))

    @property
    def enabled(self) -> bool:
        """Whether this instance sends its heartbeats through relays.

        It does when others do, since it wouldn't hear from them otherwise.
        """
        others_do = self._clock() - self._relayed_heard_at <= HEARTBEAT_TIMEOUT_S
        return others_do or len(self._mesh.peer_names) >= MIN_RELAYED_INSTANCES

    @property
    def asked_relays(self) -> tuple[str, ...]:
        """The relays that are to send news to this instance.

        A relay needs none, as all other relays send to it. The second relay may have a narrow link
        and is asked only while the first one is late.
        """
        if not self._relays or self._settings.ip in self._relays:
            return ()
        heard_at = self._relay_heard_at.get(self._relays[0], float("-inf"))
        is_late = self._clock() - heard_at > RELAY_LATE_S
        return self._relays if is_late else self._relays[:1]

    @property
    def relays(self) -> tuple[str, ...]:
        """The relays of the own zone; this instance may be one of them."""
        return self._relays

    def on_work(self, handler: WorkHandler) -> None:
        """Call ``handler`` with the work of the other entries of the region."""
        self._handle_work = handler

    def on_load(self, handler: LoadHandler) -> None:
        """Call ``handler`` with the load of another region."""
        self._handle_load = handler

    def set_load_source(self, make_loads: Callable[[], tuple[RegionalLoad, ...]]) -> None:
        """Set the function that estimates the load of the own region; only entries have one."""
        self._make_loads = make_loads

    def note_sent(self, heartbeat: InstanceHeartbeat) -> None:
        """Record a heartbeat that was sent to the relays, to recognise its work in their sums."""
        self._own_work.note_sent(heartbeat.sequence, heartbeat.work, now=self._clock())

    def relay_names(self) -> tuple[str, ...]:
        """Return the relays of all zones, to name them to instances that look for others."""
        return tuple(name for names in self._relays_by_zone.values() for name in names)

    def spread(self, message: Message, recipients: list[InstanceHeartbeat]) -> None:
        """Send a message to many instances: to the relays of their zones, which send it on at once.

        It may reach other instances of these zones too, and any of them twice. Instances without a
        known relay, or whose build doesn't understand relays, get it directly.
        """
        relays = {
            instance.zone: self._relays_by_zone.get(instance.zone, ())
            for instance in recipients
            if instance.relays
        }
        direct = [
            instance.name
            for instance in recipients
            if not instance.relays or not relays[instance.zone]
        ]
        self._mesh.send_datagrams(message, direct)
        names = {name for in_zone in relays.values() for name in in_zone}
        passed_on = PassedOn(data=encode(message))
        self._mesh.send_datagrams(passed_on, sorted(names - {self._settings.ip}))
        if self._settings.ip in names:
            self._pass_on(passed_on)

    def send_to_region(self, record: BackendRecord, region: str) -> list[str]:
        """Have a record passed on to the entries of a region; return the relays that do it.

        None are returned while heartbeats don't go through relays.
        """
        zones = self._settings.zones
        names = [
            name
            for zone, relays in self._relays_by_zone.items()
            if zones.get(zone) == region
            for name in relays
        ]
        self._mesh.send_datagrams(RegionBackendNews(records=(record,)), names)
        if self._settings.ip in names:
            self._records.add((record,), now=self._clock())
        return names

    async def run(self) -> None:
        """Choose relays, and send as one while this instance is one, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                now = self._clock()
                self.send_due(now)
                for source in self.take_sources(now):
                    tasks.start_soon(self.fetch_rosters, source)
                await sleep_until_shared(RELAY_INTERVAL_S)

    def send_due(self, now: float) -> None:
        """Choose relays, and send as one if this instance is one."""
        self._choose_relays(now)
        self._expire(now)
        self._vouch_for_members(now)
        self._is_relay = bool(self._reporters) or (
            self.enabled and self._settings.ip in self._relays
        )
        if self._is_relay:
            self._send_as_relay(now)
            self._send_reports()
        elif self.enabled and self._load_due_at <= now and self._replaces_cut_off_relays():
            self._send_load(self._relays_by_zone, now)

    def take_sources(self, now: float) -> set[str]:
        """Return the instances to fetch whole rosters from, at most once in ``QUERY_INTERVAL_S``."""
        if not self._sources or self._query_due_at > now:
            return set()
        self._query_due_at = now + QUERY_INTERVAL_S
        sources, self._sources = self._sources, set()
        return sources

    async def fetch_rosters(self, source: str) -> None:
        """Fetch whole rosters from an instance, after changes were missed."""
        try:
            reply = await self._mesh.send_query(source, RostersQuery(), timeout_s=QUERY_TIMEOUT_S)
        except PeerUnreachableError as error:
            self._log.info("rosters_not_fetched", peer=source, reason=str(error))
            return
        if isinstance(reply, RostersReply):
            for roster in reply.rosters:
                self._apply_roster(roster, source, self._clock())

    def _choose_relays(self, now: float) -> None:
        if not self.enabled:
            self._relays, self._relays_by_zone = (), {}
            return
        has_silent = self._avoid_silent(now)
        if now < self._choice_due_at and not has_silent:
            return
        self._choice_due_at = now + CHOICE_INTERVAL_S
        silent = frozenset(name for name, until in self._avoided_until.items() if until > now)
        instances_by_zone: dict[str, list[InstanceHeartbeat]] = {}
        own = self._mesh.own_heartbeat(same_region=True)
        for instance in (*self._mesh.live_heartbeats(), own):
            instances_by_zone.setdefault(instance.zone, []).append(instance)
        self._relays_by_zone = {
            zone: zone_relays(
                zone, instances, silent=silent if zone == self._settings.zone else frozenset()
            )
            for zone, instances in instances_by_zone.items()
        }
        self._relays = self._relays_by_zone[self._settings.zone]

    def _avoid_silent(self, now: float) -> bool:
        """Avoid relays of the own zone that are asked and send no news; return whether there is one."""
        asked = self.asked_relays
        if now - self._chosen_at > OWN_PAUSE_S:
            self._relay_heard_at = dict.fromkeys(self._relay_heard_at, now)
        self._chosen_at = now
        self._relay_heard_at = {name: self._relay_heard_at.get(name, now) for name in asked}
        silent = [name for name in asked if now - self._relay_heard_at[name] > RELAY_SILENT_S]
        for name in silent:
            self._log.info("relay_replaced", peer=name)
            self._avoided_until[name] = now + RELAY_AVOIDED_S
            del self._relay_heard_at[name]
        return bool(silent)

    def _expire(self, now: float) -> None:
        for name, reporter in list(self._reporters.items()):
            if now - reporter.at > MEMBER_TIMEOUT_S:
                del self._reporters[name]
        for name, (_, sent_at) in list(self._senders.items()):
            if now - sent_at > SENDER_TTL_S:
                del self._senders[name]
        for name, roster in list(self._rosters.items()):
            if now - roster.copy.heard_at > ROSTER_TTL_S:
                del self._rosters[name]

    def _note_heartbeat(self, message: Message) -> None:
        assert isinstance(message, InstanceHeartbeat)
        if message.relayed:
            self._relayed_heard_at = self._mesh.message_at
        if message.zone == self._settings.zone and message.to_relay:
            known = self._reporters.get(message.name)
            order = (message.incarnation, message.sequence)
            if known is None or order > (known.heartbeat.incarnation, known.heartbeat.sequence):
                self._reporters[message.name] = _Reporter(
                    heartbeat=message, at=self._mesh.message_at
                )

    def _send_as_relay(self, now: float) -> None:
        own = self._mesh.own_heartbeat(same_region=True)
        self._own_work.note_sent(own.sequence, own.work, now=now)
        members = self._members(own)
        self._maker.update(members, now=now, clock_offsets_s=self._clock_offsets_s(members))
        zone_work = self._own_zone_work(own)
        self._send_to_relays(zone_work, now)
        region_work = self._region_work(zone_work, now)
        self._take_work(region_work, own.sequence)
        asking = [item for item in self._reporters.values() if item.heartbeat.asks_for_news]
        if not asking:
            # Whoever begins to ask is sent the records of later changes, and gets the others directly.
            self._records.take(now=now)
        elif self._has_room_for_news(now):
            sent_before = self._mesh.datagram_bytes_sent
            news = self._make_news(region_work, receivers=len(asking), now=now)
            for reporter in asking:
                self._send_news(reporter.heartbeat, news)
            sent_bytes = self._mesh.datagram_bytes_sent - sent_before
            self._news_budget.spend(sent_bytes, now=now)
            self._traffic.note_news(len(asking), sent_bytes)
        self._log_traffic(now)

    @property
    def _has_callers(self) -> bool:
        """Whether requests and answers share the link with what this instance sends as a relay."""
        return self._settings.role is InstanceRole.ENTRY

    def _has_room_for_news(self, now: float) -> bool:
        return not self._has_callers or self._news_budget.is_open(now=now)

    def _make_news(self, region_work: ZoneWork, *, receivers: int, now: float) -> list[bytes]:
        """Return what each of the receivers is sent now; rosters that don't fit are left to later news."""
        news = [encode(region_work), *self._records.take(now=now), *self._loads_to_pass_on(now)]
        max_bytes = NEWS_BURST_BYTES / receivers if self._has_callers else math.inf
        left_bytes = max_bytes - sum(map(len, news))
        return [*news, *self._rosters_to_pass_on(now, max_bytes=left_bytes)]

    def _log_traffic(self, now: float) -> None:
        """Log what this instance has sent as a relay, once in ``TRAFFIC_INTERVAL_S``."""
        if now < self._traffic_due_at:
            return
        self._traffic_due_at = now + TRAFFIC_INTERVAL_S
        total = self._mesh.datagram_bytes_sent
        self._log.info(
            "relay_traffic",
            members=len(self._reporters),
            asking=self._traffic.asking,
            news_bytes=self._traffic.news_bytes,
            passed_on_bytes=self._traffic.passed_on_bytes,
            bytes=total - self._traffic.total_before,
        )
        self._traffic = _Traffic(total_before=total)

    def _members(self, own: InstanceHeartbeat) -> list[InstanceHeartbeat]:
        """Return the instances of the zone that this relay hears regularly, itself included."""
        direct = [
            heartbeat
            for heartbeat in self._mesh.heard_directly(MEMBER_TIMEOUT_S)
            if heartbeat.zone == self._settings.zone and not heartbeat.relayed
        ]
        return [own, *direct, *(reporter.heartbeat for reporter in self._reporters.values())]

    def _clock_offsets_s(self, members: Iterable[InstanceHeartbeat]) -> dict[str, float]:
        """Return by how much at most the own clock is ahead of those of members, seconds."""
        offsets_s = {self._settings.ip: 0.0}
        for member in members:
            offset_s = self._mesh.clock_offsets.direct_s((member.name, member.incarnation))
            if offset_s is not None:
                offsets_s[member.name] = offset_s
        return offsets_s

    def _own_zone_work(self, own: InstanceHeartbeat) -> ZoneWork:
        heartbeats = [own, *(reporter.heartbeat for reporter in self._reporters.values())]
        return self._make_work(
            self._settings.zone,
            sum_work(heartbeat.work for heartbeat in heartbeats),
            newest_limits(limit for heartbeat in heartbeats for limit in heartbeat.limits),
        )

    def _region_work(self, zone_work: ZoneWork, now: float) -> ZoneWork:
        """Return the sum over the zones of the region."""
        works = [zone_work] + [
            work
            for zone, (work, received_at) in self._zone_work.items()
            if zone != self._settings.zone and now - received_at <= NEWS_TTL_S
        ]
        return self._make_work(
            "",
            sum_work(_decode_work(work) for work in works),
            newest_limits(limit for work in works for limit in work.limits),
        )

    def _make_work(
        self, zone: str, work: tuple[BackendWork, ...], limits: tuple[BackendLimit, ...]
    ) -> ZoneWork:
        self._sequence += 1
        return ZoneWork(
            relay=self._settings.ip,
            incarnation=self._mesh.incarnation,
            sequence=self._sequence,
            region=self._settings.region,
            zone=zone,
            work=tuple(
                (item.backend, item.requests, item.tokens, item.prefill, item.waiting)
                for item in work
            ),
            limits=limits,
        )

    def _send_to_relays(self, zone_work: ZoneWork, now: float) -> None:
        """Send the roster to all other relays, the work within the region, the load to others."""
        state = _state_of(self._maker.changes(now=now))
        has_changed, self._sent_state = state != self._sent_state, state
        receivers = self._receivers_by_zone(now)
        in_region = [
            name
            for zone, names in receivers.items()
            if zone != self._settings.zone and self._is_in_region(zone)
            for name in names
        ]
        self._mesh.send_datagrams(zone_work, in_region)
        for zone, names in receivers.items():
            if not has_changed and self._roster_due_at.get(zone, 0.0) > now:
                continue
            self._roster_due_at[zone] = now + ROSTER_INTERVAL_S
            roster = self._maker.changes(
                now=now, acquaintances=self._relays_by_zone.get(zone, ())[:SEARCHED_INSTANCES]
            )
            self._mesh.send_datagrams(self._stamped(roster), names)
        if self._load_due_at <= now:
            self._send_load(receivers, now)

    def _stamped(self, roster: ZoneRoster) -> ZoneRoster:
        """Return a roster of this relay that is about to be sent, with the time."""
        return dataclasses.replace(roster, sent_at_s=self._boot_clock())

    def _send_load(self, receivers: Mapping[str, Sequence[str]], now: float) -> None:
        """Send the load of the region, if it is known, to those ``receivers`` that are in others."""
        self._load_due_at = now + ROSTER_INTERVAL_S
        loads = () if self._make_loads is None else self._make_loads()
        if not loads:
            return
        self._sequence += 1
        load = RegionLoad(
            relay=self._settings.ip,
            incarnation=self._mesh.incarnation,
            sequence=self._sequence,
            region=self._settings.region,
            loads=loads,
        )
        others = [
            name
            for zone, names in receivers.items()
            if not self._is_in_region(zone)
            for name in names
        ]
        self._mesh.send_datagrams(load, others)

    def _replaces_cut_off_relays(self) -> bool:
        """Return whether this instance reports the load of the region, as no relay there can.

        Relays that are cut off from all backend servers, like control instances, don't know it.
        """
        if self._make_loads is None:
            return False
        entries = {item.name: item for item in self._mesh.live_entries(self._settings.region)}
        relays = [
            entries[name]
            for zone, names in self._relays_by_zone.items()
            if self._is_in_region(zone)
            for name in names
            if name in entries
        ]
        if any(not relay.cut_off for relay in relays):
            return False
        ready = [name for name, item in entries.items() if is_ready(item) and not item.cut_off]
        return reports_load(self._settings.ip, self._settings.region, ready)

    def _receivers_by_zone(self, now: float) -> dict[str, list[str]]:
        """Return the relays of each zone, and instances of zones that are silent now and then."""
        receivers = {
            zone: [name for name in names if name != self._settings.ip]
            for zone, names in self._relays_by_zone.items()
        }
        for name, (zone, _) in self._senders.items():
            names = receivers.setdefault(zone, [])
            if name not in names:
                names.append(name)
        if self._search_due_at <= now:
            self._search_due_at = now + SEARCH_INTERVAL_S
            silent = self._mesh.silent_names_by_zone()
            for zone in silent.keys() - receivers.keys():
                count = min(SEARCHED_INSTANCES, len(silent[zone]))
                receivers[zone] = self._rng.sample(silent[zone], count)
        return receivers

    def _is_in_region(self, zone: str) -> bool:
        return zone in self._settings.zones_of_region

    def _rosters_to_pass_on(self, now: float, *, max_bytes: float) -> list[bytes]:
        """Return the rosters, this relay's too, that changed or weren't passed on for long.

        Those without a change that list the same zone take turns, since a lost datagram would lose
        both. One at least is returned, and others while ``max_bytes`` are left, the oldest first.
        """
        own = self._own_roster
        message = self._stamped(self._maker.changes(now=now))
        own.data, own.heard_at, own.state = encode(message), now, _state_of(message)
        due: list[bytes] = []
        zones: set[str] = set()
        rosters = {self._settings.ip: own, **self._rosters}
        for name, roster in sorted(rosters.items(), key=lambda item: item[1].passed_at):
            if not roster.data or now - roster.heard_at > SENDER_TTL_S:
                continue
            zone = self._zone_of(name)
            is_due = now - roster.passed_at >= PASS_ON_INTERVAL_S and zone not in zones
            if is_due or roster.state != roster.passed_state:
                max_bytes -= len(roster.data)
                if due and max_bytes < 0:
                    break
                zones.add(zone)
                roster.passed_at, roster.passed_state = now, roster.state
                due.append(roster.data)
        return due

    def _zone_of(self, relay: str) -> str:
        """Return the zone that the roster of a relay lists."""
        newest = self._rosters[relay].copy.newest if relay in self._rosters else None
        return self._settings.zone if newest is None else newest.zone

    def _loads_to_pass_on(self, now: float) -> list[bytes]:
        due = []
        for region, (load, received_at) in self._region_loads.items():
            order = (load.relay, load.incarnation, load.sequence)
            if now - received_at <= NEWS_TTL_S and self._loads_passed.get(region) != order:
                self._loads_passed[region] = order
                due.append(encode(load))
        return due

    def _send_news(self, receiver: InstanceHeartbeat, items: list[bytes]) -> None:
        batch: list[bytes] = []
        size = 0
        for item in [*items, b""]:
            if batch and (not item or size + len(item) > MAX_NEWS_BYTES):
                news = RelayedNews(
                    relay=self._settings.ip, echo=receiver.sequence, items=tuple(batch)
                )
                self._mesh.send_datagrams(news, [receiver.name])
                batch, size = [], 0
            if item:
                batch.append(item)
                size += len(item)

    def _receive_roster(self, message: Message) -> None:
        """Take in the roster that a relay sent itself."""
        assert isinstance(message, ZoneRoster)
        now = self._mesh.message_at
        self._senders[message.relay] = (message.zone, now)
        self._mesh.add_peers(message.acquaintances)
        if not self._is_relay:
            # The sender takes this instance for a relay, or looks for any instance of the zone.
            self._mesh.request_reply(message.relay)
        roster = self._apply_roster(message, message.relay, now)
        if roster is not None:
            without_names = dataclasses.replace(message, acquaintances=())
            roster.data, roster.heard_at = encode(without_names), now
            roster.state = _state_of(message)

    def _apply_roster(self, message: ZoneRoster, source: str, now: float) -> _Roster | None:
        """Apply a roster that ``source`` sent; return None, and have whole ones fetched, on a gap."""
        if message.relay == self._settings.ip:
            return None
        roster = self._rosters.setdefault(message.relay, _Roster())
        before = roster.copy.newest
        try:
            applied = roster.copy.apply(message, now=now)
        except MalformedMessageError as error:
            self._log.warning("datagram_unreadable", reason=str(error))
            return None
        self._note_clock(message, roster)
        if not applied:
            self._sources.add(source)
            return None
        has_changed = before is None or _state_of(before) != _state_of(message)
        is_new = roster.copy.newest is not before
        if is_new and (has_changed or now - roster.vouched_at >= VOUCH_INTERVAL_S):
            self._vouch(roster)
        return roster

    def _note_clock(self, message: ZoneRoster, roster: _Roster) -> None:
        """Record what a message tells of the clocks of its relay and of the members."""
        if message.sent_at_s is None:
            return
        relay = message.relay, message.incarnation
        offsets = self._mesh.clock_offsets
        offsets.note(relay, sent_at=message.sent_at_s, received_at=self._boot_clock())
        offsets.note_measured(relay, roster.copy.clock_offsets_s)

    def _vouch(self, roster: _Roster) -> None:
        roster.vouched_at = roster.copy.heard_at
        self._mesh.vouch(roster.copy.heartbeats, heard_at=roster.copy.heard_at)

    def _vouch_for_members(self, now: float) -> None:
        """Count members as live by the messages that came too soon after the one before.

        If these were passed over, a few lost datagrams later would make the members silent.
        """
        for roster in self._rosters.values():
            is_due = now - roster.vouched_at >= VOUCH_INTERVAL_S
            if is_due and roster.copy.heard_at > roster.vouched_at:
                self._vouch(roster)

    def _receive_work(self, message: Message) -> None:
        assert isinstance(message, ZoneWork)
        known = self._zone_work.get(message.zone)
        if known is not None and known[0].relay == message.relay:
            order = (known[0].incarnation, known[0].sequence)
            if (message.incarnation, message.sequence) <= order:
                return
        self._zone_work[message.zone] = (message, self._mesh.message_at)

    def _receive_load(self, message: Message) -> None:
        assert isinstance(message, RegionLoad)
        if not message.loads:
            # A relay of an earlier build that is cut off from its servers; another one may know more.
            return
        known = self._region_loads.get(message.region)
        if known is not None and known[0].relay == message.relay:
            order = (known[0].incarnation, known[0].sequence)
            if (message.incarnation, message.sequence) <= order:
                return
        self._region_loads[message.region] = (message, self._mesh.message_at)
        if self._handle_load is not None and message.region != self._settings.region:
            self._handle_load(message.region, message.loads)

    def _pass_on(self, message: Message) -> None:
        assert isinstance(message, PassedOn)
        item: Message | None = None
        try:
            item = decode(message.data)
        except (MalformedMessageError, UnknownMessageError) as error:
            self._log.warning("datagram_unreadable", reason=str(error))
        if self._is_relay and isinstance(item, SuspectNews):
            self._reports.add(item, message.data, now=self._clock())
            self._send_reports()
        elif self._is_relay and isinstance(item, BackendNews):
            # Each control instance repeats each change several times, and a link bears only one copy for each member.
            self._records.add(item.records, now=self._clock())
        elif self._is_relay:
            self._mesh.send_encoded(message.data, list(self._reporters))
            self._traffic.passed_on_bytes += len(message.data) * len(self._reporters)
        if item is not None and not isinstance(item, PassedOn):
            self._mesh.dispatch(item)

    def _send_reports(self) -> None:
        """Pass on the reports of crashes for which there is room."""
        names = [
            name
            for name, reporter in self._reporters.items()
            if reporter.heartbeat.role is InstanceRole.ENTRY
        ]
        for data in self._reports.take(receivers=len(names), now=self._clock()):
            self._mesh.send_encoded(data, names)
            self._traffic.passed_on_bytes += len(data) * len(names)

    def _receive_records(self, message: Message) -> None:
        assert isinstance(message, RegionBackendNews)
        now = self._clock()
        self._mesh.dispatch(BackendNews(records=message.records))
        if self._is_relay:
            self._records.add(message.records, now=now)

    def _receive_news(self, message: Message) -> None:
        assert isinstance(message, RelayedNews)
        now = self._mesh.message_at
        sent_at = self._own_work.sent_at(message.echo)
        if sent_at is not None:
            # A relay that doesn't hear this instance sends news as well, but they are old.
            heard_at = self._relay_heard_at.get(message.relay, sent_at)
            self._relay_heard_at[message.relay] = max(heard_at, sent_at)
        for data in message.items:
            try:
                item = decode(data)
            except (MalformedMessageError, UnknownMessageError) as error:
                self._log.warning("datagram_unreadable", reason=str(error))
                continue
            match item:
                case ZoneRoster():
                    self._apply_roster(item, message.relay, now)
                case ZoneWork() if not self._is_relay:
                    self._take_work(item, message.echo)
                case RegionLoad():
                    self._receive_load(item)
                case BackendNews():
                    self._mesh.dispatch(item)

    def _take_work(self, work: ZoneWork, echo: int) -> None:
        if self._handle_work is not None:
            others = self._own_work.without_own(_decode_work(work), echo)
            self._handle_work(others, work.limits)

    async def _answer_rosters_query(self, query: Message) -> Message:
        now = self._clock()
        snapshots = [
            snapshot
            for roster in self._rosters.values()
            if now - roster.copy.heard_at <= SENDER_TTL_S
            and (snapshot := roster.copy.snapshot()) is not None
        ]
        if self._is_relay:
            snapshots.append(self._maker.snapshot())
        return RostersReply(rosters=tuple(snapshots))


def _state_of(roster: ZoneRoster) -> tuple[int, int, int]:
    return roster.incarnation, roster.version, roster.revision


def _decode_work(work: ZoneWork) -> tuple[BackendWork, ...]:
    return tuple(
        BackendWork(
            backend=backend, requests=requests, tokens=tokens, prefill=prefill, waiting=waiting
        )
        for backend, requests, tokens, prefill, waiting in work.work
    )
