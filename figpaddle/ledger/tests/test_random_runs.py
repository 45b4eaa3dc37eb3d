"""Real holders and coordinators never run a request twice, whatever is lost, late or restarted."""

from __future__ import annotations

import pytest

from figpaddle.ledger.tests.random_run import RandomRun

RUNS = 4000


@pytest.mark.parametrize("slots", [1, 2, 3, 5])
def test_no_random_interleaving_runs_a_request_twice(slots: int) -> None:
    runs = [RandomRun(slots=slots, seed=seed).run() for seed in range(RUNS)]
    twice = [seed for seed, count in enumerate(runs) if count > 1]
    print(f"slots={slots} once={runs.count(1)} of {RUNS}")
    assert twice == []
    assert runs.count(1) > RUNS // 20
