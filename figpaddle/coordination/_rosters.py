"""Versioned lists of the live instances of a zone, kept by its relays and copied by all others."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from figpaddle.errors import MalformedMessageError
from figpaddle.wire import InstanceHeartbeat, RosterMember, ZoneRoster

#: Time after which a relay leaves out a member that it doesn't hear, seconds; seven heartbeats.
MEMBER_TIMEOUT_S = 1.5
#: Time for which a change is repeated, seconds; ten messages, so that loss seldom costs a question for
#: whole rosters.
REPEAT_CHANGES_S = 2.0
#: Largest number of changed members in a message, so that it fits into one packet. Of more changes the
#: newest are sent, and whoever lacks the others fetches the whole roster.
MAX_CHANGES = 24
#: Number of up-to-date members that a roster names. Instances choose one of them to fetch the cluster
#: state from, and more spread the load.
MAX_UP_TO_DATE = 3
#: Change of the offset of a member's clock below which a roster isn't changed, seconds. It is short compared
#: with the delays that matter, and the clocks of two machines drift apart by less within hours.
OFFSET_STEP_S = 0.05


def roster_member(heartbeat: InstanceHeartbeat) -> RosterMember:
    """Return what a roster says of the sender of ``heartbeat``."""
    return RosterMember(
        name=heartbeat.name,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        role=heartbeat.role,
        caller_address=heartbeat.caller_address,
        readiness=heartbeat.readiness,
        stopping_s=heartbeat.stopping_s,
        founding=heartbeat.founding,
        keeps_stream_versions=heartbeat.keeps_stream_versions,
        relays=heartbeat.relays,
        cut_off=heartbeat.cut_off,
        states_offers=heartbeat.states_offers,
        states_workspaces=heartbeat.states_workspaces,
        leases_engines=heartbeat.leases_engines,
    )


class RosterMaker:
    """The roster of one relay.

    >>> maker = RosterMaker(relay="a", incarnation=1, region="north", zone="n-a")
    >>> maker.update([], now=0.0)
    >>> maker.changes(now=0.0).version
    0
    """

    def __init__(self, *, relay: str, incarnation: int, region: str, zone: str) -> None:
        self._relay = relay
        self._incarnation = incarnation
        self._region = region
        self._zone = zone
        self._version = 0
        self._sequence = 0
        self._members: dict[str, RosterMember] = {}
        self._clock_offsets: dict[str, float | None] = {}
        self._revision = 0
        self._up_to_date: tuple[str, ...] = ()
        # Version and time of each change of the last REPEAT_CHANGES_S, with the member's name.
        self._changes: collections.deque[tuple[int, float, str]] = collections.deque()

    def update(
        self,
        heard: Iterable[InstanceHeartbeat],
        *,
        now: float,
        clock_offsets_s: Mapping[str, float] | None = None,
    ) -> None:
        """Replace the members by the instances heard within ``MEMBER_TIMEOUT_S``.

        ``clock_offsets_s`` has by how much at most the relay's clock is ahead of those of members.
        """
        heartbeats = {heartbeat.name: heartbeat for heartbeat in heard}
        for name, heartbeat in heartbeats.items():
            member, known = roster_member(heartbeat), self._members.get(name)
            if known is not None and known.incarnation != member.incarnation:
                # The clock may have begun anew with the process.
                self._clock_offsets.pop(name, None)
            has_changed = self._renew_offset(name, (clock_offsets_s or {}).get(name))
            if known is None or dataclasses.replace(member, sequence=known.sequence) != known:
                self._members[name] = member
                has_changed = True
            if has_changed:
                self._note_change(name, now)
        for name in self._members.keys() - heartbeats.keys():
            del self._members[name]
            self._clock_offsets.pop(name, None)
            self._note_change(name, now)
        self._revision = max((item.revision for item in heartbeats.values()), default=0)
        ahead = [name for name, item in heartbeats.items() if item.revision == self._revision]
        self._up_to_date = tuple(ahead[:MAX_UP_TO_DATE])

    def changes(self, *, now: float, acquaintances: tuple[str, ...] = ()) -> ZoneRoster:
        """Return the changes of the last ``REPEAT_CHANGES_S``, at most ``MAX_CHANGES``."""
        while self._changes and (
            now - self._changes[0][1] > REPEAT_CHANGES_S or len(self._changes) > MAX_CHANGES
        ):
            self._changes.popleft()
        since = self._changes[0][0] - 1 if self._changes else self._version
        names = dict.fromkeys(name for _, _, name in self._changes)
        return self._roster(since, names, acquaintances)

    def snapshot(self) -> ZoneRoster:
        """Return the whole roster."""
        return self._roster(0, self._members, ())

    def _renew_offset(self, name: str, offset_s: float | None) -> bool:
        """Keep the offset of a member's clock; return whether it differs from the one before."""
        known_s = self._clock_offsets.get(name)
        if offset_s is None or (known_s is not None and abs(offset_s - known_s) < OFFSET_STEP_S):
            return False
        self._clock_offsets[name] = offset_s
        return True

    def _note_change(self, name: str, now: float) -> None:
        self._version += 1
        self._changes.append((self._version, now, name))

    def _roster(
        self, since: int, names: Iterable[str], acquaintances: tuple[str, ...]
    ) -> ZoneRoster:
        self._sequence += 1
        members = [name for name in names if name in self._members]
        return ZoneRoster(
            relay=self._relay,
            incarnation=self._incarnation,
            sequence=self._sequence,
            region=self._region,
            zone=self._zone,
            version=self._version,
            since=since,
            members=tuple(self._members[name].row() for name in members),
            clock_offsets_s=tuple(self._clock_offsets.get(name) for name in members),
            removed=tuple(name for name in names if name not in self._members),
            revision=self._revision,
            up_to_date=self._up_to_date,
            acquaintances=acquaintances,
        )


