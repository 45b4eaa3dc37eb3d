"""The task of one ledger slot: takes the messages of other instances, recovers, stores."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from figpaddle.daemon._component import Component
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._group_commit import GroupCommit
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.errors import PeerUnreachableError, StorageError
from figpaddle.ledger import (
    Holder,
    HolderSettings,
    LedgerStorage,
    RecoveredSlot,
    Step,
    recovery_size,
)
from figpaddle.routing import permitted_service
from figpaddle.telemetry import Log
from figpaddle.wire import (
    LedgerAbandon,
    LedgerBegin,
    LedgerFinish,
    LedgerLook,
    LedgerPage,
    LedgerRecord,
    LedgerRecover,
    Message,
)

#: Interval of attempts to recover and of expiry, seconds.
POLL_INTERVAL_S = 0.25
#: Longest wait for one page of another holder's records, seconds.
PAGE_TIMEOUT_S = 5.0


class LedgerHost(Component):
    """Runs the holder of this instance's slot."""

    def __init__(
        self,
        *,
        settings: HolderSettings,
        storage: LedgerStorage,
        configuration: ConfigurationState,
        region: str,
        network: PeerNetwork,
        wall_clock: Callable[[], float],
        log: Log,
    ) -> None:
        self._settings = settings
        self._storage = storage
        self._configuration = configuration
        self._region = region
        self._network = network
        self._wall_clock = wall_clock
        self._log = log
        self._sources: dict[str, RecoveredSlot] = {}
        now = wall_clock()
        self._holder = Holder(settings=settings, incarnation=int(now * 1e6), started_at=now)
        self._holder.load(storage.read())
        self._commits = GroupCommit(
            storage=storage, snapshot=lambda: self._holder.snapshot(now=wall_clock())
        )
        for kind in (LedgerBegin, LedgerFinish, LedgerLook):
            network.register(kind, self._on_request)
        network.register(LedgerAbandon, self._on_message)
        network.register(LedgerRecover, self._on_message)

    @property
    def name(self) -> str:
        """Key of its part in the state dump."""
        return "ledger"

    def dump(self, *, now: float, member: str | None) -> Any:
        """Return the slot's state without keys and answers; sizes only for the platform."""
        votes = {
            "slot": self._settings.slot,
            "voting": self._holder.voting and not self._commits.failed,
        }
        if member is not None:
            return votes
        return {
            **votes,
            "incarnation": self._holder.incarnation,
            "records": self._holder.records,
            "file_bytes": self._storage.size_bytes,
            "storage_failed": self._commits.failed,
        }

    async def handle(self, item: Message) -> Message | None:
        """Return the reply to ``item`` once what it says is durable; raises StorageError."""
        step = self._holder.handle(item, now=self._wall_clock())
        await self._store(step)
        return step.reply

    async def run(self) -> None:
        """Recover if the memory was lost, then let records expire."""
        self._log.info("ledger_started", voting=self._holder.voting, records=self._holder.records)
        while True:
            try:
                await self._advance()
            except StorageError as error:
                self._log.error("ledger_storage_failed", what=str(error))
                return
            await anyio.sleep(POLL_INTERVAL_S)

    async def _advance(self) -> None:
        voted = self._holder.voting
        await self._store(self._holder.poll(now=self._wall_clock()))
        if not self._holder.voting:
            await self._recover()
        if self._holder.voting and not voted:
            self._log.info("ledger_votes", records=self._holder.records)

    async def _recover(self) -> None:
        """Read slots that were not read yet; a slot read earlier stays good for this memory."""
        for slot in self._settings.slots:
            if slot == self._settings.slot or slot in self._sources:
                continue
            source = await self._read_slot(slot)
            if source is not None:
                self._sources[slot] = source
            if len(self._sources) >= recovery_size(len(self._settings.slots)):
                await self._store(self._holder.adopt(tuple(self._sources.values())))
                self._sources.clear()
                return

    async def _read_slot(self, slot: str) -> RecoveredSlot | None:
        records: list[LedgerRecord] = []
        offset = 0
        while True:
            question = LedgerRecover(
                slot=self._settings.slot, incarnation=self._holder.incarnation, offset=offset
            )
            try:
                page = await self._network.request(slot, question, timeout_s=PAGE_TIMEOUT_S)
            except PeerUnreachableError:
                return None
            if not isinstance(page, LedgerPage) or not page.intact:
                self._note_incarnations(page)
                return None
            records.extend(page.records)
            if page.next_offset is None:
                return RecoveredSlot(slot=slot, records=tuple(records), known=page.known)
            offset = page.next_offset

    def _note_incarnations(self, page: Message) -> None:
        if isinstance(page, LedgerPage):
            for vote in page.known:
                if vote.slot == self._settings.slot:
                    self._sources.clear()
                    self._holder.raise_incarnation(vote.incarnation + 1)

    async def _store(self, step: Step) -> None:
        self._commits.append(step.store)
        await self._commits.commit()

    async def _on_message(self, peer: str, item: Message) -> Message | None:
        return await self.handle(item)

    async def _on_request(self, peer: str, item: Any) -> Message | None:
        member = item.record.key.member if isinstance(item, LedgerFinish) else item.key.member
        permitted_service(
            self._configuration.current, member=member, service=item.service, region=self._region
        )
        return await self.handle(item)
