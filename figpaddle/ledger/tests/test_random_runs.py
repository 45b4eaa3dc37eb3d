"""Real holders and coordinators never dispatch a request twice despite losses and restarts."""

from __future__ import annotations

import pytest

from figpaddle.ledger.tests.random_run import RandomRun

RUN_COUNT = 4000


@pytest.mark.parametrize("slots", [1, 2, 3, 5])
def test_no_random_interleaving_dispatches_a_request_twice(slots: int) -> None:
    dispatch_counts = [RandomRun(slots=slots, seed=seed).run() for seed in range(RUN_COUNT)]
    seeds_with_two_dispatches = [seed for seed, count in enumerate(dispatch_counts) if count > 1]
    print(f"slots={slots} once={dispatch_counts.count(1)} of {RUN_COUNT}")
    assert seeds_with_two_dispatches == []
    assert dispatch_counts.count(1) > RUN_COUNT // 20
