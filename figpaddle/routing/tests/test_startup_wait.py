"""How requests wait at entries that start together after a power loss."""

from __future__ import annotations

import random

import pytest

from figpaddle.routing import MAX_STARTUP_WAITING, jittered_retry_after, startup_wait_s

#: Base of Retry-After of a refusal for the lack of a configuration, seconds.
RETRY_AFTER_S = 0.4


def is_served(*, arrives_s: float, configured_s: float, left_s: float, repeats: int) -> bool:
    """Replay one caller of an entry that starts at 0 and has its configuration at ``configured_s``."""
    rng, now = random.Random(arrives_s), arrives_s
    for _ in range(1 + repeats):
        now += startup_wait_s(uptime_s=now, left_s=left_s - (now - arrives_s), waiting=0)
        if now >= configured_s:
            return True
        now += jittered_retry_after(RETRY_AFTER_S, rng=rng)
    return False


@pytest.mark.parametrize("configured_s", [0.5, 1.0, 1.5, 2.0])
@pytest.mark.parametrize("left_s", [6.0, 12.0])
def test_callers_that_come_back_at_once_after_a_power_loss_are_served(
    configured_s: float, left_s: float
) -> None:
    for arrival in range(20):
        assert is_served(
            arrives_s=arrival * 0.1, configured_s=configured_s, left_s=left_s, repeats=1
        )


def test_an_entry_that_has_long_had_no_configuration_refuses_at_once() -> None:
    assert startup_wait_s(uptime_s=10.0, left_s=10.0, waiting=0) == 0.0


def test_a_wait_leaves_a_caller_most_of_its_time() -> None:
    assert startup_wait_s(uptime_s=0.0, left_s=0.6, waiting=0) == pytest.approx(0.2)


def test_only_so_many_requests_are_kept_at_once() -> None:
    assert startup_wait_s(uptime_s=0.0, left_s=10.0, waiting=MAX_STARTUP_WAITING - 1) > 0
    assert startup_wait_s(uptime_s=0.0, left_s=10.0, waiting=MAX_STARTUP_WAITING) == 0.0
