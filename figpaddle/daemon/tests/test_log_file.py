"""Acknowledged state survives torn writes and full disks; a damaged file is rejected."""

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


def open_storage(folder: pathlib.Path) -> FileLogStorage:
    storage = FileLogStorage(folder=folder, name="a")
    storage.load()
    return storage


def reload_state(folder: pathlib.Path) -> DurableState:
    return FileLogStorage(folder=folder, name="a").load()


def make_filled_storage(folder: pathlib.Path) -> FileLogStorage:
    storage = open_storage(folder)
    for index in range(1, 6):
        storage.save(batch(index))
    return storage


def test_saved_state_is_reloaded(tmp_path: pathlib.Path) -> None:
    storage = make_filled_storage(tmp_path)
    storage.save(batch(3, 4, term=2))
    assert [saved.term for saved in reload_state(tmp_path).entries] == [1, 1, 2, 2]
    assert reload_state(tmp_path) == storage.load()


def test_snapshot_replaces_the_file(tmp_path: pathlib.Path) -> None:
    storage = make_filled_storage(tmp_path)
    before = storage.size_bytes
    membership = LogMembership(voters=(storage.load().peer,))
    snapshot = first_snapshot(membership, b"state")
    storage.save((Persist(hard=HardState(term=2), snapshot=snapshot),))
    assert storage.size_bytes < before
    assert reload_state(tmp_path).snapshot == snapshot
    storage.save(batch(1, term=2))
    assert reload_state(tmp_path) == storage.load()


def test_empty_folder_gets_a_new_incarnation(tmp_path: pathlib.Path) -> None:
    first = open_storage(tmp_path).load()
    (tmp_path / LOG_FILE_NAME).unlink()
    second = reload_state(tmp_path)
    assert second.is_empty and second.peer != first.peer and second.peer.name == first.peer.name


def test_any_torn_tail_is_truncated_and_the_next_record_is_kept(tmp_path: pathlib.Path) -> None:
    storage = make_filled_storage(tmp_path)
    path = tmp_path / LOG_FILE_NAME
    before_save = path.read_bytes()
    saved_state = storage.load()
    storage.save(batch(6))
    after_save = path.read_bytes()
    for size in range(len(before_save), len(after_save)):
        path.write_bytes(after_save[:size])
        reopened = open_storage(tmp_path)
        assert reopened.load() == saved_state
        reopened.save(batch(6, term=3))
        assert reload_state(tmp_path).entries[-1].term == 3
        reopened.close()


@pytest.mark.parametrize("position", [0, 6, 20, 200, 400])
def test_damage_before_valid_records_is_rejected_unchanged(
    tmp_path: pathlib.Path, position: int
) -> None:
    make_filled_storage(tmp_path)
    path = tmp_path / LOG_FILE_NAME
    data = bytearray(path.read_bytes())
    data[position] ^= 0x55
    path.write_bytes(data)
    with pytest.raises(StorageCorruptError):
        reload_state(tmp_path)
    assert path.read_bytes() == data


def test_full_disk_keeps_the_acknowledged_state_and_recovers(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage = make_filled_storage(tmp_path)
    before = storage.load()
    real_write = os.write

    def fail_after_half(descriptor: int, data: bytes) -> int:
        real_write(descriptor, data[: len(data) // 2])
        raise OSError(errno.ENOSPC, "no space left on device")

    monkeypatch.setattr(os, "write", fail_after_half)
    with pytest.raises(StorageFullError):
        storage.save(batch(6))
    assert storage.load() == before
    monkeypatch.setattr(os, "write", real_write)
    storage.save(batch(6, term=2))
    assert reload_state(tmp_path).entries == (*before.entries, entry(6, 2))


def test_failed_sync_fails_all_later_saves(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage = make_filled_storage(tmp_path)

    def fsync(descriptor: Any) -> None:
        raise OSError(errno.EIO, "input/output error")

    monkeypatch.setattr(os, "fsync", fsync)
    with pytest.raises(StorageError):
        storage.save(batch(6))
    monkeypatch.undo()
    with pytest.raises(StorageError):
        storage.save(batch(6))


def test_a_snapshot_whose_name_was_not_synced_fails_all_later_saves(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against entries that are appended to the file that the snapshot replaced.
    storage = make_filled_storage(tmp_path)

    def fail(folder: pathlib.Path) -> None:
        raise OSError(errno.ENOSPC, "no space left on device")

    monkeypatch.setattr("figpaddle.daemon._log_file.sync_folder", fail)
    snapshot = first_snapshot(LogMembership(voters=(storage.load().peer,)), b"state")
    with pytest.raises(StorageError):
        storage.save((Persist(hard=HardState(term=2), snapshot=snapshot),))
    monkeypatch.undo()
    with pytest.raises(StorageError):
        storage.save(batch(6))


def test_a_full_disk_during_a_snapshot_fails_no_later_save(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage = make_filled_storage(tmp_path)

    def fail(descriptor: Any) -> None:
        raise OSError(errno.ENOSPC, "no space left on device")

    monkeypatch.setattr(os, "fsync", fail)
    snapshot = first_snapshot(LogMembership(voters=(storage.load().peer,)), b"state")
    with pytest.raises(StorageFullError):
        storage.save((Persist(hard=HardState(term=2), snapshot=snapshot),))
    monkeypatch.undo()
    storage.save(batch(6))
    assert reload_state(tmp_path) == storage.load()


def test_log_of_another_instance_is_rejected(tmp_path: pathlib.Path) -> None:
    make_filled_storage(tmp_path)
    with pytest.raises(StorageCorruptError):
        FileLogStorage(folder=tmp_path, name="b").load()
