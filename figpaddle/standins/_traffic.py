"""Generated traffic: multi-turn sessions in workspaces, with daily peaks offset by region."""

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

#: Assumed prompt bytes per token.
BYTES_PER_TOKEN = 4
#: Amplitude of the daily load curve, as a fraction of the mean.
PEAK_AMPLITUDE = 0.5
#: Assumed time between output tokens; the think time starts after the last one.
ASSUMED_TOKEN_S = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestClass:
    """Parameters of the requests of one priority class."""

    #: Name in results.
    name: str
    #: Priority class.
    priority: int
    #: Fraction of all sessions.
    session_fraction: float
    #: Deadline of the first token, seconds from arrival.
    deadline_s: float
    #: Length of the prefix common to all prompts of the class, tokens.
    common_tokens: int
    #: Length of the prefix that the sessions of a workspace share, tokens.
    workspace_tokens: int
    #: Mean number of prompt tokens that each turn adds.
    turn_tokens: int
    #: Mean number of tokens of a response.
    output_tokens: int
    #: Mean number of turns of a session.
    turns: float
    #: Mean time between a response and the next turn, seconds.
    think_s: float
    #: Size of the documents in the request body, bytes.
    document_bytes: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TrafficProfile:
    """Parameters of the traffic of one member."""

    #: Name of the member.
    member: str
    #: Name of the service.
    service: str
    #: Regions, in the order of their daily peaks.
    regions: tuple[str, ...]
    #: Request classes.
    classes: tuple[RequestClass, ...]
    #: Number of workspaces in each region.
    workspaces: int
    #: Length of a simulated day, seconds.
    day_s: float = 1200.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """One generated request."""

    #: Arrival time, seconds.
    arrived_at: float
    #: Region of the caller.
    region: str
    #: Number that identifies the caller, so that its requests reach the same entry instance.
    caller_number: int
    #: Class of the request.
    request_class: RequestClass
    #: Demand of the request as the policy sees it.
    demand: Demand
    #: Actual number of tokens in the response.
    output_tokens: int
    #: Number of prompt tokens that no earlier request can have cached.
    new_tokens: int


