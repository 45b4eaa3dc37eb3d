"""Which requests a draining entry instance still accepts."""

from __future__ import annotations

#: How long after the stop request all requests are still accepted, seconds. Callers learn of the
#: stop from their next lookup.
ACCEPT_ALL_S = 1.5
#: Minimum time between the stop requests of two entries for one to count as later, seconds; longer
#: than the age of the known state of the other entry.
STOP_ORDER_MARGIN_S = 0.5
#: Time reserved for closing at the end of the grace period, seconds.
CLOSE_RESERVE_S = 0.6
#: Longest time between tokens of an engine under load, seconds.
MAX_TOKEN_INTERVAL_S = 0.014
#: Time of a response without its tokens, seconds.
RESPONSE_OVERHEAD_S = 1.0


def may_stop_accepting(
    *,
    stopping_for_s: float,
    grace_s: float,
    others_ready: int,
    others_stopping_s: tuple[float, ...],
) -> bool:
    """Return whether this stopping entry may refuse new requests now.

    It may if another entry serves its callers: one that is ready, or one that was asked to stop
    later and therefore serves for longer. ``others_stopping_s`` gives, for each other entry that
    still accepts callers while stopping, the time since its stop request. The last entry of a
    region that callers can use accepts requests until no response could end in time: when the
    entries of a small region are stopped one after the other, the previous one may still be
    restarting.
    """
    if stopping_for_s < ACCEPT_ALL_S:
        return False
    if others_ready or any(
        other_s + STOP_ORDER_MARGIN_S < stopping_for_s for other_s in others_stopping_s
    ):
        return True
    return stopping_for_s >= grace_s - CLOSE_RESERVE_S - RESPONSE_OVERHEAD_S


def may_accept(*, stopping_for_s: float, grace_s: float, output_tokens: int) -> bool:
    """Return whether a response of ``output_tokens`` tokens ends before the process has to.

    >>> may_accept(stopping_for_s=3.0, grace_s=8.0, output_tokens=40)
    True
    >>> may_accept(stopping_for_s=3.0, grace_s=8.0, output_tokens=800)
    False
    """
    if stopping_for_s < ACCEPT_ALL_S:
        return True
    ends_at_s = stopping_for_s + RESPONSE_OVERHEAD_S + output_tokens * MAX_TOKEN_INTERVAL_S
    return ends_at_s <= grace_s - CLOSE_RESERVE_S
