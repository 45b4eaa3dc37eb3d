"""Work of the other entries and load of the other regions, from heartbeats and from relays."""

from __future__ import annotations

from collections.abc import Callable

from figpaddle.regional._mesh import Mesh, accepting
from figpaddle.routing import BackendLoadTracker, NamedLimits, PeerLoad, peer_load
from figpaddle.wire import (
    BackendLimit,
    BackendWork,
    InstanceHeartbeat,
    InstanceRole,
    Message,
    RegionalLoad,
)

#: Name under which the sum that relays report counts as the work of one peer.
RELAYS = "relays"
#: Time after which the load that a region reported no longer counts, seconds; as long as an entry that
#: isn't heard counts as live.
LOAD_TTL_S = 2.5


class PeerReports:
    """Feeds the load trackers of the backend servers with the reports of other entries."""

    def __init__(
        self,
        *,
        region: str,
        mesh: Mesh,
        trackers: dict[str, BackendLoadTracker],
        named_limits: NamedLimits,
        clock: Callable[[], float],
    ) -> None:
        self._region = region
        self._mesh = mesh
        self._trackers = trackers
        self._named_limits = named_limits
        self._clock = clock
        # Backend servers in the last report of each other entry.
        self._reported_by_peer: dict[str, set[str]] = {}
        # Loads of other regions from relays, and when they came.
        self._relayed_loads: dict[str, tuple[tuple[RegionalLoad, ...], float]] = {}
        mesh.on_datagram(InstanceHeartbeat, self._apply_heartbeat)

    def apply_relayed_work(
        self, work: tuple[BackendWork, ...], limits: tuple[BackendLimit, ...]
    ) -> None:
        """Record the work of all other entries of the region, as a relay sums it up."""
        self._named_limits.merge(limits, now=self._mesh.message_at)
        self._apply_work(RELAYS, work)

    def apply_relayed_load(self, region: str, loads: tuple[RegionalLoad, ...]) -> None:
        """Record the load of another region, as one of its relays estimates it."""
        self._relayed_loads[region] = (loads, self._mesh.message_at)

    def regional_load(self, region: str, service: str, priority: int) -> RegionalLoad | None:
        """Return the newest report of a service's load in a region; None if no entry there can serve.

        Without a report for ``priority``, which a new configuration may have added, the one for the
        nearest priority is used.
        """
        report = self._newest_report(region)
        if report is None:
            return None
        return min(
            (load for load in report[1] if load.service == service),
            key=lambda load: abs(load.priority - priority),
            default=None,
        )

    def running_versions(self, region: str, service: str) -> tuple[tuple[str, ...], float] | None:
        """Return the versions of a service that run in another region, and when that was reported."""
        report = self._newest_report(region)
        if report is None:
            return None
        reported_at, loads = report
        return next(
            ((load.running_versions, reported_at) for load in loads if load.service == service),
            None,
        )

    def _newest_report(self, region: str) -> tuple[float, tuple[RegionalLoad, ...]] | None:
        """Return when a region last reported its load, and the load; None if no entry there can serve."""
        entries = [item for item in self._mesh.live_entries(region) if not item.cut_off]
        if not accepting(entries):
            return None
        heard = [self._mesh.last_heard(heartbeat.name) for heartbeat in entries if heartbeat.loads]
        # A relay vouches for an entry that reported its load itself long ago.
        reports = [
            (received.direct_at, received.heartbeat.loads)
            for received in heard
            if received is not None
        ]
        if region in self._relayed_loads:
            loads, reported_at = self._relayed_loads[region]
            reports.append((reported_at, loads))
        newest = max(reports, key=lambda report: report[0], default=None)
        is_recent = newest is not None and self._clock() - newest[0] <= LOAD_TTL_S
        return newest if is_recent else None

    def expire(self) -> None:
        """Forget instances that are gone."""
        known = {*self._mesh.known_names(), RELAYS}
        for name in self._reported_by_peer.keys() - known:
            del self._reported_by_peer[name]

    def _apply_heartbeat(self, message: Message) -> None:
        assert isinstance(message, InstanceHeartbeat)
        if message.role is not InstanceRole.ENTRY or message.region != self._region:
            return
        if message.relayed:
            # Its work comes in the sums of the relays.
            self._apply_work(message.name, ())
            return
        self._named_limits.merge(message.limits, now=self._mesh.message_at)
        self._apply_work(message.name, message.work)

    def _apply_work(self, peer: str, work: tuple[BackendWork, ...]) -> None:
        now = self._mesh.message_at
        reported = {item.backend for item in work}
        for name in self._reported_by_peer.get(peer, set()) - reported:
            if name in self._trackers:
                self._trackers[name].note_peer_load(peer, PeerLoad(), now=now)
        self._reported_by_peer[peer] = reported
        for item in work:
            tracker = self._trackers.get(item.backend)
            if tracker is not None:
                tracker.note_peer_load(peer, peer_load(item), now=now)
