"""A simulated region whose engines run the most urgent of their waiting requests first."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random

from figpaddle.engine_leases import (
    ASK_INTERVAL_S,
    EngineAccount,
    EngineState,
    LeaseBook,
    LeasedRequest,
)
from figpaddle.regional._request_context import MAX_WAIT_FRACTION
from figpaddle.routing import (
    BackendLoadTracker,
    BackendSubset,
    Candidate,
    Choice,
    Demand,
    ExpectationModel,
    Fleet,
    backend_subset,
    choose,
    refuse_late,
)
from figpaddle.wire import BackendRecord, BackendState

#: Duration of a decoding step without requests, and the additional time for each request, seconds.
STEP_S, STEP_PER_REQUEST_S = 0.0032, 0.00005
#: Prompt tokens that an engine processes per second while it doesn't decode.
PREFILL_TOKENS_PER_S = 112_000.0
#: Largest number of prompt tokens processed in one step.
CHUNK_TOKENS = 1024
#: Memory of an engine, tokens; more than the requests in its slots need.
MEMORY_TOKENS = 10_000_000
#: Multiple of the target after which a caller leaves, and the shortest such time, seconds.
PATIENCE_TARGETS, MIN_PATIENCE_S = 4.0, 2.0
#: Interval at which entries report their load to each other, seconds.
REPORT_INTERVAL_S = 0.5
#: Prompt tokens that entries expect an engine to read a second.
ENGINE_PROMPT_PER_S = 80_000.0
#: Time for which the entries have run when requests begin, seconds.
STARTED_S = 10.0
#: Deadline of all requests, seconds.
DEADLINE_S = 12.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestKind:
    """Requests of one route."""

    name: str
    #: Priority class; 0 is the most urgent.
    priority: int
    prompt_tokens: int
    output_tokens: int
    #: Target for the time to the first token, seconds.
    target_s: float
    #: Requests per second.
    per_s: float
    #: Spread of the logarithm of the length of answers, none of which has more than ``output_tokens``; 0 if all
    #: have as many.
    spread: float = 0.0
    #: Median length, tokens, if they differ.
    median_tokens: int = 0
    #: Tokens of one event, for streams whose callers wait for the end; 0 for answers of which the beginning counts.
    event_tokens: int = 0

    def length(self, rng: random.Random) -> int:
        """Return the number of tokens of an answer."""
        if not self.spread:
            return self.output_tokens
        drawn = self.median_tokens * rng.lognormvariate(0.0, self.spread)
        return max(1, min(self.output_tokens, round(drawn)))


@dataclasses.dataclass(kw_only=True)
class KindResult:
    """The number of requests of one kind by outcome; requests in progress are in none."""

    offered: int = 0
    refused: int = 0
    on_time: int = 0
    late: int = 0
    caller_left: int = 0
    #: Lengths of the answers, tokens, and whether the whole answer came in time; those in progress aren't there.
    lengths: list[tuple[int, bool]] = dataclasses.field(default_factory=list)

    def share_served(self, *, longest: float, but: float = 0.0) -> float:
        """Return the share served whole of the ``longest`` part of the requests ``but`` for its longest ones."""
        ordered = sorted(self.lengths, reverse=True)
        part = ordered[round(but * len(ordered)) : round(longest * len(ordered))]
        return sum(served for _, served in part) / len(part)

    @property
    def admitted(self) -> int:
        """Requests that were placed on an engine and whose outcome is known."""
        return self.on_time + self.late + self.caller_left


@dataclasses.dataclass(kw_only=True)
class _Run:
    kind: RequestKind
    key: str
    entry: _Entry
    choice: Choice
    sent_at: float
    prefill_left: int
    length: int
    tokens_left: int
    first_at: float | None = None

    @property
    def patience_s(self) -> float:
        return max(MIN_PATIENCE_S, PATIENCE_TARGETS * self.kind.target_s)


class _Engine:
    """Runs ``slots`` requests at once and processes prompts in chunks between decoding steps."""

    def __init__(self, *, slots: int, step_per_request_s: float) -> None:
        self._slots = slots
        self._step_per_request_s = step_per_request_s
        self._waiting: list[tuple[int, int, _Run]] = []
        self._running: list[_Run] = []
        self._arrivals = itertools.count()

    def add(self, run: _Run) -> None:
        heapq.heappush(self._waiting, (run.kind.priority, next(self._arrivals), run))

    def remove(self, run: _Run) -> None:
        self._waiting = [item for item in self._waiting if item[2] is not run]
        heapq.heapify(self._waiting)
        if run in self._running:
            self._running.remove(run)

    def overdue(self, now: float) -> list[_Run]:
        """Return the requests whose callers leave now."""
        overdue = []
        for run in self._running + [run for _, _, run in self._waiting]:
            patience_s = run.patience_s if run.first_at is None else DEADLINE_S
            if now - run.sent_at > patience_s and (run.first_at is None or run.kind.event_tokens):
                overdue.append(run)
        return overdue

    def step(self, now: float) -> tuple[float, list[_Run]]:
        """Run one step from ``now``; return its end and the requests that got a token in it."""
        while self._waiting and len(self._running) < self._slots:
            self._running.append(heapq.heappop(self._waiting)[2])
        chunk_left = CHUNK_TOKENS
        for run in sorted(self._running, key=lambda run: run.kind.priority):
            processed = min(run.prefill_left, chunk_left)
            run.prefill_left -= processed
            chunk_left -= processed
        prefill_s = (CHUNK_TOKENS - chunk_left) / PREFILL_TOKENS_PER_S
        end = now + STEP_S + self._step_per_request_s * len(self._running) + prefill_s
        decoded = [run for run in self._running if run.prefill_left == 0]
        for run in decoded:
            run.tokens_left -= 1
        self._running = [run for run in self._running if run.tokens_left > 0]
        return end, decoded


class _Entry:
    """An entry with its view of the engines."""

    def __init__(self, *, name: str, candidates: list[Candidate]) -> None:
        self.leases = LeaseBook()
        self.name = name
        self.candidates = candidates
        self.trackers = {item.backend.name: item.tracker for item in candidates}
        self.subset: BackendSubset | None = None
        self.expectations = ExpectationModel()


class SimulatedRegion:
    """Entries and engines under a constant load; entries learn each other's load from reports."""

    def __init__(
        self,
        *,
        engines: int,
        slots: int,
        seed: int,
        entries: int = 1,
        step_per_request_s: float = STEP_PER_REQUEST_S,
    ) -> None:
        self._rng = random.Random(seed)
        self._entries = [
            _Entry(name=f"e-{number}", candidates=_candidates(engines, slots=slots))
            for number in range(entries)
        ]
        self._engines = {
            name: _Engine(slots=slots, step_per_request_s=step_per_request_s)
            for name in self._entries[0].trackers
        }
        for entry in self._entries:
            entry.subset = backend_subset(
                entry.name, [other.name for other in self._entries], list(self._engines)
            )
        self._keys = itertools.count()
        self._accounts = {
            name: EngineAccount(slots=slots, prompt_per_s=ENGINE_PROMPT_PER_S, now=-STARTED_S)
            for name in self._engines
        }

    def run(self, kinds: list[RequestKind], *, duration_s: float) -> dict[str, KindResult]:
        """Offer requests for ``duration_s`` and return the result of each kind by name."""
        results = {kind.name: KindResult() for kind in kinds}
        events: list[tuple[float, int, RequestKind | str | _Entry]] = []
        order = itertools.count()
        for kind in kinds:
            heapq.heappush(events, (self._rng.expovariate(kind.per_s), next(order), kind))
        for name in self._engines:
            heapq.heappush(events, (0.0, next(order), name))
        # The region has run without requests before, so all entries hold leases.
        for entry in self._entries:
            entry.leases.set_classes({"s": max(kind.priority for kind in kinds) + 1})
            self._renew_leases(entry, -ASK_INTERVAL_S)
        for entry in self._entries:
            self._renew_leases(entry, 0.0)
            first_at = self._rng.uniform(0.0, REPORT_INTERVAL_S)
            heapq.heappush(events, (first_at, next(order), entry))
        while True:
            now, _, item = heapq.heappop(events)
            if now >= duration_s:
                return results
            if isinstance(item, str):
                next_at = self._step(item, results, now)
            elif isinstance(item, _Entry):
                self._report_load(item, now)
                self._renew_leases(item, now)
                next_at = now + REPORT_INTERVAL_S
            else:
                self._offer(item, results[item.name], now)
                next_at = now + self._rng.expovariate(item.per_s)
            heapq.heappush(events, (next_at, next(order), item))

    def _offer(self, kind: RequestKind, result: KindResult, now: float) -> None:
        entry = self._rng.choice(self._entries)
        demand = Demand(
            request_id=str(next(self._keys)),
            member="",
            service="s",
            priority=kind.priority,
            deadline_s=DEADLINE_S,
            prompt_tokens=kind.prompt_tokens,
            output_tokens=kind.output_tokens,
            events=kind.output_tokens // kind.event_tokens if kind.event_tokens else 0,
        )
        length = kind.length(self._rng)
        result.offered += 1
        entry.leases.note_request(
            LeasedRequest(
                service="s",
                urgency_class=kind.priority,
                prompt_tokens=kind.prompt_tokens,
                events=demand.events,
                timeout_s=DEADLINE_S,
                target_s=kind.target_s,
            ),
            now=now,
        )
        max_wait_s = MAX_WAIT_FRACTION * kind.target_s
        correction = entry.expectations.correction(kind.name, now=now)
        candidates = [
            dataclasses.replace(item, correction=correction, classes_above=kind.priority)
            for item in entry.candidates
            if entry.leases.may_begin(item.backend.name, "s", kind.priority, now=now)
        ]
        choice = choose(
            demand,
            candidates,
            [],
            rng=self._rng,
            now=now,
            entries=len(self._entries),
            subset=entry.subset,
            max_wait_s=max_wait_s,
        )
        if (
            choice is None
            or choice.backend is None
            or refuse_late(demand, choice, max_wait_s=max_wait_s, rng=self._rng)
        ):
            result.refused += 1
            result.lengths.append((length, False))
            return
        name = choice.backend.name
        entry.leases.note_begun(
            name,
            "s",
            kind.priority,
            prompt_tokens=choice.prefill,
            of_tokens=kind.prompt_tokens,
            now=now,
        )
        entry.trackers[name].note_sent(
            demand.request_id,
            demand,
            prefill=choice.prefill,
            memory=kind.prompt_tokens + kind.output_tokens,
            expected_s=choice.expected_s,
            now=now,
        )
        self._engines[name].add(
            _Run(
                kind=kind,
                key=demand.request_id,
                entry=entry,
                choice=choice,
                sent_at=now,
                prefill_left=kind.prompt_tokens,
                length=length,
                tokens_left=length,
            )
        )

    def _step(self, name: str, results: dict[str, KindResult], now: float) -> float:
        engine = self._engines[name]
        for run in engine.overdue(now):
            engine.remove(run)
            run.entry.trackers[name].note_ended(run.key, failed=False, now=now)
            results[run.kind.name].lengths.append((run.length, False))
            # Of an answer that has begun the beginning was counted.
            results[run.kind.name].caller_left += run.first_at is None
        end, decoded = engine.step(now)
        for run in decoded:
            tracker = run.entry.trackers[name]
            if run.first_at is None:
                run.first_at = end
                tracker.note_first_byte(run.key, now=end)
                run.entry.expectations.note(
                    run.kind.name,
                    expected_s=run.choice.expected_s / run.choice.correction,
                    measured_s=end - run.sent_at,
                    now=end,
                )
                on_time = end - run.sent_at <= run.kind.target_s
                results[run.kind.name].on_time += on_time
                results[run.kind.name].late += not on_time
            made = run.length - run.tokens_left
            if run.kind.event_tokens and (made % run.kind.event_tokens == 0 or not run.tokens_left):
                tracker.note_events(run.key, now=end)
            if run.tokens_left <= 0:
                tracker.note_ended(run.key, failed=False, now=end)
                results[run.kind.name].lengths.append((run.length, True))
        return end

    def _report_load(self, entry: _Entry, now: float) -> None:
        for name, tracker in entry.trackers.items():
            for other in self._entries:
                if other is not entry:
                    other.trackers[name].note_peer_load(entry.name, tracker.local_load, now=now)

    def _renew_leases(self, entry: _Entry, now: float) -> None:
        """Ask the accounts of the entry's engines, whose answers come at once."""
        asked = set(entry.trackers)
        if entry.subset is not None:
            asked = entry.subset.select(asked)
        states = {
            name: EngineState(
                streams=tracker.local_requests,
                gap_s=tracker.stream_pace.gap_s(now=now),
                stream_s=tracker.mean_stream_s,
                prompt_per_s=ENGINE_PROMPT_PER_S / tracker.speed.factor(),
            )
            for name in sorted(asked)
            for tracker in (entry.trackers[name],)
        }
        for name, use in entry.leases.uses("s", states, now=now).items():
            lease = self._accounts[name].grant(entry.name, use, now=now)
            entry.leases.renew(name, "s", lease, asked_at=now)


def _candidates(count: int, *, slots: int) -> list[Candidate]:
    fleet = Fleet()
    for number in range(count):
        record = BackendRecord(
            name=f"i-{number}",
            born=1,
            sequence=1,
            service="s",
            address=f"10.0.0.{number}:80",
            zone="z",
            state=BackendState.SERVING,
            slots=slots,
            warmup_s=0.0,
            age_s=0.0,
        )
        fleet.apply(record, now=0.0)
    return [
        Candidate(
            backend=backend,
            tracker=BackendLoadTracker(now=0.0),
            slots=slots,
            memory_tokens=MEMORY_TOKENS,
        )
        for backend in fleet.backends()
    ]
