"""What a run under a virtual clock is made of, and what comes out of it."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

from figpaddle.deployment import PolicyWeights
from figpaddle.routing import PlacementPolicy
from figpaddle.standins._simulated_engine import EngineSpeed
from figpaddle.standins._traffic import TrafficShape

PolicyFactory = Callable[[random.Random], PlacementPolicy]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunFault:
    """Something that goes wrong between two moments."""

    #: ``region lost``, ``engine slow``, ``reports missing`` or ``partition``.
    kind: str
    #: Region or engine that it concerns.
    target: str
    #: Begin, seconds.
    begins: float
    #: End, seconds.
    ends: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunSettings:
    """One run."""

    #: Traffic.
    shape: TrafficShape
    #: Engines of each region.
    engines: dict[str, int]
    #: Speed of the engines.
    speed: EngineSpeed
    #: Instances of each region.
    deciders: int
    #: Bandwidth between two regions, bytes a second.
    bytes_per_s: float
    #: Time between two regions one way, seconds.
    one_way_s: float
    #: What the member weighs.
    weights: PolicyWeights
    #: Requests a second in all.
    rate_per_s: float
    #: Length, seconds.
    duration_s: float
    #: Seed of the traffic and of every choice.
    seed: int
    #: Makes the policy of one instance; None for the oracle.
    policy: PolicyFactory | None
    #: Faults.
    faults: tuple[RunFault, ...] = ()
    #: Part of the sessions that use one hot workspace from the middle of the run on.
    hot_part: float = 0.0

    def is_faulty(self, kind: str, target: str, *, now: float) -> bool:
        """Return whether a fault of ``kind`` holds at ``target``."""
        return any(
            fault.kind == kind
            and fault.target in ("*", target)
            and fault.begins <= now < fault.ends
            for fault in self.faults
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunResult:
    """What became of one request."""

    #: When it arrived, seconds.
    at: float
    #: Name of its class.
    class_name: str
    #: ``answered``, ``refused`` or ``late``.
    outcome: str
    #: Time to the first token at the caller, seconds; infinite without one.
    first_s: float
    #: Mean time between tokens, seconds; infinite without an answer.
    token_s: float
    #: Time allowed to the first token, seconds.
    deadline_s: float
    #: Whether another region served it.
    away: bool
    #: Work with a warm cache, seconds of an engine.
    nominal_work_s: float
    #: Part of the prompt that was in the cache.
    cached_part: float
    #: Cost, seconds of an engine.
    cost_s: float
