"""The task of one ledger slot: serves its messages, recovers its records and stores them."""

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
    HolderOutput,
    HolderSettings,
    LedgerStorage,
    RecoverySource,
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

#: Interval of recovery attempts and of expiry, seconds.
POLL_INTERVAL_S = 0.25
#: Timeout for one page of another slot's records, seconds.
PAGE_TIMEOUT_S = 5.0


class LedgerHost(Component):
    """Serves the ledger slot of this instance, one of the replicas of its region's ledger."""

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
        self._recovery_sources: dict[str, RecoverySource] = {}
        now = wall_clock()
        self._holder = Holder(settings=settings, incarnation=int(now * 1e6), started_at=now)
        self._holder.load(storage.read())
        self._group_commit = GroupCommit(
            storage=storage, snapshot=lambda: self._holder.snapshot(now=wall_clock())
        )
        for message_type in (LedgerBegin, LedgerFinish, LedgerLook):
            network.register(message_type, self._on_request)
        network.register(LedgerAbandon, self._on_message)
        network.register(LedgerRecover, self._on_message)

    @property
    def name(self) -> str:
        """Key of this component's section in the state dump."""
        return "ledger"

    def dump(self, *, now: float, member: str | None) -> Any:
        """Return the slot's state without keys and responses.

        Sizes are shown only if no ``member`` is given, since they cover all members.
        """
        summary = {
            "slot": self._settings.slot,
            "voting": self._holder.voting and not self._group_commit.failed,
        }
        if member is not None:
            return summary
        return {
            **summary,
            "incarnation": self._holder.incarnation,
            "records": self._holder.records,
            "file_bytes": self._storage.size_bytes,
            "storage_failed": self._group_commit.failed,
        }

    async def handle(self, message: Message) -> Message | None:
        """Return the reply to ``message`` after all that it depends on is durable.

        Raises StorageError if it can't be made durable.
        """
        output = self._holder.handle(message, now=self._wall_clock())
        await self._store(output)
        return output.reply

    async def run(self) -> None:
        """Recover the records if they may have been lost, then expire old ones until cancelled.

        Returns after a storage error, since the slot can't vote any more.
        """
        self._log.info("ledger_started", voting=self._holder.voting, records=self._holder.records)
        while True:
            try:
                await self._poll_once()
            except StorageError as error:
                self._log.error("ledger_storage_failed", what=str(error))
                return
            await anyio.sleep(POLL_INTERVAL_S)

    async def _poll_once(self) -> None:
        was_voting = self._holder.voting
        await self._store(self._holder.poll(now=self._wall_clock()))
        if not self._holder.voting:
            await self._recover()
        if self._holder.voting and not was_voting:
            self._log.info("ledger_votes", records=self._holder.records)

    async def _recover(self) -> None:
        """Read the records of other slots until enough are read to vote.

        Records read in an earlier attempt stay valid until the incarnation of this slot changes.
        """
        for slot in self._settings.slots:
            if slot == self._settings.slot or slot in self._recovery_sources:
                continue
            recovered = await self._read_slot(slot)
            if recovered is not None:
                self._recovery_sources[slot] = recovered
            if len(self._recovery_sources) >= recovery_size(len(self._settings.slots)):
                await self._store(self._holder.recover_from(tuple(self._recovery_sources.values())))
                self._recovery_sources.clear()
                return

    async def _read_slot(self, slot: str) -> RecoverySource | None:
        records: list[LedgerRecord] = []
        offset = 0
        while True:
            request = LedgerRecover(
                slot=self._settings.slot, incarnation=self._holder.incarnation, offset=offset
            )
            try:
                page = await self._network.request(slot, request, timeout_s=PAGE_TIMEOUT_S)
            except PeerUnreachableError:
                return None
            if not isinstance(page, LedgerPage) or not page.intact:
                self._raise_incarnation_above_known(page)
                return None
            records.extend(page.records)
            if page.next_offset is None:
                return RecoverySource(slot=slot, records=tuple(records), known=page.known)
            offset = page.next_offset

    def _raise_incarnation_above_known(self, page: Message) -> None:
        """Raise the incarnation of this slot above those that another slot has recorded for it."""
        if isinstance(page, LedgerPage):
            for vote in page.known:
                if vote.slot == self._settings.slot:
                    self._recovery_sources.clear()
                    self._holder.raise_incarnation(vote.incarnation + 1)

    async def _store(self, output: HolderOutput) -> None:
        self._group_commit.append(output.store)
        await self._group_commit.commit()

    async def _on_message(self, peer: str, message: Message) -> Message | None:
        return await self.handle(message)

    async def _on_request(self, peer: str, message: Any) -> Message | None:
        member = (
            message.record.key.member if isinstance(message, LedgerFinish) else message.key.member
        )
        permitted_service(
            self._configuration.current, member=member, service=message.service, region=self._region
        )
        return await self.handle(message)
