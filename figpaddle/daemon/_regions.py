"""Load and capacity of services in other regions."""

from __future__ import annotations

from figpaddle.routing import RegionOption
from figpaddle.wire import RegionSummary, ServiceSummary

#: Age after which a summary is ignored, seconds.
SUMMARY_TTL_S = 6.0


class RegionView:
    """The latest summary received from each other region."""

    def __init__(self, *, own_region: str) -> None:
        self._own_region = own_region
        self._summaries: dict[str, tuple[float, dict[str, ServiceSummary]]] = {}

    def update(self, summary: RegionSummary, *, now: float) -> None:
        """Replace the summary of another region; one of the own region is ignored."""
        if summary.region != self._own_region:
            services = {entry.service: entry for entry in summary.services}
            self._summaries[summary.region] = (now, services)

    def options(
        self, service_key: str, allowed_regions: tuple[str, ...], *, now: float
    ) -> tuple[RegionOption, ...]:
        """Return the other allowed regions that have backend servers for ``service_key``."""
        available = []
        for region, (received_at, services) in sorted(self._summaries.items()):
            summary = services.get(service_key)
            if (
                summary is None
                or region not in allowed_regions
                or now - received_at > SUMMARY_TTL_S
            ):
                continue
            option = RegionOption(
                region=region,
                backends=summary.backends,
                slots=summary.slots,
                load=summary.load,
                room=summary.room,
                received_at=received_at,
            )
            available.append(option)
        return tuple(available)
