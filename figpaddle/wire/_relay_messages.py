"""Messages by which relays spread what they know of the instances of their availability zones."""

from __future__ import annotations

import dataclasses
import functools

from figpaddle.wire._codec import Message, message
from figpaddle.wire._regional_messages import (
    BackendLimit,
    BackendRecord,
    InstanceRole,
    Readiness,
    RegionalLoad,
)

#: The fields of ``RosterMember`` in order, with its truth values as the bits of one number. When a
#: zone starts, its whole roster goes to all instances, and names of fields would make most of the bytes.
RosterRow = tuple[str, int, int, str, str, str, float, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RosterMember:
    """What a relay passes on of the heartbeats of one instance."""

    name: str
    #: Start time of the instance's process, milliseconds of Unix time.
    incarnation: int
    #: Number of the heartbeat since which the other fields have these values.
    sequence: int
    role: InstanceRole
    #: Address of its port for callers; empty for a control instance.
    caller_address: str
    readiness: Readiness
    #: Time since it began to shut down, seconds; 0 if it isn't shutting down.
    stopping_s: float
    #: Whether it takes part in the first start of the deployment.
    founding: bool
    #: Whether its build keeps the versions of streams.
    keeps_stream_versions: bool
    #: Whether its build understands relays.
    relays: bool
    #: Whether it is an entry that reaches no backend server.
    cut_off: bool = False
    #: Whether its build states that it has sent on a request which it is only offered.
    states_offers: bool = False
    #: Whether its build reads the workspace of a request that is forwarded to it.
    states_workspaces: bool = False
    #: Whether its build keeps accounts of engines and grants leases of them.
    leases_engines: bool = False

    def row(self) -> RosterRow:
        """Return the fields in the form that a roster carries."""
        flags = self.founding | self.keeps_stream_versions << 1 | self.relays << 2
        flags |= self.cut_off << 3 | self.states_offers << 4
        flags |= self.states_workspaces << 5 | self.leases_engines << 6
        return (
            self.name,
            self.incarnation,
            self.sequence,
            self.role.value,
            self.caller_address,
            self.readiness.value,
            self.stopping_s,
            flags,
        )

    @classmethod
    @functools.lru_cache(maxsize=4096)
    def from_row(cls, row: RosterRow) -> RosterMember:
        """Return the member that a row describes; raises ValueError for an unknown role.

        Several relays of several zones send the same rows.
        """
        name, incarnation, sequence, role, caller_address, readiness, stopping_s, flags = row
        return cls(
            name=name,
            incarnation=incarnation,
            sequence=sequence,
            role=InstanceRole(role),
            caller_address=caller_address,
            readiness=Readiness(readiness),
            stopping_s=stopping_s,
            founding=bool(flags & 1),
            keeps_stream_versions=bool(flags & 2),
            relays=bool(flags & 4),
            cut_off=bool(flags & 8),
            states_offers=bool(flags & 16),
            states_workspaces=bool(flags & 32),
            leases_engines=bool(flags & 64),
        )


@message("regional.roster")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneRoster(Message):
    """Changes of the roster of one relay: the live instances of its zone that it hears itself.

    Whoever has applied a version from ``since`` on learns that all members were alive just now.
    """

    #: Name of the relay that made the roster.
    relay: str
    #: Start time of the relay's process, milliseconds of Unix time.
    incarnation: int
    #: Number of this message, increasing within an incarnation.
    sequence: int
    region: str
    zone: str
    #: Version of the roster with these changes, and the oldest one that they apply to.
    version: int
    since: int
    #: Members that are new or changed.
    members: tuple[RosterRow, ...]
    #: Names of members that are alive no longer.
    removed: tuple[str, ...]
    #: Newest revision of the cluster state among the members, and some of those that have it.
    revision: int
    up_to_date: tuple[str, ...]
    #: Instances that the sender takes for relays of the receiver's zone.
    acquaintances: tuple[str, ...] = ()
    #: When the relay sent it, seconds of a clock that goes on while its machine is suspended, and for each of
    #: ``members`` by how much at most that clock is ahead of the member's; None if it isn't known. Earlier
    #: builds state neither.
    sent_at_s: float | None = None
    clock_offsets_s: tuple[float | None, ...] = ()


@message("regional.zone_work")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneWork(Message):
    """Requests in flight at each backend server, summed over the entries of one zone."""

    relay: str
    incarnation: int
    sequence: int
    region: str
    #: The zone; empty for the sum over all zones of the region.
    zone: str
    #: For each backend server the fields of ``BackendWork`` in order. There are many, several times a
    #: second, and names of fields would make most of the bytes.
    work: tuple[tuple[str, int, int, int, tuple[int, ...]], ...]
    #: Newest limits that backend servers named to these entries.
    limits: tuple[BackendLimit, ...]


@message("regional.region_load")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RegionLoad(Message):
    """Load of the services of a region, as estimated by a relay that is an entry."""

    relay: str
    incarnation: int
    sequence: int
    region: str
    loads: tuple[RegionalLoad, ...]


@message("regional.relayed")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayedNews(Message):
    """Encoded messages that a relay sends to one instance of its zone."""

    #: Name of the relay.
    relay: str
    #: Number of the last heartbeat of the receiver whose work is part of the relay's own ``ZoneWork``;
    #: 0 if its work isn't part of it.
    echo: int
    items: tuple[bytes, ...]


@message("regional.backends_of_region")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RegionBackendNews(Message):
    """Records of backend servers that a relay passes on to the entries of its zone."""

    records: tuple[BackendRecord, ...]


@message("regional.pass_on")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PassedOn(Message):
    """An encoded message that a relay sends on to the instances of its zone at once."""

    data: bytes


@message("regional.rosters_query")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RostersQuery(Message):
    """Asks an instance for all rosters that it knows; the reply is a RostersReply."""


@message("regional.rosters")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RostersReply(Message):
    """Reply to RostersQuery: whole rosters, which apply to any version."""

    rosters: tuple[ZoneRoster, ...]
