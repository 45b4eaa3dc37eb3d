"""How long the requests that reach an entry before its first configuration wait for it."""

from __future__ import annotations

#: Time after the start of an entry in which it expects its first configuration, seconds. After a power loss of
#: all machines a majority of the voters has to start first. One without it after that is cut off, or there is none.
FIRST_CONFIGURATION_S = 3.0
#: Longest wait, seconds, and as a fraction of the time for which the caller waits: what is left has to suffice for
#: an answer, or for another try.
MAX_STARTUP_WAIT_S, MAX_STARTUP_WAIT_FRACTION = 1.5, 1 / 3
#: Requests that wait at once; the others are refused, as each holds memory.
MAX_STARTUP_WAITING = 256


def startup_wait_s(*, uptime_s: float, left_s: float | None, waiting: int) -> float:
    """Return how long a request may wait for the first configuration, seconds; 0 if it is refused.

    ``left_s`` is the time for which its caller waits, None if that isn't known, and ``waiting`` the number of
    requests that wait already.

    When all entries have lost power, their callers come back at once and meet entries that have just started.
    Refused, they come back before the configuration does, and most of them try only once more.

    >>> startup_wait_s(uptime_s=0.1, left_s=10.0, waiting=0)
    1.5
    >>> startup_wait_s(uptime_s=0.1, left_s=3.0, waiting=0), startup_wait_s(uptime_s=5.0, left_s=3.0, waiting=0)
    (1.0, 0.0)
    """
    if waiting >= MAX_STARTUP_WAITING:
        return 0.0
    expected_within_s = max(0.0, FIRST_CONFIGURATION_S - uptime_s)
    accepted_s = MAX_STARTUP_WAIT_S if left_s is None else MAX_STARTUP_WAIT_FRACTION * left_s
    return max(0.0, min(MAX_STARTUP_WAIT_S, expected_within_s, accepted_s))
