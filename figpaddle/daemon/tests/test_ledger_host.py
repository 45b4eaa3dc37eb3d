"""A ledger slot replies only after all that the reply depends on is durable."""

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
    """Storage of a voting slot whose writes block until the gate opens and then may fail."""

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
    """Accepts registrations of message handlers and nothing else."""

    def register(self, message_type: type[Message], handler: Any) -> None:
        return


def make_host(storage: LedgerStorage) -> LedgerHost:
    return LedgerHost(
        settings=HolderSettings(slot="a", slots=SLOTS, retention_s=60.0),
        storage=storage,
        configuration=cast(ConfigurationState, None),
        region="seoul",
        network=cast(PeerNetwork, NoNetwork()),
        wall_clock=lambda: 100.0,
        log=make_log(instance="a"),
    )


def make_begin(attempt: str) -> LedgerBegin:
    return LedgerBegin(
        key=RecordKey(member="m", client="c", key="k"),
        service="s",
        digest=b"d",
        attempt=attempt,
        votes=(),
        slots=SLOTS,
    )


@pytest.mark.parametrize("second", ["one", "two"], ids=["same attempt again", "another attempt"])
def test_reply_waits_until_all_it_depends_on_is_durable(second: str) -> None:
    storage = GatedStorage()
    replies: list[Message | None] = []

    async def begin_twice() -> None:
        ledger_host = make_host(storage)

        async def begin_attempt(attempt: str) -> None:
            replies.append(await ledger_host.handle(make_begin(attempt)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(begin_attempt, "one")
            tasks.start_soon(begin_attempt, second)
            await anyio.sleep(WAIT_S)
            assert replies == []
            storage.gate.set()

    anyio.run(begin_twice)
    verdicts = {cast(LedgerVote, reply).verdict for reply in replies}
    assert verdicts == {Verdict.ACCEPTED} | ({Verdict.CONFLICT} if second == "two" else set())
    assert [type(entry) for entry in storage.written] == [StoredRecord]


def test_failed_write_prevents_all_further_votes() -> None:
    storage = GatedStorage(fails=True)
    storage.gate.set()

    async def begin_attempts() -> None:
        ledger_host = make_host(storage)
        for attempt in ("one", "two"):
            with pytest.raises(StorageError):
                await ledger_host.handle(make_begin(attempt))
        assert ledger_host.dump(now=0.0, member=None)["voting"] is False

    anyio.run(begin_attempts)
