"""Places requests, with data from the fleet, from heartbeats and from this entry's requests."""

from __future__ import annotations

import collections
import copy
import dataclasses
import itertools
import random
from collections.abc import Callable, Collection
from typing import Any

from figpaddle.deployment import GatewayConfiguration, GatewayRoute, Repeat
from figpaddle.engine_leases import AskedEngine, EngineState, LeaseBook, LeasedRequest
from figpaddle.http1 import ConnectionPool
from figpaddle.regional._backend_records import reports_heard_at
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._dialect import BackendAnswer
from figpaddle.regional._mesh import Mesh, accepting, is_ready
from figpaddle.regional._offer_times import (
    FORWARDED_REFUSAL_TIMEOUT_S,
    REFUSAL_TIMEOUT_S,
    ROUND_TRIP_S,
)
from figpaddle.regional._peer_reports import PeerReports
from figpaddle.regional._region_entries import RegionEntries
from figpaddle.regional._request_context import RequestContext
from figpaddle.regional._settings import ProcessSettings
from figpaddle.routing import (
    ASKED_AHEAD_S,
    MIN_LIMIT_PER_S,
    NO_CORRECTION,
    PREFILL_TOKENS_PER_S,
    PRIORITY_CLASSES,
    REMOTE_REPORT_DELAY_S,
    BackendContact,
    BackendLoadTracker,
    BackendSubset,
    BrittleServers,
    Candidate,
    Choice,
    ColdLimit,
    Correction,
    EntryShares,
    ExpectationModel,
    ExplainedCandidate,
    Fleet,
    FleetBackend,
    NamedLimits,
    OfferLimits,
    PauseRisk,
    RemoteRegion,
    SlidingCount,
    UrgencyOrder,
    backend_subset,
    choose,
    choose_forwarding_peer,
    estimate_remote,
    explain_candidates,
    highest_ranked,
    majority_heard_at,
    max_warmth_age_s,
    summarize_load,
)
from figpaddle.telemetry import Log, MetricsRegistry
from figpaddle.wire import (
    BackendLimit,
    BackendLimitNews,
    BackendNews,
    BackendState,
    BackendWork,
    Message,
    RegionalLoad,
)

#: Number of other entries of its region that a cut-off entry asks to send a request.
MAX_NEIGHBOURS = 2
#: The same for a request that no other region takes. Each has shares of its own of what servers bear, so one
#: may send what the others refuse.
MAX_NEIGHBOURS_AT_LAST = 4
#: Fraction of a backend server's connections that the entries of its region use in total.
CONNECTIONS_FRACTION = 0.9
#: Time for which the longest age of a backend server's word that it is warm is reused, seconds. It is
#: needed for each candidate of each request.
WARMTH_AGE_TTL_S = 0.02
#: Time for which the subset of a service is reused, seconds. It is needed for each cold backend server.
SUBSET_TTL_S = 0.02
#: Time after a request to a backend server in which the entry keeps up its knowledge of it, seconds.
WANTED_TTL_S = 2.0
#: Events of the stream for which the state dump states the risk of a pause.
USUAL_EVENTS = 30


@dataclasses.dataclass(frozen=True, kw_only=True)
class WarmthQuestion:
    """A backend server to ask whether it is cold."""

    name: str
    born: int
    address: str
    health_path: str


