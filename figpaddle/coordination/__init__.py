"""Coordination parts without input or output: membership, replicated log, leases."""

from figpaddle.coordination._directory import InstanceDirectory
from figpaddle.coordination._member_table import MemberRecord
from figpaddle.coordination._membership import Membership
from figpaddle.coordination._membership_events import (
    Call,
    CallFinished,
    MemberChanged,
    MemberForgotten,
    MembershipEffect,
    MembershipEvent,
    OwnStateChanged,
    PeerDoubted,
    RequestReceived,
    Respond,
    Tick,
)
from figpaddle.coordination._membership_options import MembershipOptions
from figpaddle.coordination._topology import Topology

__all__ = [
    "Call",
    "CallFinished",
    "InstanceDirectory",
    "MemberChanged",
    "MemberForgotten",
    "MemberRecord",
    "Membership",
    "MembershipEffect",
    "MembershipEvent",
    "MembershipOptions",
    "OwnStateChanged",
    "PeerDoubted",
    "RequestReceived",
    "Respond",
    "Tick",
    "Topology",
]
