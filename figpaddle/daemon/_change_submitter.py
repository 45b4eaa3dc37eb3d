"""Submits an operator's change to the leader of the replicated log."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from figpaddle.daemon._peers import PeerNetwork
from figpaddle.daemon._voter import Voter
from figpaddle.deployment import Change, ChangeAnswer
from figpaddle.errors import ControlUnavailableError, Outcome, PeerUnreachableError
from figpaddle.wire import ChangeReply, SubmitChange

#: Longest time to find a leader and get its result, seconds.
SUBMIT_TIMEOUT_S = 6.0
#: Timeout of one attempt at one voter, seconds.
ATTEMPT_TIMEOUT_S = 2.5
#: Pause between two rounds of attempts at all voters, seconds.
ROUND_PAUSE_S = 0.2


class ChangeSubmitter:
    """Finds the leader and submits changes to it.

    Attempts can be repeated safely because the command id of a change makes it idempotent.
    """

    def __init__(
        self,
        *,
        voter: Voter | None,
        own_name: str,
        voters: tuple[str, ...],
        network: PeerNetwork,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._voter = voter
        self._own_name = own_name
        self._voters = voters
        self._network = network
        self._rng = rng
        self._clock = clock
        self._leader: str | None = None

    async def submit(self, change: Change) -> ChangeAnswer:
        """Return the result of ``change``; raises ControlUnavailableError after a timeout."""
        if not self._voters:
            raise ControlUnavailableError(outcome=Outcome.NOT_RUN)
        deadline = self._clock() + SUBMIT_TIMEOUT_S
        while self._clock() < deadline:
            for name in self._candidates():
                answer = await self._attempt(name, change)
                if answer is not None:
                    return answer
                if self._clock() >= deadline:
                    break
            await anyio.sleep(ROUND_PAUSE_S)
        raise ControlUnavailableError

    def _candidates(self) -> tuple[str, ...]:
        shuffled = list(self._voters)
        self._rng.shuffle(shuffled)
        leader = self._voter.leader if self._voter is not None else self._leader
        first = [leader] if leader is not None else []
        return tuple(dict.fromkeys([*first, *shuffled]))

    async def _attempt(self, name: str, change: Change) -> ChangeAnswer | None:
        if name == self._own_name:
            return None if self._voter is None else await self._voter.submit(change)
        try:
            reply = await self._network.request(
                name, SubmitChange(change=change), timeout_s=ATTEMPT_TIMEOUT_S
            )
        except PeerUnreachableError:
            self._leader = None
            return None
        if not isinstance(reply, ChangeReply):
            return None
        self._leader = reply.leader if reply.answer is None else name
        return reply.answer
