"""Decisions about requests: placement, entry lookup, limits and forwarding rules."""

from figpaddle.routing._backends import ANNOUNCEMENT_TTL_S, BackendTable, KnownBackend
from figpaddle.routing._entries import ENTRY_TTL_S, EntryAnswer, rank_entries
from figpaddle.routing._forwarding import MAX_CROSSINGS, check_forward, permitted_service
from figpaddle.routing._policy import (
    LeastLoadPolicy,
    Options,
    Placement,
    PlacementPolicy,
    RegionOption,
)
from figpaddle.routing._retry_budget import RetryBudget

__all__ = [
    "ANNOUNCEMENT_TTL_S",
    "ENTRY_TTL_S",
    "MAX_CROSSINGS",
    "BackendTable",
    "EntryAnswer",
    "KnownBackend",
    "LeastLoadPolicy",
    "Options",
    "Placement",
    "PlacementPolicy",
    "RegionOption",
    "RetryBudget",
    "check_forward",
    "permitted_service",
    "rank_entries",
]
