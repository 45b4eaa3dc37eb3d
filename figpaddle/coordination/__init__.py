"""Coordination parts without input or output: membership, replicated log, leases."""

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
    MemberForgotten,
    MembershipEffect,
    MembershipEvent,
    MembershipTick,
    OwnStateChanged,
    PeerDoubted,
    RequestReceived,
    Respond,
)
from figpaddle.coordination._membership_options import MembershipOptions
from figpaddle.coordination._relays import relays, sources, zone_of
from figpaddle.coordination._replica import Replica, first_snapshot
from figpaddle.coordination._topology import Topology

__all__ = [
    "Apply",
    "Call",
    "CallFinished",
    "ChangeMembership",
    "Compact",
    "DurableState",
    "Effect",
    "Event",
    "HardState",
    "InstanceDirectory",
    "Lease",
    "LeaseClaim",
    "LeaseTiming",
    "Log",
    "LogStorage",
    "MemberChanged",
    "MemberForgotten",
    "MemberRecord",
    "Membership",
    "MembershipEffect",
    "MembershipEvent",
    "MembershipOptions",
    "MembershipTick",
    "LogSettings",
    "MemoryLogStorage",
    "OwnStateChanged",
    "PeerDoubted",
    "Persist",
    "Propose",
    "Read",
    "ReadReady",
    "Received",
    "Replica",
    "RequestReceived",
    "Respond",
    "Restore",
    "Role",
    "RoleChanged",
    "Send",
    "Tick",
    "Topology",
    "first_snapshot",
    "relays",
    "sources",
    "zone_of",
]
