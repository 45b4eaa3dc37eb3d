"""Which requests an entry still takes after it was told to stop."""

from __future__ import annotations

#: Time from the request to stop for which everything is taken, seconds: callers learn of it from
#: their next lookup.
TAKING_S = 1.5
#: Least difference by which another entry counts as stopped later, seconds; over the age of what
#: is known of it.
STOPPED_LATER_S = 0.5
#: Time kept at the end of the grace time for closing, seconds.
CLOSE_RESERVE_S = 0.6
#: Longest time that an engine takes for a token under load, seconds.
TOKEN_S = 0.014
#: Time for everything but the tokens of an answer, seconds.
OVERHEAD_S = 1.0


def may_retire(
    *,
    stopping_for_s: float,
    grace_s: float,
    others_ready: int,
    others_stopping_s: tuple[float, ...],
) -> bool:
    """Return whether callers are better served by other entries now.

    The last entry of a region that callers can use goes on until nothing more could end in time:
    while the entries of a small region are stopped in turn, the one before may still be starting.
    ``others_stopping_s`` says of those that still take callers how long ago they were told to
    stop; one that was told later goes on longer, so this one may begin its restart.
    """
    if stopping_for_s < TAKING_S:
        return False
    if others_ready or any(
        other_s + STOPPED_LATER_S < stopping_for_s for other_s in others_stopping_s
    ):
        return True
    return stopping_for_s >= grace_s - CLOSE_RESERVE_S - OVERHEAD_S


def may_take(*, stopping_for_s: float, grace_s: float, output_tokens: int) -> bool:
    """Return whether an answer of so many tokens ends before the process has to.

    >>> may_take(stopping_for_s=3.0, grace_s=8.0, output_tokens=40)
    True
    >>> may_take(stopping_for_s=3.0, grace_s=8.0, output_tokens=800)
    False
    """
    if stopping_for_s < TAKING_S:
        return True
    ends_at_s = stopping_for_s + OVERHEAD_S + output_tokens * TOKEN_S
    return ends_at_s <= grace_s - CLOSE_RESERVE_S
