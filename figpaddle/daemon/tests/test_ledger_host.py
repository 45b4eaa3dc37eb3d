"""A holder's task gives no reply before what it says is durable."""

from __future__ import annotations

import threading
from typing import Any, cast

import anyio
import pytest

from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._ledger_host import LedgerHost
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.errors import StorageError
from figpaddle.ledger import HolderSettings, LedgerStorage
from figpaddle.telemetry import make_log
from figpaddle.wire import (
    LedgerBegin,
    LedgerVote,
    Message,
    RecordKey,
    StoredMemory,
    StoredRecord,
    Verdict,
)

SLOTS = ("a",)
WAIT_S = 0.2


class GatedStorage(LedgerStorage):
    """Holds an intact memory; a write waits for the gate and may fail after it."""

    def __init__(self, *, fails: bool = False) -> None:
        self.gate = threading.Event()
        self.written: list[Message] = []
        self._fails = fails

    @property
    def size_bytes(self) -> int:
        return 0

    def read(self) -> tuple[Message, ...]:
        return (StoredMemory(slot="a", slots=SLOTS, incarnation=1, voting=True),)

    def write(self, entries: tuple[Message, ...]) -> None:
        self.gate.wait()
        if self._fails:
            raise StorageError(what="the disk is full")
        self.written.extend(entries)

    def replace(self, entries: tuple[Message, ...]) -> None:
        self.write(entries)


class NoNetwork:
    """Takes registrations only."""

    def register(self, kind: type[Message], handler: Any) -> None:
        return


def host(storage: LedgerStorage) -> LedgerHost:
    return LedgerHost(
        settings=HolderSettings(slot="a", slots=SLOTS, retention_s=60.0),
        storage=storage,
        configuration=cast(ConfigurationState, None),
        region="seoul",
        network=cast(PeerNetwork, NoNetwork()),
        wall_clock=lambda: 100.0,
        log=make_log(instance="a"),
    )


def begin(attempt: str) -> LedgerBegin:
    return LedgerBegin(
        key=RecordKey(member="m", client="c", key="k"),
        service="s",
        digest=b"d",
        attempt=attempt,
        votes=(),
        slots=SLOTS,
    )


@pytest.mark.parametrize("second", ["one", "two"], ids=["same attempt again", "another attempt"])
def test_no_reply_rests_on_what_is_not_durable_yet(second: str) -> None:
    storage = GatedStorage()
    replies: list[Message | None] = []

    async def ask_twice() -> None:
        holder = host(storage)

        async def ask(attempt: str) -> None:
            replies.append(await holder.handle(begin(attempt)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, "one")
            tasks.start_soon(ask, second)
            await anyio.sleep(WAIT_S)
            assert replies == []
            storage.gate.set()

    anyio.run(ask_twice)
    verdicts = {cast(LedgerVote, reply).verdict for reply in replies}
    assert verdicts == {Verdict.ACCEPTED} | ({Verdict.CONFLICT} if second == "two" else set())
    assert [type(entry) for entry in storage.written] == [StoredRecord]


def test_failed_disk_gives_no_vote_then_or_later() -> None:
    storage = GatedStorage(fails=True)
    storage.gate.set()

    async def ask() -> None:
        holder = host(storage)
        for attempt in ("one", "two"):
            with pytest.raises(StorageError):
                await holder.handle(begin(attempt))
        assert holder.dump(now=0.0, member=None)["voting"] is False

    anyio.run(ask)