class Traffic:
    """Generates arrivals from a seed; the same seed gives the same arrivals for every policy."""

    def __init__(
        self,
        *,
        profile: TrafficProfile,
        rate_per_s: float,
        seed: int,
        hot_session_fraction: float = 0.0,
    ) -> None:
        self._profile = profile
        self._rng = random.Random(f"traffic/{profile.member}/{seed}")
        turns = sum(item.session_fraction * item.turns for item in profile.classes)
        self._sessions_per_s = rate_per_s / turns
        self._hot_session_fraction = hot_session_fraction
        self._sequence_numbers = itertools.count()

    def arrivals(self, *, until: float, hot_starts_at: float = math.inf) -> Iterator[Arrival]:
        """Yield the arrivals before ``until`` in order of time.

        Sessions that start at ``hot_starts_at`` or later may use the hot workspace.
        """
        pending: list[tuple[float, int, Arrival, int]] = []
        peak_sessions_per_s = self._sessions_per_s * (1 + PEAK_AMPLITUDE)
        next_session = self._rng.expovariate(peak_sessions_per_s)
        while next_session < until or pending:
            if pending and pending[0][0] <= next_session:
                _, _, arrival, turns = heapq.heappop(pending)
                if arrival.arrived_at >= until:
                    continue
                yield arrival
                if turns > 1:
                    following = self._next_turn(arrival)
                    entry = (
                        following.arrived_at,
                        next(self._sequence_numbers),
                        following,
                        turns - 1,
                    )
                    heapq.heappush(pending, entry)
                continue
            if next_session >= until:
                next_session = math.inf
                continue
            for arrival, turns in self._start_session(
                next_session, peak_sessions_per_s, hot_starts_at
            ):
                heapq.heappush(
                    pending, (arrival.arrived_at, next(self._sequence_numbers), arrival, turns)
                )
            next_session += self._rng.expovariate(peak_sessions_per_s)

    def _start_session(
        self, arrived_at: float, peak_sessions_per_s: float, hot_starts_at: float
    ) -> Iterator[tuple[Arrival, int]]:
        rng = self._rng
        regions = self._profile.regions
        index = rng.randrange(len(regions))
        daily_variation = math.cos(
            2 * math.pi * (arrived_at / self._profile.day_s - index / len(regions))
        )
        if rng.random() > (1 + PEAK_AMPLITUDE * daily_variation) / (1 + PEAK_AMPLITUDE):
            return
        request_class = rng.choices(
            self._profile.classes, weights=[item.session_fraction for item in self._profile.classes]
        )[0]
        region = regions[index]
        caller_number = rng.randrange(1 << 30)
        # The smaller of two random numbers makes some workspaces more popular than others.
        workspace_number = min(
            rng.randrange(self._profile.workspaces), rng.randrange(self._profile.workspaces)
        )
        workspace = f"{region}/{workspace_number}"
        if (
            self._hot_session_fraction
            and arrived_at >= hot_starts_at
            and rng.random() < self._hot_session_fraction
        ):
            workspace = "hot"
        prefixes = self._session_prefixes(request_class, workspace)
        arrival = self._make_arrival(arrived_at, region, caller_number, request_class, prefixes)
        stop_probability = 1 / max(1.0, request_class.turns)
        turns = 1
        while rng.random() > stop_probability:
            turns += 1
        yield arrival, turns

    def _session_prefixes(self, request_class: RequestClass, workspace: str) -> tuple[Prefix, ...]:
        common_digest = zlib.crc32(f"{self._profile.service}/{request_class.name}".encode())
        workspace_digest = zlib.crc32(f"{request_class.name}/{workspace}".encode())
        total_tokens = request_class.common_tokens + request_class.workspace_tokens
        return (
            Prefix(digest=common_digest, tokens=request_class.common_tokens),
            Prefix(digest=workspace_digest, tokens=total_tokens),
        )

    def _next_turn(self, previous: Arrival) -> Arrival:
        think_s = self._rng.expovariate(1 / previous.request_class.think_s)
        arrived_at = previous.arrived_at + think_s + previous.output_tokens * ASSUMED_TOKEN_S
        return self._make_arrival(
            arrived_at,
            previous.region,
            previous.caller_number,
            previous.request_class,
            previous.demand.prefixes,
            previous.output_tokens,
        )

    def _make_arrival(
        self,
        arrived_at: float,
        region: str,
        caller_number: int,
        request_class: RequestClass,
        prefixes: tuple[Prefix, ...],
        previous_output_tokens: int = 0,
    ) -> Arrival:
        rng = self._rng
        added_tokens = max(8, int(rng.expovariate(1 / request_class.turn_tokens)))
        output_tokens = max(8, int(rng.expovariate(1 / request_class.output_tokens)))
        number = next(self._sequence_numbers)
        total_tokens = prefixes[-1].tokens + previous_output_tokens + added_tokens
        turn_prefix = Prefix(
            digest=zlib.crc32(f"turn/{caller_number}/{number}".encode()), tokens=total_tokens
        )
        demand = Demand(
            request_id=f"{number}",
            member=self._profile.member,
            service=self._profile.service,
            priority=request_class.priority,
            deadline_s=request_class.deadline_s,
            prefixes=(*prefixes, turn_prefix),
            prompt_tokens=total_tokens,
            output_tokens=request_class.output_tokens,
            body_bytes=total_tokens * BYTES_PER_TOKEN + request_class.document_bytes,
        )
        return Arrival(
            arrived_at=arrived_at,
            region=region,
            caller_number=caller_number,
            request_class=request_class,
            demand=demand,
            output_tokens=output_tokens,
            new_tokens=previous_output_tokens + added_tokens,
        )
