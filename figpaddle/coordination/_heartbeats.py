"""Which instances are alive, from heartbeats that each sends to all others."""

from __future__ import annotations

import dataclasses
from typing import Generic, Protocol, TypeVar

#: Without a heartbeat for this long an instance isn't named to callers any more, seconds.
SILENT_AFTER_S = 2.5
#: After this long without a heartbeat an instance is forgotten, seconds.
FORGOTTEN_AFTER_S = 60.0


class Beat(Protocol):
    """What the table needs to know of a heartbeat."""

    @property
    def name(self) -> str:
        """Name of the sender."""

    @property
    def incarnation(self) -> int:
        """Grows with each start of the sender."""

    @property
    def sequence(self) -> int:
        """Grows with each heartbeat of an incarnation."""


BeatT = TypeVar("BeatT", bound=Beat)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heard(Generic[BeatT]):
    """The newest heartbeat of an instance."""

    #: The heartbeat.
    beat: BeatT
    #: When it came, seconds.
    at: float


class HeartbeatTable(Generic[BeatT]):
    """The newest heartbeat of each instance; late and repeated ones change nothing."""

    def __init__(self) -> None:
        self._heard: dict[str, Heard[BeatT]] = {}

    def note(self, beat: BeatT, *, now: float) -> bool:
        """Take in a heartbeat; return whether the sender was unknown, silent or restarted."""
        known = self._heard.get(beat.name)
        if known is not None:
            order = (known.beat.incarnation, known.beat.sequence)
            if (beat.incarnation, beat.sequence) <= order:
                return False
        self._heard[beat.name] = Heard(beat=beat, at=now)
        if known is None or now - known.at > SILENT_AFTER_S:
            return True
        return beat.incarnation != known.beat.incarnation

    def live(self, *, now: float) -> list[BeatT]:
        """Return the heartbeats of the instances heard recently, by name."""
        return [
            heard.beat
            for _, heard in sorted(self._heard.items())
            if now - heard.at <= SILENT_AFTER_S
        ]

    def get(self, name: str) -> Heard[BeatT] | None:
        """Return the newest heartbeat of an instance."""
        return self._heard.get(name)

    def known(self) -> list[str]:
        """Return the names of all instances remembered."""
        return sorted(self._heard)

    def expire(self, *, now: float) -> list[str]:
        """Forget instances that have been silent for long; return their names."""
        gone = [name for name, heard in self._heard.items() if now - heard.at > FORGOTTEN_AFTER_S]
        for name in gone:
            del self._heard[name]
        return gone
