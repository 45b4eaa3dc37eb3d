"""The policy that weighs expected wait, cold prefill, links and the price of leaving."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import Literal

from figpaddle.deployment import PolicyWeights
from figpaddle.routing._backends import KnownBackend
from figpaddle.routing._demand import Demand, Finished, FirstToken, Reported, Sent, TargetEvent
from figpaddle.routing._policy import (
    LeastLoadPolicy,
    LeastReportedLoadPolicy,
    Options,
    Placement,
    PlacementPolicy,
    RegionOption,
    RoundRobinPolicy,
)
from figpaddle.routing._service_model import ServiceModel
from figpaddle.routing._target_model import REPORT_LAG_S, REPORT_TRUST_S, TargetModel
from figpaddle.wire import BackendInfo

PolicyName = Literal["round_robin", "least_reported", "least_load", "scored"]

#: Price of serving a request in another region, in seconds of waiting.
AWAY_PRICE_S = 0.3
#: Cost of a crossing between regions, in seconds of an engine.
CROSSING_COST_S = 0.05
#: Price of a backend server filled to its slots, in seconds of waiting.
CONGESTION_PRICE_S = 0.2
#: Price of a second by which the first token is expected beyond the safe part of the deadline.
LATE_PRICE = 5.0
#: Part of the deadline up to which an answer counts as safe.
SAFE_DEADLINE = 0.7
#: Difference of scores that is noise for each other instance choosing at the same time, seconds.
HERD_NOISE_S = 0.005
#: Part of the time for the whole answer that counts beside the time to its first token.
ANSWER_TIME_WEIGHT = 0.2
#: Time in which a load report that isn't renewed loses half of its weight, seconds.
STALE_HALF_LIFE_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Estimate:
    """What a request would meet at one backend server or region."""

    #: The choice.
    placement: Placement
    #: Price in seconds of waiting; lower is better.
    score: float
    #: Expected prefill, seconds.
    prefill_s: float


class ScoredPolicy(PlacementPolicy):
    """Takes one of the choices whose price is near the lowest.

    The price adds up, in seconds: the expected time to the first token, weighted by the member's
    weight of the tail; prefill that a cache would have saved and crossings, by its weight of cost;
    and a fixed price for leaving the region, by its weight of the share sent away.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._services: dict[str, ServiceModel] = {}
        self._targets: dict[str, TargetModel] = {}
        self._began_at: float | None = None
        self._cache_next: dict[str, int] = {}
        self._estimates: dict[str, Estimate] = {}

    def place(self, demand: Demand, options: Options, *, now: float) -> Placement | None:
        """Return the choice, or None if there is nothing to choose from."""
        weights = normalized(options.weights)
        estimates = [
            self.estimate_backend(demand, known, options, weights, now=now)
            for known in options.backends
        ]
        for option in options.regions:
            if option.backends == 0:
                continue
            if not options.backends or self._has_room(option, options, now=now):
                estimates.append(self.estimate_region(demand, option, options, weights, now=now))
        if not estimates:
            return None
        chosen = self._choose(estimates, deciders=options.deciders)
        self._estimates[demand.request_id] = chosen
        return chosen.placement

    def observe(self, event: TargetEvent, *, now: float) -> None:
        """Learn from the progress of a request or from a report."""
        match event:
            case Reported():
                self._take_report(event.info, now)
            case Sent():
                self._take_sent(event, now)
            case FirstToken():
                self._take_first_token(event, now)
            case Finished():
                self._take_finished(event, now)

    def estimate_backend(
        self,
        demand: Demand,
        known: KnownBackend,
        options: Options,
        weights: PolicyWeights,
        *,
        now: float,
    ) -> Estimate:
        """Return what ``demand`` would meet at a backend server of the own region."""
        service = self._service(demand.service)
        model = self._target(known.info.name, now=now, incarnation=known.info.incarnation)
        model.restarted(known.info.incarnation, now=now)
        slots = max(1.0, known.info.slots * model.ramp(now=now))
        load = self._load(known, model, options.deciders, demand.priority, now=now)
        slowdown = model.slowdown(service.token_s, now=now)
        uncached = self._uncached(demand, model, now)
        prefill_s = uncached * service.prefill_s
        ahead_s = _prefill_ahead_s(known, model, service, demand.priority, now)
        expected_s = slowdown * (_slot_wait(load, slots, service.duration_s) + ahead_s + prefill_s)
        answer_s = demand.output_tokens * service.token_s * slowdown
        price = weights.tail * (expected_s + ANSWER_TIME_WEIGHT * answer_s)
        price += weights.cost * prefill_s
        price += CONGESTION_PRICE_S * load / slots
        price += LATE_PRICE * max(0.0, expected_s - SAFE_DEADLINE * demand.deadline_s)
        placement = Placement(backend=known, expected_s=expected_s, work_s=prefill_s + answer_s)
        return Estimate(placement=placement, score=price, prefill_s=prefill_s)

    def estimate_region(
        self,
        demand: Demand,
        option: RegionOption,
        options: Options,
        weights: PolicyWeights,
        *,
        now: float,
    ) -> Estimate:
        """Return what ``demand`` would meet in another region."""
        service = self._service(demand.service)
        model = self._target(option.region, now=now)
        since = option.heard_at - REPORT_LAG_S - option.round_trip_s / 2
        load = option.load + model.sent_since(since) * options.deciders
        slots = max(1, option.slots)
        slowdown = model.slowdown(service.token_s, now=now)
        prefill_s = self._uncached(demand, model, now) * service.prefill_s
        link_s = option.round_trip_s + self._transfer_s(demand, option, model, now)
        expected_s = link_s + slowdown * (_slot_wait(load, slots, service.duration_s) + prefill_s)
        answer_s = demand.output_tokens * service.token_s * slowdown
        price = weights.tail * (expected_s + ANSWER_TIME_WEIGHT * answer_s)
        price += weights.cost * (prefill_s + CROSSING_COST_S)
        price += weights.sent_away * AWAY_PRICE_S
        price += CONGESTION_PRICE_S * load / slots
        price += LATE_PRICE * max(0.0, expected_s - SAFE_DEADLINE * demand.deadline_s)
        placement = Placement(
            region=option.region, expected_s=expected_s, work_s=prefill_s + answer_s
        )
        return Estimate(placement=placement, score=price, prefill_s=prefill_s)

    def _has_room(self, option: RegionOption, options: Options, *, now: float) -> bool:
        model = self._target(option.region, now=now)
        since = option.heard_at - REPORT_LAG_S - option.round_trip_s / 2
        return model.sent_since(since) * options.deciders < option.room

    def _choose(self, estimates: list[Estimate], *, deciders: int) -> Estimate:
        best = min(estimate.score for estimate in estimates)
        noise = HERD_NOISE_S * max(1, deciders)
        chances = [math.exp(-(estimate.score - best) / noise) for estimate in estimates]
        return self._rng.choices(estimates, weights=chances)[0]

    def _load(
        self, known: KnownBackend, model: TargetModel, deciders: int, priority: int, *, now: float
    ) -> float:
        """Return the requests that are expected to be there before one of ``priority``."""
        info = known.info
        since = known.heard_at - REPORT_LAG_S
        reported = info.running + (info.waiting_first if priority == 0 else info.waiting)
        change = model.sent_since(since, priority=priority) - model.ended_since(since)
        corrected = max(0, reported + change)
        age = max(0.0, now - known.heard_at - REPORT_TRUST_S)
        trust = float(0.5 ** (age / STALE_HALF_LIFE_S))
        guess = model.in_flight * deciders
        return max(float(model.in_flight), trust * corrected + (1 - trust) * guess)

    def _uncached(self, demand: Demand, model: TargetModel, now: float) -> float:
        return max(0.0, demand.prompt_tokens - model.belief.cached_tokens(demand.prefixes, now=now))

    def _transfer_s(
        self, demand: Demand, option: RegionOption, model: TargetModel, now: float
    ) -> float:
        sending = 1 + model.sent_since(now - 1.0)
        return demand.body_bytes * sending / max(1.0, option.bytes_per_s)

    def _service(self, name: str) -> ServiceModel:
        return self._services.setdefault(name, ServiceModel())

    def _target(self, name: str, *, now: float, incarnation: int = 0) -> TargetModel:
        if self._began_at is None:
            self._began_at = now
        model = self._targets.get(name)
        if model is None:
            at_start = now - self._began_at < REPORT_TRUST_S
            model = TargetModel(now=now, incarnation=incarnation, ramped=at_start)
            self._targets[name] = model
        return model

    def _take_report(self, info: BackendInfo, now: float) -> None:
        model = self._target(info.name, now=now, incarnation=info.incarnation)
        model.restarted(info.incarnation, now=now)
        if info.cache_sequence != self._cache_next.get(info.name, info.cache_sequence):
            model.belief.lost_events()
        self._cache_next[info.name] = info.cache_sequence + len(info.cache_events)
        for event in info.cache_events:
            if event.stored:
                model.belief.stored(event.digest, now=now)
            else:
                model.belief.evicted(event.digest)

    def _take_sent(self, event: Sent, now: float) -> None:
        estimate = self._estimates.pop(event.demand.request_id, None)
        expected_s = estimate.placement.expected_s if estimate is not None else None
        self._target(event.target, now=now).sent(
            event.demand,
            expected_s=expected_s or 0.0,
            prefill_s=estimate.prefill_s if estimate is not None else 0.0,
            now=now,
        )

    def _take_first_token(self, event: FirstToken, now: float) -> None:
        pending = self._target(event.target, now=now).first_token(event.demand.request_id, now=now)
        if pending is not None:
            service = self._service(event.demand.service)
            service.sample_prefill(
                uncached_tokens=pending.prefill_s / service.prefill_s,
                seconds=now - pending.sent_at,
            )

    def _take_finished(self, event: Finished, now: float) -> None:
        model = self._target(event.target, now=now)
        pending = model.finished(event.demand.request_id, tokens=event.tokens, now=now)
        if pending is None or pending.first_at is None:
            return
        token_s = None
        if event.tokens > 1:
            token_s = (now - pending.first_at) / (event.tokens - 1)
        self._service(event.demand.service).sample_end(
            duration_s=now - pending.first_at + pending.prefill_s, token_s=token_s
        )


