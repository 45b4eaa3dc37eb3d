"""The load generator: sessions of several turns, workspaces, and daily peaks offset by region."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
import zlib
from collections.abc import Iterator

from figpaddle.routing import Demand
from figpaddle.wire import Prefix

#: Bytes of a prompt for each token.
BYTES_PER_TOKEN = 4
#: Height of the daily peak over the mean, and depth of the trough under it.
PEAK_SWING = 0.5
#: Time between tokens after which the next turn's thinking begins, seconds.
ASSUMED_TOKEN_S = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClassShape:
    """Requests of one priority class."""

    #: Name in results.
    name: str
    #: Priority class.
    priority: int
    #: Part of all sessions.
    part: float
    #: Time allowed to the first token, seconds.
    deadline_s: float
    #: Tokens that all prompts of the class begin with.
    common_tokens: int
    #: Tokens of a workspace, shared by its sessions.
    workspace_tokens: int
    #: Tokens that each turn adds, on average.
    turn_tokens: int
    #: Tokens of an answer, on average.
    output_tokens: int
    #: Turns of a session, on average.
    turns: float
    #: Time between an answer and the next turn, seconds on average.
    think_s: float
    #: Documents sent along, bytes.
    document_bytes: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TrafficShape:
    """All traffic of one member."""

    #: Member.
    member: str
    #: Service.
    service: str
    #: Regions, in the order of their peaks.
    regions: tuple[str, ...]
    #: Classes.
    classes: tuple[ClassShape, ...]
    #: Workspaces of each region.
    workspaces: int
    #: Length of the compressed day, seconds.
    day_s: float = 1200.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request of the load."""

    #: When it arrives, seconds.
    at: float
    #: Region of the caller.
    region: str
    #: Key that keeps a caller with its entry instance.
    caller: int
    #: Class.
    shape: ClassShape
    #: The request.
    demand: Demand
    #: Tokens that the answer really has.
    output_tokens: int
    #: Tokens of the prompt that no earlier request can have had.
    new_tokens: int


class Traffic:
    """A seeded sequence of arrivals, the same for every policy."""

    def __init__(
        self, *, shape: TrafficShape, rate_per_s: float, seed: int, hot_part: float = 0.0
    ) -> None:
        self._shape = shape
        self._rng = random.Random(f"traffic/{shape.member}/{seed}")
        turns = sum(entry.part * entry.turns for entry in shape.classes)
        self._sessions_per_s = rate_per_s / turns
        self._hot_part = hot_part
        self._numbers = itertools.count()

    def arrivals(self, *, until: float, hot_from: float = math.inf) -> Iterator[Arrival]:
        """Yield the arrivals in order of time."""
        heap: list[tuple[float, int, Arrival, int]] = []
        peak = self._sessions_per_s * (1 + PEAK_SWING)
        next_session = self._rng.expovariate(peak)
        while next_session < until or heap:
            if heap and heap[0][0] <= next_session:
                _, _, arrival, turns = heapq.heappop(heap)
                if arrival.at >= until:
                    continue
                yield arrival
                if turns > 1:
                    following = self._next_turn(arrival)
                    entry = (following.at, next(self._numbers), following, turns - 1)
                    heapq.heappush(heap, entry)
                continue
            if next_session >= until:
                next_session = math.inf
                continue
            for arrival, turns in self._begin(next_session, peak, hot_from):
                heapq.heappush(heap, (arrival.at, next(self._numbers), arrival, turns))
            next_session += self._rng.expovariate(peak)

    def _begin(self, at: float, peak: float, hot_from: float) -> Iterator[tuple[Arrival, int]]:
        rng = self._rng
        regions = self._shape.regions
        index = rng.randrange(len(regions))
        swing = math.cos(2 * math.pi * (at / self._shape.day_s - index / len(regions)))
        if rng.random() > (1 + PEAK_SWING * swing) / (1 + PEAK_SWING):
            return
        shape = rng.choices(
            self._shape.classes, weights=[entry.part for entry in self._shape.classes]
        )[0]
        region = regions[index]
        caller = rng.randrange(1 << 30)
        popular = min(rng.randrange(self._shape.workspaces), rng.randrange(self._shape.workspaces))
        workspace = f"{region}/{popular}"
        if self._hot_part and at >= hot_from and rng.random() < self._hot_part:
            workspace = "hot"
        prefixes = self._opening(shape, workspace)
        arrival = self._arrival(at, region, caller, shape, prefixes)
        stops = 1 / max(1.0, shape.turns)
        turns = 1
        while rng.random() > stops:
            turns += 1
        yield arrival, turns

    def _opening(self, shape: ClassShape, workspace: str) -> tuple[Prefix, ...]:
        common = zlib.crc32(f"{self._shape.service}/{shape.name}".encode())
        own = zlib.crc32(f"{shape.name}/{workspace}".encode())
        length = shape.common_tokens + shape.workspace_tokens
        return (
            Prefix(digest=common, tokens=shape.common_tokens),
            Prefix(digest=own, tokens=length),
        )

    def _next_turn(self, last: Arrival) -> Arrival:
        think_s = self._rng.expovariate(1 / last.shape.think_s)
        at = last.at + think_s + last.output_tokens * ASSUMED_TOKEN_S
        return self._arrival(
            at, last.region, last.caller, last.shape, last.demand.prefixes, last.output_tokens
        )

    def _arrival(
        self,
        at: float,
        region: str,
        caller: int,
        shape: ClassShape,
        prefixes: tuple[Prefix, ...],
        history_tokens: int = 0,
    ) -> Arrival:
        rng = self._rng
        added = max(8, int(rng.expovariate(1 / shape.turn_tokens)))
        output = max(8, int(rng.expovariate(1 / shape.output_tokens)))
        number = next(self._numbers)
        length = prefixes[-1].tokens + history_tokens + added
        own = Prefix(digest=zlib.crc32(f"turn/{caller}/{number}".encode()), tokens=length)
        demand = Demand(
            request_id=f"{number}",
            member=self._shape.member,
            service=self._shape.service,
            priority=shape.priority,
            deadline_s=shape.deadline_s,
            prefixes=(*prefixes, own),
            prompt_tokens=length,
            output_tokens=shape.output_tokens,
            body_bytes=length * BYTES_PER_TOKEN + shape.document_bytes,
        )
        return Arrival(
            at=at,
            region=region,
            caller=caller,
            shape=shape,
            demand=demand,
            output_tokens=output,
            new_tokens=history_tokens + added,
        )
