"""Settings and results of a simulation."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

from figpaddle.deployment import PolicyWeights
from figpaddle.routing import PlacementPolicy
from figpaddle.standins._simulated_engine import EngineSpeed
from figpaddle.standins._traffic import TrafficProfile

PolicyFactory = Callable[[random.Random], PlacementPolicy]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SimulatedFault:
    """A fault that lasts from one time to another."""

    #: ``region lost``, ``engine slow``, ``reports missing`` or ``partition``.
    kind: str
    #: Affected region or engine; ``*`` for all.
    target: str
    #: Start, seconds of virtual time.
    starts_at: float
    #: End, seconds of virtual time.
    ends_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class SimulationSettings:
    """Settings of one simulation."""

    #: Traffic of the simulated member.
    traffic: TrafficProfile
    #: Number of engines by region.
    engines: dict[str, int]
    #: Speed of the engines.
    speed: EngineSpeed
    #: Number of instances in each region.
    instances_per_region: int
    #: Bandwidth between two regions, bytes per second.
    bytes_per_s: float
    #: One-way delay between two regions, seconds.
    one_way_s: float
    #: The member's weights of cost, tail latency and requests served in another region.
    weights: PolicyWeights
    #: Requests per second over all regions.
    rate_per_s: float
    #: Duration, seconds of virtual time.
    duration_s: float
    #: Seed of the traffic and of every random choice.
    seed: int
    #: Creates the policy of one instance; None for the oracle.
    policy: PolicyFactory | None
    #: Injected faults.
    faults: tuple[SimulatedFault, ...] = ()
    #: Fraction of the sessions that share one hot workspace from the middle of the run on.
    hot_session_fraction: float = 0.0

    def has_fault(self, kind: str, target: str, *, now: float) -> bool:
        """Return whether a fault of ``kind`` affects ``target`` at ``now``."""
        return any(
            fault.kind == kind
            and fault.target in ("*", target)
            and fault.starts_at <= now < fault.ends_at
            for fault in self.faults
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestResult:
    """Result of one request."""

    #: Arrival time, seconds.
    arrived_at: float
    #: Name of its request class.
    class_name: str
    #: ``answered``, ``refused`` or ``late``.
    outcome: str
    #: Time to the first token at the caller, seconds; infinite without a response.
    first_token_s: float
    #: Mean time between tokens, seconds; infinite without a response.
    token_interval_s: float
    #: Deadline of the first token, seconds from arrival.
    deadline_s: float
    #: Whether another region served it.
    is_remote: bool
    #: Work with a warm cache, seconds of engine time.
    nominal_work_s: float
    #: Fraction of the prompt that was in the prefix cache.
    cached_fraction: float
    #: Cost, seconds of engine time.
    cost_s: float
