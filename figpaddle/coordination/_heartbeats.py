"""Failure detection from heartbeats, heard directly or vouched for by a relay."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Any, ClassVar, Generic, Protocol, TypeVar

#: After this long without a heartbeat an instance no longer counts as live, seconds.
HEARTBEAT_TIMEOUT_S = 2.5
#: Time for which a heartbeat heard directly counts by itself, seconds. Only after that may a relay
#: vouch for its sender, so that a control instance that is silent is noticed by the others at once.
DIRECT_TTL_S = 1.5
#: After this long without a heartbeat the record of an instance is removed, seconds.
RETENTION_S = 60.0


class Heartbeat(Protocol):
    """The fields of a heartbeat that the table reads; heartbeats are data classes."""

    __dataclass_fields__: ClassVar[dict[str, Any]]

    @property
    def name(self) -> str:
        """Name of the sender."""

    @property
    def incarnation(self) -> int:
        """Increases with each start of the sender."""

    @property
    def sequence(self) -> int:
        """Increases with each heartbeat of an incarnation."""

    @property
    def revision(self) -> int:
        """Revision of the cluster state that the sender has; never falls in an incarnation."""


HeartbeatT = TypeVar("HeartbeatT", bound=Heartbeat)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReceivedHeartbeat(Generic[HeartbeatT]):
    """The newest heartbeat of an instance."""

    #: The heartbeat.
    heartbeat: HeartbeatT
    #: When it arrived, or a relay last vouched for its sender, seconds.
    received_at: float
    #: When a heartbeat of this incarnation last came from the sender itself, seconds.
    direct_at: float = float("-inf")
    #: When a relay last vouched for its sender, seconds, also while heartbeats came from the sender itself.
    vouched_at: float = float("-inf")

    @property
    def alive_at(self) -> float:
        """The last moment at which its sender was alive by any sign, seconds."""
        return max(self.received_at, self.vouched_at)


class HeartbeatTable(Generic[HeartbeatT]):
    """The newest heartbeat of each instance; late and duplicate ones are ignored."""

    def __init__(self) -> None:
        # Ordered by name, as it is read far more often than an instance is added.
        self._newest: dict[str, ReceivedHeartbeat[HeartbeatT]] = {}

    def record(self, heartbeat: HeartbeatT, *, now: float) -> bool:
        """Record a heartbeat; return whether its sender was unknown, silent or has restarted."""
        known = self._newest.get(heartbeat.name)
        if known is not None:
            known_order = (known.heartbeat.incarnation, known.heartbeat.sequence)
            if (heartbeat.incarnation, heartbeat.sequence) <= known_order:
                return False
        self._replace(ReceivedHeartbeat(heartbeat=heartbeat, received_at=now, direct_at=now))
        if known is None or now - known.alive_at > HEARTBEAT_TIMEOUT_S:
            return True
        return heartbeat.incarnation != known.heartbeat.incarnation

    def vouch(self, heartbeat: HeartbeatT, *, now: float) -> bool:
        """Record that a relay vouched at ``now`` for the sender of ``heartbeat``, made from its roster.

        Returns whether the sender was unknown, silent or has restarted. A newer heartbeat from the
        sender itself is kept, and its revision never falls.
        """
        known = self._newest.get(heartbeat.name)
        if known is None or heartbeat.incarnation > known.heartbeat.incarnation:
            self._replace(ReceivedHeartbeat(heartbeat=heartbeat, received_at=now))
            return True
        if heartbeat.incarnation < known.heartbeat.incarnation:
            return False
        newest = heartbeat
        if known.heartbeat.sequence > heartbeat.sequence:
            newest = known.heartbeat
        revision = max(heartbeat.revision, known.heartbeat.revision)
        if newest.revision != revision:
            newest = dataclasses.replace(newest, revision=revision)
        is_direct = now - known.direct_at <= DIRECT_TTL_S
        self._newest[heartbeat.name] = ReceivedHeartbeat(
            heartbeat=newest,
            received_at=known.received_at if is_direct else max(known.received_at, now),
            direct_at=known.direct_at,
            vouched_at=max(known.vouched_at, now),
        )
        return now - known.alive_at > HEARTBEAT_TIMEOUT_S

    def live(self, *, now: float) -> list[HeartbeatT]:
        """Return the newest heartbeats of the live instances, ordered by name."""
        return [
            received.heartbeat
            for received in self._newest.values()
            if now - received.received_at <= HEARTBEAT_TIMEOUT_S
            or now - received.vouched_at <= HEARTBEAT_TIMEOUT_S
        ]

    def heard_directly(self, max_age_s: float, *, now: float) -> list[HeartbeatT]:
        """Return the newest heartbeats of instances heard themselves within ``max_age_s``."""
        return [
            received.heartbeat
            for received in self._newest.values()
            if now - received.direct_at <= max_age_s
        ]

    def get(self, name: str) -> ReceivedHeartbeat[HeartbeatT] | None:
        """Return the newest heartbeat of an instance, or None."""
        return self._newest.get(name)

    def received(self) -> Iterable[ReceivedHeartbeat[HeartbeatT]]:
        """Return the newest heartbeats of all recorded instances, ordered by name."""
        return self._newest.values()

    def names(self) -> list[str]:
        """Return the names of all recorded instances, sorted."""
        return list(self._newest)

    def expire(self, *, now: float) -> list[str]:
        """Remove the records of instances that have been silent for long; return their names."""
        expired = [
            name
            for name, received in self._newest.items()
            if now - received.received_at > RETENTION_S
        ]
        for name in expired:
            del self._newest[name]
        return expired

    def _replace(self, received: ReceivedHeartbeat[HeartbeatT]) -> None:
        name = received.heartbeat.name
        is_new = name not in self._newest
        self._newest[name] = received
        if is_new:
            self._newest = dict(sorted(self._newest.items()))
