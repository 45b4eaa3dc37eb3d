"""Response timeouts after which a request is sent to another backend server."""

from __future__ import annotations

#: Shortest timeout, seconds: longer than an engine needs to free capacity for an urgent request,
#: shorter than the two seconds after which callers abandon a stream.
MIN_TIMEOUT_S = 1.0
#: Timeout as a multiple of the target. A request that is already late loses nothing by a second
#: attempt.
TARGET_MULTIPLE = 1.5
#: Timeout as a multiple of the expected time, because a busy engine responds later.
EXPECTED_TIME_MULTIPLE = 3.0
#: Timeout between events, as a multiple of the longest gap that is on time.
GAP_MULTIPLE = 4.0

#: Longest time for which sound servers may be silent together, seconds; longer than a pause of a second or so
#: and, with what a new attempt takes, shorter than the time after which callers abandon a stream.
MAX_COMMON_SILENCE_S = 1.6


def first_byte_timeout_s(*, target_s: float, expected_s: float) -> float:
    """Return the timeout for the first byte of a request that may run twice, seconds.

    It detects an engine that accepts connections and requests but neither responds nor closes the
    connections. Without the timeout, each request sent there waits until its deadline.

    >>> first_byte_timeout_s(target_s=1.0, expected_s=0.1)
    1.5
    >>> first_byte_timeout_s(target_s=1.0, expected_s=0.9) > 2.5
    True
    """
    return max(MIN_TIMEOUT_S, TARGET_MULTIPLE * target_s, EXPECTED_TIME_MULTIPLE * expected_s)


def event_gap_timeout_s(*, gap_s: float) -> float:
    """Return the timeout between two events of a stream, seconds.

    After it, the stream is resumed at another backend server.

    >>> event_gap_timeout_s(gap_s=0.3)
    1.2
    """
    return max(MIN_TIMEOUT_S, GAP_MULTIPLE * gap_s)


def forwarded_gap_timeout_s(
    *, gap_s: float, check_interval_s: float, refusal_timeout_s: float, round_trip_s: float
) -> float:
    """Return the timeout between two events of a stream that another entry serves, seconds.

    That entry hears the backend servers, so it decides first. If another one takes the stream over, its
    statement has come by then: it offers a stream to others after a common silence at the latest, asking at
    each interval, and waits for ``refusal_timeout_s``.

    >>> timeouts_s = {"check_interval_s": 0.2, "refusal_timeout_s": 0.15, "round_trip_s": 0.17}
    >>> round(forwarded_gap_timeout_s(gap_s=0.3, **timeouts_s), 2)
    2.12
    """
    longest_s = max(event_gap_timeout_s(gap_s=gap_s), MAX_COMMON_SILENCE_S)
    return longest_s + check_interval_s + refusal_timeout_s + round_trip_s


def is_worth_offering(
    *, silent_since: float, other_is_steady: bool, expected_s: float, now: float
) -> bool:
    """Return whether a request may be offered to another server after the timeout of its silent one.

    ``other_is_steady`` is whether the other one was heard all the while; false if it is in another region.
    Else it may be silent for the same reason, and the request would run twice for nothing. ``expected_s`` is
    the time until the first event there: a silence lasts as long again as a rule, so until it is as
    old as that, the silent server is expected to go on sooner.

    >>> is_worth_offering(silent_since=0.0, other_is_steady=True, expected_s=0.3, now=1.2)
    True
    >>> is_worth_offering(silent_since=0.0, other_is_steady=True, expected_s=1.8, now=1.2)
    False
    >>> is_worth_offering(silent_since=0.0, other_is_steady=False, expected_s=0.3, now=1.2)
    False
    >>> is_worth_offering(silent_since=0.0, other_is_steady=False, expected_s=0.3, now=1.7)
    True
    """
    silent_s = now - silent_since
    return silent_s >= expected_s and (other_is_steady or silent_s >= MAX_COMMON_SILENCE_S)
