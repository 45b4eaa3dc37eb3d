"""Requests of an entry instance to the ledger slots of every region."""

from __future__ import annotations

from collections.abc import Mapping

import anyio

from figpaddle.daemon._ledger_host import LedgerHost
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.errors import PeerUnreachableError, StorageError
from figpaddle.ledger import Coordinator, Decision, SlotRequest, majority
from figpaddle.wire import LedgerFinish, LedgerKept, Message

#: Timeout for the vote of one slot, seconds.
VOTE_TIMEOUT_S = 1.0
#: Longest time for which the end of a response is delayed until it is recorded, seconds.
FINISH_TIMEOUT_S = 1.0


class LedgerClient:
    """Sends ledger messages to slots, including the slot of this instance."""

    def __init__(
        self,
        *,
        own_name: str,
        holders: Mapping[str, tuple[str, ...]],
        host: LedgerHost | None,
        network: PeerNetwork,
    ) -> None:
        self._own_name = own_name
        self._holders = holders
        self._host = host
        self._network = network

    def slots(self, region: str) -> tuple[str, ...]:
        """Return the slots of ``region`` in the order of requests to them."""
        return self._holders.get(region, ())

    async def decide(self, coordinator: Coordinator) -> Decision:
        """Send the coordinator's requests one by one and return its decision."""
        step = coordinator.start()
        while True:
            reply = await self._request(step.slot, step.message, timeout_s=VOTE_TIMEOUT_S)
            next_step = coordinator.handle(reply)
            if not isinstance(next_step, SlotRequest):
                return next_step
            step = next_step

    async def finish(self, region: str, message: LedgerFinish) -> bool:
        """Return whether a majority of ``region`` recorded the response within the timeout."""
        slots = self.slots(region)
        acknowledged: list[str] = []
        majority_reached = anyio.Event()

        async def record_at(slot: str) -> None:
            reply = await self._request(slot, message, timeout_s=FINISH_TIMEOUT_S)
            if isinstance(reply, LedgerKept) and reply.kept:
                acknowledged.append(slot)
            if len(acknowledged) >= majority(len(slots)):
                majority_reached.set()

        async with anyio.create_task_group() as tasks:
            for slot in slots:
                tasks.start_soon(record_at, slot)
            with anyio.move_on_after(FINISH_TIMEOUT_S):
                await majority_reached.wait()
            tasks.cancel_scope.cancel()
        return majority_reached.is_set()

    async def notify(self, region: str, message: Message) -> None:
        """Send ``message`` to all slots of ``region``; only the own slot is waited for."""
        for slot in self.slots(region):
            if slot == self._own_name:
                await self._request(slot, message, timeout_s=VOTE_TIMEOUT_S)
            else:
                self._network.post(slot, message)

    async def _request(self, slot: str, message: Message, *, timeout_s: float) -> Message | None:
        try:
            if slot == self._own_name and self._host is not None:
                return await self._host.handle(message)
            return await self._network.request(slot, message, timeout_s=timeout_s)
        except (PeerUnreachableError, StorageError):
            return None
