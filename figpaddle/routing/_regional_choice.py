"""Chooses the backend server or the region for a request and refuses what can't be in time."""

from __future__ import annotations

import dataclasses
import math
import random

from figpaddle.routing._demand import Demand
from figpaddle.routing._engine_work import (
    FIRST_TOKEN_S,
    PREFILL_TOKENS_PER_S,
    EngineWork,
)
from figpaddle.routing._fleet import FleetMember
from figpaddle.routing._ranking import highest_ranked, unit_weight
from figpaddle.routing._returns import spread_return

#: Part of an engine's memory that running requests may take. Above it the engine preempts, which
#: makes it read prompts again.
MEMORY_PART = 0.92
#: Part of an engine's slots up to which requests start without waiting.
SLOTS_PART = 1.0
#: Price of a filled engine, seconds of waiting; spreads work before queues build up.
FILL_PRICE_S = 0.15
#: Part of an engine's slots or memory from which a request may cost another its place, and the price
#: of filling all of the rest and as much again, seconds: a more urgent request preempts, and what it
#: preempts is read again. Higher prices send more away than a quiet region can take.
FULL_PART, FULL_PRICE_S = 0.85, 1.0
#: Price of a filled plain server, as a multiple of the time for which a request holds its slot. Its
#: queue is gone within a few of those, long before a request could have left the region.
PLAIN_FILL_PRICE = 1.0
#: Price of a backend server that fails all of its requests, seconds of waiting: a second attempt and
#: the caller's own return.
FAILING_PRICE_S = 2.0
#: Price of leaving the region beside the round trip, seconds of waiting, for plain requests.
AWAY_PRICE_S = 0.15
#: The same for a prompt that is hardly any work, which leaves a target of 0.6 s no room after the
#: way, and the least for a long one. In between it falls by the time that reading the prompt would
#: take here, counted once more for a prompt that waits behind it.
SHORT_AWAY_PRICE_S, LONG_AWAY_PRICE_S = 0.4, 0.05
RELIEF_WEIGHT = 2.0
#: Most by which the shared part of a prompt raises or lowers the price of a region, seconds: as
#: much as reading such a part again takes.
AFFINITY_S = 0.12
#: Price of reading a shared part again that another engine of the region probably keeps, as a
#: multiple of the time that reading takes: it delays all other prompts of that engine too.
REREAD_PRICE = 1.5
#: Scores closer than this are taken as equal, seconds.
NOISE_S = 0.01
#: Fewest backend servers drawn at random for one request, of which the best is used. Two spread
#: work best while the news of what others sent is old; more send everybody to the same one.
MIN_DRAWN = 2
#: Backend servers that fail a larger part of their requests, or are slower, are drawn only if all
#: are: a single failure among few requests is enough, a service's own failures now and then aren't.
SOUND_FAILING, SOUND_SLOWNESS = 0.17, 2.0
#: Time that a cached part must save for its engine to be considered beside those drawn, seconds.
CACHE_SAVING_S = 0.02
#: Time for which a request that is sent to another region counts there beside what that region
#: reports, seconds: a heartbeat and half a round trip.
AWAY_TRUST_S = 0.7
#: A request of mean size, tokens, where a region's load is told in one figure.
MEAN_PROMPT_TOKENS = 3000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A backend server that may be used."""

    member: FleetMember
    work: EngineWork
    #: Requests that it processes at once.
    slots: int
    #: Memory of an engine, tokens; 0 for a plain server.
    memory_tokens: int
    #: Whether all entries of the region send prompts with the same shared parts here.
    is_keeper: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class AwayRegion:
    """Another region that may serve a request."""

    region: str
    #: Time to the first token there for a request of mean size, seconds.
    expected_s: float
    #: Requests that it can take without waiting.
    room: int
    #: Backend servers in use there.
    backends: int
    #: Time there and back, seconds.
    round_trip_s: float
    #: Requests that this entry sent there lately and that the figures don't show yet.
    sent_lately: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """Where a request goes."""

    #: The backend server, or None for another region.
    member: FleetMember | None
    #: The other region; empty for the own one.
    region: str
    #: Expected time to the first byte, seconds.
    expected_s: float
    #: Prompt tokens that have to be read.
    prefill: float
    #: What decided: lower is better, seconds.
    score: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """A request that isn't taken."""

    #: Short name of the reason.
    reason: str
    #: When to come back, seconds.
    retry_after_s: float


