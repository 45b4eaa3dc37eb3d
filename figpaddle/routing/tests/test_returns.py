"""Refused callers come back when there is room for them."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import pytest

from figpaddle.routing import spread_return

#: Requests that are served in a second, and the longest wait that is admitted, seconds.
SERVED_PER_S, LONGEST_WAIT_S = 100.0, 1.0
#: Time that callers have and their shares: conversations and short checks.
PATIENCE = ((10.0, 0.45), (3.0, 0.55))
#: Length of a replay and where the peak begins, seconds.
LENGTH_S, PEAK_AT_S = 14.0, 2.0

Return = Callable[[float, float, random.Random], float]


def by_time_left(wait_s: float, left_s: float, rng: random.Random) -> float:
    return spread_return(wait_s, left_s=left_s, rng=rng)


def after_the_wait(wait_s: float, left_s: float, rng: random.Random) -> float:
    return spread_return(wait_s, rng=rng)


def refused_twice(back: Return, *, peak: float, peak_s: float, seed: int) -> float:
    """Replay a peak; return the share of callers whose only repeat was refused too."""
    rng = random.Random(seed)
    numbers = itertools.count()
    events: list[tuple[float, int, float, int]] = []
    now = 0.0
    while now < LENGTH_S:
        at_peak = PEAK_AT_S <= now < PEAK_AT_S + peak_s
        now += rng.expovariate(SERVED_PER_S * (peak if at_peak else 0.6))
        patience = rng.choices([one for one, _ in PATIENCE], [share for _, share in PATIENCE])[0]
        heapq.heappush(events, (now, next(numbers), now + patience, 0))
    asked, twice, free_at = len(events), 0, 0.0
    while events:
        now, _, deadline, repeat = heapq.heappop(events)
        wait_s, left_s = max(0.0, free_at - now), deadline - now
        if wait_s <= min(LONGEST_WAIT_S, left_s * 0.8):
            free_at = max(free_at, now) + 1.0 / SERVED_PER_S
        elif repeat:
            twice += 1
        else:
            at = now + back(wait_s - LONGEST_WAIT_S, left_s, rng)
            assert at < deadline
            heapq.heappush(events, (at, next(numbers), deadline, 1))
    return twice / asked


@pytest.mark.parametrize(("peak", "peak_s"), [(1.8, 2.0), (1.8, 4.0), (2.6, 4.0), (1.5, 8.0)])
def test_fewer_callers_are_refused_twice_than_if_all_came_back_after_the_wait(
    peak: float, peak_s: float
) -> None:
    def mean(back: Return) -> float:
        return sum(refused_twice(back, peak=peak, peak_s=peak_s, seed=s) for s in range(5)) / 5

    assert mean(by_time_left) < 0.8 * mean(after_the_wait)


def test_a_caller_in_a_hurry_is_told_to_come_back_within_its_time() -> None:
    rng = random.Random(1)
    for left_s in (0.5, 1.0, 3.0, 10.0):
        assert all(spread_return(9.0, left_s=left_s, rng=rng) < left_s for _ in range(50))


def test_without_a_deadline_the_wait_alone_decides() -> None:
    rng = random.Random(1)
    assert all(0.4 <= spread_return(0.4, rng=rng) <= 0.801 for _ in range(50))
