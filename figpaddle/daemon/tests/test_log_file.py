"""The log's file survives torn writes, full disks and damage without a false promise."""

from __future__ import annotations

import errno
import os
import pathlib
from typing import Any

import pytest

from figpaddle.coordination import DurableState, HardState, Persist, first_snapshot
from figpaddle.daemon._log_file import LOG_FILE_NAME, FileLogStorage
from figpaddle.errors import StorageCorruptError, StorageError, StorageFullError
from figpaddle.wire import Entry, EntryKind, LogMembership, Peer


def entry(index: int, term: int = 1) -> Entry:
    return Entry(index=index, term=term, kind=EntryKind.COMMAND, data=b"x" * 40)


def batch(*indexes: int, term: int = 1) -> tuple[Persist, ...]:
    hard = HardState(term=term, vote=Peer(name="a", incarnation="1"))
    return (Persist(hard=hard, entries=tuple(entry(index, term) for index in indexes)),)


def opened(folder: pathlib.Path) -> FileLogStorage:
    storage = FileLogStorage(folder=folder, name="a")
    storage.load()
    return storage


def reload(folder: pathlib.Path) -> DurableState:
    return FileLogStorage(folder=folder, name="a").load()


def filled(folder: pathlib.Path) -> FileLogStorage:
    storage = opened(folder)
    for index in range(1, 6):
        storage.save(batch(index))
    return storage


def test_everything_saved_is_found_again(tmp_path: pathlib.Path) -> None:
    storage = filled(tmp_path)
    storage.save(batch(3, 4, term=2))
    assert [one.term for one in reload(tmp_path).entries] == [1, 1, 2, 2]
    assert reload(tmp_path) == storage.load()


def test_snapshot_replaces_the_file(tmp_path: pathlib.Path) -> None:
    storage = filled(tmp_path)
    before = storage.size_bytes
    membership = LogMembership(voters=(storage.load().peer,))
    snapshot = first_snapshot(membership, b"state")
    storage.save((Persist(hard=HardState(term=2), snapshot=snapshot),))
    assert storage.size_bytes < before
    assert reload(tmp_path).snapshot == snapshot
    storage.save(batch(1, term=2))
    assert reload(tmp_path) == storage.load()


def test_empty_folder_makes_another_identity(tmp_path: pathlib.Path) -> None:
    first = opened(tmp_path).load()
    (tmp_path / LOG_FILE_NAME).unlink()
    second = reload(tmp_path)
    assert second.blank and second.peer != first.peer and second.peer.name == first.peer.name


def test_any_torn_tail_is_cut_and_the_next_record_is_kept(tmp_path: pathlib.Path) -> None:
    storage = filled(tmp_path)
    path = tmp_path / LOG_FILE_NAME
    whole = path.read_bytes()
    kept = storage.load()
    storage.save(batch(6))
    full = path.read_bytes()
    for size in range(len(whole), len(full)):
        path.write_bytes(full[:size])
        again = opened(tmp_path)
        assert again.load() == kept
        again.save(batch(6, term=3))
        assert reload(tmp_path).entries[-1].term == 3
        again.close()


@pytest.mark.parametrize("position", [0, 6, 20, 200, 400])
def test_damage_in_the_middle_is_refused(tmp_path: pathlib.Path, position: int) -> None:
    filled(tmp_path)
    path = tmp_path / LOG_FILE_NAME
    data = bytearray(path.read_bytes())
    data[position] ^= 0x55
    path.write_bytes(data)
    with pytest.raises(StorageCorruptError):
        reload(tmp_path)
    assert path.read_bytes() == data


def test_full_disk_keeps_what_was_promised_and_recovers(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage = filled(tmp_path)
    before = storage.load()
    real = os.write

    def write(descriptor: int, data: bytes) -> int:
        real(descriptor, data[: len(data) // 2])
        raise OSError(errno.ENOSPC, "no space left on device")

    monkeypatch.setattr(os, "write", write)
    with pytest.raises(StorageFullError):
        storage.save(batch(6))
    assert storage.load() == before
    monkeypatch.setattr(os, "write", real)
    storage.save(batch(6, term=2))
    assert reload(tmp_path).entries == (*before.entries, entry(6, 2))


def test_failed_sync_ends_all_promises(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage = filled(tmp_path)

    def fsync(descriptor: Any) -> None:
        raise OSError(errno.EIO, "input/output error")

    monkeypatch.setattr(os, "fsync", fsync)
    with pytest.raises(StorageError):
        storage.save(batch(6))
    monkeypatch.undo()
    with pytest.raises(StorageError):
        storage.save(batch(6))


def test_another_instances_log_is_refused(tmp_path: pathlib.Path) -> None:
    filled(tmp_path)
    with pytest.raises(StorageCorruptError):
        FileLogStorage(folder=tmp_path, name="b").load()
