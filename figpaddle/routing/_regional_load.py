"""How busy a region is, told in two figures to the entries of others."""

from __future__ import annotations

import dataclasses

from figpaddle.routing._demand import Demand
from figpaddle.routing._ranking import highest_ranked
from figpaddle.routing._regional_choice import (
    MEAN_PROMPT_TOKENS,
    MEMORY_PART,
    Candidate,
    estimate,
)

#: Requests that may be at a plain backend server, as a multiple of its slots: one round of short
#: requests waits while another runs.
PLAIN_QUEUE = 2
#: Time to the first byte that is told where nothing has room, seconds; longer than any deadline.
NO_ROOM_S = 60.0


#: Entries that tell other regions the load of their own: a lost heartbeat of one is made up for by
#: the others, and the rest need not repeat the same figures.
LOAD_TELLERS = 3


def tells_load(name: str, region: str, ready: list[str]) -> bool:
    """Return whether the entry ``name`` tells other regions how busy ``region`` is.

    ``ready`` are the other entries of the region that take callers.

    >>> [tells_load("a", "north", ["b", "c"]), tells_load("a", "north", [])]
    [True, True]
    """
    return name in highest_ranked(region, {*ready, name}, count=LOAD_TELLERS)


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetLoad:
    """The load of the backend servers of one service."""

    #: Time to the first byte of a request of mean size at the best of them, seconds.
    expected_s: float
    #: Requests of mean size that have room without waiting.
    room: int


def load_of(candidates: list[Candidate], *, now: float) -> FleetLoad:
    """Return the load of backend servers.

    >>> load_of([], now=0.0)
    FleetLoad(expected_s=60.0, room=0)
    """
    typical = [_typical(candidate, now=now) for candidate in candidates]
    return FleetLoad(
        expected_s=min((expected_s for expected_s, _ in typical), default=NO_ROOM_S),
        room=sum(free for _, free in typical),
    )


def _typical(candidate: Candidate, *, now: float) -> tuple[float, int]:
    """Return the time to the first byte and the free places for requests of mean size."""
    demand = Demand(
        request_id="",
        member="",
        service="",
        priority=0,
        deadline_s=NO_ROOM_S,
        prompt_tokens=MEAN_PROMPT_TOKENS if candidate.memory_tokens else 0,
    )
    choice = estimate(candidate, demand, now=now)
    if choice is None:
        return NO_ROOM_S, 0
    places = candidate.slots if candidate.memory_tokens else candidate.slots * PLAIN_QUEUE
    free = places - candidate.work.requests(now=now)
    if candidate.memory_tokens:
        left = candidate.memory_tokens * MEMORY_PART - candidate.work.memory(now=now)
        free = min(free, int(left / MEAN_PROMPT_TOKENS))
    return choice.expected_s, max(0, free)
