"""Heartbeats are frequent where news matters and rare where there are many."""

from __future__ import annotations

import pytest

from figpaddle.coordination import SILENT_AFTER_S
from figpaddle.regional._beat_times import beat_interval


def interval(
    *,
    silent: bool = False,
    near: bool = True,
    is_seed: bool = False,
    instances: int = 8,
    running_s: float = 60.0,
) -> float:
    return beat_interval(
        silent=silent, near=near, is_seed=is_seed, instances=instances, running_s=running_s
    )


def test_after_a_power_loss_seeds_that_start_later_are_found_within_a_fifth_of_a_second() -> None:
    assert interval(silent=True, is_seed=True, running_s=0.5) <= 0.2
    assert interval(silent=True, is_seed=True, running_s=30.0) >= 0.8
    assert interval(silent=True, is_seed=False, running_s=0.5) >= 0.8


@pytest.mark.parametrize("instances", [2, 16, 93, 400])
def test_one_lost_heartbeat_makes_nobody_silent(instances: int) -> None:
    for near in (True, False):
        assert 2 * interval(near=near, instances=instances) < SILENT_AFTER_S