def shared_tokens(demand: Demand) -> int:
    """Return the length of the parts of a prompt that other requests have too.

    The last part belongs to the request or its session alone.
    """
    return demand.prefixes[-2].tokens if len(demand.prefixes) > 1 else 0


def keeper_of(demand: Demand, names: list[str]) -> str:
    """Return the engine where all entries prefer to have the shared parts of a prompt kept.

    Entries that know the same engines agree without a word, and an engine that comes or goes
    moves only its own share of the parts.
    """
    if len(demand.prefixes) < 2 or not names:
        return ""
    return highest_ranked(str(demand.prefixes[-2].digest), names, count=1)[0]


def estimate(candidate: Candidate, demand: Demand, *, now: float) -> Choice | None:
    """Return what a request would meet at a backend server, or None where it has no room."""
    work = candidate.work
    requests = work.requests(now=now)
    slots = max(1.0, candidate.slots * SLOTS_PART)
    slowness = work.slowness(now=now)
    fill = requests / slots
    prefill = 0.0
    fill_price_s = FILL_PRICE_S
    if candidate.memory_tokens:
        need = demand.prompt_tokens + demand.output_tokens
        taken = work.memory(now=now)
        if taken and taken + need > candidate.memory_tokens * MEMORY_PART:
            return None
        cached = work.belief.cached_tokens(demand.prefixes, now=now)
        prefill = max(0.0, demand.prompt_tokens - cached)
        ahead = work.prefill_ahead(demand.priority, now=now)
        expected_s = FIRST_TOKEN_S + (ahead + prefill) / PREFILL_TOKENS_PER_S
        fill = max(fill, (taken + need) / (candidate.memory_tokens * MEMORY_PART))
        fill_price_s += FULL_PRICE_S * max(0.0, fill - FULL_PART)
        if requests >= slots:
            # A slot is free once one of the streams has ended.
            expected_s += (requests + 1 - slots) / slots * work.stream_s
    else:
        waiting = max(0.0, requests + 1 - slots)
        expected_s = work.hold_s * (1.0 + waiting / slots)
        fill_price_s = PLAIN_FILL_PRICE * work.hold_s
    expected_s *= slowness
    score = expected_s + fill_price_s * fill * fill
    if not candidate.is_keeper and demand.prompt_tokens:
        read_again = max(0.0, shared_tokens(demand) - (demand.prompt_tokens - prefill))
        score += REREAD_PRICE * read_again / PREFILL_TOKENS_PER_S
    score += FAILING_PRICE_S * work.failing(now=now)
    return Choice(
        member=candidate.member, region="", expected_s=expected_s, prefill=prefill, score=score
    )


def estimate_away(option: AwayRegion, demand: Demand) -> Choice | None:
    """Return what a request would meet in another region, or None where it has no room."""
    if option.backends == 0 or _still_there(option, demand) >= max(1, option.room):
        return None
    prefill_s = (demand.prompt_tokens - MEAN_PROMPT_TOKENS) / PREFILL_TOKENS_PER_S
    queue_s = option.sent_lately * MEAN_PROMPT_TOKENS / PREFILL_TOKENS_PER_S / option.backends
    if demand.prompt_tokens == 0:
        prefill_s = queue_s = 0.0
    expected_s = max(FIRST_TOKEN_S, option.expected_s + prefill_s) + queue_s + option.round_trip_s
    return Choice(
        member=None,
        region=option.region,
        expected_s=expected_s,
        prefill=float(demand.prompt_tokens),
        score=expected_s + _away_price_s(demand) + AFFINITY_S * _strangeness(demand, option.region),
    )


def _away_price_s(demand: Demand) -> float:
    """Return the price of leaving the region beside the round trip, seconds of waiting.

    Answers a peak of all kinds of request at once: a long prompt that leaves frees an engine for
    many short ones, whose targets are tighter against the way and whose answers are as many bytes.
    """
    if not demand.prompt_tokens:
        return AWAY_PRICE_S
    relief_s = demand.prompt_tokens / PREFILL_TOKENS_PER_S
    return max(LONG_AWAY_PRICE_S, SHORT_AWAY_PRICE_S - RELIEF_WEIGHT * relief_s)


