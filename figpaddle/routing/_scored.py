"""Placement policy that scores expected wait, uncached prefill, network links and crossings."""

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
    Placement,
    PlacementOptions,
    PlacementPolicy,
    RegionOption,
    RoundRobinPolicy,
)
from figpaddle.routing._service_model import ServiceModel
from figpaddle.routing._target_model import REPORT_LAG_S, REPORT_TRUST_S, TargetModel
from figpaddle.wire import BackendInfo

PolicyName = Literal["round_robin", "least_reported", "least_load", "scored"]

#: Penalty for serving a request in another region, seconds of waiting.
REMOTE_PENALTY_S = 0.3
#: Cost of a crossing between regions, seconds of engine time.
CROSSING_COST_S = 0.05
#: Penalty for a backend server with all slots in use, seconds of waiting.
CONGESTION_PENALTY_S = 0.2
#: Penalty per second by which the expected time to the first token exceeds the safe fraction of the
#: deadline.
LATENESS_PENALTY = 5.0
#: Fraction of the deadline up to which the expected time to the first token has no penalty.
SAFE_DEADLINE_FRACTION = 0.7
#: Score difference that is treated as noise, per instance that places requests at the same time,
#: seconds.
SCORE_NOISE_PER_PLACING_INSTANCE_S = 0.005
#: Weight of the decoding time relative to the time to the first token.
DECODING_TIME_WEIGHT = 0.2
#: Maximum number of choices remembered until they are sent; refused ones are never sent.
MAX_PENDING_ESTIMATES = 1024
#: Half-life of the weight of a load report that isn't renewed, seconds.
STALE_REPORT_HALF_LIFE_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Estimate:
    """Expected outcome of a request at one backend server or region."""

    #: The placement.
    placement: Placement
    #: Score in seconds of waiting; lower is better.
    score: float
    #: Expected prefill time, seconds.
    prefill_s: float


