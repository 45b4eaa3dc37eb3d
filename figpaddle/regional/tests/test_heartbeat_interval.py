"""Heartbeats are frequent within a region and to starting seeds, and rarer in large deployments."""

from __future__ import annotations

import pytest

from figpaddle.coordination import HEARTBEAT_TIMEOUT_S
from figpaddle.regional._heartbeat_interval import heartbeat_interval


def interval(
    *,
    silent: bool = False,
    same_region: bool = True,
    is_seed: bool = False,
    instances: int = 8,
    uptime_s: float = 60.0,
) -> float:
    return heartbeat_interval(
        silent=silent,
        same_region=same_region,
        is_seed=is_seed,
        instances=instances,
        uptime_s=uptime_s,
    )


def test_seeds_that_start_later_are_tried_five_times_a_second_during_startup() -> None:
    assert interval(silent=True, is_seed=True, uptime_s=0.5) <= 0.2
    assert interval(silent=True, is_seed=True, uptime_s=30.0) >= 0.8
    assert interval(silent=True, is_seed=False, uptime_s=0.5) >= 0.8


@pytest.mark.parametrize("instances", [2, 16, 93, 400])
def test_one_lost_heartbeat_does_not_make_an_instance_silent(instances: int) -> None:
    for same_region in (True, False):
        assert 2 * interval(same_region=same_region, instances=instances) < HEARTBEAT_TIMEOUT_S
