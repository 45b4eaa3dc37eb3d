"""Routing decisions: placement, entry lookup, admission, rate limits and forwarding rules."""

from typing import TYPE_CHECKING

from figpaddle._deferred_names import deferred_names

if TYPE_CHECKING:
    from figpaddle.routing._admission import Admission
    from figpaddle.routing._answer_times import MIN_FAILURE_STATUS, AnswerTimes, assumed_answer_s
    from figpaddle.routing._backend_contact import ALIVE_S, BackendContact
    from figpaddle.routing._backend_load import (
        PREFILL_TOKENS_PER_S,
        PRIORITY_CLASSES,
        BackendLoadTracker,
    )
    from figpaddle.routing._backend_report import BackendReport
    from figpaddle.routing._backends import (
        ANNOUNCEMENT_TTL_S,
        ANNOUNCEMENTS_READ_INTERVAL_S,
        MAX_UTILIZATION_FOR_REMOTE_REQUESTS,
        BackendTable,
        KnownBackend,
    )
    from figpaddle.routing._boot_clock import boot_time
    from figpaddle.routing._brittle_servers import BrittleServers
    from figpaddle.routing._byte_budget import ByteBudget
    from figpaddle.routing._caller_access import AccessRefusal, CallerAccess, decide_access
    from figpaddle.routing._clock_offsets import ClockOffsets
    from figpaddle.routing._crash_quarantine import CrashQuarantine, QuarantineVerdict
    from figpaddle.routing._crash_reports import CrashReports
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
    from figpaddle.routing._draining import (
        CLOSE_MARGIN_S,
        CLOSE_RESERVE_S,
        UNANNOUNCED_S,
        is_announced,
        may_begin,
        may_stop_accepting,
    )
    from figpaddle.routing._entries import ENTRY_TTL_S, EntryAnswer, rank_entries
    from figpaddle.routing._entry_lookup import KnownEntry, entries_for, unrestricted_regions
    from figpaddle.routing._entry_shares import EntryCensus, EntryShares
    from figpaddle.routing._expectation import NO_CORRECTION, Correction, ExpectationModel
    from figpaddle.routing._fleet import Fleet, FleetBackend, RecordChange
    from figpaddle.routing._forwarding import MAX_CROSSINGS, check_forward, permitted_service
    from figpaddle.routing._forwarding_peers import choose_forwarding_peer
    from figpaddle.routing._load_reporters import reports_load
    from figpaddle.routing._loss_records import LOSS_TTL_S
    from figpaddle.routing._named_limits import MIN_LIMIT_PER_S, NamedLimits
    from figpaddle.routing._offer_limits import TAKEN_OVER_TTL_S, OfferLimits
    from figpaddle.routing._pause_risk import PauseRisk
    from figpaddle.routing._peer_load import PeerLoad
    from figpaddle.routing._placement_explanation import (
        ExplainedCandidate,
        ScoreParts,
        explain_candidates,
    )
    from figpaddle.routing._policy import (
        LeastLoadPolicy,
        LeastReportedLoadPolicy,
        Placement,
        PlacementOptions,
        PlacementPolicy,
        RegionOption,
        RoundRobinPolicy,
    )
    from figpaddle.routing._prefix_cache import PrefixCacheEstimate
    from figpaddle.routing._quota_parts import QuotaParts
    from figpaddle.routing._quota_shares import (
        LOAN_TIMEOUT_S,
        RESERVE_FACTOR,
        QuotaDecision,
        QuotaDemand,
        QuotaParcel,
        QuotaShare,
        QuotaShares,
        QuotaTerms,
        quota_terms,
    )
    from figpaddle.routing._quota_stock import MAX_REMEMBERED_S, QuotaCharge, QuotaStock
    from figpaddle.routing._ranking import highest_ranked
    from figpaddle.routing._rate_limits import (
        ColdLimit,
        RetryCharge,
        SharedRetryBudget,
        SlidingCount,
    )
    from figpaddle.routing._regional_load import summarize_load
    from figpaddle.routing._regional_placement import (
        MAX_MEMORY_FRACTION,
        MEAN_PROMPT_TOKENS,
        REMOTE_REPORT_DELAY_S,
        Candidate,
        Choice,
        Refusal,
        RemoteRegion,
        choose,
        estimate,
        estimate_remote,
        refuse_late,
    )
    from figpaddle.routing._response_timeouts import (
        MAX_COMMON_SILENCE_S,
        event_gap_timeout_s,
        first_byte_timeout_s,
        forwarded_gap_timeout_s,
        is_worth_offering,
    )
    from figpaddle.routing._retry_after import (
        MAX_RETRY_AFTER_S,
        MIN_RETRY_AFTER_S,
        jittered_retry_after,
    )
    from figpaddle.routing._retry_budget import RetryBudget
    from figpaddle.routing._scored import Estimate, PolicyName, ScoredPolicy, make_policy
    from figpaddle.routing._startup_wait import MAX_STARTUP_WAITING, startup_wait_s
    from figpaddle.routing._stream_pace import MIN_EVENTS
    from figpaddle.routing._stream_versions import (
        ASKED_PER_REGION,
        STREAM_TTL_S,
        StreamOrigin,
        StreamVersions,
        entries_to_ask,
        is_known_to_nobody,
        stream_holders,
        stream_key,
    )
    from figpaddle.routing._subsets import BackendSubset, backend_subset
    from figpaddle.routing._suspect_slots import SuspectSlots
    from figpaddle.routing._transit_times import TransitTimes
    from figpaddle.routing._unsettled_attempts import (
        Process,
        RequestTraits,
        SuspectedAttempt,
        UnsettledAttempts,
    )
    from figpaddle.routing._urgency import UrgencyOrder
    from figpaddle.routing._version_history import VersionHistory, majority_heard_at
    from figpaddle.routing._warmth import ASKED_AHEAD_S, CONTROL_SILENCE_S, max_warmth_age_s
    from figpaddle.routing._workspace_fairness import WorkspaceFairness
    from figpaddle.routing._zone_work import OwnWorkHistory, newest_limits, peer_load, sum_work