class RosterCopy:
    """The roster of another relay, rebuilt from its messages."""

    def __init__(self) -> None:
        self._order = (0, 0)
        self._version = 0
        self._members: dict[str, RosterMember] = {}
        self._heartbeats: dict[str, InstanceHeartbeat] = {}
        self._clock_offsets: dict[str, tuple[int, float]] = {}
        self._newest: ZoneRoster | None = None
        self._heard_at = float("-inf")

    @property
    def newest(self) -> ZoneRoster | None:
        """The newest message that was applied."""
        return self._newest

    @property
    def heard_at(self) -> float:
        """When the newest message was applied, seconds."""
        return self._heard_at

    @property
    def heartbeats(self) -> list[InstanceHeartbeat]:
        """A heartbeat for each member, as if it had come from the member itself.

        Members that aren't named as up to date have revision 0.
        """
        return list(self._heartbeats.values())

    @property
    def clock_offsets_s(self) -> Mapping[str, tuple[int, float]]:
        """The incarnation of members, and by how much at most the relay's clock is ahead of theirs, seconds."""
        return self._clock_offsets

    def apply(self, roster: ZoneRoster, *, now: float) -> bool:
        """Apply a message; return False if changes before it are missing.

        Late and repeated messages are ignored. A relay that has restarted begins anew. Raises
        MalformedMessageError for a row that isn't valid, and then changes nothing.
        """
        if (roster.incarnation, roster.sequence) <= self._order:
            return True
        has_restarted = roster.incarnation > self._order[0]
        if roster.since > (0 if has_restarted else self._version):
            return False
        try:
            changed = {row[0]: RosterMember.from_row(row) for row in roster.members}
        except ValueError as error:
            raise MalformedMessageError(what=str(error), where=roster.relay) from error
        if has_restarted or roster.since == 0:
            self._members, self._heartbeats, self._clock_offsets = {}, {}, {}
        for name in roster.removed:
            self._members.pop(name, None)
            self._heartbeats.pop(name, None)
            self._clock_offsets.pop(name, None)
        self._members.update(changed)
        # Relays of earlier builds state no offsets.
        offsets_s = dict(zip(changed, roster.clock_offsets_s, strict=False))
        for name, member in changed.items():
            offset_s = offsets_s.get(name)
            if offset_s is None:
                self._clock_offsets.pop(name, None)
            else:
                self._clock_offsets[name] = member.incarnation, offset_s
        before = self._newest
        renamed: set[str] = set()
        if before is None or _revisions(before) != _revisions(roster):
            renamed = {*roster.up_to_date, *(before.up_to_date if before is not None else ())}
        for name in (changed.keys() | renamed) & self._members.keys():
            self._heartbeats[name] = _make_heartbeat(self._members[name], roster)
        self._order = (roster.incarnation, roster.sequence)
        self._version = roster.version
        self._newest, self._heard_at = roster, now
        return True

    def snapshot(self) -> ZoneRoster | None:
        """Return the whole roster for another instance; None before the first message."""
        if self._newest is None:
            return None
        return dataclasses.replace(
            self._newest,
            since=0,
            members=tuple(member.row() for member in self._members.values()),
            clock_offsets_s=tuple(
                self._clock_offsets[name][1] if name in self._clock_offsets else None
                for name in self._members
            ),
            removed=(),
        )


def _make_heartbeat(member: RosterMember, roster: ZoneRoster) -> InstanceHeartbeat:
    return InstanceHeartbeat(
        name=member.name,
        incarnation=member.incarnation,
        sequence=member.sequence,
        role=member.role,
        region=roster.region,
        zone=roster.zone,
        caller_address=member.caller_address,
        readiness=member.readiness,
        stopping_s=member.stopping_s,
        revision=roster.revision if member.name in roster.up_to_date else 0,
        founding=member.founding,
        work=(),
        loads=(),
        acquaintances=(),
        keeps_stream_versions=member.keeps_stream_versions,
        relays=member.relays,
        cut_off=member.cut_off,
        states_offers=member.states_offers,
        states_workspaces=member.states_workspaces,
        leases_engines=member.leases_engines,
        relayed=member.relays,
    )


def _revisions(roster: ZoneRoster) -> tuple[int, tuple[str, ...]]:
    return roster.revision, roster.up_to_date
