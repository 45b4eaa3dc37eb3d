"""Why a request gets no place, and when its caller may come back."""

from __future__ import annotations

from figpaddle.regional._placer import Placer
from figpaddle.regional._request_context import RequestContext

#: Base of Retry-After where the reason of the refusal suggests no time, seconds.
DEFAULT_RETRY_AFTER_S = 0.6


def unplaced_reason(context: RequestContext, placer: Placer) -> str:
    """Return why a request gets no place."""
    usable = placer.usable_count(context.service.name)
    reason = "no room" if usable else "no backend server"
    if context.version is not None:
        reason = f"{reason} of version {context.version or 'unknown'}"
    if context.confined_by is not None:
        reason = f"suspected of a crash, {reason}"
    return reason


def unplaced_refusal(context: RequestContext, placer: Placer) -> tuple[str, float]:
    """Return the reason to refuse a request that hasn't run, and the base of Retry-After, seconds."""
    service = context.service.name
    limited_for_s = placer.limited_for_s(service)
    if limited_for_s is not None:
        return "limited", max(DEFAULT_RETRY_AFTER_S, limited_for_s)
    pause_left_s = placer.pause_left_s(service)
    is_pause = pause_left_s is not None and not placer.usable_count(service)
    wait_s = pause_left_s if is_pause and pause_left_s is not None else DEFAULT_RETRY_AFTER_S
    return unplaced_reason(context, placer), wait_s