else:
    __getattr__ = deferred_names(
        __name__,
        {
            "_admission": "Admission",
            "_answer_times": "MIN_FAILURE_STATUS AnswerTimes assumed_answer_s",
            "_backend_contact": "ALIVE_S BackendContact",
            "_backend_load": "PREFILL_TOKENS_PER_S PRIORITY_CLASSES BackendLoadTracker",
            "_backend_report": "BackendReport",
            "_backends": "ANNOUNCEMENT_TTL_S ANNOUNCEMENTS_READ_INTERVAL_S MAX_UTILIZATION_FOR_REMOTE_REQUESTS BackendTable KnownBackend",
            "_boot_clock": "boot_time",
            "_clock_offsets": "ClockOffsets",
            "_brittle_servers": "BrittleServers",
            "_byte_budget": "ByteBudget",
            "_caller_access": "AccessRefusal CallerAccess decide_access",
            "_crash_quarantine": "CrashQuarantine QuarantineVerdict",
            "_crash_reports": "CrashReports",
            "_demand": (
                "CHARACTERS_PER_TOKEN DEFAULT_OUTPUT_TOKENS PREFIX_BLOCK_TOKENS Demand Finished "
                "FirstToken Reported Sent TargetEvent prompt_shape"
            ),
            "_draining": (
                "CLOSE_MARGIN_S CLOSE_RESERVE_S UNANNOUNCED_S is_announced may_begin "
                "may_stop_accepting"
            ),
            "_entries": "ENTRY_TTL_S EntryAnswer rank_entries",
            "_entry_lookup": "KnownEntry entries_for unrestricted_regions",
            "_entry_shares": "EntryCensus EntryShares",
            "_expectation": "NO_CORRECTION Correction ExpectationModel",
            "_fleet": "Fleet FleetBackend RecordChange",
            "_forwarding": "MAX_CROSSINGS check_forward permitted_service",
            "_forwarding_peers": "choose_forwarding_peer",
            "_load_reporters": "reports_load",
            "_loss_records": "LOSS_TTL_S",
            "_named_limits": "MIN_LIMIT_PER_S NamedLimits",
            "_offer_limits": "TAKEN_OVER_TTL_S OfferLimits",
            "_pause_risk": "PauseRisk",
            "_peer_load": "PeerLoad",
            "_placement_explanation": "ExplainedCandidate ScoreParts explain_candidates",
            "_policy": (
                "LeastLoadPolicy LeastReportedLoadPolicy Placement PlacementOptions "
                "PlacementPolicy RegionOption RoundRobinPolicy"
            ),
            "_prefix_cache": "PrefixCacheEstimate",
            "_quota_parts": "QuotaParts",
            "_quota_shares": (
                "LOAN_TIMEOUT_S RESERVE_FACTOR QuotaDecision QuotaDemand QuotaParcel QuotaShare "
                "QuotaShares QuotaTerms quota_terms"
            ),
            "_quota_stock": "MAX_REMEMBERED_S QuotaCharge QuotaStock",
            "_ranking": "highest_ranked",
            "_rate_limits": "ColdLimit RetryCharge SharedRetryBudget SlidingCount",
            "_regional_load": "summarize_load",
            "_regional_placement": (
                "MAX_MEMORY_FRACTION MEAN_PROMPT_TOKENS REMOTE_REPORT_DELAY_S Candidate Choice "
                "Refusal RemoteRegion choose estimate estimate_remote refuse_late"
            ),
            "_response_timeouts": (
                "MAX_COMMON_SILENCE_S event_gap_timeout_s first_byte_timeout_s "
                "forwarded_gap_timeout_s is_worth_offering"
            ),
            "_retry_after": "MAX_RETRY_AFTER_S MIN_RETRY_AFTER_S jittered_retry_after",
            "_retry_budget": "RetryBudget",
            "_scored": "Estimate PolicyName ScoredPolicy make_policy",
            "_startup_wait": "MAX_STARTUP_WAITING startup_wait_s",
            "_stream_pace": "MIN_EVENTS",
            "_stream_versions": (
                "ASKED_PER_REGION STREAM_TTL_S StreamOrigin StreamVersions entries_to_ask "
                "is_known_to_nobody stream_holders stream_key"
            ),
            "_subsets": "BackendSubset backend_subset",
            "_suspect_slots": "SuspectSlots",
            "_transit_times": "TransitTimes",
            "_unsettled_attempts": "Process RequestTraits SuspectedAttempt UnsettledAttempts",
            "_urgency": "UrgencyOrder",
            "_version_history": "VersionHistory majority_heard_at",
            "_warmth": "ASKED_AHEAD_S CONTROL_SILENCE_S max_warmth_age_s",
            "_workspace_fairness": "WorkspaceFairness",
            "_zone_work": "OwnWorkHistory newest_limits peer_load sum_work",
        },
    )

