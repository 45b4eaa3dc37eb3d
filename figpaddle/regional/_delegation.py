"""Has changes of the agreed state made by one control instance for all."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from figpaddle.errors import PeerUnreachableError
from figpaddle.regional._mesh import Mesh
from figpaddle.telemetry import Log
from figpaddle.wire import StateChange, StateChangeReply

#: Longest time for which a proposer that is heard is waited for, seconds: the way there and back,
#: a round that is under way between regions and the one for this change, each twice. Giving up
#: sooner makes a second proposer, and two that meet delay each other far longer.
PROPOSER_TIMEOUT_S = 2.0
#: Time without a heartbeat after which another control instance isn't asked, seconds.
PROPOSER_SILENT_S = 1.2
#: Interval at which a proposer that is waited for is checked, seconds.
CHECK_INTERVAL_S = 0.1
#: Time for which one that didn't answer isn't asked again, seconds.
PROPOSER_AVOIDED_S = 3.0


class Delegation:
    """Picks the proposer of the moment: the live control instance with the lowest name."""

    def __init__(self, *, name: str, mesh: Mesh, clock: Callable[[], float], log: Log) -> None:
        self._name = name
        self._mesh = mesh
        self._clock = clock
        self._log = log
        self._avoided: dict[str, float] = {}

    def proposer(self) -> str:
        """Return the name of the instance that makes changes, which may be this one."""
        now = self._clock()
        others = (beat.name for beat in self._mesh.controls())
        usable = [name for name in others if self._avoided.get(name, 0.0) <= now]
        return min([self._name, *filter(self._is_heard, usable)])

    async def ask(self, proposer: str, order: StateChange) -> StateChangeReply | None:
        """Return the proposer's reply, or None where it is gone or too slow."""
        reason = "no heartbeat"
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._give_up_when_silent, proposer, scope)
                try:
                    reply = await self._mesh.ask(proposer, order, timeout_s=PROPOSER_TIMEOUT_S)
                except PeerUnreachableError as error:
                    reason = str(error)
                else:
                    tasks.cancel_scope.cancel()
                    return reply if isinstance(reply, StateChangeReply) else None
                tasks.cancel_scope.cancel()
        self._log.warning("proposer_unreachable", peer=proposer, reason=reason)
        self._avoided[proposer] = self._clock() + PROPOSER_AVOIDED_S
        return None

    async def _give_up_when_silent(self, proposer: str, scope: anyio.CancelScope) -> None:
        while self._is_heard(proposer):
            await anyio.sleep(CHECK_INTERVAL_S)
        scope.cancel()

    def _is_heard(self, name: str) -> bool:
        heard = self._mesh.heard(name)
        return heard is not None and self._clock() - heard.at <= PROPOSER_SILENT_S
