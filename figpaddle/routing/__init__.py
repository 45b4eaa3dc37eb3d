"""Routing decisions: placement, entry lookup, admission, rate limits and forwarding rules."""

from figpaddle.routing._admission import Admission
from figpaddle.routing._backend_load import EngineWork, OthersWork
from figpaddle.routing._backends import (
    ANNOUNCEMENT_TTL_S,
    MAX_SPILL_UTILIZATION,
    BackendTable,
    KnownBackend,
)
from figpaddle.routing._demand import (
    CHARACTERS_PER_TOKEN,
    DEFAULT_OUTPUT_TOKENS,
    PREFIX_BLOCK_TOKENS,
    Demand,
    Finished,
    FirstToken,
    Reported,
    Sent,
    TargetEvent,
    prompt_shape,
)
from figpaddle.routing._draining import CLOSE_RESERVE_S, may_retire, may_take
from figpaddle.routing._entries import ENTRY_TTL_S, EntryAnswer, rank_entries
from figpaddle.routing._entry_lookup import KnownEntry, entries_for, open_regions
from figpaddle.routing._fleet import Fleet, FleetMember, News
from figpaddle.routing._forwarding import MAX_CROSSINGS, check_forward, permitted_service
from figpaddle.routing._forwarding_peers import hop_partner
from figpaddle.routing._policy import (
    LeastLoadPolicy,
    LeastReportedLoadPolicy,
    Options,
    Placement,
    PlacementPolicy,
    RegionOption,
    RoundRobinPolicy,
)
from figpaddle.routing._prefix_cache import PrefixCacheEstimate
from figpaddle.routing._quarantine import LOSS_TTL_S, Quarantine, SuspectSlots, Verdict
from figpaddle.routing._ranking import highest_ranked
from figpaddle.routing._rate_limits import ColdLimit, SharedRetryBudget, SlidingCount
from figpaddle.routing._regional_load import load_of, tells_load
from figpaddle.routing._regional_placement import (
    AWAY_TRUST_S,
    MAX_MEMORY_FRACTION,
    MEAN_PROMPT_TOKENS,
    AwayRegion,
    Candidate,
    Choice,
    Refusal,
    choose,
    estimate,
    refuse_late,
)
from figpaddle.routing._response_timeouts import silence_before_answer, silence_between_events
from figpaddle.routing._retry_after import spread_return
from figpaddle.routing._retry_budget import RetryBudget
from figpaddle.routing._scored import Estimate, PolicyName, ScoredPolicy, make_policy

__all__ = [
    "KnownEntry",
    "entries_for",
    "open_regions",
    "AWAY_TRUST_S",
    "MEAN_PROMPT_TOKENS",
    "MAX_MEMORY_FRACTION",
    "CLOSE_RESERVE_S",
    "highest_ranked",
    "hop_partner",
    "load_of",
    "may_retire",
    "may_take",
    "AwayRegion",
    "Candidate",
    "Choice",
    "ColdLimit",
    "EngineWork",
    "Fleet",
    "FleetMember",
    "News",
    "OthersWork",
    "Refusal",
    "SharedRetryBudget",
    "SlidingCount",
    "choose",
    "estimate",
    "refuse_late",
    "silence_before_answer",
    "silence_between_events",
    "spread_return",
    "tells_load",
    "ANNOUNCEMENT_TTL_S",
    "CHARACTERS_PER_TOKEN",
    "DEFAULT_OUTPUT_TOKENS",
    "ENTRY_TTL_S",
    "LOSS_TTL_S",
    "MAX_CROSSINGS",
    "PREFIX_BLOCK_TOKENS",
    "MAX_SPILL_UTILIZATION",
    "Admission",
    "BackendTable",
    "PrefixCacheEstimate",
    "Demand",
    "EntryAnswer",
    "Estimate",
    "Finished",
    "FirstToken",
    "KnownBackend",
    "LeastLoadPolicy",
    "LeastReportedLoadPolicy",
    "Options",
    "Placement",
    "PlacementPolicy",
    "PolicyName",
    "Quarantine",
    "RegionOption",
    "Reported",
    "RetryBudget",
    "RoundRobinPolicy",
    "ScoredPolicy",
    "Sent",
    "SuspectSlots",
    "TargetEvent",
    "Verdict",
    "check_forward",
    "make_policy",
    "permitted_service",
    "prompt_shape",
    "rank_entries",
]
