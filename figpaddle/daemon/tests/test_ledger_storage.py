"""The ledger's file survives crashes, and commits return only after their entries are durable."""

from __future__ import annotations

import errno
import os
import pathlib

import anyio
import pytest

from figpaddle.daemon import _group_commit
from figpaddle.daemon._group_commit import GroupCommit
from figpaddle.daemon._ledger_storage import FileLedgerStorage
from figpaddle.errors import ForeignFileError, StorageCorruptError, StorageError, StorageFullError
from figpaddle.ledger import LedgerStorage
from figpaddle.storage import HEADER, RecordFile
from figpaddle.wire import Message, RecordKey, StoredMemory, StoredRelease

PAYLOADS = (b"first", b"second", b"third")


def write_payloads(folder: pathlib.Path) -> pathlib.Path:
    path = folder / "file.records"
    file = RecordFile(path=path)
    file.open()
    file.append(PAYLOADS)
    file.close()
    return path


@pytest.mark.parametrize("cut_bytes", [1, len(b"third"), len(b"third") + HEADER.size - 1])
def test_torn_tail_is_truncated_and_the_rest_kept(tmp_path: pathlib.Path, cut_bytes: int) -> None:
    path = write_payloads(tmp_path)
    os.truncate(path, path.stat().st_size - cut_bytes)
    file = RecordFile(path=path)
    assert file.open() == PAYLOADS[:2]
    file.append([b"fourth"])
    file.close()
    assert RecordFile(path=path).open() == (*PAYLOADS[:2], b"fourth")


@pytest.mark.parametrize(
    "offset", [0, 5, 9, HEADER.size + 1], ids=["magic", "length", "sum", "data"]
)
def test_damage_before_valid_records_is_rejected(tmp_path: pathlib.Path, offset: int) -> None:
    path = write_payloads(tmp_path)
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(data)
    with pytest.raises(StorageCorruptError):
        RecordFile(path=path).open()


def test_full_disk_raises_storage_full_error(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = RecordFile(path=tmp_path / "file.records")
    file.open()

    def write_to_full_disk(descriptor: int, data: object) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "write", write_to_full_disk)
    with pytest.raises(StorageFullError):
        file.append([b"x"])


def test_replaced_file_holds_exactly_the_new_records(tmp_path: pathlib.Path) -> None:
    path = write_payloads(tmp_path)
    file = RecordFile(path=path)
    file.open()
    file.replace([b"only"])
    file.append([b"later"])
    assert RecordFile(path=path).open() == (b"only", b"later")


def test_file_of_another_slot_is_rejected(tmp_path: pathlib.Path) -> None:
    storage = FileLedgerStorage(folder=tmp_path, slot="a", slots=("a", "b"))
    storage.read()
    storage.write((StoredMemory(slot="a", slots=("a", "b"), incarnation=1, voting=True),))
    for slot, slots in (("b", ("a", "b")), ("a", ("a", "b", "c"))):
        with pytest.raises(ForeignFileError):
            FileLedgerStorage(folder=tmp_path, slot=slot, slots=slots).read()


class CountingStorage(LedgerStorage):
    """Records the size of each batch; all writes from ``fail_from`` on fail."""

    def __init__(self, *, fail_from: int | None = None) -> None:
        self.batches: list[int] = []
        self.replaced: list[tuple[Message, ...]] = []
        self._fail_from = fail_from

    @property
    def size_bytes(self) -> int:
        return sum(self.batches)

    def read(self) -> tuple[Message, ...]:
        return ()

    def write(self, entries: tuple[Message, ...]) -> None:
        if self._fail_from is not None and len(self.batches) >= self._fail_from:
            raise StorageError(what="no space")
        self.batches.append(len(entries))

    def replace(self, entries: tuple[Message, ...]) -> None:
        self.replaced.append(entries)
        self.batches = [len(entries)]


def entry(number: int) -> StoredRelease:
    return StoredRelease(key=RecordKey(member="m", client="c", key=str(number)))


async def commit_all(commits: GroupCommit, count: int) -> list[bool]:
    results: list[bool] = []

    async def commit_one(number: int) -> None:
        commits.append((entry(number),))
        try:
            await commits.commit()
            results.append(True)
        except StorageError:
            results.append(False)

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(commit_one, number)
    return results


def test_many_records_share_one_write() -> None:
    storage = CountingStorage()
    commits = GroupCommit(storage=storage, snapshot=tuple)
    assert anyio.run(commit_all, commits, 200) == [True] * 200
    assert sum(storage.batches) == 200
    assert len(storage.batches) <= 3


def test_failed_write_fails_its_commits_and_all_later_ones() -> None:
    commits = GroupCommit(storage=CountingStorage(fail_from=0), snapshot=tuple)
    assert anyio.run(commit_all, commits, 5) == [False] * 5
    assert anyio.run(commit_all, commits, 1) == [False]
    assert commits.failed


def test_grown_file_is_replaced_by_a_snapshot(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_group_commit, "REWRITE_MIN_BYTES", 10)
    storage = CountingStorage()
    snapshot = (entry(1), entry(2))
    commits = GroupCommit(storage=storage, snapshot=lambda: snapshot)
    for _ in range(3):
        anyio.run(commit_all, commits, 6)
    assert storage.replaced == [snapshot]
