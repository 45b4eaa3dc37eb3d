"""Links between regions under a virtual clock, as numbers."""

from __future__ import annotations

from figpaddle.standins._simulation_settings import RunSettings

#: Part of a link's bandwidth that is left beside other traffic.
FREE_BANDWIDTH = 0.8


class Links:
    """Delays, shared bandwidth and partitions of the links between regions."""

    def __init__(self, *, settings: RunSettings) -> None:
        self._settings = settings
        self._busy_until: dict[tuple[str, str], float] = {}

    @property
    def bytes_per_s(self) -> float:
        """Bandwidth that is left for requests, bytes a second."""
        return self._settings.bytes_per_s * FREE_BANDWIDTH

    def send(self, source: str, destination: str, size: int, *, now: float) -> float:
        """Return when ``size`` bytes sent now have arrived."""
        begins = max(now, self._busy_until.get((source, destination), 0.0))
        ends = begins + size / self.bytes_per_s
        self._busy_until[source, destination] = ends
        return ends + self._settings.one_way_s

    def is_cut(self, one: str, other: str, *, now: float) -> bool:
        """Return whether nothing passes between two regions."""
        if one == other:
            return False
        return any(
            self._settings.is_faulty("partition", region, now=now) for region in (one, other)
        )
