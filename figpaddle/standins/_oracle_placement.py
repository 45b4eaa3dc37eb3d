"""A placement that knows all queues and caches as they are."""

from __future__ import annotations

from figpaddle.deployment import PolicyWeights
from figpaddle.routing import Demand
from figpaddle.standins._simulated_engine import VirtualEngine

#: Price of serving a request in another region, in seconds of waiting.
AWAY_PRICE_S = 0.3
#: Cost of a crossing between regions, in seconds of an engine.
CROSSING_COST_S = 0.05
#: Price of a full batch, in seconds of waiting.
CONGESTION_PRICE_S = 0.2
#: Price of a second beyond the deadline.
LATE_PRICE = 5.0


class Oracle:
    """Chooses the engine with the lowest true price, in whichever region."""

    def __init__(self, *, engines: tuple[VirtualEngine, ...]) -> None:
        self._engines = engines

    def choose(
        self,
        demand: Demand,
        usable: list[VirtualEngine],
        *,
        region: str,
        link_s: float,
        weights: PolicyWeights,
        now: float,
    ) -> VirtualEngine | None:
        """Return the best engine, or None if the request can't be answered in time."""
        scale = 3.0 / (weights.cost + weights.tail + weights.sent_away)
        best: tuple[float, VirtualEngine] | None = None
        for engine in usable:
            away = engine.region != region
            first_s = engine.expected_wait_s(demand, now=now) + (link_s if away else 0.0)
            if first_s > demand.deadline_s:
                continue
            uncached = demand.prompt_tokens - engine.cached_tokens(demand)
            prefill_s = uncached / engine.speed.prefill_tokens_per_s
            token_s = engine.speed.step_s * engine.slow
            price = scale * weights.tail * (first_s + 0.2 * demand.output_tokens * token_s)
            price += scale * weights.cost * (prefill_s + (CROSSING_COST_S if away else 0.0))
            price += scale * weights.sent_away * (AWAY_PRICE_S if away else 0.0)
            price += CONGESTION_PRICE_S * (engine.running + engine.waiting) / engine.speed.slots
            if best is None or price < best[0]:
                best = (price, engine)
        return best[1] if best is not None else None
