"""Orders for availability zones rest on the newest state, and mostly need no read to do so."""

from __future__ import annotations

import types
from typing import Any

import anyio
import pytest
import structlog

from figpaddle.deployment import EMPTY_STATE, ClusterState
from figpaddle.errors import OrderOvertakenError
from figpaddle.http1 import Headers, HttpRequest
from figpaddle.regional import SetEvacuation
from figpaddle.regional._control import ControlApi
from figpaddle.telemetry import MetricsRegistry
from figpaddle.wire import StateChange

pytestmark = pytest.mark.anyio

#: Time that is longer than any of these tests, seconds.
LONG_S = 30.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Register:
    """Holds the confirmed state; a read or a change takes ``round_s``.

    The first change, and the reads that begin meanwhile, find that ``other`` has been confirmed before.
    """

    def __init__(
        self,
        state: ClusterState,
        *,
        round_s: float = 0.0,
        read_s: float = 0.0,
        other: ClusterState | None = None,
    ) -> None:
        self.state = state
        self._round_s, self._read_s = round_s, read_s
        self._other = other

    async def read(self) -> ClusterState:
        state = self.state
        await anyio.sleep(self._read_s)
        return state

    async def change(self, order: StateChange) -> ClusterState:
        await anyio.sleep(self._round_s)
        self.state, self._other = self._other or self.state, None
        evacuated = order.kind == "evacuate"
        if self.state.overtakes(order.zone, evacuated=evacuated, base=order.base):
            raise OrderOvertakenError(what="another order for the zone followed it")
        change = self.state.with_evacuation if evacuated else self.state.without_evacuation
        self.state = change(order.zone)
        return self.state


class Answer:
    """The side of the operator's connection that answers."""

    status = 0

    def caller_left(self) -> bool:
        return False

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status


async def send_order(
    register: Register, *, known: ClusterState, evacuated: bool, unread_s: float = 0.0
) -> int:
    """Order a change of zone z at an instance that knows the state ``known``; return the status."""

    class Follower:
        state = known

    class Dialect:
        document_type = "application/json"

        def read_call(self, request: HttpRequest) -> SetEvacuation:
            return SetEvacuation(zone="z", evacuated=evacuated)

    class Mesh:
        def on_datagram(self, *_: Any) -> None: ...

        on_peer_up = on_datagram

    parts: dict[str, Any] = {
        "settings": types.SimpleNamespace(zones={"z": "north"}),
        "dialect": Dialect(),
        "mesh": Mesh(),
        "relaying": None,
        "follower": Follower(),
        "register": register,
    }
    api = ControlApi(
        clock=anyio.current_time,
        boot_clock=anyio.current_time,
        log=structlog.get_logger(),
        metrics=MetricsRegistry(),
        **parts,
    )
    request = HttpRequest(
        method=b"POST",
        target=b"/",
        headers=(),
        body=b"",
        caller="10.0.0.9",
        received_at=0.0,
        arrived_after=0.0,
        unread_s=unread_s,
    )
    answer: Any = Answer()
    await api.handle(request, answer)
    return int(answer.status)


async def test_an_order_at_an_instance_that_knows_the_newest_state_waits_for_no_read() -> None:
    # Guards against a read and a change of half a second each, after which the operator has left.
    register = Register(EMPTY_STATE.with_evacuation("z"), read_s=LONG_S)
    with anyio.fail_after(LONG_S / 2):
        status = await send_order(register, known=register.state, evacuated=False)
    assert (status, register.state.evacuated) == (200, ())


async def test_an_order_at_an_instance_with_an_older_state_is_confirmed_after_a_read() -> None:
    register = Register(EMPTY_STATE.with_evacuation("z"))
    status = await send_order(register, known=EMPTY_STATE, evacuated=False)
    assert (status, register.state.evacuated) == (200, ())


async def test_an_order_that_another_one_has_overtaken_since_it_came_has_no_effect() -> None:
    state = EMPTY_STATE.with_evacuation("z").without_evacuation("z")
    other = state.with_evacuation("z")
    register = Register(state, round_s=0.1, other=other)
    status = await send_order(register, known=EMPTY_STATE, evacuated=False)
    assert (status, register.state.evacuated) == (503, ("z",))


@pytest.mark.parametrize("unread_s,round_s", [(1.5, 0.0), (0.0, 1.2)])
async def test_an_order_that_may_be_older_than_what_was_confirmed_has_no_effect(
    unread_s: float, round_s: float
) -> None:
    # The instance stood still, or was overtaken only after its operator had left.
    register = Register(EMPTY_STATE.with_evacuation("z"), round_s=round_s)
    known = register.state if unread_s else EMPTY_STATE
    status = await send_order(register, known=known, evacuated=False, unread_s=unread_s)
    assert (status, register.state.evacuated) == (503, ("z",))
