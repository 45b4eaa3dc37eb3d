"""Failure detection from heartbeats that each instance sends to all others."""

from __future__ import annotations

import dataclasses
from typing import Generic, Protocol, TypeVar

#: After this long without a heartbeat an instance no longer counts as live, seconds.
HEARTBEAT_TIMEOUT_S = 2.5
#: After this long without a heartbeat the record of an instance is removed, seconds.
RETENTION_S = 60.0


class Heartbeat(Protocol):
    """The fields of a heartbeat that the table reads."""

    @property
    def name(self) -> str:
        """Name of the sender."""

    @property
    def incarnation(self) -> int:
        """Increases with each start of the sender."""

    @property
    def sequence(self) -> int:
        """Increases with each heartbeat of an incarnation."""


HeartbeatT = TypeVar("HeartbeatT", bound=Heartbeat)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReceivedHeartbeat(Generic[HeartbeatT]):
    """The newest heartbeat of an instance."""

    #: The heartbeat.
    heartbeat: HeartbeatT
    #: When it arrived, seconds.
    received_at: float


class HeartbeatTable(Generic[HeartbeatT]):
    """The newest heartbeat of each instance; late and duplicate ones are ignored."""

    def __init__(self) -> None:
        self._newest: dict[str, ReceivedHeartbeat[HeartbeatT]] = {}

    def record(self, heartbeat: HeartbeatT, *, now: float) -> bool:
        """Record a heartbeat; return whether its sender was unknown, silent or has restarted."""
        known = self._newest.get(heartbeat.name)
        if known is not None:
            known_order = (known.heartbeat.incarnation, known.heartbeat.sequence)
            if (heartbeat.incarnation, heartbeat.sequence) <= known_order:
                return False
        self._newest[heartbeat.name] = ReceivedHeartbeat(heartbeat=heartbeat, received_at=now)
        if known is None or now - known.received_at > HEARTBEAT_TIMEOUT_S:
            return True
        return heartbeat.incarnation != known.heartbeat.incarnation

    def live(self, *, now: float) -> list[HeartbeatT]:
        """Return the newest heartbeats of the live instances, ordered by name."""
        return [
            received.heartbeat
            for _, received in sorted(self._newest.items())
            if now - received.received_at <= HEARTBEAT_TIMEOUT_S
        ]

    def get(self, name: str) -> ReceivedHeartbeat[HeartbeatT] | None:
        """Return the newest heartbeat of an instance, or None."""
        return self._newest.get(name)

    def names(self) -> list[str]:
        """Return the names of all recorded instances, sorted."""
        return sorted(self._newest)

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
