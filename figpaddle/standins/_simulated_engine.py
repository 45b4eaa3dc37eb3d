"""A simulated engine with continuous batching, prefill, decode and a prefix cache."""

from __future__ import annotations

import dataclasses
import heapq
from collections import OrderedDict
from collections.abc import Callable

from figpaddle.routing import Demand
from figpaddle.wire import CacheEvent

#: Fraction of full speed at which prefill and decode each run while both are active.
SHARED_SPEED_FRACTION = 0.5
#: Tolerance for rounding when the progress of a batch is compared with the end of a response.
EPSILON = 1e-9


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineSpeed:
    """Speed and capacity of an engine."""

    #: Requests in one batch.
    slots: int = 16
    #: Prefill speed while nothing is decoded, prompt tokens per second.
    prefill_tokens_per_s: float = 8000.0
    #: Duration of a decode step, seconds.
    step_s: float = 0.012
    #: Additional duration of the step for each request in the batch, seconds.
    step_s_per_request: float = 0.0008
    #: Size of the prefix cache, tokens.
    cache_tokens: int = 120_000

    def work_s(self, *, uncached_tokens: float, output_tokens: int) -> float:
        """Return the seconds of engine time that a request takes while the batch is full."""
        step_s = self.step_s + self.step_s_per_request * self.slots
        return uncached_tokens / self.prefill_tokens_per_s + output_tokens * step_s / self.slots


@dataclasses.dataclass(kw_only=True, eq=False)
class Job:
    """A request at an engine."""

    #: The request.
    demand: Demand
    #: Actual number of tokens in the response.
    output_tokens: int
    #: Called with the time of the first token and the number of cached prompt tokens.
    on_first_token: Callable[[float, int], None]
    #: Called with the time of the last token.
    on_done: Callable[[float], None]
    #: Whether the job was cancelled or lost with its engine.
    cancelled: bool = False


