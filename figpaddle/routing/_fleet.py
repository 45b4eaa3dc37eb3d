"""The backend servers of a deployment as one instance believes them to be."""

from __future__ import annotations

import dataclasses
import enum

from figpaddle.wire import BackendRecord, BackendState

#: A backend server that said nothing for this long is not used any more, seconds. Far longer than
#: its heartbeats are apart: one that control can't hear may still serve its own region.
UNHEARD_AFTER_S = 45.0
#: A record is forgotten after this, seconds.
FORGOTTEN_AFTER_S = 180.0
#: How long a backend server that accepted no connection is left alone first, seconds.
FIRST_REST_S = 0.4
#: Longest time for which it is left alone, seconds.
MAX_REST_S = 2.0
#: Connections in a row that ended without a byte of an answer after which a backend server is left
#: alone. A single one may be a reset on the way; one that lost its answer answers the next.
BREAKS_BEFORE_REST = 3


class News(enum.Enum):
    """What a record changed."""

    #: Nothing that was not known.
    NOTHING = "nothing"
    #: It confirmed what was believed.
    CONFIRMED = "confirmed"
    #: The backend server was unknown, or has started again.
    STARTED = "started"
    #: Its state changed.
    STATE = "state"


@dataclasses.dataclass(kw_only=True, slots=True)
class FleetMember:
    """One backend server."""

    #: The newest record.
    record: BackendRecord
    #: When it said so, seconds.
    said_at: float
    #: Until when it is left alone after a failure, seconds.
    resting_until: float = 0.0
    #: Failures to reach it in a row.
    failures: int = 0
    #: Connections in a row that ended without a byte of an answer.
    breaks: int = 0
    #: Until when it is cold as it said itself, seconds.
    cold_until: float = 0.0
    #: What it said until this moment doesn't tell whether it is cold now, seconds.
    doubted_at: float = float("-inf")

    @property
    def name(self) -> str:
        """Name of this start of the backend server."""
        return self.record.name

    @property
    def address(self) -> str:
        """Where it listens."""
        return self.record.address

    def may_be_cold(self, *, now: float) -> bool:
        """Return whether it is cold, or may have become so since it last spoke."""
        return now < self.cold_until or self.said_at <= self.doubted_at


class Fleet:
    """Orders what backend servers say by their start and sequence, never by arrival.

    One address belongs to the start that was born last. A state only moves on within one start:
    what is draining never becomes ready again, and what has left stays away.
    """

    def __init__(self) -> None:
        self._members: dict[str, FleetMember] = {}
        self._by_address: dict[str, str] = {}

    def note(self, record: BackendRecord, *, now: float) -> News:
        """Take in a record; return what it changed."""
        holder = self._members.get(self._by_address.get(record.address, ""))
        if holder is not None and holder.name != record.name and holder.record.born > record.born:
            return News.NOTHING
        known = self._members.get(record.name)
        said_at = now - max(0.0, record.age_s)
        if known is None or record.born > known.record.born:
            self._add(record, said_at)
            return News.STARTED
        if not _newer(record, known.record):
            return News.NOTHING
        changed = record.state is not known.record.state or record.slots != known.record.slots
        known.record = record
        known.said_at = max(known.said_at, said_at)
        known.cold_until = said_at + record.warmup_s
        return News.STATE if changed else News.CONFIRMED

    def get(self, name: str) -> FleetMember | None:
        """Return the backend server called ``name``."""
        return self._members.get(name)

    def members(self) -> list[FleetMember]:
        """Return all that are remembered."""
        return list(self._members.values())

    def usable(
        self, service: str, *, region_zones: frozenset[str], evacuated: tuple[str, ...], now: float
    ) -> list[FleetMember]:
        """Return those that may be sent requests of ``service`` now."""
        return [
            member
            for member in self._members.values()
            if member.record.service == service
            and member.record.state is BackendState.SERVING
            and member.record.zone in region_zones
            and member.record.zone not in evacuated
            and member.resting_until <= now
            and now - member.said_at <= UNHEARD_AFTER_S
        ]

    def note_unreachable(self, name: str, *, now: float) -> float:
        """Leave a backend server alone for a while; return for how long, seconds."""
        member = self._members.get(name)
        if member is None:
            return 0.0
        member.failures += 1
        rest_s = min(MAX_REST_S, FIRST_REST_S * 2.0 ** (member.failures - 1))
        member.resting_until = now + rest_s
        member.doubted_at = now
        return rest_s

    def note_broken(self, name: str, *, now: float) -> float:
        """Note a connection that ended before an answer began; return the rest, seconds.

        Answers a backend server whose address accepts connections and closes them: each request
        that it gets may have run, so that its caller can't be told to come back.
        """
        member = self._members.get(name)
        if member is None:
            return 0.0
        member.breaks += 1
        if member.breaks < BREAKS_BEFORE_REST:
            return 0.0
        return self.note_unreachable(name, now=now)

    def note_returned(self, zone: str, *, now: float) -> None:
        """Note that the evacuation of a zone is over: its backend servers may be cold."""
        for member in self._members.values():
            if member.record.zone == zone:
                member.doubted_at = now

    def note_reached(self, name: str) -> None:
        """Note that a backend server answered."""
        member = self._members.get(name)
        if member is not None:
            member.failures = 0
            member.breaks = 0
            member.resting_until = 0.0

    def note_foreign(self, name: str) -> None:
        """Note that another server answers at the address of ``name``: this start is over."""
        member = self._members.get(name)
        if member is not None:
            member.record = dataclasses.replace(member.record, state=BackendState.GONE)

    def records(self, *, now: float) -> tuple[BackendRecord, ...]:
        """Return all records with their present age, for another instance."""
        return tuple(
            dataclasses.replace(member.record, age_s=now - member.said_at)
            for member in self._members.values()
        )

    def expire(self, *, now: float) -> None:
        """Forget what was heard long ago."""
        for name, member in list(self._members.items()):
            if now - member.said_at > FORGOTTEN_AFTER_S:
                del self._members[name]
                if self._by_address.get(member.address) == name:
                    del self._by_address[member.address]

    def _add(self, record: BackendRecord, said_at: float) -> None:
        previous = self._by_address.get(record.address)
        if previous is not None and previous != record.name:
            self.note_foreign(previous)
        self._members[record.name] = FleetMember(
            record=record, said_at=said_at, cold_until=said_at + record.warmup_s
        )
        self._by_address[record.address] = record.name


_RANK = {BackendState.SERVING: 0, BackendState.LEAVING: 1, BackendState.GONE: 2}


def _newer(record: BackendRecord, known: BackendRecord) -> bool:
    if record.born < known.born or _RANK[record.state] < _RANK[known.state]:
        return False
    return record.sequence > known.sequence or _RANK[record.state] > _RANK[known.state]
