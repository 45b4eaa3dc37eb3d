"""Retry delays lead refused callers back when there is capacity."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import pytest

from figpaddle.routing import jittered_retry_after

#: Requests served per second, and longest admitted wait, seconds.
SERVED_PER_S, MAX_WAIT_S = 100.0, 1.0
#: Time limits of callers, seconds, and their shares: conversations and short checks.
TIME_LIMITS = ((10.0, 0.45), (3.0, 0.55))
#: Length of a simulation and start of the peak, seconds.
SIMULATION_S, PEAK_AT_S = 14.0, 2.0

RetryDelay = Callable[[float, float, random.Random], float]


def delay_by_remaining_time(wait_s: float, remaining_s: float, rng: random.Random) -> float:
    return jittered_retry_after(wait_s, remaining_s=remaining_s, rng=rng)


def delay_by_wait(wait_s: float, remaining_s: float, rng: random.Random) -> float:
    return jittered_retry_after(wait_s, rng=rng)


def share_refused_twice(retry_delay: RetryDelay, *, peak: float, peak_s: float, seed: int) -> float:
    """Simulate a peak; return the share of callers whose only retry was refused too."""
    rng = random.Random(seed)
    numbers = itertools.count()
    events: list[tuple[float, int, float, int]] = []
    now = 0.0
    while now < SIMULATION_S:
        at_peak = PEAK_AT_S <= now < PEAK_AT_S + peak_s
        now += rng.expovariate(SERVED_PER_S * (peak if at_peak else 0.6))
        time_limit_s = rng.choices(
            [limit_s for limit_s, _ in TIME_LIMITS], [share for _, share in TIME_LIMITS]
        )[0]
        heapq.heappush(events, (now, next(numbers), now + time_limit_s, 0))
    caller_count, refused_twice, free_at = len(events), 0, 0.0
    while events:
        now, _, deadline, is_retry = heapq.heappop(events)
        wait_s, remaining_s = max(0.0, free_at - now), deadline - now
        if wait_s <= min(MAX_WAIT_S, remaining_s * 0.8):
            free_at = max(free_at, now) + 1.0 / SERVED_PER_S
        elif is_retry:
            refused_twice += 1
        else:
            retry_at = now + retry_delay(wait_s - MAX_WAIT_S, remaining_s, rng)
            assert retry_at < deadline
            heapq.heappush(events, (retry_at, next(numbers), deadline, 1))
    return refused_twice / caller_count


@pytest.mark.parametrize(("peak", "peak_s"), [(1.8, 2.0), (1.8, 4.0), (2.6, 4.0), (1.5, 8.0)])
def test_fewer_callers_are_refused_twice_than_with_delays_by_wait_alone(
    peak: float, peak_s: float
) -> None:
    def mean(retry_delay: RetryDelay) -> float:
        return (
            sum(
                share_refused_twice(retry_delay, peak=peak, peak_s=peak_s, seed=s) for s in range(5)
            )
            / 5
        )

    assert mean(delay_by_remaining_time) < 0.8 * mean(delay_by_wait)


def test_retry_delay_is_shorter_than_the_remaining_time() -> None:
    rng = random.Random(1)
    for remaining_s in (0.5, 1.0, 3.0, 10.0):
        assert all(
            jittered_retry_after(9.0, remaining_s=remaining_s, rng=rng) < remaining_s
            for _ in range(50)
        )


def test_without_a_deadline_the_delay_depends_on_the_wait_alone() -> None:
    rng = random.Random(1)
    assert all(0.4 <= jittered_retry_after(0.4, rng=rng) <= 0.801 for _ in range(50))
