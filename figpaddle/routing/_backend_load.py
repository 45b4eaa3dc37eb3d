"""Load and health of one backend server as seen by one entry instance."""

from __future__ import annotations

import dataclasses
import math

from figpaddle.routing._backend_report import BackendReport
from figpaddle.routing._backend_speed import BackendSpeed
from figpaddle.routing._demand import Demand
from figpaddle.routing._pause_risk import PauseRisk
from figpaddle.routing._peer_load import PeerLoad
from figpaddle.routing._prefix_cache import PrefixCacheEstimate
from figpaddle.routing._start_pace import StartPace
from figpaddle.routing._stream_pace import StreamPace

#: Age at which another entry's load report expires, seconds; a few heartbeats.
PEER_REPORT_TTL_S = 2.0
#: Interval between checks for expired load reports, seconds; well below PEER_REPORT_TTL_S.
PEER_REPORT_CHECK_INTERVAL_S = 0.2
#: Age at which the load reported by the backend server itself expires, seconds.
BACKEND_REPORT_TTL_S = 0.6
#: Prefill rate of an engine while it also decodes, prompt tokens per second.
PREFILL_TOKENS_PER_S = 80_000.0
#: Time to the first token without queueing or prefill, seconds.
BASE_FIRST_TOKEN_S = 0.06
#: Initial estimate of the time for which a non-streaming request occupies a slot, seconds.
INITIAL_PLAIN_REQUEST_S = 0.05
#: Initial estimate of the time for which a stream occupies a slot, seconds.
INITIAL_STREAM_S = 2.0
#: Weight of a new sample in a moving average.
SAMPLE_WEIGHT = 0.08
#: Initial estimate of the prompt tokens that an engine computes for a request.
INITIAL_PREFILL_TOKENS = 1000.0
#: Limit on one slowness sample, as a multiple of the expected time.
MAX_SLOWNESS_SAMPLE = 8.0
#: Half-life of measured slowness without new samples, seconds.
SLOWNESS_HALF_LIFE_S = 4.0
#: Half-life of the counts of ended and failed requests, seconds.
FAILURE_HALF_LIFE_S = 3.0
#: Successful requests that are assumed in advance. Otherwise, the first failure of a backend server
#: with few requests would count as a failure rate of 1.
ASSUMED_SUCCESSES = 3.0
#: Priority classes that are tracked apart, from 0, the most urgent; higher ones count as the last.
PRIORITY_CLASSES = 10
#: Delay beyond the expected time from which a waiting request counts as a sign of slowness,
#: seconds.
OVERDUE_TOLERANCE_S = 0.5


@dataclasses.dataclass(kw_only=True, slots=True)
class _LocalRequest:
    priority: int
    prefill: float
    memory: int
    sent_at: float
    expected_s: float
    usual_s: float
    streamed: bool
    longest_pause_s: float
    first_at: float | None = None
    #: When its last event came, or its caller had taken it; None before the first.
    event_at: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkAhead:
    """What a backend server does before it begins a new request."""

    #: Requests that get a slot before the new one.
    requests: int
    #: Prompt tokens that it processes before those of the new one.
    prefill: float