def _strangeness(demand: Demand, region: str) -> float:
    """Return from -1 to 1 how strange the shared part of a prompt is to another region.

    Answers a peak at which a part of the work leaves: if any prompt may leave, each shared part is
    read in all regions and kept in none of them for long. So some parts leave first and others
    last, and all entries agree which.
    """
    if shared_tokens(demand) < CACHE_SAVING_S * PREFILL_TOKENS_PER_S:
        return 0.0
    return 2.0 * unit_weight(str(demand.prefixes[-2].digest), region) - 1.0


def _still_there(option: AwayRegion, demand: Demand) -> float:
    """Return how many of the requests sent there lately are still in progress.

    A stream lasts longer than it takes until that region's figures show it. A plain request is
    over sooner, so that one place serves many of them in that time.
    """
    if demand.prompt_tokens:
        return option.sent_lately
    return option.sent_lately * min(1.0, option.expected_s / AWAY_TRUST_S)


def choose(
    demand: Demand,
    candidates: list[Candidate],
    away: list[AwayRegion],
    *,
    rng: random.Random,
    now: float,
    entries: int = 1,
) -> Choice | None:
    """Return a good place for a request, or None where none has room.

    Answers two loads. All entries of a region place work at once, on news of each other that is
    up to half a second old: if each used the engine that looks best, all would use the same one,
    so each draws its share of them and uses the best of these; ``entries`` says how many entries
    there are. And a region's peak exceeds its engines while others are quiet: work leaves as soon
    as the engine that it would get here is worse than the way. The engine that looks best here is
    no measure of that, as not all can have it.
    """
    keeper = keeper_of(demand, [candidate.member.name for candidate in candidates])
    sound = [one for one in candidates if _is_sound(one, now=now)]
    others = [one for one in candidates if not _is_sound(one, now=now)]
    drawn = _drawn(sound, demand, keeper, entries, rng=rng, now=now) or _drawn(
        others, demand, keeper, entries, rng=rng, now=now
    )
    elsewhere = [
        choice for choice in (estimate_away(one, demand) for one in away) if choice is not None
    ]
    best_away = min(elsewhere, key=_score, default=None)
    if not drawn:
        return best_away
    best = min(map(_score, drawn))
    if best_away is not None and best_away.score < best:
        return best_away
    return rng.choice([choice for choice in drawn if choice.score <= best + NOISE_S])


def _is_sound(candidate: Candidate, *, now: float) -> bool:
    work = candidate.work
    return work.failing(now=now) <= SOUND_FAILING and work.slowness(now=now) <= SOUND_SLOWNESS


def _drawn(
    candidates: list[Candidate],
    demand: Demand,
    keeper: str,
    entries: int,
    *,
    rng: random.Random,
    now: float,
) -> list[Choice]:
    """Return the options that are compared: some at random and those that save reading.

    Only these are estimated: a region may have dozens of engines.
    """
    drawn: list[Choice] = []

    def look_at(candidate: Candidate) -> Choice | None:
        is_keeper = candidate.member.name == keeper
        return estimate(dataclasses.replace(candidate, is_keeper=is_keeper), demand, now=now)

    wanted = max(MIN_DRAWN, math.ceil(len(candidates) / max(1, entries)))
    for candidate in rng.sample(candidates, len(candidates)):
        choice = look_at(candidate)
        if choice is not None:
            drawn.append(choice)
        if len(drawn) >= wanted:
            break
    saving = CACHE_SAVING_S * PREFILL_TOKENS_PER_S
    if not drawn or shared_tokens(demand) < saving:
        return drawn
    cached = [
        choice
        for candidate in candidates
        if candidate.work.belief.cached_tokens(demand.prefixes, now=now) >= saving
        and (choice := look_at(candidate)) is not None
    ]
    kept = [choice for one in candidates if one.member.name == keeper and (choice := look_at(one))]
    # One that is drawn as well counts twice where scores are equal, which keeps parts together.
    return drawn + sorted(cached, key=_score)[:1] + kept


def _score(choice: Choice) -> float:
    return choice.score


def refuse_late(
    demand: Demand, choice: Choice, *, target_s: float, patience: float, rng: random.Random
) -> Refusal | None:
    """Return a refusal if the answer would begin too late to be of use.

    ``patience`` says how many times the target an answer may take to begin.
    """
    limit_s = min(target_s * patience, demand.deadline_s * 0.8)
    if choice.expected_s <= limit_s:
        return None
    late_s = choice.expected_s - limit_s
    return Refusal(
        reason="late", retry_after_s=spread_return(late_s, left_s=demand.deadline_s, rng=rng)
    )
