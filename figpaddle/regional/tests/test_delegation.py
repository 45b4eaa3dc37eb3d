"""Control instances delegate changes to one proposer while it is live."""

from __future__ import annotations

import dataclasses
from typing import Any

import anyio
import pytest
import structlog

from figpaddle.errors import PeerUnreachableError
from figpaddle.regional._delegation import Delegation
from figpaddle.wire import StateChange, StateChangeReply

pytestmark = pytest.mark.anyio

CHANGE = StateChange(kind="evacuate", version=0, document=b"", zone="z")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    name: str


@dataclasses.dataclass(frozen=True)
class ReceivedHeartbeat:
    received_at: float


class Peers:
    """Two other control instances that reply after ``answer_s`` and are heard until ``silent_at``."""

    def __init__(self, *, answer_s: float, silent_at: float = float("inf")) -> None:
        self._answer_s = answer_s
        self._silent_at = silent_at

    def live_controls(self) -> list[Heartbeat]:
        return [Heartbeat(name="10.0.0.1"), Heartbeat(name="10.0.0.3")]

    def last_heard(self, name: str) -> ReceivedHeartbeat:
        return ReceivedHeartbeat(received_at=min(anyio.current_time(), self._silent_at))

    async def send_query(self, name: str, query: Any, *, timeout_s: float) -> StateChangeReply:
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(self._answer_s)
            return StateChangeReply(done=True, state=b"")
        raise PeerUnreachableError(what="no reply", where=name)


def make_delegation(peers: Peers) -> Delegation:
    mesh: Any = peers
    return Delegation(
        name="10.0.0.2", mesh=mesh, clock=anyio.current_time, log=structlog.get_logger()
    )


async def test_a_live_proposer_has_time_to_make_another_change_first() -> None:
    """A reply may take two rounds between regions and a round trip without a second proposer."""
    delegation = make_delegation(Peers(answer_s=1.1))
    assert delegation.proposer() == "10.0.0.1"
    reply = await delegation.delegate("10.0.0.1", CHANGE)
    assert reply is not None and reply.done
    assert delegation.proposer() == "10.0.0.1"


async def test_a_proposer_that_falls_silent_is_given_up_and_not_used_again_soon() -> None:
    delegation = make_delegation(Peers(answer_s=60.0, silent_at=anyio.current_time() - 0.9))
    began_at = anyio.current_time()
    assert await delegation.delegate("10.0.0.1", CHANGE) is None
    assert anyio.current_time() - began_at < 1.0
    assert delegation.proposer() == "10.0.0.2"


async def test_a_proposer_that_sends_heartbeats_but_never_replies_is_given_up() -> None:
    delegation = make_delegation(Peers(answer_s=60.0))
    with anyio.fail_after(4.0):
        assert await delegation.delegate("10.0.0.1", CHANGE) is None
    assert delegation.proposer() == "10.0.0.2"