class ScoredPolicy(PlacementPolicy):
    """Chooses at random among the options with a score near the lowest.

    The score is a sum in seconds: the expected time to the first token, weighted by the member's
    tail weight; prefill that a cache would have saved and crossings between regions, weighted by
    its cost weight; and a fixed penalty for leaving the region, weighted by its weight for requests
    sent away. Congestion and lateness add unweighted penalties.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._services: dict[str, ServiceModel] = {}
        self._targets: dict[str, TargetModel] = {}
        self._first_used_at: float | None = None
        self._next_cache_sequence: dict[str, int] = {}
        self._estimates: dict[str, Estimate] = {}

    def place(self, demand: Demand, options: PlacementOptions, *, now: float) -> Placement | None:
        """Return the placement, or None if there is no option."""
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
        chosen = self._choose(estimates, placing_instances=options.placing_instances)
        self._remember_estimate(demand, chosen)
        return chosen.placement

    def observe(self, event: TargetEvent, *, now: float) -> None:
        """Learn from the progress of a request or from a load report."""
        match event:
            case Reported():
                self._observe_report(event.info, now)
            case Sent():
                self._observe_sent(event, now)
            case FirstToken():
                self._observe_first_token(event, now)
            case Finished():
                self._observe_finished(event, now)

    def estimate_backend(
        self,
        demand: Demand,
        known: KnownBackend,
        options: PlacementOptions,
        weights: PolicyWeights,
        *,
        now: float,
    ) -> Estimate:
        """Return the expected outcome of ``demand`` at a backend server of the local region."""
        service = self._service(demand.service)
        model = self._target(known.info.name, now=now, incarnation=known.info.incarnation)
        model.note_incarnation(known.info.incarnation, now=now)
        slots = max(1.0, known.info.slots * model.ramp_fraction(now=now))
        load = self._load(known, model, options.placing_instances, demand.priority, now=now)
        slowdown = model.slowdown(service.token_s, priority=demand.priority, now=now)
        uncached_tokens = self._uncached_tokens(demand, model, now)
        prefill_s = uncached_tokens * service.prefill_s
        ahead_s = _prefill_ahead_s(known, model, service, demand.priority, now)
        expected_s = slowdown * (
            _slot_wait_s(load, slots, service.duration_s) + ahead_s + prefill_s
        )
        decoding_s = demand.output_tokens * service.token_s * slowdown
        score = weights.tail * (expected_s + DECODING_TIME_WEIGHT * decoding_s)
        score += weights.cost * prefill_s
        score += CONGESTION_PENALTY_S * load / slots
        score += LATENESS_PENALTY * max(
            0.0, expected_s - SAFE_DEADLINE_FRACTION * demand.deadline_s
        )
        placement = Placement(backend=known, expected_s=expected_s, work_s=prefill_s + decoding_s)
        return Estimate(placement=placement, score=score, prefill_s=prefill_s)

    def estimate_region(
        self,
        demand: Demand,
        option: RegionOption,
        options: PlacementOptions,
        weights: PolicyWeights,
        *,
        now: float,
    ) -> Estimate:
        """Return the expected outcome of ``demand`` in another region."""
        service = self._service(demand.service)
        model = self._target(option.region, now=now)
        since = option.received_at - REPORT_LAG_S - option.round_trip_s / 2
        load = option.load + model.sent_since(since) * options.placing_instances
        slots = max(1, option.slots)
        slowdown = model.slowdown(service.token_s, priority=demand.priority, now=now)
        prefill_s = self._uncached_tokens(demand, model, now) * service.prefill_s
        network_s = option.round_trip_s + self._transfer_s(demand, option, model, now)
        expected_s = network_s + slowdown * (
            _slot_wait_s(load, slots, service.duration_s) + prefill_s
        )
        decoding_s = demand.output_tokens * service.token_s * slowdown
        score = weights.tail * (expected_s + DECODING_TIME_WEIGHT * decoding_s)
        score += weights.cost * (prefill_s + CROSSING_COST_S)
        score += weights.sent_away * REMOTE_PENALTY_S
        score += CONGESTION_PENALTY_S * load / slots
        score += LATENESS_PENALTY * max(
            0.0, expected_s - SAFE_DEADLINE_FRACTION * demand.deadline_s
        )
        placement = Placement(
            region=option.region, expected_s=expected_s, work_s=prefill_s + decoding_s
        )
        return Estimate(placement=placement, score=score, prefill_s=prefill_s)

    def _has_room(self, option: RegionOption, options: PlacementOptions, *, now: float) -> bool:
        model = self._target(option.region, now=now)
        since = option.received_at - REPORT_LAG_S - option.round_trip_s / 2
        return model.sent_since(since) * options.placing_instances < option.room

    def _choose(self, estimates: list[Estimate], *, placing_instances: int) -> Estimate:
        best = min(estimate.score for estimate in estimates)
        noise_s = SCORE_NOISE_PER_PLACING_INSTANCE_S * max(1, placing_instances)
        selection_weights = [math.exp(-(estimate.score - best) / noise_s) for estimate in estimates]
        return self._rng.choices(estimates, weights=selection_weights)[0]

    def _remember_estimate(self, demand: Demand, chosen: Estimate) -> None:
        self._estimates[demand.request_id] = chosen
        if len(self._estimates) > MAX_PENDING_ESTIMATES:
            del self._estimates[next(iter(self._estimates))]

    def _load(
        self,
        known: KnownBackend,
        model: TargetModel,
        placing_instances: int,
        priority: int,
        *,
        now: float,
    ) -> float:
        """Return the number of requests that are expected ahead of one of ``priority``."""
        info = known.info
        since = known.received_at - REPORT_LAG_S
        reported = info.running + (info.waiting_first if priority == 0 else info.waiting)
        change = model.sent_since(since, priority=priority) - model.ended_since(since)
        corrected = max(0, reported + change)
        age = max(0.0, now - known.received_at - REPORT_TRUST_S)
        trust = float(0.5 ** (age / STALE_REPORT_HALF_LIFE_S))
        estimated = model.in_flight * placing_instances
        return max(float(model.in_flight), trust * corrected + (1 - trust) * estimated)

    def _uncached_tokens(self, demand: Demand, model: TargetModel, now: float) -> float:
        return max(0.0, demand.prompt_tokens - model.cache.cached_tokens(demand.prefixes, now=now))

    def _transfer_s(
        self, demand: Demand, option: RegionOption, model: TargetModel, now: float
    ) -> float:
        concurrent_transfers = 1 + model.sent_since(now - 1.0)
        return demand.body_bytes * concurrent_transfers / max(1.0, option.bytes_per_s)

    def _service(self, name: str) -> ServiceModel:
        return self._services.setdefault(name, ServiceModel())

    def _target(self, name: str, *, now: float, incarnation: int = 0) -> TargetModel:
        if self._first_used_at is None:
            self._first_used_at = now
        model = self._targets.get(name)
        if model is None:
            policy_is_new = now - self._first_used_at < REPORT_TRUST_S
            model = TargetModel(now=now, incarnation=incarnation, skip_slow_start=policy_is_new)
            self._targets[name] = model
        return model

    def _observe_report(self, info: BackendInfo, now: float) -> None:
        model = self._target(info.name, now=now, incarnation=info.incarnation)
        model.note_incarnation(info.incarnation, now=now)
        if info.cache_sequence != self._next_cache_sequence.get(info.name, info.cache_sequence):
            model.cache.note_event_gap()
        self._next_cache_sequence[info.name] = info.cache_sequence + len(info.cache_events)
        for event in info.cache_events:
            if event.stored:
                model.cache.note_stored(event.digest, now=now)
            else:
                model.cache.note_evicted(event.digest)

    def _observe_sent(self, event: Sent, now: float) -> None:
        estimate = self._estimates.pop(event.demand.request_id, None)
        expected_s = estimate.placement.expected_s if estimate is not None else None
        self._target(event.target, now=now).sent(
            event.demand,
            expected_s=expected_s or 0.0,
            prefill_s=estimate.prefill_s if estimate is not None else 0.0,
            now=now,
        )

    def _observe_first_token(self, event: FirstToken, now: float) -> None:
        pending = self._target(event.target, now=now).first_token(event.demand.request_id, now=now)
        if pending is not None:
            service = self._service(event.demand.service)
            service.sample_prefill(
                uncached_tokens=pending.prefill_s / service.prefill_s,
                seconds=now - pending.sent_at,
            )

    def _observe_finished(self, event: Finished, now: float) -> None:
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
    """Return the prefill time ahead of a request of ``priority``, seconds.

    The reported prefill has progressed since the report, and requests that this instance sent later
    are added. The prefill of local requests alone is the lower bound.
    """
    info = known.info
    sampled_at = known.received_at - REPORT_LAG_S
    tokens = info.prefill_tokens_first if priority == 0 else info.prefill_tokens
    reported_s = max(0.0, tokens * service.prefill_s - (now - sampled_at))
    sent_later_s = model.pending_prefill_s(priority=priority, since=sampled_at)
    local_s = model.pending_prefill_s(priority=priority)
    blocked_s = model.blocking_prefill_s(priority=priority, now=now)
    return max(local_s + blocked_s, reported_s + sent_later_s)


def _slot_wait_s(load: float, slots: float, duration_s: float) -> float:
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
