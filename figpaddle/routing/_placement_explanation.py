"""What placement expects of each backend server for one request, and the parts of the score."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from figpaddle.routing._backend_speed import fastest_factor
from figpaddle.routing._demand import Demand
from figpaddle.routing._regional_placement import (
    FAILURE_PENALTY_S,
    Candidate,
    Choice,
    candidate_is_healthy,
    estimate,
    preferred_engine,
    recompute_penalty_s,
    start_penalty_s,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ScoreParts:
    """The parts of the score of a backend server, seconds; their sum is the score."""

    #: Expected time to the first byte.
    expected_s: float
    #: Penalty for the use of its slots and memory.
    load_s: float
    #: Penalty for computing a shared prefix that another engine probably keeps.
    prefix_s: float
    #: Penalty for recent failures.
    failures_s: float
    #: Penalty for use beyond the pace of a server that has just started.
    start_s: float
    #: Penalty for pauses between the events of its streams.
    pauses_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExplainedCandidate:
    """What placement expects of one backend server."""

    candidate: Candidate
    #: Whether it is used before those that fail or answer late.
    is_healthy: bool
    #: Requests in progress there, estimated.
    requests: int
    #: The expected outcome; None if its memory has no room for the request.
    choice: Choice | None
    parts: ScoreParts | None
    #: Prompt tokens that its cache probably holds.
    cached_tokens: float
    #: Factor on the time of work that was learned of it.
    speed_factor: float
    #: Factor on the time of work at this moment, as it states.
    pace: float


def explain_candidates(
    candidates: Sequence[Candidate], demand: Demand, *, now: float
) -> list[ExplainedCandidate]:
    """Return what ``choose`` expects of each of some backend servers, the best score first.

    Unlike ``choose``, which estimates only a sample, this estimates all of them.
    """
    preferred = preferred_engine(demand, [candidate.backend.name for candidate in candidates])
    healthy = [
        candidate_is_healthy(candidate, demand.priority, now=now) for candidate in candidates
    ]
    fastest = {
        is_healthy: fastest_factor(
            candidate.tracker.speed
            for candidate, other in zip(candidates, healthy, strict=True)
            if other is is_healthy
        )
        for is_healthy in (True, False)
    }
    explained = [
        _explain(
            dataclasses.replace(
                candidate,
                is_preferred=candidate.backend.name == preferred,
                fastest_factor=fastest[is_healthy],
            ),
            demand,
            is_healthy=is_healthy,
            now=now,
        )
        for candidate, is_healthy in zip(candidates, healthy, strict=True)
    ]
    return sorted(explained, key=_order)


def _explain(
    candidate: Candidate, demand: Demand, *, is_healthy: bool, now: float
) -> ExplainedCandidate:
    tracker = candidate.tracker
    requests = tracker.requests(now=now)
    choice = estimate(candidate, demand, now=now)
    return ExplainedCandidate(
        candidate=candidate,
        is_healthy=is_healthy,
        requests=requests,
        choice=choice,
        parts=None if choice is None else _parts(candidate, demand, choice, requests, now=now),
        cached_tokens=tracker.cache.cached_tokens(demand.prefixes, now=now),
        speed_factor=tracker.speed.factor(fastest=candidate.fastest_factor),
        pace=tracker.pace(now=now),
    )


def _parts(
    candidate: Candidate, demand: Demand, choice: Choice, requests: int, *, now: float
) -> ScoreParts:
    prefix_s = recompute_penalty_s(candidate, demand, choice.prefill)
    failures_s = FAILURE_PENALTY_S * candidate.tracker.failure_rate(now=now)
    start_s = start_penalty_s(candidate, requests)
    others_s = choice.expected_s + prefix_s + failures_s + start_s + choice.pause_s
    return ScoreParts(
        expected_s=choice.expected_s,
        load_s=choice.score - others_s,
        prefix_s=prefix_s,
        failures_s=failures_s,
        start_s=start_s,
        pauses_s=choice.pause_s,
    )


def _order(explained: ExplainedCandidate) -> tuple[bool, bool, float]:
    choice = explained.choice
    return choice is None, not explained.is_healthy, 0.0 if choice is None else choice.score
