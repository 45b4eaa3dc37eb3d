"""Periodic tasks of an instance wake up together."""

from __future__ import annotations

import asyncio

import anyio
import pytest

from figpaddle.http1 import ConnectionPool
from figpaddle.regional._wake_ups import Alarm, shared_moment
from tests.mesh_factory import make_mesh

pytestmark = pytest.mark.anyio

#: Time that is longer than any of these tests, seconds.
LONG_S = 60.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def test_waits_that_begin_a_little_apart_end_at_the_same_moment() -> None:
    moments = {shared_moment(7.0 + after_s, 0.1, first=7.0) for after_s in (0.0, 0.002, 0.011)}
    assert len(moments) == 1


def test_a_task_keeps_its_interval_in_the_mean_whatever_it_does_between_its_waits() -> None:
    now = 7.0
    for number in range(1000):
        now = shared_moment(now, 0.15, first=7.0)
        assert now == pytest.approx(7.0 + 0.15 * (number + 1))
        now += 0.02 * (number % 2)


async def test_an_alarm_that_rings_before_or_during_a_wait_ends_it_at_once() -> None:
    alarm = Alarm()
    alarm.ring()
    with anyio.fail_after(LONG_S / 2):
        assert await alarm.wait(LONG_S)
        asyncio.get_running_loop().call_soon(alarm.ring)
        assert await alarm.wait(LONG_S)
        assert not await alarm.wait(0.05)


async def test_an_alarm_that_was_cleared_does_not_end_a_wait() -> None:
    alarm = Alarm()
    alarm.ring()
    alarm.clear()
    assert not await alarm.wait(0.05)


async def test_datagrams_are_read_with_long_pauses_again_once_the_expected_replies_have_come(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    mesh = make_mesh(ConnectionPool(clock=anyio.current_time, ack_timeout_s=1.0))
    pauses: list[float] = []

    async def record(pause_s: float) -> None:
        pauses.append(pause_s)

    monkeypatch.setattr(anyio, "sleep", record)
    ends = [mesh.expect_reply(LONG_S), mesh.expect_reply(LONG_S)]
    await mesh._pause_reading()
    ends[0]()
    await mesh._pause_reading()
    assert len(pauses) == 2
    ends[1]()
    await mesh._pause_reading()
    assert len(pauses) == 2
