"""Which requests a draining entry instance still accepts."""

from __future__ import annotations

import math

from figpaddle.routing._answer_times import RESPONSE_OVERHEAD_S

#: Shortest time from the stop request until all new requests are refused, seconds. Callers learn of the
#: stop from their next lookup.
MIN_ACCEPT_S = 1.5
#: Time from the stop request in which callers can't know of it, seconds: they keep the answer of a lookup for
#: as long. What they send later may be refused, since another entry is where they look next.
UNANNOUNCED_S = 3.0
#: Minimum time between the stop requests of two entries for one to count as later, seconds; longer
#: than the age of the known state of the other entry.
STOP_ORDER_MARGIN_S = 0.5
#: Time reserved for closing at the end of the grace period, seconds.
CLOSE_RESERVE_S = 0.6
#: Time before the end of the grace period at which the last connections are closed, seconds: ending the
#: tasks and the interpreter takes a part of it.
CLOSE_MARGIN_S = 0.25


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
    if stopping_for_s < MIN_ACCEPT_S:
        return False
    if others_ready or any(
        other_s + STOP_ORDER_MARGIN_S < stopping_for_s for other_s in others_stopping_s
    ):
        return True
    return stopping_for_s >= grace_s - CLOSE_RESERVE_S - RESPONSE_OVERHEAD_S


def may_begin(
    *,
    now: float,
    ends_by: float,
    answer_s: float,
    deadline_s: float,
    deadline_ends: bool = True,
    only_bounded: bool = False,
) -> bool:
    """Return whether a request that is sent now ends before its process has to.

    ``ends_by`` is the latest time for the end of its answer, ``answer_s`` the time that the answer takes by what
    was measured, infinity if that isn't known, and ``deadline_s`` the time until the deadline. ``deadline_ends``
    tells whether the deadline ends the request in any case, also within the body of its answer, or only one whose
    answer hasn't begun by then; such a request is assumed to end by its deadline only if nothing else is
    known. ``only_bounded`` is for answers that would be lost if they lasted longer than those before: only the
    deadline counts, since no measured time bounds the next answer.

    >>> may_begin(now=3.0, ends_by=8.0, answer_s=1.5, deadline_s=10.0)
    True
    >>> may_begin(now=3.0, ends_by=8.0, answer_s=6.0, deadline_s=10.0)
    False
    >>> may_begin(now=3.0, ends_by=8.0, answer_s=6.0, deadline_s=2.0)
    True
    >>> may_begin(now=3.0, ends_by=8.0, answer_s=6.0, deadline_s=2.0, deadline_ends=False)
    False
    >>> may_begin(now=3.0, ends_by=8.0, answer_s=1.5, deadline_s=10.0, only_bounded=True)
    False
    """
    if only_bounded:
        answer_s = deadline_s if deadline_ends else math.inf
    elif deadline_ends or math.isinf(answer_s):
        answer_s = min(answer_s, deadline_s)
    return now + answer_s <= ends_by


def is_announced(*, stopping_at: float, received_at: float) -> bool:
    """Return whether the caller of a request that came at ``received_at`` can know of the stop.

    >>> is_announced(stopping_at=10.0, received_at=12.5), is_announced(stopping_at=10.0, received_at=13.5)
    (False, True)
    """
    return received_at > stopping_at + UNANNOUNCED_S
