"""When refused callers come back."""

from __future__ import annotations

import math
import random

#: Shortest and longest time that a refused caller is told to stay away, seconds.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 5.0
#: Part of a caller's time left for which it stays away at least, and at most before the spread: an
#: overload lasts longer than one short wait, and who comes back has to be served in what is left.
MIN_AWAY_PART, MAX_AWAY_PART = 0.2, 0.3


def spread_return(wait_s: float, *, rng: random.Random, left_s: float = 0.0) -> float:
    """Return when a refused caller should come back, in seconds, rounded up to milliseconds.

    It comes after ``wait_s``, spread over as much again, since callers that are refused together
    would otherwise come back together. ``left_s`` is the time in which it still wants its answer
    where an overload is the reason: callers with more time come back later, which leaves the
    first places to those that are in a hurry.
    """
    away_s = max(MIN_RETRY_S, wait_s, MIN_AWAY_PART * left_s)
    if left_s:
        away_s = min(away_s, max(MIN_RETRY_S, MAX_AWAY_PART * left_s))
    return math.ceil(min(MAX_RETRY_S, away_s * rng.uniform(1.0, 2.0)) * 1000) / 1000
