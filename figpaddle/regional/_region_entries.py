"""The entries of the own region, with which an entry shares limits."""

from __future__ import annotations

import copy
from collections.abc import Callable

from figpaddle.regional._mesh import Mesh
from figpaddle.regional._settings import ProcessSettings
from figpaddle.routing import EntryCensus, EntryShares, majority_heard_at

#: Time for which the shares are reused, seconds; half the interval of heartbeats in a region.
SHARES_TTL_S = 0.1


class RegionEntries:
    """Keeps the census of the entries of the own region from the heartbeats that arrive.

    ``voters`` returns the names of the voters of the cluster state.
    """

    def __init__(
        self, *, settings: ProcessSettings, mesh: Mesh, voters: Callable[[], tuple[str, ...]]
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._voters = voters
        self._census = EntryCensus(name=settings.ip)
        self._shares = EntryShares(name=settings.ip, names=(settings.ip,), count=1, settled=False)
        self._expires_at = float("-inf")

    def shares(self, *, now: float) -> EntryShares:
        """Return the shares of this entry."""
        if now >= self._expires_at:
            self._expires_at = now + SHARES_TTL_S
            region = self._settings.region
            self._shares = self._census.update(
                self._mesh.known_entries(region),
                self._mesh.stated_counts(region),
                voters_heard_at=self.voters_heard_at(),
                now=now,
            )
        return self._shares

    def snapshot(self) -> RegionEntries:
        """Return a copy for a look at the shares now; what it counts stays there."""
        copied = copy.copy(self)
        copied._census = copy.copy(self._census)
        return copied

    def voters_heard_at(self) -> float:
        """Return the last moment since which a majority of the voters was heard that hear this entry.

        The others divide the limits without an entry that no majority hears.
        """
        heard_at = majority_heard_at([self._mesh.heard_by_at(name) for name in self._voters()])
        return float("-inf") if heard_at is None else heard_at
