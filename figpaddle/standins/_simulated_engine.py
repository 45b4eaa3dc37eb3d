"""An engine under a virtual clock: continuous batching, prefill, decode and a prefix cache."""

from __future__ import annotations

import dataclasses
import heapq
from collections import OrderedDict
from collections.abc import Callable

from figpaddle.routing import Demand
from figpaddle.wire import CacheEvent

#: Part of its speed that each of prefill and decode keeps while both run.
SHARED_SPEED = 0.5
#: Rounding left when the progress of a batch is compared with a target.
EPSILON = 1e-9


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineSpeed:
    """Speed and size of an engine."""

    #: Requests in one batch.
    slots: int = 16
    #: Prompt tokens a second while nothing is decoded.
    prefill_tokens_per_s: float = 8000.0
    #: Time of a decoding step, seconds.
    step_s: float = 0.012
    #: Addition to the step for each request in the batch, seconds.
    step_s_per_request: float = 0.0008
    #: Size of the prefix cache, tokens.
    cache_tokens: int = 120_000

    def work_s(self, *, uncached_tokens: float, output_tokens: int) -> float:
        """Return the seconds of a full engine that a request takes."""
        step_s = self.step_s + self.step_s_per_request * self.slots
        return uncached_tokens / self.prefill_tokens_per_s + output_tokens * step_s / self.slots


@dataclasses.dataclass(kw_only=True, eq=False)
class Job:
    """A request at an engine."""

    #: The request.
    demand: Demand
    #: Tokens that the answer really has.
    output_tokens: int
    #: Called with the time of the first token and with the cached tokens of the prompt.
    on_first: Callable[[float, int], None]
    #: Called with the time of the last token.
    on_done: Callable[[float], None]
    #: Whether the caller gave up.
    cancelled: bool = False


