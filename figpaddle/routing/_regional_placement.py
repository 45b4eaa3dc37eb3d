"""Placement of a request on a backend server or another region, and refusal of late requests."""

from __future__ import annotations

import dataclasses
import math
import random

from figpaddle.routing._backend_load import (
    BASE_FIRST_TOKEN_S,
    PREFILL_TOKENS_PER_S,
    BackendLoadTracker,
)
from figpaddle.routing._backend_speed import fastest_factor
from figpaddle.routing._demand import Demand
from figpaddle.routing._expectation import NO_CORRECTION, Correction
from figpaddle.routing._fleet import FleetBackend
from figpaddle.routing._pause_risk import PauseRisk, pause_risk_penalty_s
from figpaddle.routing._ranking import highest_ranked, unit_weight
from figpaddle.routing._retry_after import jittered_retry_after
from figpaddle.routing._stream_pace import pause_penalty_s
from figpaddle.routing._subsets import BackendSubset

#: Fraction of an engine's memory that running requests may take. Above it the engine preempts
#: requests and has to recompute their prompts.
MAX_MEMORY_FRACTION = 0.92
#: Fraction of an engine's slots up to which requests start without queueing.
SLOTS_FRACTION = 1.0
#: Fraction of an engine's slots that a request leaves free for each more urgent priority class, times
#: the number of those classes: the classes in between leave some free too. Long streams keep a slot
#: for seconds; with all slots taken by less urgent ones, an urgent request would wait for one to end.
RESERVED_FRACTION_PER_CLASS = 0.05
#: Largest fraction of the slots that is left free in this way.
MAX_RESERVED_FRACTION = 0.36
#: Penalty for full utilization of an engine, seconds of waiting. It spreads requests before queues
#: build up.
UTILIZATION_PENALTY_S = 0.15
#: Utilization of an engine's slots or memory from which a request may preempt another, and the
#: additional penalty per unit of utilization above it, seconds. A preempted request has to
#: recompute its prompt. Higher penalties send more requests to another region than a quiet region
#: can take.
HIGH_UTILIZATION, HIGH_UTILIZATION_PENALTY_S = 0.85, 1.0
#: Penalty for full utilization of a plain server, as a multiple of its mean request time. Its queue
#: empties within a few request times, long before a request could reach another region.
PLAIN_UTILIZATION_PENALTY = 1.0
#: Penalty for a failure rate of 1, seconds of waiting; covers a second attempt and the caller's own
#: retry.
FAILURE_PENALTY_S = 2.0
#: Penalty for leaving the region in addition to the round trip, seconds of waiting, for plain
#: requests.
PLAIN_REMOTE_PENALTY_S = 0.15
#: The same for a prompt with almost no prefill, and the minimum for a long one. After the round
#: trip, a target of 0.6 s leaves a short prompt no slack. In between, the penalty falls by the
#: local prefill time, counted once for the prompt and once for one that would wait behind it.
SHORT_PROMPT_REMOTE_PENALTY_S, LONG_PROMPT_REMOTE_PENALTY_S = 0.4, 0.05
PREFILL_RELIEF_WEIGHT = 2.0
#: Maximum by which the shared prefix of a prompt raises or lowers the score of a region, seconds;
#: the time that recomputing a typical shared prefix takes.
PREFIX_AFFINITY_S = 0.12
#: Penalty for recomputing a shared prefix that another engine of the region probably caches, as a
#: multiple of the prefill time. Recomputing also delays all other prompts of the engine.
PREFIX_RECOMPUTE_PENALTY = 1.5
#: Scores that differ by at most this count as equal, seconds.
SCORE_TOLERANCE_S = 0.01
#: Minimum number of backend servers sampled at random for one request; the best of them is used.
#: Two choices spread requests best while the load of other entries is known late; with more, all
#: entries choose the same one.
MIN_SAMPLED = 2
#: Backend servers above this failure rate or slowness are sampled only if no healthy one is usable.
#: One failure among few requests exceeds the rate; occasional failures that a service causes by
#: itself don't.
MAX_HEALTHY_FAILURE_RATE, MAX_HEALTHY_SLOWNESS = 0.17, 2.0
#: Minimum prefill time that a cached prefix must save for its engine to be considered beside the
#: sampled ones, seconds.
MIN_CACHE_SAVING_S = 0.02
#: How long a request sent to another region counts there in addition to the reported load, seconds:
#: one heartbeat interval and half a round trip.
REMOTE_REPORT_DELAY_S = 0.7
#: Fraction of the remaining time within which a response must be expected to begin.
MAX_DEADLINE_FRACTION = 0.8
#: Mean prompt length, used where one figure stands for a region's load, tokens.
MEAN_PROMPT_TOKENS = 3000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A backend server that may be chosen."""

    backend: FleetBackend
    tracker: BackendLoadTracker
    #: Number of requests that it processes at once.
    slots: int
    #: How many of the slots are used while it has just started; None for all.
    paced_slots: int | None = None
    #: Number of priority classes at the service that are more urgent than the request.
    classes_above: int = 0
    #: Memory of an engine, tokens; 0 for a plain server, which is not a model engine.
    memory_tokens: int
    #: Speed factor of the fastest engine that may be chosen.
    fastest_factor: float = 1.0
    #: Whether all entries of the region prefer this engine for the prompt's shared prefix.
    is_preferred: bool = False
    #: Correction of the estimated time to the first byte, from ``ExpectationModel``.
    correction: Correction = NO_CORRECTION


@dataclasses.dataclass(frozen=True, kw_only=True)
class RemoteRegion:
    """Another region that may serve a request."""

    region: str
    #: Expected time to the first token there for a request of mean size, seconds.
    expected_s: float
    #: Number of requests that it can accept without queueing.
    room: int
    #: Backend servers in use there.
    backends: int
    #: Round-trip time, seconds.
    round_trip_s: float
    #: Requests that this entry sent there recently and that the reported load may not include yet.
    recently_sent: int
    #: Risk of streams that this entry sent there; None if it sent none.
    pause_risk: PauseRisk | None = None
    #: Correction of the estimated time to the first byte, from ``ExpectationModel``.
    correction: Correction = NO_CORRECTION


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """Where a request goes, and what is expected there."""

    #: The backend server, or None if the request goes to another region.
    backend: FleetBackend | None
    #: The other region; empty for the local one.
    region: str
    #: Expected time to the first byte, seconds.
    expected_s: float
    #: The part of it that the request spends waiting because of other requests, seconds.
    wait_s: float
    #: The factor in ``expected_s`` by which the estimate was corrected.
    correction: float = 1.0
    #: The expected time at an engine of the usual speed, seconds; 0 for other places.
    usual_s: float = 0.0
    #: The part of the score for pauses between the events of a stream, seconds.
    pause_s: float = 0.0
    #: Prompt tokens to be computed.
    prefill: float
    #: Score in seconds; the lowest one wins.
    score: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """The reason and retry delay of a refused request."""

    #: Identifier of the reason.
    reason: str
    #: Delay after which the caller should retry, seconds.
    retry_after_s: float


def shared_prefix_tokens(demand: Demand) -> int:
    """Return the length of the prefix that a prompt shares with other requests, tokens.

    The last block of a prompt belongs to its request or session alone.
    """
    return demand.prefixes[-2].tokens if len(demand.prefixes) > 1 else 0


def preferred_engine(demand: Demand, names: list[str]) -> str:
    """Return the engine that all entries prefer for the shared prefix of a prompt, or "".

    Rendezvous hashing makes entries that know the same engines agree without coordination. When an
    engine is added or removed, only its own prefixes move.
    """
    if len(demand.prefixes) < 2 or not names:
        return ""
    return highest_ranked(str(demand.prefixes[-2].digest), names, count=1)[0]


def estimate(candidate: Candidate, demand: Demand, *, now: float) -> Choice | None:
    """Return the expected outcome at a backend server, or None if its memory is full.

    An engine without requests accepts a request of any size.
    """
    tracker = candidate.tracker
    requests = tracker.requests(now=now)
    reserved = min(MAX_RESERVED_FRACTION, RESERVED_FRACTION_PER_CLASS * candidate.classes_above**2)
    slots = max(1.0, candidate.slots * SLOTS_FRACTION * (1.0 - reserved))
    slowness = tracker.slowness(demand.priority, now=now)
    utilization = requests / slots
    prefill = 0.0
    utilization_penalty_s = UTILIZATION_PENALTY_S
    if candidate.memory_tokens:
        request_tokens = demand.prompt_tokens + demand.output_tokens
        used_tokens = tracker.memory(now=now)
        if (
            used_tokens
            and used_tokens + request_tokens > candidate.memory_tokens * MAX_MEMORY_FRACTION
        ):
            return None
        cached = tracker.cache.cached_tokens(demand.prefixes, now=now)
        prefill = max(0.0, demand.prompt_tokens - cached)
        ahead = tracker.work_ahead(demand.priority, slots=slots, now=now)
        unloaded_s = BASE_FIRST_TOKEN_S + prefill / PREFILL_TOKENS_PER_S
        expected_s = unloaded_s + ahead.prefill / PREFILL_TOKENS_PER_S
        utilization = max(
            utilization,
            (used_tokens + request_tokens) / (candidate.memory_tokens * MAX_MEMORY_FRACTION),
        )
        utilization_penalty_s += HIGH_UTILIZATION_PENALTY_S * max(
            0.0, utilization - HIGH_UTILIZATION
        )
        if requests >= slots:
            # A slot becomes free when one of the streams ends.
            expected_s += (ahead.requests + 1) / slots * tracker.mean_stream_s
    else:
        waiting = max(0.0, requests + 1 - slots)
        unloaded_s = tracker.mean_plain_request_s
        expected_s = unloaded_s * (1.0 + waiting / slots)
        utilization_penalty_s = PLAIN_UTILIZATION_PENALTY * tracker.mean_plain_request_s
    usual_s = 0.0
    pace = tracker.pace(now=now)
    if candidate.memory_tokens:
        # What the present pace and the correction for the kind of request explain is no speed.
        usual_s = candidate.correction.corrected_s(expected_s * pace)
        pace *= tracker.speed.factor(fastest=candidate.fastest_factor)
    estimated_s = expected_s * slowness * pace
    expected_s = candidate.correction.corrected_s(estimated_s)
    score = expected_s + utilization_penalty_s * utilization * utilization
    score += recompute_penalty_s(candidate, demand, prefill)
    score += FAILURE_PENALTY_S * tracker.failure_rate(now=now)
    score += start_penalty_s(candidate, requests)
    longest_s = demand.longest_pause_s
    pause_s = max(
        pause_penalty_s(tracker.stream_pace.gap_s(now=now), longest_s=longest_s),
        pause_risk_penalty_s(
            tracker.pause_risk, events=demand.events, longest_s=longest_s, now=now
        ),
    )
    score += pause_s
    return Choice(
        backend=candidate.backend,
        region="",
        expected_s=expected_s,
        # An engine that is slow by itself makes nobody wait for others, and may be the only one.
        wait_s=expected_s - unloaded_s * slowness * pace if requests else 0.0,
        correction=expected_s / estimated_s,
        usual_s=usual_s,
        pause_s=pause_s,
        prefill=prefill,
        score=score,
    )


def recompute_penalty_s(candidate: Candidate, demand: Demand, prefill: float) -> float:
    """Return the penalty for computing a shared prefix that another engine probably caches, seconds of waiting."""
    if candidate.is_preferred or not demand.prompt_tokens:
        return 0.0
    recomputed_tokens = max(0.0, shared_prefix_tokens(demand) - (demand.prompt_tokens - prefill))
    return PREFIX_RECOMPUTE_PENALTY * recomputed_tokens / PREFILL_TOKENS_PER_S


def start_penalty_s(candidate: Candidate, requests: int) -> float:
    """Return the penalty for exceeding the slots in use of a server that has just started, seconds of waiting.

    It is the wait that there would be if no other slots existed. It doesn't count as a wait, so a request for
    which no other place is left is sent there rather than refused.
    """
    paced = candidate.paced_slots
    if paced is None or requests < paced or not candidate.memory_tokens:
        return 0.0
    return (requests + 1 - paced) / paced * candidate.tracker.mean_stream_s


def estimate_remote(option: RemoteRegion, demand: Demand, *, now: float) -> Choice | None:
    """Return the expected outcome in another region, or None if it has no capacity."""
    if option.backends == 0 or _unreported_in_flight(option, demand) >= max(1, option.room):
        return None
    prefill_s = (demand.prompt_tokens - MEAN_PROMPT_TOKENS) / PREFILL_TOKENS_PER_S
    queue_s = option.recently_sent * MEAN_PROMPT_TOKENS / PREFILL_TOKENS_PER_S / option.backends
    if demand.prompt_tokens == 0:
        prefill_s = queue_s = 0.0
    estimated_s = (
        max(BASE_FIRST_TOKEN_S, option.expected_s + prefill_s) + queue_s + option.round_trip_s
    )
    expected_s = option.correction.corrected_s(estimated_s)
    unloaded_s = (
        BASE_FIRST_TOKEN_S + demand.prompt_tokens / PREFILL_TOKENS_PER_S + option.round_trip_s
    )
    pause_s = 0.0
    if option.pause_risk is not None:
        pause_s = pause_risk_penalty_s(
            option.pause_risk, events=demand.events, longest_s=demand.longest_pause_s, now=now
        )
    return Choice(
        backend=None,
        region=option.region,
        expected_s=expected_s,
        wait_s=expected_s - unloaded_s,
        correction=expected_s / estimated_s,
        pause_s=pause_s,
        prefill=float(demand.prompt_tokens),
        score=expected_s
        + pause_s
        + _remote_penalty_s(demand)
        + PREFIX_AFFINITY_S * _prefix_region_bias(demand, option.region),
    )


def _remote_penalty_s(demand: Demand) -> float:
    """Return the penalty for leaving the region in addition to the round trip, seconds of waiting.

    It is lower for long prompts: at a peak of mixed requests, sending away one long prompt frees an
    engine for many short ones. Short prompts are less suitable, because their targets are tighter
    relative to the round trip and their responses are about as long.
    """
    if not demand.prompt_tokens:
        return PLAIN_REMOTE_PENALTY_S
    prefill_s = demand.prompt_tokens / PREFILL_TOKENS_PER_S
    return max(
        LONG_PROMPT_REMOTE_PENALTY_S,
        SHORT_PROMPT_REMOTE_PENALTY_S - PREFILL_RELIEF_WEIGHT * prefill_s,
    )


def _prefix_region_bias(demand: Demand, region: str) -> float:
    """Return a bias from -1 to 1 against sending a prompt's shared prefix to a region.

    At a peak, only a fraction of the requests leaves. If prompts left regardless of their prefixes,
    every region would compute each shared prefix and none would keep it cached for long. With the
    bias, all entries agree on which prefixes leave first.
    """
    if shared_prefix_tokens(demand) < MIN_CACHE_SAVING_S * PREFILL_TOKENS_PER_S:
        return 0.0
    return 2.0 * unit_weight(str(demand.prefixes[-2].digest), region) - 1.0


def _unreported_in_flight(option: RemoteRegion, demand: Demand) -> float:
    """Return how many of the requests sent there recently are still in progress.

    A stream outlasts the delay until that region's reports include it. A plain request ends sooner,
    so one slot serves several of them within that delay.
    """
    if demand.prompt_tokens:
        return option.recently_sent
    return option.recently_sent * min(1.0, option.expected_s / REMOTE_REPORT_DELAY_S)


def choose(
    demand: Demand,
    candidates: list[Candidate],
    remote_regions: list[RemoteRegion],
    *,
    rng: random.Random,
    now: float,
    entries: int = 1,
    subset: BackendSubset | None = None,
    max_wait_s: float = math.inf,
) -> Choice | None:
    """Return the best choice for a request, or None if no option has capacity.

    Choices where it waits longer than ``max_wait_s`` are returned only if there are no others.

    All entries of a region place requests at the same time and know each other's load up to half a
    second late. If each chose the apparently best engine, all would choose the same one. Therefore
    each entry uses only the healthy engines that ``subset`` selects, and one that probably caches the
    prompt. It samples its share of them and uses the best of the sample;
    ``entries`` is the number of entries.

    When a region has more load than its engines can serve and another region is quiet, a request
    leaves as soon as the other region scores better than the best sampled engine. It isn't compared
    with the best engine of the whole region, which can't serve all requests.
    """
    preferred = preferred_engine(demand, [candidate.backend.name for candidate in candidates])
    healthy: list[Candidate] = []
    unhealthy: list[Candidate] = []
    for candidate in candidates:
        is_healthy = candidate_is_healthy(candidate, demand.priority, now=now)
        (healthy if is_healthy else unhealthy).append(candidate)
    in_subset = healthy
    if subset is not None:
        selected = subset.select({candidate.backend.name for candidate in healthy})
        in_subset = [candidate for candidate in healthy if candidate.backend.name in selected]

    def sample(pool: list[Candidate], eligible: list[Candidate]) -> list[Choice]:
        return _sampled_choices(pool, eligible, demand, preferred, entries, rng=rng, now=now)

    # Without room at the engines of the subset, the others are used, and unhealthy ones at last.
    sampled = sample(healthy, in_subset) or sample(healthy, healthy) or sample(unhealthy, unhealthy)
    remote_choices = [
        choice
        for choice in (estimate_remote(option, demand, now=now) for option in remote_regions)
        if choice is not None
    ]
    if any(choice.wait_s <= max_wait_s for choice in sampled + remote_choices):
        sampled = [choice for choice in sampled if choice.wait_s <= max_wait_s]
        remote_choices = [choice for choice in remote_choices if choice.wait_s <= max_wait_s]
    elif math.isfinite(max_wait_s):
        # Before a refusal all engines of the subset are compared, not only the sample.
        short_waits = [
            choice
            for candidate in in_subset
            if (choice := estimate(candidate, demand, now=now)) and choice.wait_s <= max_wait_s
        ]
        if short_waits:
            return rng.choice(short_waits)
    best_remote = min(remote_choices, key=_score, default=None)
    if not sampled:
        return best_remote
    best_score = min(map(_score, sampled))
    if best_remote is not None and best_remote.score < best_score:
        return best_remote
    return rng.choice(
        [choice for choice in sampled if choice.score <= best_score + SCORE_TOLERANCE_S]
    )


def candidate_is_healthy(candidate: Candidate, priority: int, *, now: float) -> bool:
    """Return whether a backend server is used before those that fail or answer late."""
    tracker = candidate.tracker
    return (
        tracker.failure_rate(now=now) <= MAX_HEALTHY_FAILURE_RATE
        and tracker.slowness(priority, now=now) <= MAX_HEALTHY_SLOWNESS
    )


def _sampled_choices(
    candidates: list[Candidate],
    eligible: list[Candidate],
    demand: Demand,
    preferred: str,
    entries: int,
    *,
    rng: random.Random,
    now: float,
) -> list[Choice]:
    """Return the choices to compare: a sample of ``eligible``, and of all those that save prefill.

    Only these are estimated, because a region may have dozens of engines.
    """
    sampled: list[Choice] = []
    fastest = fastest_factor(candidate.tracker.speed for candidate in candidates)

    def estimate_candidate(candidate: Candidate) -> Choice | None:
        compared = dataclasses.replace(
            candidate,
            is_preferred=candidate.backend.name == preferred,
            fastest_factor=fastest,
        )
        return estimate(compared, demand, now=now)

    sample_size = max(MIN_SAMPLED, math.ceil(len(candidates) / max(1, entries)))
    if len(eligible) < len(candidates):
        # The subset is a sample already, and the same one for all requests of this entry.
        sample_size = len(eligible)
    for candidate in rng.sample(eligible, len(eligible)):
        choice = estimate_candidate(candidate)
        if choice is not None:
            sampled.append(choice)
        if len(sampled) >= sample_size:
            break
    min_cached_tokens = MIN_CACHE_SAVING_S * PREFILL_TOKENS_PER_S
    if not sampled or shared_prefix_tokens(demand) < min_cached_tokens:
        return sampled
    cached = [
        choice
        for candidate in candidates
        if candidate.tracker.cache.cached_tokens(demand.prefixes, now=now) >= min_cached_tokens
        and (choice := estimate_candidate(candidate)) is not None
    ]
    preferred_choices = [
        choice
        for candidate in candidates
        if candidate.backend.name == preferred and (choice := estimate_candidate(candidate))
    ]
    # An engine that was also sampled is listed twice. Among equal scores it is thus more likely to
    # be chosen, which concentrates shared prefixes on few engines.
    return sampled + sorted(cached, key=_score)[:1] + preferred_choices


def _score(choice: Choice) -> float:
    return choice.score


def refuse_late(
    demand: Demand, choice: Choice, *, max_wait_s: float, rng: random.Random
) -> Refusal | None:
    """Return a refusal if the response would begin too late to be useful, else None.

    ``max_wait_s`` limits the wait for other requests. The time that the request itself needs is not
    limited, so long prompts are refused no sooner than short ones.
    """
    late_s = max(
        choice.wait_s - max_wait_s, choice.expected_s - MAX_DEADLINE_FRACTION * demand.deadline_s
    )
    if late_s <= 0:
        return None
    return Refusal(
        reason="late",
        retry_after_s=jittered_retry_after(late_s, remaining_s=demand.deadline_s, rng=rng),
    )
