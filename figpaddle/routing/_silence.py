"""How long a backend server may keep silent before a request is sent to another one."""

from __future__ import annotations

#: Shortest silence that ends an attempt, seconds: longer than an engine needs to make room for an
#: urgent request, shorter than the two seconds after which callers give a stream up.
MIN_SILENCE_S = 1.0
#: Part of the target by which a request is late before it is sent again. Once it is late, a
#: second attempt costs the caller nothing.
LATE_TARGETS = 1.5
#: How many times the expected time an answer may take; engines that are busy are not silent.
LATE_EXPECTED = 3.0
#: Pauses between events, as a multiple of the longest that is on time, that end an attempt.
LATE_GAPS = 4.0


def silence_before_answer(*, target_s: float, expected_s: float) -> float:
    """Return after how long without an answer a request that may run twice is sent elsewhere.

    Answers engines that go dark: they accept connections and requests and never answer, while
    nothing is closed. Without a limit each request that they got waits until its deadline.

    >>> silence_before_answer(target_s=1.0, expected_s=0.1)
    1.5
    >>> silence_before_answer(target_s=1.0, expected_s=0.9) > 2.5
    True
    """
    return max(MIN_SILENCE_S, LATE_TARGETS * target_s, LATE_EXPECTED * expected_s)


def silence_between_events(*, gap_s: float) -> float:
    """Return after how long without an event a stream is taken up at another backend server.

    >>> silence_between_events(gap_s=0.3)
    1.2
    """
    return max(MIN_SILENCE_S, LATE_GAPS * gap_s)
