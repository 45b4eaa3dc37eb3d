"""Placement with exact knowledge of all queues and caches, as a reference for the policies."""

from __future__ import annotations

from figpaddle.deployment import PolicyWeights
from figpaddle.routing import Demand
from figpaddle.standins._simulated_engine import SimulatedEngine

#: Penalty for serving a request in another region, in seconds of waiting.
REMOTE_PENALTY_S = 0.3
#: Cost of forwarding a request to another region, in seconds of engine time.
CROSS_REGION_COST_S = 0.05
#: Penalty for a full batch, in seconds of waiting.
CONGESTION_PENALTY_S = 0.2
#: Penalty for each second beyond the deadline.
LATE_PENALTY = 5.0


class OraclePlacement:
    """Chooses the engine with the lowest true cost in any region."""

    def __init__(self, *, engines: tuple[SimulatedEngine, ...]) -> None:
        self._engines = engines

    def choose(
        self,
        demand: Demand,
        candidates: list[SimulatedEngine],
        *,
        region: str,
        link_delay_s: float,
        weights: PolicyWeights,
        now: float,
    ) -> SimulatedEngine | None:
        """Return the engine with the lowest cost, or None if none can meet the deadline."""
        # Normalizes the three weights to a mean of 1.
        scale = 3.0 / (weights.cost + weights.tail + weights.sent_away)
        best: tuple[float, SimulatedEngine] | None = None
        for engine in candidates:
            is_remote = engine.region != region
            first_token_s = engine.time_to_first_token_s(demand, now=now) + (
                link_delay_s if is_remote else 0.0
            )
            if first_token_s > demand.deadline_s:
                continue
            uncached_tokens = demand.prompt_tokens - engine.cached_tokens(demand)
            prefill_s = uncached_tokens / engine.speed.prefill_tokens_per_s
            token_interval_s = engine.speed.step_s * engine.slowdown
            total_cost_s = (
                scale
                * weights.tail
                * (first_token_s + 0.2 * demand.output_tokens * token_interval_s)
            )
            total_cost_s += (
                scale * weights.cost * (prefill_s + (CROSS_REGION_COST_S if is_remote else 0.0))
            )
            total_cost_s += scale * weights.sent_away * (REMOTE_PENALTY_S if is_remote else 0.0)
            total_cost_s += (
                CONGESTION_PENALTY_S * (engine.running + engine.waiting) / engine.speed.slots
            )
            if best is None or total_cost_s < best[0]:
                best = (total_cost_s, engine)
        return best[1] if best is not None else None
