"""Coordination protocols without input or output: membership, replicated log, register, lease."""

from typing import TYPE_CHECKING

from figpaddle._deferred_names import deferred_names
from figpaddle.coordination._bootstrap import VoterBootstrap
from figpaddle.coordination._heartbeats import (
    HEARTBEAT_TIMEOUT_S,
    RETENTION_S,
    Heartbeat,
    HeartbeatTable,
    ReceivedHeartbeat,
)
from figpaddle.coordination._register import (
    NO_BALLOT,
    RECOVERY_BALLOT_DISTANCE,
    Acceptance,
    Ballot,
    Promise,
    Voter,
    VoterState,
    majority,
    newest_value,
    recovery_quorum,
)
from figpaddle.coordination._rosters import MEMBER_TIMEOUT_S, RosterCopy, RosterMaker
from figpaddle.coordination._voter_changes import VoterChanges
from figpaddle.coordination._voter_set import MAX_VOTERS, VoterSet, is_chosen
from figpaddle.coordination._zone_relays import MIN_RELAYED_INSTANCES, RELAYS_PER_ZONE, zone_relays

if TYPE_CHECKING:
    from figpaddle.coordination._directory import InstanceDirectory
    from figpaddle.coordination._lease import Lease, LeaseClaim, LeaseTiming
    from figpaddle.coordination._log import Log
    from figpaddle.coordination._log_storage import LogStorage, MemoryLogStorage
    from figpaddle.coordination._log_types import (
        Apply,
        ChangeMembership,
        Compact,
        DurableState,
        Effect,
        Event,
        HardState,
        LogSettings,
        Persist,
        Propose,
        Read,
        ReadReady,
        Received,
        Restore,
        Role,
        RoleChanged,
        Send,
        Tick,
    )
    from figpaddle.coordination._member_table import MemberRecord
    from figpaddle.coordination._membership import Membership
    from figpaddle.coordination._membership_events import (
        Call,
        CallFinished,
        MemberChanged,
        MemberRemoved,
        MembershipEffect,
        MembershipEvent,
        MembershipTick,
        OwnStateChanged,
        ProbeRequested,
        RequestReceived,
        Respond,
    )
    from figpaddle.coordination._membership_options import MembershipOptions
    from figpaddle.coordination._relays import relay_by_zone, revision_sources, zone_key
    from figpaddle.coordination._replica import Replica, first_snapshot
    from figpaddle.coordination._topology import Topology
else:
    __getattr__ = deferred_names(
        __name__,
        {
            "_directory": "InstanceDirectory",
            "_lease": "Lease LeaseClaim LeaseTiming",
            "_log": "Log",
            "_log_storage": "LogStorage MemoryLogStorage",
            "_log_types": (
                "Apply ChangeMembership Compact DurableState Effect Event HardState LogSettings "
                "Persist Propose Read ReadReady Received Restore Role RoleChanged Send Tick"
            ),
            "_member_table": "MemberRecord",
            "_membership": "Membership",
            "_membership_events": (
                "Call CallFinished MemberChanged MemberRemoved MembershipEffect MembershipEvent "
                "MembershipTick OwnStateChanged ProbeRequested RequestReceived Respond"
            ),
            "_membership_options": "MembershipOptions",
            "_relays": "relay_by_zone revision_sources zone_key",
            "_replica": "Replica first_snapshot",
            "_topology": "Topology",
        },
    )

__all__ = [
    "Acceptance",
    "Apply",
    "Ballot",
    "Call",
    "CallFinished",
    "ChangeMembership",
    "Compact",
    "DurableState",
    "Effect",
    "Event",
    "HEARTBEAT_TIMEOUT_S",
    "HardState",
    "Heartbeat",
    "HeartbeatTable",
    "InstanceDirectory",
    "Lease",
    "LeaseClaim",
    "LeaseTiming",
    "Log",
    "LogSettings",
    "LogStorage",
    "MAX_VOTERS",
    "MEMBER_TIMEOUT_S",
    "MIN_RELAYED_INSTANCES",
    "MemberChanged",
    "MemberRecord",
    "MemberRemoved",
    "Membership",
    "MembershipEffect",
    "MembershipEvent",
    "MembershipOptions",
    "MembershipTick",
    "MemoryLogStorage",
    "NO_BALLOT",
    "OwnStateChanged",
    "Persist",
    "ProbeRequested",
    "Promise",
    "Propose",
    "RECOVERY_BALLOT_DISTANCE",
    "RELAYS_PER_ZONE",
    "RETENTION_S",
    "Read",
    "ReadReady",
    "Received",
    "ReceivedHeartbeat",
    "Replica",
    "RequestReceived",
    "Respond",
    "Restore",
    "Role",
    "RoleChanged",
    "RosterCopy",
    "RosterMaker",
    "Send",
    "Tick",
    "Topology",
    "Voter",
    "VoterBootstrap",
    "VoterChanges",
    "VoterSet",
    "VoterState",
    "first_snapshot",
    "is_chosen",
    "majority",
    "newest_value",
    "recovery_quorum",
    "relay_by_zone",
    "revision_sources",
    "zone_key",
    "zone_relays",
]