__all__ = [
    "AccessRefusal",
    "CallerAccess",
    "decide_access",
    "WorkspaceFairness",
    "ALIVE_S",
    "ASKED_AHEAD_S",
    "ASKED_PER_REGION",
    "ANNOUNCEMENT_TTL_S",
    "ANNOUNCEMENTS_READ_INTERVAL_S",
    "Admission",
    "AnswerTimes",
    "BackendContact",
    "BackendLoadTracker",
    "BackendReport",
    "BackendSubset",
    "BackendTable",
    "CHARACTERS_PER_TOKEN",
    "CLOSE_MARGIN_S",
    "CLOSE_RESERVE_S",
    "CONTROL_SILENCE_S",
    "BrittleServers",
    "ByteBudget",
    "Candidate",
    "Choice",
    "ClockOffsets",
    "ColdLimit",
    "EntryCensus",
    "EntryShares",
    "CrashQuarantine",
    "CrashReports",
    "DEFAULT_OUTPUT_TOKENS",
    "Demand",
    "ENTRY_TTL_S",
    "EntryAnswer",
    "Estimate",
    "NO_CORRECTION",
    "Correction",
    "ExpectationModel",
    "ExplainedCandidate",
    "Finished",
    "FirstToken",
    "Fleet",
    "FleetBackend",
    "KnownBackend",
    "KnownEntry",
    "LOAN_TIMEOUT_S",
    "LOSS_TTL_S",
    "LeastLoadPolicy",
    "LeastReportedLoadPolicy",
    "MAX_COMMON_SILENCE_S",
    "MAX_CROSSINGS",
    "MAX_MEMORY_FRACTION",
    "MAX_UTILIZATION_FOR_REMOTE_REQUESTS",
    "MAX_REMEMBERED_S",
    "MAX_RETRY_AFTER_S",
    "MEAN_PROMPT_TOKENS",
    "MAX_STARTUP_WAITING",
    "MIN_EVENTS",
    "MIN_FAILURE_STATUS",
    "MIN_LIMIT_PER_S",
    "MIN_RETRY_AFTER_S",
    "NamedLimits",
    "OfferLimits",
    "OwnWorkHistory",
    "PREFIX_BLOCK_TOKENS",
    "PREFILL_TOKENS_PER_S",
    "PRIORITY_CLASSES",
    "PauseRisk",
    "PeerLoad",
    "Placement",
    "PlacementOptions",
    "PlacementPolicy",
    "PolicyName",
    "PrefixCacheEstimate",
    "Process",
    "QuarantineVerdict",
    "QuotaCharge",
    "QuotaDecision",
    "QuotaDemand",
    "QuotaParcel",
    "QuotaParts",
    "QuotaShare",
    "QuotaShares",
    "QuotaStock",
    "QuotaTerms",
    "REMOTE_REPORT_DELAY_S",
    "RESERVE_FACTOR",
    "RecordChange",
    "Refusal",
    "RegionOption",
    "RemoteRegion",
    "Reported",
    "RequestTraits",
    "RetryBudget",
    "RetryCharge",
    "RoundRobinPolicy",
    "STREAM_TTL_S",
    "TAKEN_OVER_TTL_S",
    "ScoredPolicy",
    "Sent",
    "ScoreParts",
    "SharedRetryBudget",
    "SlidingCount",
    "StreamOrigin",
    "StreamVersions",
    "SuspectSlots",
    "SuspectedAttempt",
    "TargetEvent",
    "UNANNOUNCED_S",
    "UnsettledAttempts",
    "TransitTimes",
    "UrgencyOrder",
    "VersionHistory",
    "assumed_answer_s",
    "backend_subset",
    "boot_time",
    "check_forward",
    "choose",
    "choose_forwarding_peer",
    "entries_for",
    "entries_to_ask",
    "estimate",
    "estimate_remote",
    "event_gap_timeout_s",
    "explain_candidates",
    "first_byte_timeout_s",
    "forwarded_gap_timeout_s",
    "highest_ranked",
    "is_announced",
    "is_known_to_nobody",
    "is_worth_offering",
    "majority_heard_at",
    "jittered_retry_after",
    "make_policy",
    "max_warmth_age_s",
    "may_begin",
    "may_stop_accepting",
    "newest_limits",
    "peer_load",
    "permitted_service",
    "prompt_shape",
    "quota_terms",
    "rank_entries",
    "refuse_late",
    "reports_load",
    "stream_holders",
    "stream_key",
    "sum_work",
    "startup_wait_s",
    "summarize_load",
    "unrestricted_regions",
]
