"""Summary of a region's load for the entry instances of other regions."""

from __future__ import annotations

import dataclasses

from figpaddle.routing._demand import Demand
from figpaddle.routing._regional_placement import (
    MAX_MEMORY_FRACTION,
    MEAN_PROMPT_TOKENS,
    Candidate,
    estimate,
)

#: Requests that a plain backend server may hold, as a multiple of its slots: one round of short
#: requests waits while another runs.
PLAIN_CONCURRENCY_FACTOR = 2
#: Expected time to the first byte that stands for a lack of capacity, seconds; longer than any
#: deadline.
EXPECTED_WITHOUT_CAPACITY_S = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetLoad:
    """The load of the backend servers of one service for requests of one priority."""

    #: Lowest expected time to the first byte of a request of mean size, seconds.
    expected_s: float
    #: Number of further requests of mean size that the backend servers may hold.
    room: int


def summarize_load(candidates: list[Candidate], *, priority: int, now: float) -> FleetLoad:
    """Return the load summary of backend servers for requests of ``priority``.

    >>> summarize_load([], priority=0, now=0.0)
    FleetLoad(expected_s=60.0, room=0)
    """
    estimates = [_mean_request_estimate(candidate, priority, now=now) for candidate in candidates]
    return FleetLoad(
        expected_s=min(
            (expected_s for expected_s, _ in estimates), default=EXPECTED_WITHOUT_CAPACITY_S
        ),
        room=sum(free_capacity for _, free_capacity in estimates),
    )


def _mean_request_estimate(candidate: Candidate, priority: int, *, now: float) -> tuple[float, int]:
    """Return the time to the first byte and the free capacity for requests of mean size."""
    demand = Demand(
        request_id="",
        member="",
        service="",
        priority=priority,
        deadline_s=EXPECTED_WITHOUT_CAPACITY_S,
        prompt_tokens=MEAN_PROMPT_TOKENS if candidate.memory_tokens else 0,
    )
    choice = estimate(candidate, demand, now=now)
    if choice is None:
        return EXPECTED_WITHOUT_CAPACITY_S, 0
    tracker = candidate.tracker
    if not candidate.memory_tokens:
        free_capacity = candidate.slots * PLAIN_CONCURRENCY_FACTOR - tracker.requests(now=now)
        return choice.expected_s, max(0, free_capacity)
    # Waiting requests that are less urgent take no slot from this one.
    running = min(candidate.slots, tracker.requests(now=now))
    ahead = tracker.work_ahead(priority, slots=candidate.slots, now=now)
    free_slots = candidate.slots - running - ahead.requests
    free_memory = candidate.memory_tokens * MAX_MEMORY_FRACTION - tracker.memory(now=now)
    return choice.expected_s, max(0, min(free_slots, int(free_memory / MEAN_PROMPT_TOKENS)))