def normalized(weights: PolicyWeights) -> PolicyWeights:
    """Return ``weights`` scaled so that they add up to 3, as the default ones do."""
    scale = 3.0 / max(1e-9, weights.cost + weights.tail + weights.sent_away)
    return PolicyWeights(
        cost=weights.cost * scale, tail=weights.tail * scale, sent_away=weights.sent_away * scale
    )


def _prefill_ahead_s(
    known: KnownBackend, model: TargetModel, service: ServiceModel, priority: int, now: float
) -> float:
    """Return the prefill that goes before a request of ``priority``, seconds.

    What was reported has gone on since; what this instance sent after it comes on top. Own
    requests alone give the least that there can be.
    """
    info = known.info
    sampled_at = known.heard_at - REPORT_LAG_S
    tokens = info.prefill_tokens_first if priority == 0 else info.prefill_tokens
    reported_s = max(0.0, tokens * service.prefill_s - (now - sampled_at))
    newer_s = model.pending_prefill_s(priority=priority, since=sampled_at)
    own_s = model.pending_prefill_s(priority=priority)
    blocked_s = model.blocking_prefill_s(priority=priority, now=now)
    return max(own_s + blocked_s, reported_s + newer_s)


def _slot_wait(load: float, slots: float, duration_s: float) -> float:
    return max(0.0, load + 1 - slots) / slots * duration_s


def make_policy(name: PolicyName, *, rng: random.Random) -> PlacementPolicy:
    """Return the policy called ``name``."""
    match name:
        case "round_robin":
            return RoundRobinPolicy()
        case "least_reported":
            return LeastReportedLoadPolicy(rng=rng)
        case "least_load":
            return LeastLoadPolicy(rng=rng)
        case "scored":
            return ScoredPolicy(rng=rng)
