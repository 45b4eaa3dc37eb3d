"""Distribution of backend-server announcements and of regional summaries."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._component import Component
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.daemon._regions import RegionView
from figpaddle.routing import ANNOUNCEMENTS_READ_INTERVAL_S, BackendTable, KnownBackend
from figpaddle.telemetry import Log
from figpaddle.wire import BackendInfo, BackendsUpdate, Message, RegionSummary

#: Interval at which region summaries are sent, seconds.
SUMMARY_INTERVAL_S = 1.0


class BackendAnnouncements(Component):
    """Maintains the tables of backend servers and of other regions.

    Announcements are sent to all instances of the region, summaries to all other regions.
    """

    def __init__(
        self,
        *,
        directory: InstanceDirectory,
        network: PeerNetwork,
        backends: BackendTable,
        regions: RegionView,
        on_announcement: Callable[[BackendInfo], None],
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        self._directory = directory
        self._network = network
        self._backends = backends
        self._regions = regions
        self._on_announcement = on_announcement
        self._clock = clock
        self._log = log
        network.register(BackendsUpdate, self._on_backends_update)
        network.register(RegionSummary, self._on_summary)

    @property
    def name(self) -> str:
        """Key of this component's section in the state dump."""
        return "backends"

    def dump(self, *, now: float, member: str | None) -> Any:
        """Return the known backend servers that offer services of ``member``, or all."""
        return [
            _dump_backend(known, now=now, member=member)
            for known in self._backends.backends
            if _visible_services(known, member)
        ]

    def publish(self, info: BackendInfo) -> None:
        """Process an announcement and send it to the other instances of the region."""
        self._on_announcement(info)
        update = BackendsUpdate(backends=(info,))
        own_region = self._directory.own.region
        for peer in self._directory.peers():
            if peer.region == own_region:
                self._network.post(peer.name, update)

    async def run(self) -> None:
        """Send summaries and remove expired backend servers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._note_reading)
            await self._send_summaries()

    async def _note_reading(self) -> None:
        while True:
            self._backends.note_reading(now=self._clock())
            await anyio.sleep(ANNOUNCEMENTS_READ_INTERVAL_S)

    async def _send_summaries(self) -> None:
        while True:
            self._send_summary()
            for name in self._backends.expire(now=self._clock()):
                self._log.info("backend_expired", backend=name)
            await anyio.sleep(SUMMARY_INTERVAL_S)

    def _send_summary(self) -> None:
        own_region = self._directory.own.region
        services = self._backends.summaries(now=self._clock())
        summary = RegionSummary(region=own_region, services=services)
        for peer in self._directory.peers():
            if peer.region != own_region:
                self._network.post(peer.name, summary)

    async def _on_backends_update(self, peer: str, message: BackendsUpdate) -> Message | None:
        for info in message.backends:
            own_region = info.region == self._directory.own.region
            if own_region and self._backends.announce(info, now=self._clock()):
                self._on_announcement(info)
        return None

    async def _on_summary(self, peer: str, message: RegionSummary) -> Message | None:
        self._regions.update(message, now=self._clock())
        return None


def _visible_services(known: KnownBackend, member: str | None) -> list[str]:
    return [
        service
        for service in known.info.services
        if member is None or service.startswith(f"{member}/")
    ]


def _dump_backend(known: KnownBackend, *, now: float, member: str | None) -> dict[str, Any]:
    visible = _visible_services(known, member)
    entry: dict[str, Any] = {
        "name": known.info.name,
        "services": visible,
        "state": known.info.state.value,
        "age_s": round(now - known.received_at, 3),
    }
    if len(visible) == len(known.info.services):
        entry["in_flight"] = known.in_flight
        entry["running"] = known.info.running
        entry["waiting"] = known.info.waiting
    return entry
