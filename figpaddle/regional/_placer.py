"""Gathers what placement needs from the fleet, the mesh and own requests."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
from typing import Any

from figpaddle.deployment import Repeat
from figpaddle.http1 import ConnectionPool
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._job import Job
from figpaddle.regional._mesh import Mesh, is_ready
from figpaddle.regional._settings import ProcessSettings
from figpaddle.routing import (
    AWAY_TRUST_S,
    AwayRegion,
    Candidate,
    Choice,
    ColdLimit,
    EngineWork,
    Fleet,
    FleetMember,
    OthersWork,
    SlidingCount,
    choose,
    hop_partner,
    load_of,
)
from figpaddle.telemetry import Counters, Log
from figpaddle.wire import (
    BackendNews,
    BackendState,
    BackendWork,
    InstanceHeartbeat,
    InstanceRole,
    Message,
    RegionalLoad,
)

#: Way to another region and back, seconds, until it is measured.
ROUND_TRIP_S = 0.17
#: Part of a backend server's connections that the entries of its region use together.
CONNECTIONS_PART = 0.9


class Placer:
    """Knows the backend servers of the own region and the load of the others."""

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        mesh: Mesh,
        follower: ClusterFollower,
        pool: ConnectionPool,
        clock: Callable[[], float],
        rng: random.Random,
        log: Log,
        counters: Counters,
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._follower = follower
        self._pool = pool
        self._clock = clock
        self._rng = rng
        self._log = log
        self._counters = counters
        self._fleet = Fleet()
        self._work: dict[str, EngineWork] = {}
        self._evacuated: set[str] = set()
        self._sent_away: dict[tuple[str, str], SlidingCount] = {}
        self._cold = ColdLimit(
            name=settings.ip,
            overshoot=settings.bounds.cold_overshoot,
            slack=settings.bounds.cold_slack,
        )
        mesh.on_news(BackendNews, self._take_news)
        mesh.on_news(InstanceHeartbeat, self._take_heartbeat)

    @property
    def fleet(self) -> Fleet:
        """The backend servers known here."""
        return self._fleet

    def work_at(self, name: str) -> EngineWork:
        """Return what is going on at a backend server."""
        work = self._work.get(name)
        if work is None:
            work = self._work[name] = EngineWork(now=self._clock())
        return work

    def place(self, job: Job) -> Choice | None:
        """Return where a request goes, or None where nothing has room for it."""
        now = self._clock()
        candidates = self._candidates(job, now=now)
        away = [] if job.forwarded else self._away(job, now=now)
        demand = job.demand(now=now)
        entries = 1 + len(self._mesh.entries(self._settings.region))
        choice = choose(demand, candidates, away, rng=self._rng, now=now, entries=entries)
        if choice is None and job.tried and job.route.repeat is not Repeat.ONCE:
            # A server that failed a request may serve it the second time; nothing else can.
            again = self._candidates(job, now=now, tried_too=True)
            choice = choose(demand, again, [], rng=self._rng, now=now, entries=entries)
        return choice

    def note_sent(self, job: Job, choice: Choice) -> None:
        """Count a request that is being sent to the place chosen."""
        now = self._clock()
        if choice.member is None:
            key = (choice.region, job.service.name)
            if key not in self._sent_away:
                self._sent_away[key] = SlidingCount(window_s=AWAY_TRUST_S)
            self._sent_away[key].add(now=now)
            return
        if choice.member.may_be_cold(now=now):
            self._cold.note_sent(choice.member.name, now=now)
        self.work_at(choice.member.name).sent(
            job.key,
            job.demand(now=now),
            prefill=choice.prefill,
            memory=job.caller.prompt_tokens + job.caller.output_tokens,
            expected_s=choice.expected_s,
            now=now,
        )

    def entry_of(self, region: str) -> str | None:
        """Return the name of an entry of another region that takes requests."""
        ready = [beat.name for beat in self._mesh.entries(region) if is_ready(beat)]

        def is_warm(name: str) -> bool:
            return self._mesh.pool.idle_to(self._mesh.peer_address(name)) > 0

        return hop_partner(self._settings.ip, ready, is_warm=is_warm, rng=self._rng)

    def own_work(self) -> tuple[BackendWork, ...]:
        """Return the own work at each backend server, for the other entries."""
        return tuple(
            BackendWork(
                backend=name,
                requests=work.own_requests,
                tokens=work.own_memory,
                prefill=work.own_prefill,
            )
            for name, work in self._work.items()
            if work.own_requests
        )

    def loads(self) -> tuple[RegionalLoad, ...]:
        """Return how busy the own region is, for the entries of others."""
        configuration = self._follower.configuration
        if configuration is None:
            return ()
        now = self._clock()
        loads = []
        for service in configuration.services:
            members = self._usable(service.name, now=now)
            settled = [member for member in members if not member.may_be_cold(now=now)]
            load = load_of(
                [
                    self._candidate(member, service.slots, service.memory_tokens)
                    for member in settled
                ],
                now=now,
            )
            loads.append(
                RegionalLoad(
                    service=service.name,
                    backends=len(members),
                    expected_s=load.expected_s,
                    room=load.room,
                )
            )
        return tuple(loads)

    def believed(self) -> dict[str, int]:
        """Return how many backend servers are believed to be in each state."""
        now = self._clock()
        states: collections.Counter[str] = collections.Counter()
        for member in self._fleet.members():
            states[member.record.state.value] += 1
            states["resting"] += member.resting_until > now
            states["cold"] += member.may_be_cold(now=now)
        return dict(states)

    def oldest(self) -> dict[str, float]:
        """Return the age of the oldest belief in use, seconds, by service."""
        now = self._clock()
        ages: dict[str, float] = {}
        for member in self._fleet.members():
            if member.record.state is BackendState.SERVING:
                service = member.record.service
                ages[service] = max(ages.get(service, 0.0), now - member.said_at)
        return ages

    def dump(self) -> list[dict[str, Any]]:
        """Return what is believed of each backend server, for a person to read."""
        now = self._clock()
        return [
            {
                "name": member.name,
                "service": member.record.service,
                "zone": member.record.zone,
                "state": member.record.state.value,
                "age_s": round(now - member.said_at, 2),
                "resting_s": round(max(0.0, member.resting_until - now), 2),
                "may_be_cold": member.may_be_cold(now=now),
                "requests": self.work_at(member.name).requests(now=now),
                "slowness": round(self.work_at(member.name).slowness(now=now), 2),
                "failing": round(self.work_at(member.name).failing(now=now), 2),
            }
            for member in self._fleet.members()
        ]

    def usable_count(self, service: str) -> int:
        """Return how many backend servers of the region may be used for ``service``."""
        return len(self._usable(service, now=self._clock()))

    def expire(self) -> None:
        """Forget backend servers that were last heard long ago."""
        self._fleet.expire(now=self._clock())
        known = {member.name for member in self._fleet.members()}
        for name in list(self._work):
            if name not in known and not self._work[name].own_requests:
                del self._work[name]

    def _candidates(self, job: Job, *, now: float, tried_too: bool = False) -> list[Candidate]:
        if not job.route.allows(self._settings.region):
            return []
        entries = [beat.name for beat in self._mesh.entries(self._settings.region)] + [
            self._settings.ip
        ]
        candidates = []
        for member in self._usable(job.service.name, now=now):
            if member.name in job.tried and not tried_too:
                continue
            if self._is_cold(member, job, now) and not self._cold.allows(
                member.name, per_s=job.service.cold_per_s, entries=entries, now=now
            ):
                continue
            if not self._may_connect(member, job, len(entries)):
                continue
            candidates.append(self._candidate(member, job.service.slots, job.service.memory_tokens))
        return candidates

    def _is_cold(self, member: FleetMember, job: Job, now: float) -> bool:
        return job.service.cold_per_s > 0 and member.may_be_cold(now=now)

    def _candidate(self, member: FleetMember, slots: int, memory_tokens: int) -> Candidate:
        return Candidate(
            member=member,
            work=self.work_at(member.name),
            slots=member.record.slots or slots or 1,
            memory_tokens=memory_tokens,
        )

    def _usable(self, service: str, *, now: float) -> list[FleetMember]:
        evacuated = set(self._follower.state.evacuated)
        for zone in self._evacuated - evacuated:
            self._fleet.note_returned(zone, now=now)
        self._evacuated = evacuated
        return self._fleet.usable(
            service,
            region_zones=self._settings.zones_of_region,
            evacuated=self._follower.state.evacuated,
            now=now,
        )

    def _may_connect(self, member: FleetMember, job: Job, entries: int) -> bool:
        if self._pool.idle_to(member.address):
            return True
        most = max(1, int(job.service.max_connections * CONNECTIONS_PART / entries))
        return self._pool.open_to(member.address) < most

    def _away(self, job: Job, *, now: float) -> list[AwayRegion]:
        regions = set(self._settings.zones.values())
        options = []
        for region in regions - {self._settings.region} - job.regions_tried:
            if not job.route.allows(region):
                continue
            load = self._load_of(region, job.service.name)
            if load is None:
                continue
            sent = self._sent_away.get((region, job.service.name))
            options.append(
                AwayRegion(
                    region=region,
                    expected_s=load.expected_s,
                    room=load.room,
                    backends=load.backends,
                    round_trip_s=ROUND_TRIP_S,
                    sent_lately=sent.total(now=now) if sent is not None else 0,
                )
            )
        return options

    def _load_of(self, region: str, service: str) -> RegionalLoad | None:
        """Return a region's load as the entry there that told it last tells it."""
        entries = self._mesh.entries(region)
        if not any(map(is_ready, entries)):
            return None
        heard = [self._mesh.heard(beat.name) for beat in entries if beat.loads]
        newest = max(
            (one for one in heard if one is not None), key=lambda one: one.at, default=None
        )
        if newest is None:
            return None
        for load in newest.beat.loads:
            if load.service == service:
                return load
        return None

    def _take_news(self, news: Message) -> None:
        assert isinstance(news, BackendNews)
        now = self._clock()
        for record in news.records:
            change = self._fleet.note(record, now=now)
            if change.value in ("nothing", "confirmed"):
                continue
            if change.value == "started":
                self._work[record.name] = EngineWork(now=now)
            self._log.info(
                "backend_believed",
                backend=record.name,
                address=record.address,
                service=record.service,
                zone=record.zone,
                state=record.state.value,
                born=record.born,
                sequence=record.sequence,
                age_s=round(record.age_s, 2),
                cold_s=round(record.warmup_s, 2),
                change=change.value,
            )

    def _take_heartbeat(self, message: Message) -> None:
        assert isinstance(message, InstanceHeartbeat)
        if message.role is not InstanceRole.ENTRY or message.region != self._settings.region:
            return
        now = self._clock()
        reported = {work.backend: work for work in message.work}
        for name, engine in self._work.items():
            work = reported.get(name)
            if work is None:
                engine.note_others(message.name, OthersWork(), now=now)
            else:
                others = OthersWork(
                    requests=work.requests, memory=work.tokens, prefill=work.prefill
                )
                engine.note_others(message.name, others, now=now)