class VirtualEngine:
    """Serves jobs; the owner calls ``advance`` at the time that ``next_at`` names."""

    def __init__(self, *, name: str, region: str, speed: EngineSpeed) -> None:
        self.name = name
        self.region = region
        self.speed = speed
        #: Factor on all times; 10 for an engine that is ten times slow.
        self.slow = 1.0
        self.cache_events: list[CacheEvent] = []
        self._cache: OrderedDict[int, int] = OrderedDict()
        self._cache_used = 0
        self._queue: list[tuple[int, int, Job]] = []
        self._decoding: list[tuple[float, int, Job]] = []
        self._prefilling: Job | None = None
        self._prefill_left = 0.0
        self._prefill_cached = 0
        self._progress = 0.0
        self._now = 0.0
        self._sequence = 0

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._decoding) + (self._prefilling is not None)

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot or for their prefill."""
        return sum(1 for _, _, job in self._queue if not job.cancelled)

    @property
    def waiting_first(self) -> int:
        """Waiting requests of priority class 0."""
        return sum(1 for first, _, job in self._queue if first == 0 and not job.cancelled)

    def prefill_tokens(self, *, priority: int) -> int:
        """Return the prompt tokens that a new request of ``priority`` would wait for."""
        return int(self._prefill_left) + sum(
            job.demand.prompt_tokens - self.cached_tokens(job.demand)
            for first, _, job in self._queue
            if first <= priority and not job.cancelled
        )

    def submit(self, job: Job, *, now: float) -> None:
        """Take a job."""
        self.advance(now=now)
        self._sequence += 1
        heapq.heappush(self._queue, (job.demand.priority, self._sequence, job))
        self._fill()

    def cancel(self, job: Job, *, now: float) -> None:
        """Stop a job that has no first token yet; its slot is free at once."""
        self.advance(now=now)
        job.cancelled = True
        if self._prefilling is job:
            self._prefilling = None
            self._fill()

    def clear(self) -> None:
        """Lose every job and the cache."""
        for _, _, job in [*self._queue, *self._decoding]:
            job.cancelled = True
        if self._prefilling is not None:
            self._prefilling.cancelled = True
        self._queue, self._decoding, self._prefilling = [], [], None
        self._cache.clear()
        self._cache_used = 0

    def expected_wait_s(self, demand: Demand, *, now: float) -> float:
        """Return the true time to the first token that ``demand`` would meet."""
        self.advance(now=now)
        speed = self.speed
        uncached = demand.prompt_tokens - self.cached_tokens(demand)
        ahead = [job for first, _, job in self._queue if first <= demand.priority]
        tokens = uncached + self._prefill_left
        tokens += sum(job.demand.prompt_tokens - self.cached_tokens(job.demand) for job in ahead)
        sharing = SHARED_SPEED if self._decoding else 1.0
        wait_s = tokens / speed.prefill_tokens_per_s / sharing * self.slow
        missing = len(ahead) + 1 + self.running - speed.slots
        if missing > 0:
            ends = sorted(target for target, _, _ in self._decoding)
            index = min(missing, len(ends)) - 1
            if index >= 0:
                wait_s += (ends[index] - self._progress) * self._step_s()
        return wait_s

    def cached_tokens(self, demand: Demand) -> int:
        """Return the tokens of the prompt that are in the cache."""
        for prefix in reversed(demand.prefixes):
            if prefix.digest in self._cache:
                return prefix.tokens
        return 0

    def next_at(self) -> float | None:
        """Return when something ends next, or None."""
        times = []
        if self._prefilling is not None:
            times.append(self._now + self._prefill_left / self._prefill_rate())
        if self._decoding:
            left = max(0.0, self._decoding[0][0] - self._progress)
            times.append(self._now + left * self._step_s())
        return min(times) if times else None

    def advance(self, *, now: float) -> None:
        """Do everything that ends up to ``now``."""
        while True:
            due = self.next_at()
            if due is None or due > now:
                break
            self._move_to(due)
            self._end_what_is_due()
            self._fill()
        self._move_to(now)

    def _move_to(self, moment: float) -> None:
        passed = max(0.0, moment - self._now)
        if self._prefilling is not None:
            self._prefill_left -= passed * self._prefill_rate()
        if self._decoding:
            self._progress += passed / self._step_s()
        self._now = max(self._now, moment)

    def _end_what_is_due(self) -> None:
        while self._decoding and self._decoding[0][0] <= self._progress + EPSILON:
            _, _, done = heapq.heappop(self._decoding)
            if not done.cancelled:
                done.on_done(self._now)
        job = self._prefilling
        if job is not None and self._prefill_left <= 1e-6:
            self._prefilling = None
            self._store(job.demand)
            if job.cancelled:
                return
            job.on_first(self._now, self._prefill_cached)
            self._sequence += 1
            target = self._progress + max(1, job.output_tokens - 1)
            heapq.heappush(self._decoding, (target, self._sequence, job))

    def _fill(self) -> None:
        while self._queue and self._prefilling is None and self.running < self.speed.slots:
            _, _, job = heapq.heappop(self._queue)
            if job.cancelled:
                continue
            self._prefilling = job
            self._prefill_cached = self.cached_tokens(job.demand)
            self._prefill_left = max(1.0, job.demand.prompt_tokens - self._prefill_cached)

    def _prefill_rate(self) -> float:
        sharing = SHARED_SPEED if self._decoding else 1.0
        return self.speed.prefill_tokens_per_s * sharing / self.slow

    def _step_s(self) -> float:
        sharing = SHARED_SPEED if self._prefilling is not None else 1.0
        step_s = self.speed.step_s + self.speed.step_s_per_request * len(self._decoding)
        return step_s / sharing * self.slow

    def _store(self, demand: Demand) -> None:
        before = 0
        for prefix in demand.prefixes:
            size = prefix.tokens - before
            before = prefix.tokens
            if prefix.digest not in self._cache:
                self._cache[prefix.digest] = size
                self._cache_used += size
                self.cache_events.append(CacheEvent(digest=prefix.digest, stored=True))
        for prefix in reversed(demand.prefixes):
            self._cache.move_to_end(prefix.digest)
        while self._cache_used > self.speed.cache_tokens and len(self._cache) > 1:
            digest, size = self._cache.popitem(last=False)
            self._cache_used -= size
            self.cache_events.append(CacheEvent(digest=digest, stored=False))
