"""Simulated links between regions."""

from __future__ import annotations

from figpaddle.standins._simulation_settings import SimulationSettings

#: Fraction of a link's bandwidth that other traffic leaves for requests.
AVAILABLE_BANDWIDTH_FRACTION = 0.8


class SimulatedLinks:
    """Delay, shared bandwidth and partitions of the links between regions."""

    def __init__(self, *, settings: SimulationSettings) -> None:
        self._settings = settings
        self._busy_until: dict[tuple[str, str], float] = {}

    @property
    def bytes_per_s(self) -> float:
        """Bandwidth available to requests, bytes per second."""
        return self._settings.bytes_per_s * AVAILABLE_BANDWIDTH_FRACTION

    def send(self, source: str, destination: str, size_bytes: int, *, now: float) -> float:
        """Return the time at which ``size_bytes`` that are sent now have arrived."""
        starts_at = max(now, self._busy_until.get((source, destination), 0.0))
        ends_at = starts_at + size_bytes / self.bytes_per_s
        self._busy_until[source, destination] = ends_at
        return ends_at + self._settings.one_way_s

    def is_partitioned(self, first: str, second: str, *, now: float) -> bool:
        """Return whether a partition separates two regions."""
        if first == second:
            return False
        return any(
            self._settings.has_fault("partition", region, now=now) for region in (first, second)
        )
