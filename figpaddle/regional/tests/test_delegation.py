"""Control instances leave changes to one of them for as long as it lives."""

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

ORDER = StateChange(kind="evacuate", version=0, document=b"", zone="z")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclasses.dataclass(frozen=True)
class Beat:
    name: str


@dataclasses.dataclass(frozen=True)
class Heard:
    at: float


class Peers:
    """Two other control instances; one answers after ``answer_s`` and beats until ``silent_at``."""

    def __init__(self, *, answer_s: float, silent_at: float = float("inf")) -> None:
        self._answer_s = answer_s
        self._silent_at = silent_at

    def controls(self) -> list[Beat]:
        return [Beat(name="10.0.0.1"), Beat(name="10.0.0.3")]

    def heard(self, name: str) -> Heard:
        return Heard(at=min(anyio.current_time(), self._silent_at))

    async def ask(self, name: str, question: Any, *, timeout_s: float) -> StateChangeReply:
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(self._answer_s)
            return StateChangeReply(done=True, state=b"")
        raise PeerUnreachableError(what="no reply", where=name)


def delegation(peers: Peers) -> Delegation:
    mesh: Any = peers
    return Delegation(
        name="10.0.0.2", mesh=mesh, clock=anyio.current_time, log=structlog.get_logger()
    )


async def test_a_live_proposer_is_waited_for_while_it_makes_another_change_first() -> None:
    """Two rounds between regions and the way: longer than one round, and no second proposer."""
    one = delegation(Peers(answer_s=1.1))
    assert one.proposer() == "10.0.0.1"
    reply = await one.ask("10.0.0.1", ORDER)
    assert reply is not None and reply.done
    assert one.proposer() == "10.0.0.1"


async def test_a_proposer_that_falls_silent_is_given_up_and_not_asked_again_soon() -> None:
    one = delegation(Peers(answer_s=60.0, silent_at=anyio.current_time() - 0.9))
    began_at = anyio.current_time()
    assert await one.ask("10.0.0.1", ORDER) is None
    assert anyio.current_time() - began_at < 1.0
    assert one.proposer() == "10.0.0.2"


async def test_one_that_beats_and_never_answers_is_given_up_in_the_end() -> None:
    one = delegation(Peers(answer_s=60.0))
    with anyio.fail_after(4.0):
        assert await one.ask("10.0.0.1", ORDER) is None
    assert one.proposer() == "10.0.0.2"