class SimulatedEngine:
    """Serves jobs; its owner calls ``advance`` at the time that ``next_event_at`` returns."""

    def __init__(self, *, name: str, region: str, speed: EngineSpeed) -> None:
        self.name = name
        self.region = region
        self.speed = speed
        #: Factor on all durations; 10 for an engine that is ten times slower.
        self.slowdown = 1.0
        self.cache_events: list[CacheEvent] = []
        self._cache: OrderedDict[int, int] = OrderedDict()
        self._cached_total_tokens = 0
        #: Heap of priority class, sequence number and job.
        self._queue: list[tuple[int, int, Job]] = []
        #: Heap of the decode step at which the response ends, sequence number and job.
        self._decoding: list[tuple[float, int, Job]] = []
        self._prefilling: Job | None = None
        self._remaining_prefill_tokens = 0.0
        self._prefill_cached_tokens = 0
        self._decoded_steps = 0.0
        self._now = 0.0
        self._sequence = 0

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._decoding) + (self._prefilling is not None)

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot or for prefill."""
        return sum(1 for _, _, job in self._queue if not job.cancelled)

    @property
    def waiting_highest_priority(self) -> int:
        """Waiting requests of priority class 0."""
        return sum(
            1 for priority_class, _, job in self._queue if priority_class == 0 and not job.cancelled
        )

    def prefill_tokens(self, *, priority: int) -> int:
        """Return the prompt tokens that a new request of ``priority`` would wait for."""
        return int(self._remaining_prefill_tokens) + sum(
            job.demand.prompt_tokens - self.cached_tokens(job.demand)
            for priority_class, _, job in self._queue
            if priority_class <= priority and not job.cancelled
        )

    def submit(self, job: Job, *, now: float) -> None:
        """Queue a job."""
        self.advance(now=now)
        self._sequence += 1
        heapq.heappush(self._queue, (job.demand.priority, self._sequence, job))
        self._start_prefill()

    def cancel(self, job: Job, *, now: float) -> None:
        """Cancel a job that has no first token yet and free its slot at once."""
        self.advance(now=now)
        job.cancelled = True
        if self._prefilling is job:
            self._prefilling = None
            self._start_prefill()

    def crash(self) -> None:
        """Drop every job and the cache, as in a crash."""
        for _, _, job in [*self._queue, *self._decoding]:
            job.cancelled = True
        if self._prefilling is not None:
            self._prefilling.cancelled = True
        self._queue, self._decoding, self._prefilling = [], [], None
        self._cache.clear()
        self._cached_total_tokens = 0

    def time_to_first_token_s(self, demand: Demand, *, now: float) -> float:
        """Return the time to the first token of ``demand`` if it were submitted now, seconds."""
        self.advance(now=now)
        speed = self.speed
        uncached_tokens = demand.prompt_tokens - self.cached_tokens(demand)
        jobs_ahead = [
            job for priority_class, _, job in self._queue if priority_class <= demand.priority
        ]
        tokens = uncached_tokens + self._remaining_prefill_tokens
        tokens += sum(
            job.demand.prompt_tokens - self.cached_tokens(job.demand) for job in jobs_ahead
        )
        speed_fraction = SHARED_SPEED_FRACTION if self._decoding else 1.0
        wait_s = tokens / speed.prefill_tokens_per_s / speed_fraction * self.slowdown
        missing_slots = len(jobs_ahead) + 1 + self.running - speed.slots
        if missing_slots > 0:
            end_steps = sorted(end_step for end_step, _, _ in self._decoding)
            index = min(missing_slots, len(end_steps)) - 1
            if index >= 0:
                wait_s += (end_steps[index] - self._decoded_steps) * self._step_s()
        return wait_s

    def cached_tokens(self, demand: Demand) -> int:
        """Return the number of prompt tokens that are in the cache."""
        for prefix in reversed(demand.prefixes):
            if prefix.digest in self._cache:
                return prefix.tokens
        return 0

    def next_event_at(self) -> float | None:
        """Return when the next prefill or response ends, or None if the engine is idle."""
        times = []
        if self._prefilling is not None:
            times.append(self._now + self._remaining_prefill_tokens / self._prefill_rate())
        if self._decoding:
            remaining_steps = max(0.0, self._decoding[0][0] - self._decoded_steps)
            times.append(self._now + remaining_steps * self._step_s())
        return min(times) if times else None

    def advance(self, *, now: float) -> None:
        """Advance the engine to ``now`` and handle everything that ends by then."""
        while True:
            due_at = self.next_event_at()
            if due_at is None or due_at > now:
                break
            self._advance_clock(due_at)
            self._finish_due_work()
            self._start_prefill()
        self._advance_clock(now)

    def _advance_clock(self, time: float) -> None:
        elapsed_s = max(0.0, time - self._now)
        if self._prefilling is not None:
            self._remaining_prefill_tokens -= elapsed_s * self._prefill_rate()
        if self._decoding:
            self._decoded_steps += elapsed_s / self._step_s()
        self._now = max(self._now, time)

    def _finish_due_work(self) -> None:
        while self._decoding and self._decoding[0][0] <= self._decoded_steps + EPSILON:
            _, _, finished_job = heapq.heappop(self._decoding)
            if not finished_job.cancelled:
                finished_job.on_done(self._now)
        job = self._prefilling
        if job is not None and self._remaining_prefill_tokens <= 1e-6:
            self._prefilling = None
            self._cache_prompt(job.demand)
            if job.cancelled:
                return
            job.on_first_token(self._now, self._prefill_cached_tokens)
            self._sequence += 1
            end_step = self._decoded_steps + max(1, job.output_tokens - 1)
            heapq.heappush(self._decoding, (end_step, self._sequence, job))

    def _start_prefill(self) -> None:
        while self._queue and self._prefilling is None and self.running < self.speed.slots:
            _, _, job = heapq.heappop(self._queue)
            if job.cancelled:
                continue
            self._prefilling = job
            self._prefill_cached_tokens = self.cached_tokens(job.demand)
            self._remaining_prefill_tokens = max(
                1.0, job.demand.prompt_tokens - self._prefill_cached_tokens
            )

    def _prefill_rate(self) -> float:
        speed_fraction = SHARED_SPEED_FRACTION if self._decoding else 1.0
        return self.speed.prefill_tokens_per_s * speed_fraction / self.slowdown

    def _step_s(self) -> float:
        speed_fraction = SHARED_SPEED_FRACTION if self._prefilling is not None else 1.0
        step_s = self.speed.step_s + self.speed.step_s_per_request * len(self._decoding)
        return step_s / speed_fraction * self.slowdown

    def _cache_prompt(self, demand: Demand) -> None:
        cached_before = 0
        for prefix in demand.prefixes:
            size_tokens = prefix.tokens - cached_before
            cached_before = prefix.tokens
            if prefix.digest not in self._cache:
                self._cache[prefix.digest] = size_tokens
                self._cached_total_tokens += size_tokens
                self.cache_events.append(CacheEvent(digest=prefix.digest, stored=True))
        for prefix in reversed(demand.prefixes):
            self._cache.move_to_end(prefix.digest)
        while self._cached_total_tokens > self.speed.cache_tokens and len(self._cache) > 1:
            digest, size_tokens = self._cache.popitem(last=False)
            self._cached_total_tokens -= size_tokens
            self.cache_events.append(CacheEvent(digest=digest, stored=False))
