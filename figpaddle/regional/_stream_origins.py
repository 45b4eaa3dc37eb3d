"""Shares among entries which software version began each stream."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Mapping, Sequence

import anyio

from figpaddle.errors import PeerUnreachableError
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._placer import Placer
from figpaddle.regional._request_context import RequestContext
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._stream_records import StreamRecords
from figpaddle.regional._tasks import ContainedTasks
from figpaddle.regional._wake_ups import sleep_until_shared
from figpaddle.routing import (
    ASKED_PER_REGION,
    STREAM_TTL_S,
    StreamOrigin,
    VersionHistory,
    entries_to_ask,
    is_known_to_nobody,
    stream_holders,
    stream_key,
)
from figpaddle.telemetry import MetricsRegistry
from figpaddle.wire import (
    InstanceHeartbeat,
    InstanceRole,
    StreamNews,
    StreamQuery,
    StreamRecord,
    StreamReply,
)

#: Interval at which holders are told of streams that have begun, seconds. One datagram then tells of
#: several; an entry that is killed loses those of the last interval.
NEWS_INTERVAL_S = 0.05
#: The same for control instances, which hear of the streams of all entries: per instance of the
#: deployment, and at most, seconds.
CONTROL_NEWS_INTERVAL_PER_INSTANCE_S, MAX_CONTROL_NEWS_INTERVAL_S = 0.003, 0.5
#: Records in one datagram; keeps it within a few packets.
RECORDS_PER_DATAGRAM = 24
#: Timeout of a query in the own region, seconds.
REGION_QUERY_TIMEOUT_S = 0.2
#: The same in other regions, seconds: two round trips, one of them to open a connection.
OTHER_REGIONS_QUERY_TIMEOUT_S = 0.5

#: Key, member and origin of a stream, and when it began.
_Begun = tuple[bytes, str, StreamOrigin, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class FoundOrigin:
    """What was found of a stream that a caller takes up."""

    #: The software that began it; None if it can't be known.
    origin: StreamOrigin | None = None
    #: Whether too few of those who may know it answered, so that another entry may find it.
    out_of_contact: bool = False


class StreamOrigins:
    """Records the origins of the streams that this entry relays, and finds those of others.

    The entry that relays the first event of a stream tells a few entries and control instances that
    rendezvous hashing picks. An entry at which the caller takes the stream up asks those of its region,
    then of the others.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        mesh: Mesh,
        follower: ClusterFollower,
        placer: Placer,
        tasks: ContainedTasks,
        clock: Callable[[], float],
        metrics: MetricsRegistry,
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._follower = follower
        self._placer = placer
        self._clock = clock
        self._metrics = metrics
        self._versions = StreamRecords(mesh=mesh, clock=clock).versions
        self._history = VersionHistory()
        #: Streams that have begun since the last news to entries and to control instances, and when.
        self._begun: list[_Begun] = []
        self._begun_for_controls: list[_Begun] = []
        metrics.gauge("streams_known", lambda: len(self._versions))
        tasks.start_service(self._send_news)

    def note_begun(self, context: RequestContext) -> None:
        """Record the version in ``context`` for its stream, whose first event is about to be relayed."""
        if context.version is None:
            return
        now = self._clock()
        key = _key_of(context)
        origin = StreamOrigin(service=context.service.name, version=context.version)
        self._versions.note_begun(key, context.caller.host, origin, now=now)
        begun = (key, context.caller.host, origin, now)
        self._begun.append(begun)
        self._begun_for_controls.append(begun)

    async def find(self, context: RequestContext) -> FoundOrigin:
        """Return the origin of the stream that a caller takes up, if it can be known."""
        known, found = "no", FoundOrigin()
        if context.caller.resumed_request:
            known, found = await self._look_up(context)
        if found.origin is None and not found.out_of_contact:
            found = await self._sole_origin(context)
            known = "only version"
        if found.origin is None:
            known = "out of contact" if found.out_of_contact else "no"
        self._metrics.count("streams_taken_up_total", known=known)
        return found

    def run_housekeeping(self) -> None:
        """Forget streams that have ended, and note which versions run now."""
        now = self._clock()
        self._versions.expire(now=now)
        self._history.expire(now=now)
        for (service, region), (versions, vouched_at) in self._placer.versions_by_region().items():
            self._history.note(service, region, versions, vouched_at=vouched_at)

    async def _look_up(self, context: RequestContext) -> tuple[str, FoundOrigin]:
        """Return who knows the stream of the request that a caller names, and its origin."""
        key = _key_of(context)
        own = self._versions.origin_of(key, now=self._clock())
        if own is not None:
            return "own", FoundOrigin(origin=own)
        region = self._settings.region
        known, found = "region", await self._ask_regions(key, [region], REGION_QUERY_TIMEOUT_S)
        if found.origin is None:
            others = [name for name in self._settings.regions if name != region]
            answer = await self._ask_regions(key, others, OTHER_REGIONS_QUERY_TIMEOUT_S)
            known = "other region"
            out_of_contact = found.out_of_contact or answer.out_of_contact
            found = dataclasses.replace(answer, out_of_contact=out_of_contact)
        if found.origin is not None:
            self._versions.note_begun(key, context.caller.host, found.origin, now=self._clock())
        return known, found

    async def _sole_origin(self, context: RequestContext) -> FoundOrigin:
        """Return the origin of a stream if only one version can have begun it.

        Callers may wait longer than the timeout of the route, so any stream that is still kept counts.
        A new version may have joined since anything was heard, through any one control instance, so all
        of them are asked.
        """
        service = context.service.name
        if len(context.route.services) > 1 or self._sole_version(context, stated=[]) is None:
            return FoundOrigin()
        known = {heartbeat.name for heartbeat in self._mesh.known_controls()}
        if not known.issuperset(self._follower.voters):
            # Those that were silent for long are forgotten.
            return FoundOrigin(out_of_contact=True)
        names = sorted(known)
        live = {heartbeat.name for heartbeat in self._mesh.live_controls()}
        replies: dict[str, StreamReply] = {}
        if live.issuperset(names):
            query = StreamQuery(key=b"", service=service)
            replies = await self._ask(query, names, OTHER_REGIONS_QUERY_TIMEOUT_S)
        if len(replies) < len(names):
            answered = len(replies) or len(live)
            is_in_contact = is_known_to_nobody(asked=len(names), answered=answered)
            return FoundOrigin(out_of_contact=not is_in_contact)
        stated = [
            {item.region: item.versions for item in reply.versions} for reply in replies.values()
        ]
        version = self._sole_version(context, stated=stated)
        if not names or version is None:
            return FoundOrigin()
        return FoundOrigin(origin=StreamOrigin(service=service, version=version))

    def _sole_version(
        self, context: RequestContext, *, stated: Sequence[Mapping[str, tuple[str, ...]]]
    ) -> str | None:
        regions = {
            region for region in self._settings.zones.values() if context.route.allows(region)
        }
        return self._history.sole_version(
            context.service.name, regions, stated=stated, window_s=STREAM_TTL_S, now=self._clock()
        )

    async def _ask_regions(self, key: bytes, regions: list[str], timeout_s: float) -> FoundOrigin:
        """Ask those of some regions that may know a stream for its origin."""
        asked = {region: self._holders_of(key, region) for region in regions}
        names = [name for in_region in asked.values() for name in in_region]
        replies = await self._ask(StreamQuery(key=key), names, timeout_s)
        for reply in replies.values():
            if reply.known:
                origin = StreamOrigin(service=reply.service, version=reply.version)
                return FoundOrigin(origin=origin)
        all_answered = all(
            is_known_to_nobody(
                asked=self._holder_count(region),
                answered=sum(name in replies for name in in_region),
            )
            for region, in_region in asked.items()
        )
        return FoundOrigin(out_of_contact=not all_answered)

    async def _ask(
        self, query: StreamQuery, names: list[str], timeout_s: float
    ) -> dict[str, StreamReply]:
        """Ask instances at the same time; return their replies, up to the first that knows the stream."""
        replies: dict[str, StreamReply] = {}
        async with anyio.create_task_group() as tasks:

            async def ask(name: str) -> None:
                try:
                    reply = await self._mesh.send_query(name, query, timeout_s=timeout_s)
                except PeerUnreachableError:
                    return
                if isinstance(reply, StreamReply):
                    replies[name] = reply
                    if reply.known:
                        tasks.cancel_scope.cancel()

            for name in names:
                tasks.start_soon(ask, name)
        return replies

    async def _send_news(self) -> None:
        controls_due_at = self._clock()
        while True:
            await sleep_until_shared(NEWS_INTERVAL_S)
            if self._begun:
                begun, self._begun = self._begun, []
                self._tell_holders(begun, self._entries())
            if self._begun_for_controls and self._clock() >= controls_due_at:
                begun, self._begun_for_controls = self._begun_for_controls, []
                self._tell_holders(begun, self._mesh.live_controls())
                controls_due_at = self._clock() + min(
                    MAX_CONTROL_NEWS_INTERVAL_S,
                    CONTROL_NEWS_INTERVAL_PER_INSTANCE_S * len(self._mesh.peer_names),
                )

    def _tell_holders(self, begun: list[_Begun], instances: list[InstanceHeartbeat]) -> None:
        """Tell those of some ``instances`` that rendezvous hashing picks for each stream."""
        now = self._clock()
        neighbours = [heartbeat.name for heartbeat in instances if self._is_near(heartbeat)]
        others = [heartbeat.name for heartbeat in instances if not self._is_near(heartbeat)]
        by_holder: dict[str, list[StreamRecord]] = collections.defaultdict(list)
        for key, member, origin, begun_at in begun:
            record = StreamRecord(
                key=key,
                member=member,
                service=origin.service,
                version=origin.version,
                age_s=now - begun_at,
            )
            for name in stream_holders(key, neighbours, others):
                by_holder[name].append(record)
        for name, records in by_holder.items():
            for start in range(0, len(records), RECORDS_PER_DATAGRAM):
                batch = tuple(records[start : start + RECORDS_PER_DATAGRAM])
                self._mesh.send_datagrams(StreamNews(streams=batch), [name])

    def _holders_of(self, key: bytes, region: str) -> list[str]:
        """Return the entries and control instances of a region that may know a stream."""
        entries = [item.name for item in self._entries() if item.region == region]
        controls = [item.name for item in self._mesh.live_controls() if item.region == region]
        return [*entries_to_ask(key, entries), *entries_to_ask(key, controls)]

    def _holder_count(self, region: str) -> int:
        """Return how many of a region may know a stream, those included that are silent."""
        entries = len(self._mesh.known_entries(region))
        controls = sum(item.region == region for item in self._mesh.known_controls())
        return min(entries, ASKED_PER_REGION) + min(controls, ASKED_PER_REGION)

    def _entries(self) -> list[InstanceHeartbeat]:
        """Return the heartbeats of the live entries whose build keeps versions of streams."""
        return [
            heartbeat
            for heartbeat in self._mesh.live_heartbeats()
            if heartbeat.role is InstanceRole.ENTRY and heartbeat.keeps_stream_versions
        ]

    def _is_near(self, heartbeat: InstanceHeartbeat) -> bool:
        return heartbeat.region == self._settings.region


def _key_of(context: RequestContext) -> bytes:
    """Return the key of the stream that a request begins or takes up."""
    return stream_key(
        host=context.caller.host,
        route=context.route.name,
        request_id=context.caller.resumed_request or context.request_id,
    )
