"""Placement policies: the interface and the simple policies."""

from __future__ import annotations

import abc
import dataclasses
import random

from figpaddle.deployment import PolicyWeights
from figpaddle.routing._backends import KnownBackend
from figpaddle.routing._demand import Demand, TargetEvent


@dataclasses.dataclass(frozen=True, kw_only=True)
class RegionOption:
    """Another region that could serve the request."""

    #: Name of the region.
    region: str
    #: Backend servers there that accept new requests for the service.
    backends: int
    #: Total slots there.
    slots: int
    #: Total requests there, as last reported.
    load: int
    #: Free slots there for requests from other regions, as last reported.
    room: int = 0
    #: When the report was received, seconds.
    received_at: float = 0.0
    #: Round-trip time to the region, seconds.
    round_trip_s: float = 0.16
    #: Bandwidth to the region, bytes per second.
    bytes_per_s: float = 8_750_000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementOptions:
    """The backend servers and regions that a policy may choose from."""

    #: Backend servers of the local region.
    backends: tuple[KnownBackend, ...]
    #: Other regions that may hold the data of the request.
    regions: tuple[RegionOption, ...] = ()
    #: Placement weights of the member.
    weights: PolicyWeights = PolicyWeights()
    #: Instances of the local region that place requests at the same time.
    placing_instances: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """The target of one request: either a backend server or a region."""

    #: Backend server of the local region.
    backend: KnownBackend | None = None
    #: The other region.
    region: str | None = None
    #: Expected time to the first token, seconds; None if the policy doesn't estimate it.
    expected_s: float | None = None
    #: Work of the request, seconds of a backend server's slot.
    work_s: float = 0.0

    @property
    def target(self) -> str:
        """Name of the backend server or region."""
        return self.backend.info.name if self.backend is not None else str(self.region)


class PlacementPolicy(abc.ABC):
    """Chooses where a request is served."""

    @abc.abstractmethod
    def place(self, demand: Demand, options: PlacementOptions, *, now: float) -> Placement | None:
        """Return the placement, or None if there is no option."""

    def observe(self, event: TargetEvent, *, now: float) -> None:  # noqa: B027
        """Learn from an event."""


class RoundRobinPolicy(PlacementPolicy):
    """Uses backend servers in turn; a region gets a turn for each of its backend servers."""

    def __init__(self) -> None:
        self._turns: dict[str, int] = {}

    def place(self, demand: Demand, options: PlacementOptions, *, now: float) -> Placement | None:
        """Return the placement, or None if there is no option."""
        choices = [Placement(backend=backend) for backend in options.backends]
        for option in options.regions:
            choices += [Placement(region=option.region)] * option.backends
        if not choices:
            return None
        turn = self._turns.get(demand.service, 0)
        self._turns[demand.service] = turn + 1
        return choices[turn % len(choices)]


class LeastReportedLoadPolicy(PlacementPolicy):
    """Uses the backend server or region with the lowest reported load per slot."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def place(self, demand: Demand, options: PlacementOptions, *, now: float) -> Placement | None:
        """Return the placement, or None if there is no option."""
        choices: list[tuple[float, float, Placement]] = []
        for known in options.backends:
            load = (known.info.running + known.info.waiting) / max(1, known.info.slots)
            choices.append((load, self._rng.random(), Placement(backend=known)))
        for option in options.regions:
            if option.backends > 0:
                load = option.load / max(1, option.slots)
                choices.append((load, self._rng.random(), Placement(region=option.region)))
        return min(choices, key=lambda choice: choice[:2])[2] if choices else None


class LeastLoadPolicy(PlacementPolicy):
    """Uses the backend server with the fewest requests per slot; prefers the local region."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def place(self, demand: Demand, options: PlacementOptions, *, now: float) -> Placement | None:
        """Return the placement, or None if there is no option."""
        if options.backends:
            backend = min(options.backends, key=self._load)
            return Placement(backend=backend)
        regions = [option for option in options.regions if option.backends > 0]
        if not regions:
            return None
        best = min(regions, key=lambda option: option.load / max(1, option.slots))
        return Placement(region=best.region)

    def _load(self, known: KnownBackend) -> tuple[float, float]:
        busy = max(known.in_flight, known.info.running + known.info.waiting)
        return (busy / max(1, known.info.slots), self._rng.random())
