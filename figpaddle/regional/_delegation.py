"""Delegates changes of the cluster state to one proposer among the control instances."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from figpaddle.errors import PeerUnreachableError
from figpaddle.regional._mesh import Mesh
from figpaddle.telemetry import Log
from figpaddle.wire import StateChange, StateChangeReply

#: Timeout of a change at a proposer whose heartbeats arrive, seconds: twice the sum of a round trip,
#: a round in progress between regions and the round for this change. A shorter timeout makes this
#: instance a second proposer, and competing proposers delay each other far longer.
PROPOSER_TIMEOUT_S = 2.0
#: Time without a heartbeat after which another control instance isn't used as proposer, seconds.
PROPOSER_SILENT_S = 1.2
#: Interval between checks of the proposer's heartbeats during a change, seconds.
CHECK_INTERVAL_S = 0.1
#: Time for which a proposer that failed to reply isn't used again, seconds.
PROPOSER_RETRY_DELAY_S = 3.0


class Delegation:
    """Picks the present proposer, the live control instance with the lowest name."""

    def __init__(self, *, name: str, mesh: Mesh, clock: Callable[[], float], log: Log) -> None:
        self._name = name
        self._mesh = mesh
        self._clock = clock
        self._log = log
        self._avoided_until: dict[str, float] = {}

    def proposer(self) -> str:
        """Return the name of the present proposer, which may be this instance."""
        now = self._clock()
        names = (heartbeat.name for heartbeat in self._mesh.live_controls())
        usable = [name for name in names if self._avoided_until.get(name, 0.0) <= now]
        return min([self._name, *filter(self._has_recent_heartbeat, usable)])

    async def delegate(self, proposer: str, change: StateChange) -> StateChangeReply | None:
        """Have ``proposer`` make a change; return its reply, or None if it is silent or too slow."""
        reason = "no heartbeat"
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._cancel_when_silent, proposer, scope)
                try:
                    reply = await self._mesh.send_query(
                        proposer, change, timeout_s=PROPOSER_TIMEOUT_S
                    )
                except PeerUnreachableError as error:
                    reason = str(error)
                else:
                    tasks.cancel_scope.cancel()
                    return reply if isinstance(reply, StateChangeReply) else None
                tasks.cancel_scope.cancel()
        self._log.warning("proposer_unreachable", peer=proposer, reason=reason)
        self._avoided_until[proposer] = self._clock() + PROPOSER_RETRY_DELAY_S
        return None

    async def _cancel_when_silent(self, proposer: str, scope: anyio.CancelScope) -> None:
        while self._has_recent_heartbeat(proposer):
            await anyio.sleep(CHECK_INTERVAL_S)
        scope.cancel()

    def _has_recent_heartbeat(self, name: str) -> bool:
        heard = self._mesh.last_heard(name)
        return heard is not None and self._clock() - heard.received_at <= PROPOSER_SILENT_S