class BackendLoadTracker:
    """Tracks local requests, load reports, speed and failures of one backend server."""

    def __init__(self, *, now: float, has_just_started: bool = False) -> None:
        #: Where it has just started or recovered: how much of it is used.
        self.start_pace = StartPace(now=now) if has_just_started else None
        self._slots = 0
        self.cache = PrefixCacheEstimate()
        self.speed = BackendSpeed()
        self.stream_pace = StreamPace()
        self.pause_risk = PauseRisk()
        self._local_requests: dict[str, _LocalRequest] = {}
        self._peer_reports: dict[str, tuple[PeerLoad, float]] = {}
        # Running sums over the peer reports, because placement reads them for many engines.
        self._peer_requests = 0
        self._peer_memory = 0
        self._peer_unanswered = [0] * PRIORITY_CLASSES
        self._peer_prefill = [0] * PRIORITY_CLASSES
        self._peer_reports_checked_at = now
        self._backend_report: tuple[BackendReport, float] | None = None
        # Moving average of the measured slowness and the time of its last sample, by priority class.
        self._slowness: dict[int, tuple[float, float]] = {}
        self._mean_prefill = INITIAL_PREFILL_TOKENS
        self._mean_plain_request_s = INITIAL_PLAIN_REQUEST_S
        self._mean_stream_s = INITIAL_STREAM_S
        self._recent_ended = 0.0
        self._recent_failed = 0.0
        self._last_ended_at = now

    @property
    def local_requests(self) -> int:
        """Number of local requests in progress."""
        return len(self._local_requests)

    @property
    def local_memory_tokens(self) -> int:
        """Memory taken by local requests, tokens."""
        return sum(request.memory for request in self._local_requests.values())

    @property
    def local_load(self) -> PeerLoad:
        """Load of this entry instance, as reported to the others."""
        unanswered, prefill = self._local_unanswered()
        classes = max(
            (priority + 1 for priority in range(PRIORITY_CLASSES) if unanswered[priority]),
            default=0,
        )
        return PeerLoad(
            requests=self.local_requests,
            memory=self.local_memory_tokens,
            unanswered=tuple(unanswered[:classes]),
            prefill=tuple(map(int, prefill[:classes])),
        )

    @property
    def mean_plain_request_s(self) -> float:
        """Mean time for which a non-streaming request occupies a slot, seconds."""
        return self._mean_plain_request_s

    @property
    def mean_stream_s(self) -> float:
        """Mean time for which a stream occupies a slot, seconds."""
        return self._mean_stream_s

    def note_peer_load(self, entry: str, load: PeerLoad, *, now: float) -> None:
        """Record the load report of another entry instance."""
        known = self._peer_reports.pop(entry, None)
        if known is not None:
            self._add_peer_load(known[0], -1)
        if load.requests:
            self._peer_reports[entry] = (load, now)
            self._add_peer_load(load, 1)

    def note_backend_report(self, report: BackendReport, *, now: float) -> None:
        """Record what the backend server itself reports."""
        self._backend_report = (report, now)

    def pace(self, *, now: float) -> float:
        """Return the factor on the time of work that the last report makes expect now."""
        if self._backend_report is None:
            return 1.0
        report, reported_at = self._backend_report
        return report.pace_after(now - reported_at)

    def requests(self, *, now: float) -> int:
        """Return the estimated number of requests in progress from all entry instances."""
        self._expire_peer_reports(now)
        known = len(self._local_requests) + self._peer_requests
        if (
            self._backend_report is not None
            and now - self._backend_report[1] <= BACKEND_REPORT_TTL_S
        ):
            return max(known, self._backend_report[0].requests)
        return known

    def memory(self, *, now: float) -> int:
        """Return the memory taken by all requests, tokens."""
        self._expire_peer_reports(now)
        return self.local_memory_tokens + self._peer_memory

    def work_ahead(self, priority: int, *, slots: float, now: float) -> WorkAhead:
        """Return the work that precedes a new request of ``priority``.

        When more than ``slots`` requests are in progress, the others wait for a slot. A backend
        server gives slots to urgent requests first and processes their prompts first, so less urgent
        requests that still wait don't delay the new one.
        """
        self._expire_peer_reports(now)
        unanswered, prefill = self._local_unanswered()
        classes_ahead = _priority_class(priority) + 1
        less_urgent = sum(unanswered[classes_ahead:]) + sum(self._peer_unanswered[classes_ahead:])
        waiting = max(0, math.ceil(self.requests(now=now) - slots))
        known = sum(unanswered) + sum(self._peer_unanswered)
        unknown_prefill = self._unknown_waiting(known, now=now) * self._mean_prefill
        return WorkAhead(
            requests=max(0, waiting - less_urgent),
            prefill=sum(prefill[:classes_ahead])
            + sum(self._peer_prefill[:classes_ahead])
            + unknown_prefill,
        )

    def _unknown_waiting(self, known: int, *, now: float) -> float:
        """Return the requests that the backend server said wait there beyond the ``known`` ones.

        Those that another entry sent since its last report, or that an entry left there when it ended.
        They count less the older the statement is.
        """
        if self._backend_report is None:
            return 0.0
        report, reported_at = self._backend_report
        freshness = max(0.0, 1.0 - (now - reported_at) / BACKEND_REPORT_TTL_S)
        return max(0, report.waiting - known) * freshness

    def note_sent(
        self,
        key: str,
        demand: Demand,
        *,
        prefill: float,
        memory: int,
        expected_s: float,
        usual_s: float = 0.0,
        now: float,
    ) -> None:
        """Record a request that is being sent.

        ``usual_s`` is the time to its first byte that is expected of a server of the usual speed; 0 if
        nothing is to be learned from it.
        """
        self._local_requests[key] = _LocalRequest(
            priority=demand.priority,
            prefill=prefill,
            memory=memory,
            sent_at=now,
            expected_s=expected_s,
            usual_s=usual_s,
            streamed=demand.streamed,
            longest_pause_s=demand.longest_pause_s,
        )
        self._mean_prefill += (prefill - self._mean_prefill) * SAMPLE_WEIGHT
        self.cache.note_sent(demand.prefixes, now=now)

    def note_first_byte(self, key: str, *, now: float) -> float | None:
        """Record the first byte of a response; return the time to it, seconds.

        Returns None for an unknown request and for any later byte.
        """
        request = self._local_requests.get(key)
        if request is None or request.first_at is not None:
            return None
        request.first_at = now
        elapsed_s = now - request.sent_at
        reference_s = max(BASE_FIRST_TOKEN_S, request.expected_s)
        self.speed.note(expected_s=request.usual_s, measured_s=elapsed_s)
        pace = self.start_pace
        if pace is not None and request.streamed and request.sent_at >= pace.begun_at:
            pace.note_answer(elapsed_s / reference_s, slots=self._slots)
        sample = min(MAX_SLOWNESS_SAMPLE, elapsed_s / reference_s)
        self._add_slowness_sample(_priority_class(request.priority), sample, now)
        return elapsed_s

    def begin_pace(self, *, at: float) -> None:
        """Use few of the slots at first from a time on, as after a start."""
        self.start_pace = StartPace(now=at)

    def slots_in_use(self, slots: int, *, now: float) -> int | None:
        """Return how many of its ``slots`` are used while it has just started or recovered; None for all."""
        self._slots = slots
        return None if self.start_pace is None else self.start_pace.slots(slots, now=now)

    def note_events(self, key: str, *, now: float, arrived_after: float | None = None) -> None:
        """Record that events of a stream have come; the time since the last ones is a sample of its pace.

        They came between ``arrived_after`` and ``now``: what this process read late is no pause of the server.
        """
        request = self._local_requests.get(key)
        if request is None or not request.streamed:
            return
        if request.event_at is not None:
            gap_s = now - request.event_at
            self.stream_pace.note(gap_s, now=now)
            if request.longest_pause_s > 0:
                unread_s = 0.0 if arrived_after is None else max(0.0, now - arrived_after)
                late = gap_s - unread_s > request.longest_pause_s
                self.pause_risk.note(events=1, late=int(late), now=now)
        request.event_at = now

    def note_relayed(self, key: str, *, now: float) -> None:
        """Record that the caller has taken the events of a stream; the time until then isn't the server's."""
        request = self._local_requests.get(key)
        if request is not None and request.event_at is not None:
            request.event_at = now

    @property
    def oldest_sent_at(self) -> float:
        """When the oldest request in progress was sent; infinity without one."""
        return min((item.sent_at for item in self._local_requests.values()), default=math.inf)

    def note_ended(self, key: str, *, failed: bool, now: float) -> None:
        """Record the end of a request."""
        request = self._local_requests.pop(key, None)
        if request is None:
            return
        decay = self._recent_decay(now)
        self._recent_ended = self._recent_ended * decay + 1.0
        self._recent_failed = self._recent_failed * decay + failed
        self._last_ended_at = now
        if failed:
            return
        if request.streamed:
            if request.first_at is not None:
                prefill_s = request.prefill / PREFILL_TOKENS_PER_S
                occupied_s = now - request.first_at + prefill_s
                self._mean_stream_s += (occupied_s - self._mean_stream_s) * SAMPLE_WEIGHT
        else:
            self._mean_plain_request_s += (
                now - request.sent_at - self._mean_plain_request_s
            ) * SAMPLE_WEIGHT

    def slowness(self, priority: int, *, now: float) -> float:
        """Return the ratio of actual to expected response time for ``priority``, at least 1.

        Less urgent requests are left out: those wait for the more urgent ones also at a fast engine.
        """
        slowness = 1.0
        for request in self._local_requests.values():
            if request.first_at is None and request.priority <= priority:
                late_s = now - request.sent_at - request.expected_s
                if late_s > OVERDUE_TOLERANCE_S:
                    slowness = max(slowness, 1.0 + late_s / OVERDUE_TOLERANCE_S)
        for sampled_class, (sampled, sampled_at) in self._slowness.items():
            if sampled_class <= priority:
                decay = 0.5 ** ((now - sampled_at) / SLOWNESS_HALF_LIFE_S)
                slowness = max(slowness, 1.0 + (sampled - 1.0) * decay)
        return slowness

    def failure_rate(self, *, now: float) -> float:
        """Return the decaying failure rate of recent requests, from 0 to 1.

        It is a rate rather than a count, because some services fail a fraction of their requests at
        every backend server. A busier one must not be rated worse for these failures.
        """
        decay = self._recent_decay(now)
        return float(self._recent_failed * decay / (self._recent_ended * decay + ASSUMED_SUCCESSES))

    def _local_unanswered(self) -> tuple[list[int], list[float]]:
        """Return the number of local requests without a first byte and their prompt tokens.

        Both are lists by priority class.
        """
        unanswered, prefill = [0] * PRIORITY_CLASSES, [0.0] * PRIORITY_CLASSES
        for request in self._local_requests.values():
            if request.first_at is None:
                index = _priority_class(request.priority)
                unanswered[index] += 1
                prefill[index] += request.prefill
        return unanswered, prefill

    def _add_slowness_sample(self, priority_class: int, sample: float, now: float) -> None:
        average, sampled_at = self._slowness.get(priority_class, (1.0, now))
        decay = 0.5 ** ((now - sampled_at) / SLOWNESS_HALF_LIFE_S)
        current = 1.0 + (average - 1.0) * decay
        self._slowness[priority_class] = (current + (sample - current) * SAMPLE_WEIGHT, now)

    def _recent_decay(self, now: float) -> float:
        return float(0.5 ** ((now - self._last_ended_at) / FAILURE_HALF_LIFE_S))

    def _add_peer_load(self, load: PeerLoad, sign: int) -> None:
        self._peer_requests += sign * load.requests
        self._peer_memory += sign * load.memory
        for index, requests in enumerate(load.unanswered[:PRIORITY_CLASSES]):
            self._peer_unanswered[index] += sign * requests
        for index, tokens in enumerate(load.prefill[:PRIORITY_CLASSES]):
            self._peer_prefill[index] += sign * tokens

    def _expire_peer_reports(self, now: float) -> None:
        """Drop expired peer reports, at most once per check interval."""
        if now - self._peer_reports_checked_at < PEER_REPORT_CHECK_INTERVAL_S:
            return
        self._peer_reports_checked_at = now
        for entry, (load, reported_at) in list(self._peer_reports.items()):
            if now - reported_at > PEER_REPORT_TTL_S:
                del self._peer_reports[entry]
                self._add_peer_load(load, -1)


def _priority_class(priority: int) -> int:
    return min(PRIORITY_CLASSES - 1, max(0, priority))
