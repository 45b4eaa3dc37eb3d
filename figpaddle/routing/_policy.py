"""Placement policies: which backend server or region serves a request."""

from __future__ import annotations

import abc
import dataclasses
import random

from figpaddle.routing._backends import KnownBackend


@dataclasses.dataclass(frozen=True, kw_only=True)
class RegionOption:
    """Another region that could serve the request."""

    #: Name of the region.
    region: str
    #: Backend servers there that take new work for the service.
    backends: int
    #: Slots there in all.
    slots: int
    #: Requests there in all, as last reported.
    load: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """Everything that a policy may choose from."""

    #: Backend servers of the own region.
    backends: tuple[KnownBackend, ...]
    #: Other regions that may hold the request's data.
    regions: tuple[RegionOption, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """The choice for one request: exactly one of the two is given."""

    #: Backend server of the own region.
    backend: KnownBackend | None = None
    #: Other region.
    region: str | None = None


class PlacementPolicy(abc.ABC):
    """Chooses where a request is served."""

    @abc.abstractmethod
    def place(self, options: Options, *, now: float) -> Placement | None:
        """Return the choice, or None if there is nothing to choose from."""


class LeastLoadPolicy(PlacementPolicy):
    """Takes the backend server with the fewest requests per slot, the own region first."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def place(self, options: Options, *, now: float) -> Placement | None:
        """Return the choice, or None if there is nothing to choose from."""
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
