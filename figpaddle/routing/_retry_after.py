"""Retry delays for refused callers."""

from __future__ import annotations

import math
import random

#: Shortest and longest retry delay given to a refused caller, seconds.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0
#: Shortest and longest delay before jitter, as a fraction of the caller's remaining time. An
#: overload lasts longer than one short wait, and a retry must still be served within the rest of
#: the time.
MIN_DELAY_FRACTION, MAX_DELAY_FRACTION = 0.2, 0.3


def jittered_retry_after(wait_s: float, *, rng: random.Random, remaining_s: float = 0.0) -> float:
    """Return the retry delay for a refused caller, seconds, rounded up to milliseconds.

    The delay is ``wait_s`` with jitter of up to the same length, because callers refused together
    would otherwise retry together. ``remaining_s`` is the remaining time of the caller and is given
    when an overload is the reason: callers with more time retry later, which leaves free slots to
    callers with less.
    """
    delay_s = max(MIN_RETRY_AFTER_S, wait_s, MIN_DELAY_FRACTION * remaining_s)
    if remaining_s:
        delay_s = min(delay_s, max(MIN_RETRY_AFTER_S, MAX_DELAY_FRACTION * remaining_s))
    return math.ceil(min(MAX_RETRY_AFTER_S, delay_s * rng.uniform(1.0, 2.0)) * 1000) / 1000
