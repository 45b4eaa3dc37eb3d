"""Coordination parts without input or output: membership, replicated log, leases."""

from figpaddle.coordination._directory import InstanceDirectory
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
    LogTiming,
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
from figpaddle.coordination._relays import relays, sources, zone_of
from figpaddle.coordination._replica import Replica, first_snapshot

__all__ = [
    "Apply",
    "ChangeMembership",
    "Compact",
    "DurableState",
    "Effect",
    "Event",
    "HardState",
    "InstanceDirectory",
    "Log",
    "LogStorage",
    "LogTiming",
    "MemoryLogStorage",
    "Persist",
    "Propose",
    "Read",
    "ReadReady",
    "Received",
    "Replica",
    "Restore",
    "Role",
    "RoleChanged",
    "Send",
    "Tick",
    "first_snapshot",
    "relays",
    "sources",
    "zone_of",
]
