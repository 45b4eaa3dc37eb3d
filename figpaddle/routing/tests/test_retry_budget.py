"""Retries stay a share of the traffic of each member."""

from __future__ import annotations

import random

import pytest

from figpaddle.routing import RetryBudget


@pytest.mark.parametrize("share", [0.1, 0.2, 0.5])
def test_retries_during_a_long_outage_stay_within_the_share(share: float) -> None:
    budget = RetryBudget(share=share, per_s=0.0, max_saved=5.0)
    rng = random.Random(1)
    now = 0.0
    retries = 0
    requests = 2000
    for _ in range(requests):
        now += rng.expovariate(100.0)
        budget.note_request("hanbit", now=now)
        while budget.take("hanbit", now=now):
            retries += 1
    assert requests * share - 1 <= retries <= requests * share + 5


def test_one_members_retries_do_not_use_another_members_budget() -> None:
    budget = RetryBudget(share=0.2, per_s=0.0, max_saved=3.0)
    while budget.take("cumbre", now=0.0):
        pass
    assert [budget.take("hanbit", now=0.0) for _ in range(4)] == [True, True, True, False]


def test_saved_retries_grow_with_time_up_to_the_limit() -> None:
    budget = RetryBudget(share=0.2, per_s=2.0, max_saved=3.0)
    while budget.take("hanbit", now=0.0):
        pass
    assert not budget.take("hanbit", now=0.4)
    assert budget.take("hanbit", now=0.6)
    assert [budget.take("hanbit", now=100.0) for _ in range(4)] == [True, True, True, False]
