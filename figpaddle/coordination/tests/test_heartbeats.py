"""What counts as a sign of life of another instance."""

from __future__ import annotations

import dataclasses

from figpaddle.coordination import HEARTBEAT_TIMEOUT_S, HeartbeatTable
from figpaddle.coordination._heartbeats import DIRECT_TTL_S


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    name: str = "10.0.0.1"
    incarnation: int = 1
    sequence: int = 1
    revision: int = 0


def test_the_word_of_a_relay_counts_after_heartbeats_that_came_directly_stopped() -> None:
    # Guards against an instance taken for silent though a relay vouched for it just before.
    table: HeartbeatTable[Heartbeat] = HeartbeatTable()
    table.record(Heartbeat(), now=0.0)
    vouched_at = DIRECT_TTL_S - 0.2
    table.vouch(Heartbeat(), now=vouched_at)
    assert table.live(now=HEARTBEAT_TIMEOUT_S + 0.1)
    assert not table.live(now=vouched_at + HEARTBEAT_TIMEOUT_S + 0.1)


def test_an_earlier_word_of_a_relay_takes_nothing_back() -> None:
    table: HeartbeatTable[Heartbeat] = HeartbeatTable()
    table.vouch(Heartbeat(), now=1.0)
    table.vouch(Heartbeat(), now=0.5)
    received = table.get("10.0.0.1")
    assert received is not None and received.received_at == 1.0


def test_a_silence_is_noticed_by_heartbeats_that_came_directly_until_they_are_old() -> None:
    table: HeartbeatTable[Heartbeat] = HeartbeatTable()
    table.record(Heartbeat(), now=0.0)
    table.vouch(Heartbeat(), now=DIRECT_TTL_S - 0.2)
    received = table.get("10.0.0.1")
    assert received is not None and received.received_at == 0.0