class Placer:
    """Chooses a backend server of the own region or another region for each request.

    It tracks the backend servers of the own region and the load of the other regions.
    """

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
        metrics: MetricsRegistry,
        arrived_after: Callable[[], float] | None = None,
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._follower = follower
        self._pool = pool
        self._clock = clock
        #: Returns a time since when the bytes have come that are read now.
        self.arrived_after = arrived_after or clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._fleet = Fleet()
        self._trackers: dict[str, BackendLoadTracker] = {}
        self._named_limits = NamedLimits()
        self._region_entries = RegionEntries(
            settings=settings, mesh=mesh, voters=lambda: follower.voters
        )
        self._brittle = BrittleServers()
        self._contact = BackendContact()
        self._offer_limits = OfferLimits()
        self._leases = LeaseBook()
        self._last_evacuated: set[str] = set()
        #: When a request last needed to know whether a backend server is cold.
        self._warmth_wanted_at: dict[str, float] = {}
        self._max_warmth_age: tuple[float, float] = (float("-inf"), 0.0)
        # Backend servers and entries of the region, and the subset that follows from them, by service.
        self._subsets: dict[str, tuple[tuple[str, ...], tuple[str, ...], BackendSubset]] = {}
        self._subsets_expire_at: dict[str, float] = {}
        self._expectations = ExpectationModel()
        #: The order of starts by service, and the configuration that it follows from.
        self._urgency_orders: dict[str, UrgencyOrder] = {}
        self._urgencies_of: GatewayConfiguration | None = None
        self._forwarded_counts: dict[tuple[str, str], SlidingCount] = {}
        #: Pauses of the streams that other regions served for this entry, by region and service.
        self._region_pauses: dict[tuple[str, str], PauseRisk] = {}
        self._cold_limit = ColdLimit(
            overshoot=settings.bounds.cold_overshoot,
            slack=settings.bounds.cold_slack,
        )
        mesh.on_datagram(BackendNews, self._apply_backend_news)
        mesh.on_datagram(BackendLimitNews, self._apply_limits)
        self._reports = PeerReports(
            region=settings.region,
            mesh=mesh,
            trackers=self._trackers,
            named_limits=self._named_limits,
            clock=clock,
        )

    @property
    def fleet(self) -> Fleet:
        """The known backend servers."""
        return self._fleet

    @property
    def reports(self) -> PeerReports:
        """What other entries report."""
        return self._reports

    @property
    def contact(self) -> BackendContact:
        """Whether this entry reaches the backend servers of its region."""
        return self._contact

    @property
    def offer_limits(self) -> OfferLimits:
        """Which places are offered requests whose server is silent."""
        return self._offer_limits

    @property
    def leases(self) -> LeaseBook:
        """What this entry may begin at the engines of its region."""
        return self._leases

    def voters_heard_at(self) -> float:
        """Return the last moment since which a majority of the voters was heard that hear this entry."""
        return self._region_entries.voters_heard_at()

    def backend_addresses(self) -> dict[str, str]:
        """Return the addresses of the backend servers of the region by name."""
        return self._fleet.addresses(region_zones=self._settings.zones_of_region, now=self._clock())

    def tracker_of(self, name: str) -> BackendLoadTracker:
        """Return the load tracker of a backend server."""
        tracker = self._trackers.get(name)
        if tracker is None:
            tracker = self._trackers[name] = BackendLoadTracker(now=self._clock())
        return tracker

    def place(self, context: RequestContext, *, is_offer: bool = False) -> Choice | None:
        """Return the place for a request, or None if no place has capacity.

        With ``is_offer``, another attempt stays in progress until the place has taken the request.
        """
        now = self._clock()
        context.urgency = self._urgency(context.service.name, context.route)
        if context.confined_by is not None:
            return self._place_confined(context, now=now, is_offer=is_offer)
        candidates = self._candidates(context, now=now)
        demand = context.demand(now=now)
        entries = 1 + len(self._mesh.live_entries(self._settings.region))
        remote_regions = self._remote_regions(context, now=now, is_offer=is_offer)
        choice = choose(
            demand,
            candidates,
            remote_regions,
            rng=self._rng,
            now=now,
            entries=entries,
            subset=self._subset(context.service.name),
            max_wait_s=context.max_wait_s,
        )
        choice = self._through_neighbour(choice, context, candidates, now=now)
        if choice is None and self._contact.cut_off:
            # Neighbours may still have a share of what cold servers bear.
            candidates = self._candidates(context, now=now, include_cold=True)
            choice = choose(demand, candidates, [], rng=self._rng, now=now, entries=entries)
            choice = self._through_neighbour(choice, context, candidates, now=now)
        if choice is None and context.backends_tried and context.route.repeat is not Repeat.ONCE:
            # No other place is left, and a server that failed a request may succeed the second time.
            tried_candidates = self._candidates(context, now=now, include_tried=True)
            choice = choose(demand, tried_candidates, [], rng=self._rng, now=now, entries=entries)
            choice = self._through_neighbour(choice, context, tried_candidates, now=now)
        return choice

    def preview(self, *, rng: random.Random) -> Placer:
        """Return a placer that knows what this one knows now and uses its own random numbers.

        What is decided with it leaves no trace in this one. It serves for one moment, as news don't reach it.
        """
        preview = copy.copy(self)
        preview._rng = rng
        preview._fleet = self._fleet.snapshot()
        preview._region_entries = self._region_entries.snapshot()
        preview._named_limits = copy.deepcopy(self._named_limits)
        preview._trackers = dict(self._trackers)
        preview._leases = copy.deepcopy(self._leases)
        preview._warmth_wanted_at = dict(self._warmth_wanted_at)
        preview._subsets = dict(self._subsets)
        preview._subsets_expire_at = dict(self._subsets_expire_at)
        preview._urgency_orders = dict(self._urgency_orders)
        return preview

    def compare_backends(self, context: RequestContext) -> list[ExplainedCandidate]:
        """Return what is expected of each backend server that may get a request, the best first."""
        now = self._clock()
        candidates = self._candidates(context, now=now)
        return explain_candidates(candidates, context.demand(now=now), now=now)

    def compare_regions(self, context: RequestContext) -> list[tuple[RemoteRegion, Choice | None]]:
        """Return the other regions that may get a request, and what is expected; None without capacity."""
        now = self._clock()
        demand = context.demand(now=now)
        options = self._remote_regions(context, now=now)
        return [(option, estimate_remote(option, demand, now=now)) for option in options]

    def obstacles(self, context: RequestContext) -> dict[str, str]:
        """Return why the other backend servers of the region and service get no request, by name."""
        now = self._clock()
        shares = self._region_entries.shares(now=now)
        usable = {backend.name for backend in self._usable(context.service.name, now=now)}
        obstacles = {}
        for backend in self._fleet.backends():
            record = backend.record
            in_region = record.zone in self._settings.zones_of_region
            if record.service != context.service.name or not in_region:
                continue
            if not context.route.allows(self._settings.region):
                obstacle = "region not allowed"
            elif backend.name not in usable:
                evacuated = self._follower.state.evacuated
                obstacle = self._fleet.unusable_reason(backend, evacuated=evacuated, now=now)
            elif not _has_version(context, record.version):
                obstacle = "another version"
            elif not self._needs_neighbour(backend):
                obstacle = self._send_obstacle(backend, context, shares, now=now)
            else:
                obstacle = "cold" if self._is_cold(backend, context, now) else ""
            if obstacle:
                obstacles[backend.name] = obstacle
        return obstacles

    def _place_confined(
        self, context: RequestContext, *, now: float, is_offer: bool
    ) -> Choice | None:
        """Return the place for a request that may have crashed a backend server, or None.

        Its copies go to one server of the region, or to a region whose server it may have crashed. An entry
        there confines it too, so that a second crash costs one server and reaches no other region.
        """
        names = self._suitable_names(context, now=now)
        remote_regions = self._remote_regions(context, now=now, is_offer=is_offer)
        if context.confined_by in context.traits.parts:
            return self._choose_confined(context, names, remote_regions, now=now)
        untried = names - context.backends_tried
        choice = self._choose_confined(context, untried, remote_regions, now=now)
        if choice is None and context.route.repeat is not Repeat.ONCE:
            # A server that failed the request without a crash puts no other one at risk.
            tried = names & context.backends_tried
            choice = self._choose_confined(context, tried, [], now=now, include_tried=True)
        return choice

    def _choose_confined(
        self,
        context: RequestContext,
        names: Collection[str],
        remote_regions: list[RemoteRegion],
        *,
        now: float,
        include_tried: bool = False,
    ) -> Choice | None:
        """Return the one of some backend servers that gets a confined request, or a region, or None."""
        assert context.confined_by is not None
        chosen = highest_ranked(context.confined_by.hex(), names, count=1)
        candidates = [
            candidate
            for candidate in self._candidates(
                context, now=now, include_tried=include_tried, include_cold=True
            )
            if candidate.backend.name in chosen
        ]
        choice = choose(
            context.demand(now=now),
            candidates,
            remote_regions,
            rng=self._rng,
            now=now,
            max_wait_s=context.max_wait_s,
        )
        return self._through_neighbour(choice, context, candidates, now=now)

    def _suitable_names(self, context: RequestContext, *, now: float) -> set[str]:
        """Return the usable backend servers of the region that may serve a request, by name."""
        if not context.route.allows(self._settings.region):
            return set()
        return {
            backend.name
            for backend in self._usable(context.service.name, now=now)
            if _has_version(context, backend.record.version)
        }

    def place_again(
        self,
        context: RequestContext,
        *,
        silent_s: float,
        include_tried: bool = False,
        is_offer: bool = False,
    ) -> Choice | None:
        """Return the place for another attempt of a request that its server doesn't answer, or None.

        It is no server that was tried, unless ``include_tried`` is set and it was heard within ``silent_s``,
        nor one that has owed this entry an answer for ``silent_s`` without being heard or that isn't
        offered another request now.
        """
        now, tried = self._clock(), context.backends_tried
        unsuitable = {
            name
            for name, tracker in self._trackers.items()
            if now - max(tracker.oldest_sent_at, self._contact.heard_at(name)) > silent_s
            or not self._offer_limits.allows(name, now=now, may_stay=context.is_sent)
            # One whose requests were all taken over owes none an answer.
            or (name in tried and now - self._contact.heard_at(name) > silent_s)
        }
        context.backends_tried = unsuitable if include_tried else tried | unsuitable
        try:
            choice = self.place(context, is_offer=is_offer)
            if choice is not None and choice.backend is not None:
                # Where no other place is left, servers that were tried are.
                return choice if choice.backend.name not in context.backends_tried else None
        finally:
            context.backends_tried = tried
        return choice

    def note_sent(self, context: RequestContext, choice: Choice) -> None:
        """Count the last attempt that was begun as in progress at the chosen place, from now on."""
        if context.attempt > 1:
            is_region = choice.backend is None
            self._offer_limits.note_asked(
                choice.region if choice.backend is None else choice.backend.name,
                now=self._clock(),
                # An offer counts by itself.
                key=context.attempt_key if context.may_have_run and not context.is_sent else "",
                refuses_within_s=FORWARDED_REFUSAL_TIMEOUT_S if is_region else REFUSAL_TIMEOUT_S,
            )
        self._take_share(context, choice)
        self._track(context, choice)

    def _take_share(self, context: RequestContext, choice: Choice) -> None:
        """Count an attempt against what the chosen place may get in a time."""
        now = self._clock()
        if choice.backend is None:
            count_key = (choice.region, context.service.name)
            if count_key not in self._forwarded_counts:
                self._forwarded_counts[count_key] = SlidingCount(window_s=REMOTE_REPORT_DELAY_S)
            self._forwarded_counts[count_key].add(now=now)
            return
        if context.service.cold_per_s > 0:
            self._warmth_wanted_at[choice.backend.name] = now
        if self._is_cold(choice.backend, context, now):
            self._cold_limit.note_sent(choice.backend.name, now=now)
            self._log.info(
                "cold_backend_used",
                request=context.request_id,
                backend=choice.backend.name,
                entries=self._region_entries.shares(now=now).count,
                sent=self._cold_limit.sent(choice.backend.name, now=now),
                uptime_s=round(self._mesh.uptime_s, 2),
            )
        self._named_limits.note_sent(choice.backend.name, now=now)
        service = context.service.name
        self._leases.note_begun(
            choice.backend.name,
            service,
            self._classes_above(service, context.route.priority),
            prompt_tokens=choice.prefill,
            of_tokens=float(context.caller.prompt_tokens),
            now=now,
            is_charged=not _goes_on(context),
        )

    def _track(self, context: RequestContext, choice: Choice) -> None:
        if choice.backend is None:
            return
        now = self._clock()
        self._brittle.note_sent(choice.backend.name, context.attempt_key, now=now)
        self._contact.note_sent(choice.backend.name, now=now)
        self.tracker_of(choice.backend.name).note_sent(
            context.attempt_key,
            context.demand(now=now),
            prefill=choice.prefill,
            memory=context.caller.prompt_tokens + context.caller.output_tokens,
            expected_s=choice.expected_s,
            usual_s=choice.usual_s,
            now=now,
        )

    def note_first_byte(self, context: RequestContext, choice: Choice, *, took_s: float) -> None:
        """Compare the time to the first byte with the one that was expected of ``choice``."""
        self._expectations.note(
            _kind_of(context, choice.region),
            expected_s=choice.expected_s / choice.correction,
            measured_s=took_s,
            now=self._clock(),
        )

    def note_forwarded_stream(
        self, context: RequestContext, region: str, *, longest_gap_s: float | None
    ) -> None:
        """Record whether a stream that another region served paused too long there."""
        now = self._clock()
        demand = context.demand(now=now)
        if longest_gap_s is None or demand.longest_pause_s <= 0:
            return
        risk = self._region_pauses.setdefault((region, context.service.name), PauseRisk())
        late = longest_gap_s > demand.longest_pause_s
        risk.note(events=demand.events, late=int(late), now=now)

    def note_bears_refusals(self, service: str, answer: BackendAnswer) -> None:
        """Record whether a server of a service says in an answer that it is brittle."""
        if self._brittle.note_stated(service, answer.bears_refusals):
            self._metrics.count("backend_notices_total", kind="brittle")
            self._log.info("backends_brittle", service=service, bears=answer.bears_refusals)

    def note_accepted(self, name: str, attempt_key: str) -> None:
        """Record that a backend server has begun to answer an attempt, or that it ended otherwise."""
        self._brittle.note_accepted(name, attempt_key)

    def note_refused(self, name: str, attempt_key: str) -> None:
        """Record that a backend server had no room for an attempt."""
        now = self._clock()
        requests = self.tracker_of(name).requests(now=now)
        self._brittle.note_refused(name, attempt_key, requests=requests, now=now)

    def note_unreachable(self, name: str) -> float:
        """Back off from a backend server that accepts no connection; return for how long, seconds."""
        backoff_s = self._fleet.note_unreachable(name, now=self._clock())
        self._pace_recovery(name)
        return backoff_s

    def note_disconnect(self, name: str) -> float:
        """Record a connection closed before the response began; return the backoff, seconds."""
        backoff_s = self._fleet.note_disconnect(name, now=self._clock())
        self._pace_recovery(name)
        return backoff_s

    def _pace_recovery(self, name: str) -> None:
        """Have a backend server find its pace by its answers from the end of its backoff or pause on."""
        backend = self._fleet.get(name)
        if backend is None or not self._is_paced(backend.record.service):
            return
        recovers_at = backend.recovers_at(now=self._clock())
        if recovers_at is not None:
            self.tracker_of(name).begin_pace(at=recovers_at)

    def note_refused_repeat(self, context: RequestContext, name: str) -> None:
        """Record that a backend server refused a request that an earlier one has begun.

        It may take the request when it has room again.
        """
        self._offer_limits.note_refused(name, now=self._clock())
        context.backends_tried.discard(name)

    def has_place_later(self, context: RequestContext) -> bool:
        """Return whether a place that doesn't take a request now may take it later.

        That is one that has just refused a request or is being asked by others, or the only one that a
        confined request may use.
        """
        now = self._clock()
        names = self._suitable_names(context, now=now)
        if context.confined_by is not None:
            return bool(names) or any(
                self._serves(region, context) for region in _suspect_regions(context)
            )
        places = [*names, *filter(context.route.allows, self._settings.regions)]
        return not all(self._offer_limits.allows(place, now=now) for place in places)

    def _serves(self, region: str, context: RequestContext) -> bool:
        """Return whether another region has backend servers for a request, by its reports."""
        load = self._reports.regional_load(region, context.service.name, context.route.priority)
        return load is not None and load.backends > 0 and context.route.allows(region)

    def note_backend_notice(
        self, name: str, answer: BackendAnswer, *, born: int, request_id: str
    ) -> None:
        """Act on what a backend server says of itself in an answer: that it leaves, or a pause.

        ``born`` is the start time of the process that the request was sent to.
        """
        now = self._clock()
        if answer.leaving:
            record = self._fleet.note_leaving(name, born=born)
            if record is not None:
                self._log.info("backend_leaving", backend=name, born=born, request=request_id)
                self._metrics.count("backend_notices_total", kind="leaving")
                neighbours = self._mesh.live_entries(self._settings.region)
                self._mesh.send_datagrams(
                    BackendNews(records=(record,)), [neighbour.name for neighbour in neighbours]
                )
        if answer.pause_s is not None:
            is_news = self._fleet.note_pause(name, answer.pause_s, born=born, now=now)
            self._pace_recovery(name)
            if is_news:
                self._log.info(
                    "backend_pausing",
                    backend=name,
                    born=born,
                    pause_s=answer.pause_s,
                    request=request_id,
                )
                self._metrics.count("backend_notices_total", kind="pause")

    def note_backend_limit(
        self, name: str, answer: BackendAnswer, *, born: int, request_id: str
    ) -> None:
        """Obey the limit that a backend server names in an answer; tell the region if it is news.

        ``born`` is the start time of the process that the request was sent to.
        """
        if answer.limit_unreadable:
            self._metrics.count("backend_notices_total", kind="unreadable_limit")
            self._log.warning(
                "backend_limit_unreadable", backend=name, born=born, request=request_id
            )
            return
        now = self._clock()
        if not self._named_limits.note_stated(name, answer.limit_per_s, born=born, now=now):
            return
        self._metrics.count("backend_notices_total", kind="limit")
        self._log.info(
            "backend_limit",
            backend=name,
            born=born,
            limit_per_s=answer.limit_per_s,
            request=request_id,
        )
        limit = BackendLimit(backend=name, born=born, per_s=answer.limit_per_s, age_s=0.0)
        neighbours = self._mesh.live_entries(self._settings.region)
        self._mesh.send_datagrams(
            BackendLimitNews(limits=(limit,)), [neighbour.name for neighbour in neighbours]
        )

    def named_limits(self) -> tuple[BackendLimit, ...]:
        """Return the limits that backend servers named, for the heartbeats to other entries."""
        return self._named_limits.records(now=self._clock())

    def limited_for_s(self, service: str) -> float | None:
        """Return the time until one of a service's backend servers, all limited, may get a request.

        None if one of them isn't limited, or there is none.
        """
        now = self._clock()
        shares = self._region_entries.shares(now=now)
        waits_s = []
        for backend in self._usable(service, now=now):
            limit = self._limit_of(backend, now=now)
            if limit is None:
                return None
            turn_at = self._turn_at(backend, shares, now=now)
            waits_s.append(1 / max(limit, MIN_LIMIT_PER_S) if turn_at is None else turn_at - now)
        return max(0.0, min(waits_s)) if waits_s else None

    def pause_left_s(self, service: str) -> float | None:
        """Return the time until a backend server of a service ends its pause; None without any."""
        now = self._clock()
        ends_at = self._fleet.earliest_pause_end(service, now=now)
        return None if ends_at is None else ends_at - now

    def pick_entry(
        self, region: str, context: RequestContext, *, is_offer: bool = False
    ) -> str | None:
        """Return the name of an entry of a region that accepts requests and reaches its servers, or None.

        A stream that has begun goes only to an entry whose build keeps it at its version, and an offer only
        to one whose build states that it has sent the request on: any other uses up an attempt. One of a workspace
        goes only to an entry whose build reads which. Entries that have the revision of the cluster state that the
        request rests on come first, since others may refuse it.
        """
        usable = accepting(
            heartbeat
            for heartbeat in self._mesh.live_entries(region)
            if not heartbeat.cut_off
            and heartbeat.name not in context.entries_tried
            and (context.version is None or heartbeat.keeps_stream_versions)
            and (heartbeat.states_offers or not is_offer)
            and (heartbeat.states_workspaces or context.workspace is None)
        )
        current = [item for item in usable if item.revision >= context.revision]
        names = [heartbeat.name for heartbeat in current or usable]

        def is_warm(name: str) -> bool:
            return self._mesh.pool.idle_count(self._mesh.peer_address(name)) > 0

        return choose_forwarding_peer(self._settings.ip, names, is_warm=is_warm, rng=self._rng)

    def is_ready(self, entry: str) -> bool:
        """Return whether another entry is live, accepts callers and reaches its backend servers."""
        heard = self._mesh.last_heard(entry)
        live = {heartbeat.name for heartbeat in self._mesh.live_heartbeats()}
        if entry not in live or heard is None or heard.heartbeat.cut_off:
            return False
        return is_ready(heard.heartbeat)

    def warmth_questions(self) -> list[WarmthQuestion]:
        """Return the backend servers to ask whether they are cold.

        They are those in use whose last word on it will soon be too old. One that says that it is cold is
        asked again once it should be warm. A check takes a request's place, so one that limits or pauses
        its requests isn't asked.
        """
        now = self._clock()
        configuration = self._follower.configuration
        if configuration is None or self._contact.cut_off:
            return []
        self._warmth_wanted_at = {
            name: at for name, at in self._warmth_wanted_at.items() if now - at <= WANTED_TTL_S
        }
        if not self._warmth_wanted_at:
            return []
        due_age_s = self._max_warmth_age_s(now) - ASKED_AHEAD_S
        questions = []
        for service in configuration.services:
            if service.cold_per_s <= 0 or self._brittle.bears(service.name) is not None:
                continue
            if not _is_request_target(service.health_path):
                continue
            for backend in self._usable(service.name, now=now):
                if (
                    backend.name in self._warmth_wanted_at
                    and now - backend.warmth_known_at > due_age_s
                    and not backend.is_warming_up(now=now)
                    and self._limit_of(backend, now=now) is None
                ):
                    questions.append(
                        WarmthQuestion(
                            name=backend.name,
                            born=backend.record.born,
                            address=backend.address,
                            health_path=service.health_path,
                        )
                    )
        return questions

    def note_asked(self, question: WarmthQuestion) -> None:
        """Count a health check, which is a request to a backend server that may be cold."""
        self._cold_limit.note_sent(question.name, now=self._clock())

    def note_warmth(self, question: WarmthQuestion, warmup_s: float, *, asked_at: float) -> None:
        """Record that a backend server answered for how long it stays cold."""
        self._fleet.note_warmth(
            question.name, warmup_s, born=question.born, asked_at=asked_at, now=self._clock()
        )

    def own_work(self) -> tuple[BackendWork, ...]:
        """Return this entry's work at each backend server, for the heartbeats to other entries."""
        return tuple(
            BackendWork(
                backend=name,
                requests=load.requests,
                tokens=load.memory,
                prefill=sum(load.prefill),
                waiting=tuple(
                    itertools.chain.from_iterable(zip(load.unanswered, load.prefill, strict=True))
                ),
            )
            for name, tracker in self._trackers.items()
            if tracker.local_requests and (load := tracker.local_load).requests
        )

    def regional_loads(self) -> tuple[RegionalLoad, ...]:
        """Return the load of the own region by service, for the heartbeats to other regions."""
        configuration = self._follower.configuration
        if configuration is None or self._contact.cut_off:
            return ()
        now = self._clock()
        loads = []
        for service in configuration.services:
            backends = self._usable(service.name, now=now)
            # Cold and limited ones take requests of their own region only.
            free_backends = [
                backend
                for backend in backends
                if not backend.may_be_cold(now=now) and self._limit_of(backend, now=now) is None
            ]
            versions = tuple(sorted({backend.record.version for backend in free_backends}))
            running_versions = self._running_versions(service.name)
            for priority in configuration.priorities_of(service.name):
                classes_above = self._classes_above(service.name, priority)
                candidates = [
                    self._candidate(
                        backend,
                        service.slots,
                        service.memory_tokens,
                        classes_above=classes_above,
                    )
                    for backend in free_backends
                ]
                urgency = self._least_urgent(service.name, priority)
                load = summarize_load(candidates, priority=urgency, now=now)
                room = load.room
                if self._leases.is_leased(service.name):
                    leased_room = self._leases.room(
                        service.name,
                        classes_above,
                        entries=self.count_sharers(),
                        within_s=REMOTE_REPORT_DELAY_S,
                        now=now,
                    )
                    room = room if leased_room is None else min(room, leased_room)
                loads.append(
                    RegionalLoad(
                        service=service.name,
                        priority=priority,
                        backends=len(backends),
                        expected_s=load.expected_s,
                        room=room,
                        versions=versions,
                        running_versions=running_versions,
                    )
                )
        return tuple(loads)

    def versions_by_region(self) -> dict[tuple[str, str], tuple[tuple[str, ...], float]]:
        """Return the versions that run, by service and region, and when somebody last vouched for them.

        Most control instances vouch for those of the own region, the entries there for another's.
        Regions that are silent are absent.
        """
        configuration = self._follower.configuration
        vouched_at = majority_heard_at(self._mesh.controls_heard_at())
        if configuration is None:
            return {}
        versions = {}
        for service in configuration.services:
            if vouched_at is not None:
                own = self._running_versions(service.name)
                versions[service.name, self._settings.region] = (own, vouched_at)
            for region in set(self._settings.zones.values()) - {self._settings.region}:
                report = self._reports.running_versions(region, service.name)
                if report is not None:
                    versions[service.name, region] = report
        return versions

    def count_by_state(self) -> dict[str, int]:
        """Return the number of known backend servers in each state."""
        now = self._clock()
        counts_by_state: collections.Counter[str] = collections.Counter()
        for backend in self._fleet.backends():
            counts_by_state[backend.record.state.value] += 1
            counts_by_state["resting"] += backend.backoff_until > now
            counts_by_state["pausing"] += backend.paused_until > now
            counts_by_state["limited"] += self._limit_of(backend, now=now) is not None
            counts_by_state["cold"] += backend.may_be_cold(
                now=now, max_age_s=self._max_warmth_age_s(now)
            )
        return dict(counts_by_state)

    def oldest_record_ages(self) -> dict[str, float]:
        """Return the age of the oldest record of a serving backend server, seconds, by service."""
        now = self._clock()
        ages: dict[str, float] = {}
        for backend in self._fleet.backends():
            if backend.record.state is BackendState.SERVING:
                service = backend.record.service
                ages[service] = max(ages.get(service, 0.0), now - backend.reported_at)
        return ages

    def dump(self) -> list[dict[str, Any]]:
        """Return what is known of each backend server, for operators, as JSON objects."""
        now = self._clock()
        return [
            {
                "name": backend.name,
                "service": backend.record.service,
                "zone": backend.record.zone,
                "state": backend.record.state.value,
                "age_s": round(now - backend.reported_at, 2),
                "resting_s": round(max(0.0, backend.backoff_until - now), 2),
                "may_be_cold": backend.may_be_cold(now=now, max_age_s=self._max_warmth_age_s(now)),
                "limit_per_s": self._limit_of(backend, now=now),
                "requests": self.tracker_of(backend.name).requests(now=now),
                "slowness": round(
                    self.tracker_of(backend.name).slowness(PRIORITY_CLASSES - 1, now=now), 2
                ),
                "speed_factor": round(self.tracker_of(backend.name).speed.factor(), 2),
                "pause_risk": round(
                    self.tracker_of(backend.name).pause_risk.of_stream(USUAL_EVENTS, now=now), 2
                ),
                "event_gap_s": round(self.tracker_of(backend.name).stream_pace.gap_s(now=now), 3),
                "failing": round(self.tracker_of(backend.name).failure_rate(now=now), 2),
            }
            for backend in self._fleet.backends()
        ]

    def knows_backends(self, service: str) -> bool:
        """Return whether a service has a backend server in use, in the region or by another one's report."""
        loads = (
            self._reports.regional_load(region, service, 0)
            for region in self._settings.regions
            if region != self._settings.region
        )
        return bool(self.usable_count(service)) or any(load and load.backends for load in loads)

    def usable_count(self, service: str) -> int:
        """Return the number of backend servers of the region that are usable for ``service``."""
        return len(self._usable(service, now=self._clock()))

    def expire(self) -> None:
        """Forget backend servers without a recent record, and instances that are gone."""
        # Without requests, too, the census must see that the others are silent.
        self._region_entries.shares(now=self._clock())
        self._fleet.expire(now=self._clock())
        known = {backend.name for backend in self._fleet.backends()}
        for name in list(self._trackers):
            if name not in known and not self._trackers[name].local_requests:
                del self._trackers[name]
                self._contact.forget([name])
        self._named_limits.expire(now=self._clock())
        self._reports.expire()

    def _through_neighbour(
        self,
        choice: Choice | None,
        context: RequestContext,
        candidates: list[Candidate],
        *,
        now: float,
    ) -> Choice | None:
        """Return ``choice``, one of ``candidates``, as it can be carried out by an entry that may be cut off.

        Such an entry has another one of its region send the request, unless the request was forwarded to
        it. If there is none, one of the candidates that it reaches itself gets the request, or another region.
        A request is forwarded once at most, so it can't go round in circles.
        """
        if choice is None or choice.backend is None or not self._needs_neighbour(choice.backend):
            return choice
        region = self._settings.region
        through_neighbour = dataclasses.replace(choice, backend=None, region=region)
        asked = len(context.entries_tried.intersection(self._mesh.known_entries(region)))
        may_ask = not context.forwarded and self.pick_entry(region, context) is not None
        if may_ask and asked < MAX_NEIGHBOURS:
            return through_neighbour
        reached = [item for item in candidates if not self._needs_neighbour(item.backend)]
        remote_regions = self._remote_regions(context, now=now)
        elsewhere = choose(context.demand(now=now), reached, remote_regions, rng=self._rng, now=now)
        if elsewhere is not None:
            return elsewhere
        return through_neighbour if may_ask and asked < MAX_NEIGHBOURS_AT_LAST else None

    def _needs_neighbour(self, backend: FleetBackend) -> bool:
        """Return whether this entry reaches a backend server only through another entry.

        A check of the others says nothing of one that has joined since: it may take the place of the only
        one, whose crash looked like a cut.
        """
        if not self._contact.cut_off or self._contact.unchecked([backend.name]):
            return False
        return not self._has_working_connection(backend)

    def _has_working_connection(self, backend: FleetBackend) -> bool:
        return self._contact.keeps_connections and bool(self._pool.idle_count(backend.address))

    def _candidates(
        self,
        context: RequestContext,
        *,
        now: float,
        include_tried: bool = False,
        include_cold: bool = False,
    ) -> list[Candidate]:
        """Return the backend servers that may get a request.

        ``include_cold`` also returns cold ones at a cut-off entry, where their limit is others' to obey.
        """
        if not context.route.allows(self._settings.region):
            return []
        shares = self._region_entries.shares(now=now)
        correction = self._expectations.correction(_kind_of(context, ""), now=now)
        classes_above = self._classes_above(context.service.name, context.route.priority)
        # A neighbour of a cut-off entry may reach a server that didn't answer this one.
        tried = set() if include_tried or self._contact.cut_off else context.backends_tried
        candidates = []
        for backend in self._usable(context.service.name, now=now):
            if backend.name in tried:
                continue
            if not self._may_ask(backend.name, context, now=now):
                continue
            if not _has_version(context, backend.record.version):
                continue
            if self._needs_neighbour(backend):
                # Its neighbours get all their shares of what cold ones bear from their own callers.
                if self._is_cold(backend, context, now) and not include_cold:
                    continue
            elif not self._may_send(backend, context, shares, now=now):
                continue
            candidates.append(
                self._candidate(
                    backend,
                    context.service.slots,
                    context.service.memory_tokens,
                    correction=correction,
                    classes_above=classes_above,
                )
            )
        return candidates

    def _may_ask(self, name: str, context: RequestContext, *, now: float) -> bool:
        """Return whether a place may get a request that was sent to another one before."""
        if not context.attempt:
            return True
        if context.can_wait:
            return self._offer_limits.allows(name, now=now, may_stay=context.is_sent)
        return not self._offer_limits.has_refused(name, now=now)

    def _may_send(
        self, backend: FleetBackend, context: RequestContext, shares: EntryShares, *, now: float
    ) -> bool:
        """Return whether a usable backend server may get one more request from this entry now.

        This is where all requests, repeats too, obey what a backend server allows: while it is cold,
        by its named limit, while it is brittle, and by its connections. ``Fleet.usable`` leaves out
        those that leave or pause. A neighbour that sends the request instead of a cut-off entry obeys
        them with its own share.
        """
        return not self._send_obstacle(backend, context, shares, now=now)

    def _send_obstacle(
        self, backend: FleetBackend, context: RequestContext, shares: EntryShares, *, now: float
    ) -> str:
        """Return which of these limits of a backend server leaves nothing for one more request, or ""."""
        if self._is_cold(backend, context, now) and not self._cold_limit.allows(
            backend.name, per_s=context.service.cold_per_s, shares=shares, now=now
        ):
            if self._subset(context.service.name).uses(backend.name):
                self._warmth_wanted_at[backend.name] = now
            return "cold"
        turn_at = self._turn_at(backend, shares, now=now)
        if turn_at is None or turn_at > now:
            return "limited"
        requests = self.tracker_of(backend.name).requests(now=now)
        if not self._brittle.allows(
            backend.name, context.service.name, requests=requests, shares=shares, now=now
        ):
            return "brittle"
        if not self._has_free_connection(backend, context, shares.count):
            return "no connection"
        return "" if self._is_within_lease(backend, context, now=now) else "no lease"

    def _is_within_lease(
        self, backend: FleetBackend, context: RequestContext, *, now: float
    ) -> bool:
        """Return whether the leases of this entry let a request begin at an engine.

        One that has begun elsewhere has had its part of an engine, and its caller would lose what has come.
        """
        if _goes_on(context):
            return True
        service = context.service.name
        urgency_class = self._classes_above(service, context.route.priority)
        if self._leases.may_begin(backend.name, service, urgency_class, now=now):
            return True
        # Few entries have a part of what such a server takes, and they may not be those that ask for a lease.
        has_limit = (
            self._is_cold(backend, context, now)
            or self._limit_of(backend, now=now) is not None
            or self._brittle.bears(service) is not None
        )
        return has_limit and not self._leases.holds(backend.name, service, now=now)

    def note_demand(self, context: RequestContext) -> None:
        """Count a request that has come, whether or not it gets a place."""
        if self._leases.is_leased(context.service.name):
            self._leases.note_request(self.leased_request(context), now=self._clock())

    def leased_request(self, context: RequestContext) -> LeasedRequest:
        """Return what leases of engines depend on of a request."""
        service = context.service.name
        demand = context.demand(now=self._clock())
        route: GatewayRoute | None = context.route
        if context.forwarded:
            # The timeout of a forwarded route is what its request has left, which says nothing of the pace.
            routes = () if (known := self._follower.configuration) is None else known.routes
            route = next((item for item in routes if item.name == context.route.name), None)
        return LeasedRequest(
            service=service,
            urgency_class=self._classes_above(service, context.route.priority),
            prompt_tokens=demand.prompt_tokens,
            events=0 if route is None else demand.events,
            timeout_s=0.0 if route is None else route.timeout_s,
            target_s=context.route.target_s,
        )

    def lacks_lease(self, context: RequestContext) -> bool:
        """Return whether no engine of the region gets a request as the leases of this entry are used up."""
        service = context.service.name
        if not self._leases.is_leased(service) or _goes_on(context) or self._contact.cut_off:
            return False
        if not context.route.allows(self._settings.region):
            return False
        urgency_class = self._classes_above(service, context.route.priority)
        return self._leases.lacks_lease(service, urgency_class, now=self._clock())

    def leased_classes(self) -> dict[str, int]:
        """Return the number of priorities of each service of model engines, whose engines are leased.

        Engines are leased where the configuration has workspaces, whose callers compete for them.
        """
        configuration = self._follower.configuration
        if configuration is None or not configuration.workspaces:
            return {}
        return {
            service.name: len(configuration.priorities_of(service.name))
            for service in configuration.services
            if service.is_model and configuration.priorities_of(service.name)
        }

    def leased_engines(self, service: str) -> list[AskedEngine]:
        """Return the engines of a service that this entry uses in the first place, and those that it has requests at."""
        now = self._clock()
        configuration = self._follower.configuration
        known = None if configuration is None else configuration.service(service)
        backends = {backend.name: backend for backend in self._usable(service, now=now)}
        names = self._subset(service).select(set(backends)) | {
            name for name in backends if self.tracker_of(name).local_requests
        }
        engines = []
        for name in sorted(names):
            tracker = self.tracker_of(name)
            state = EngineState(
                streams=tracker.local_requests,
                gap_s=tracker.stream_pace.gap_s(now=now),
                stream_s=tracker.mean_stream_s,
                prompt_per_s=PREFILL_TOKENS_PER_S / tracker.speed.factor(),
            )
            record = backends[name].record
            slots = record.slots or (0 if known is None else known.slots) or 1
            engines.append(AskedEngine(name=name, zone=record.zone, slots=slots, state=state))
        return engines

    def count_sharers(self) -> int:
        """Return the number of entries that share limits in the region, silent ones included."""
        return self._region_entries.shares(now=self._clock()).count

    def _limit_of(self, backend: FleetBackend, *, now: float) -> float | None:
        return self._named_limits.limit_of(backend.name, born=backend.record.born, now=now)

    def _turn_at(self, backend: FleetBackend, shares: EntryShares, *, now: float) -> float | None:
        return self._named_limits.turn_at(
            backend.name, born=backend.record.born, shares=shares, now=now
        )

    def _is_cold(self, backend: FleetBackend, context: RequestContext, now: float) -> bool:
        return context.service.cold_per_s > 0 and backend.may_be_cold(
            now=now, max_age_s=self._max_warmth_age_s(now)
        )

    def _max_warmth_age_s(self, now: float) -> float:
        expires_at, max_age_s = self._max_warmth_age
        if now >= expires_at:
            heard_at = reports_heard_at(self._mesh, self._fleet)
            max_age_s = max_warmth_age_s(heard_at=heard_at, now=now)
            self._max_warmth_age = (now + WARMTH_AGE_TTL_S, max_age_s)
        return max_age_s

    def _candidate(
        self,
        backend: FleetBackend,
        slots: int,
        memory_tokens: int,
        *,
        correction: Correction = NO_CORRECTION,
        classes_above: int = 0,
    ) -> Candidate:
        tracker = self.tracker_of(backend.name)
        slots = backend.record.slots or slots or 1
        return Candidate(
            backend=backend,
            tracker=tracker,
            slots=slots,
            paced_slots=tracker.slots_in_use(slots, now=self._clock()),
            memory_tokens=memory_tokens,
            correction=correction,
            classes_above=classes_above,
        )

    def _running_versions(self, service: str) -> tuple[str, ...]:
        return self._fleet.running_versions(service, region_zones=self._settings.zones_of_region)

    def _subset(self, service: str) -> BackendSubset:
        """Return the backend servers of a service that this entry uses in the first place."""
        now = self._clock()
        if now < self._subsets_expire_at.get(service, float("-inf")):
            return self._subsets[service][2]
        self._subsets_expire_at[service] = now + SUBSET_TTL_S
        backends = self._fleet.serving_names(
            service,
            region_zones=self._settings.zones_of_region,
            evacuated=self._follower.state.evacuated,
        )
        entries = tuple(
            heartbeat.name for heartbeat in self._mesh.live_entries(self._settings.region)
        )
        known = self._subsets.get(service)
        if known is None or known[:2] != (backends, entries):
            subset = backend_subset(self._settings.ip, list(entries), list(backends))
            known = self._subsets[service] = (backends, entries, subset)
        return known[2]

    def _urgency(self, service: str, route: GatewayRoute) -> int:
        """Return the order in which backend servers of a service start requests of a route."""
        return self._urgencies(service).urgency(priority=route.priority, target_s=route.target_s)

    def _urgencies(self, service: str) -> UrgencyOrder:
        configuration = self._follower.configuration
        if configuration is not self._urgencies_of:
            self._urgencies_of, self._urgency_orders = configuration, {}
        order = self._urgency_orders.get(service)
        if order is None:
            targets = () if configuration is None else configuration.targets_of(service)
            order = self._urgency_orders[service] = UrgencyOrder(routes=targets)
        return order

    def _least_urgent(self, service: str, priority: int) -> int:
        """Return the last place in the order of starts that requests of a priority have."""
        configuration = self._follower.configuration
        targets = () if configuration is None else configuration.targets_of(service)
        order = self._urgencies(service)
        return max(
            (
                order.urgency(priority=priority, target_s=target_s)
                for other, target_s in targets
                if other == priority
            ),
            default=priority,
        )

    def _is_paced(self, service: str) -> bool:
        """Return whether backend servers of a service that start or recover find their pace by their answers.

        The operator says of a service whether its servers are cold after a start.
        """
        configuration = self._follower.configuration
        found = None if configuration is None else configuration.service(service)
        return found is not None and found.is_model and found.cold_per_s > 0

    def _classes_above(self, service: str, priority: int) -> int:
        """Return the number of priorities of a service that are more urgent than ``priority``."""
        configuration = self._follower.configuration
        priorities = () if configuration is None else configuration.priorities_of(service)
        return sum(other < priority for other in priorities)

    def _usable(self, service: str, *, now: float) -> list[FleetBackend]:
        evacuated = set(self._follower.state.evacuated)
        for zone in self._last_evacuated - evacuated:
            self._fleet.note_zone_returned(zone, now=now)
        self._last_evacuated = evacuated
        return self._fleet.usable(
            service,
            region_zones=self._settings.zones_of_region,
            evacuated=self._follower.state.evacuated,
            now=now,
            include_unreachable=self._contact.cut_off,
        )

    def _has_free_connection(
        self, backend: FleetBackend, context: RequestContext, entries: int
    ) -> bool:
        if self._pool.idle_count(backend.address):
            return True
        max_connections = max(
            1, int(context.service.max_connections * CONNECTIONS_FRACTION / entries)
        )
        return self._pool.open_count(backend.address) < max_connections

    def _remote_regions(
        self, context: RequestContext, *, now: float, is_offer: bool = False
    ) -> list[RemoteRegion]:
        """Return the other regions that may get a request; one that was forwarded goes to no other.

        An offer goes only where an entry states what becomes of it.
        """
        if context.forwarded:
            return []
        regions = set(self._settings.zones.values())
        if context.confined_by is not None:
            regions &= _suspect_regions(context)
        options = []
        for region in regions - {self._settings.region} - context.regions_tried:
            if not context.route.allows(region):
                continue
            if not self._may_ask(region, context, now=now):
                continue
            if is_offer and self.pick_entry(region, context, is_offer=True) is None:
                continue
            load = self._reports.regional_load(region, context.service.name, context.route.priority)
            if load is None:
                continue
            if not any(_has_version(context, version) for version in load.versions or ("",)):
                continue
            forwarded_count = self._forwarded_counts.get((region, context.service.name))
            options.append(
                RemoteRegion(
                    region=region,
                    expected_s=load.expected_s,
                    room=self._part_of_room(load, context.service.name),
                    backends=load.backends,
                    round_trip_s=ROUND_TRIP_S,
                    recently_sent=(
                        forwarded_count.total(now=now) if forwarded_count is not None else 0
                    ),
                    pause_risk=self._region_pauses.get((region, context.service.name)),
                    correction=self._expectations.correction(_kind_of(context, region), now=now),
                )
            )
        return options

    def _part_of_room(self, load: RegionalLoad, service: str) -> int:
        """Return the part of another region's room that this entry may use; all of it where engines aren't leased.

        All entries of the region send there at once, and each of them would take the whole for its own.
        """
        return load.room // self.count_sharers() if self._leases.is_leased(service) else load.room

    def _apply_backend_news(self, message: Message) -> None:
        assert isinstance(message, BackendNews)
        now = self._mesh.message_at
        for record in message.records:
            change = self._fleet.apply(record, now=now)
            if change.value in ("nothing", "confirmed"):
                continue
            if change.value == "started":
                is_paced = record.warmup_s > 0 and self._is_paced(record.service)
                self._trackers[record.name] = BackendLoadTracker(now=now, has_just_started=is_paced)
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

    def _apply_limits(self, message: Message) -> None:
        assert isinstance(message, BackendLimitNews)
        self._named_limits.merge(message.limits, now=self._mesh.message_at)


def _suspect_regions(context: RequestContext) -> frozenset[str]:
    """Return the regions to which a confined request may be forwarded.

    With a suspect part it isn't sent again once it may have run: each such request would cost a server.
    """
    is_part = context.confined_by in context.traits.parts
    return frozenset() if is_part and context.may_have_run else context.confined_regions


def _goes_on(context: RequestContext) -> bool:
    """Return whether a request goes on with what has begun elsewhere, or may go to one server alone."""
    return context.may_have_run or bool(context.last_event) or context.confined_by is not None


def _has_version(context: RequestContext, version: str) -> bool:
    """Return whether a software version may serve a request: a stream goes on at its own."""
    return context.version is None or (bool(version) and version == context.version)


def _is_request_target(path: str) -> bool:
    return path.startswith("/") and path.isascii() and path.isprintable() and " " not in path


def _kind_of(context: RequestContext, region: str) -> tuple[str, int, str]:
    """Return the key of ``ExpectationModel`` for a request in a region, "" for the own one."""
    return context.service.name, context.route.priority, region
