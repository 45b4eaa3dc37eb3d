"""Durability of records when a write is incomplete, the disk is full or a crash occurs."""

from __future__ import annotations

import errno
import os
import pathlib

import pytest

from figpaddle.errors import StorageFullError
from figpaddle.storage import RecordFile


def open_file(path: pathlib.Path) -> RecordFile:
    file = RecordFile(path=path)
    file.open()
    return file


def test_append_returns_only_after_a_sync(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = open_file(tmp_path / "records")
    events: list[str] = []
    write, sync = os.write, os.fsync

    def recording_write(descriptor: int, data: bytes) -> int:
        events.append("write")
        return write(descriptor, data)

    def recording_sync(descriptor: int) -> None:
        events.append("sync")
        sync(descriptor)

    monkeypatch.setattr(os, "write", recording_write)
    monkeypatch.setattr(os, "fsync", recording_sync)
    file.append([b"one"])
    assert events[-1] == "sync" and "write" in events


def test_replaced_file_and_its_directory_are_synced(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = open_file(tmp_path / "records")
    synced_inodes: list[int] = []
    sync = os.fsync

    def recording_sync(descriptor: int) -> None:
        synced_inodes.append(os.fstat(descriptor).st_ino)
        sync(descriptor)

    monkeypatch.setattr(os, "fsync", recording_sync)
    file.replace([b"one"])
    assert os.stat(tmp_path / "records").st_ino in synced_inodes
    assert os.stat(tmp_path).st_ino in synced_inodes


def test_record_appended_after_a_partly_written_one_is_readable(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "records"
    file = open_file(path)
    file.append([b"one"])
    write = os.write

    def write_partly(descriptor: int, data: bytes) -> int:
        write(descriptor, bytes(data)[:5])
        raise OSError(errno.ENOSPC, "no space left on device")

    with monkeypatch.context() as full_disk:
        full_disk.setattr(os, "write", write_partly)
        with pytest.raises(StorageFullError):
            file.append([b"two"])
    file.append([b"three"])
    file.close()
    assert RecordFile(path=path).open() == (b"one", b"three")


@pytest.mark.parametrize("incomplete_bytes", range(1, 15))
def test_incomplete_record_at_the_end_is_truncated(
    tmp_path: pathlib.Path, incomplete_bytes: int
) -> None:
    path = tmp_path / "records"
    file = open_file(path)
    file.append([b"one"])
    size = file.size_bytes
    file.append([b"two"])
    file.close()
    os.truncate(path, size + incomplete_bytes)
    assert RecordFile(path=path).open() == (b"one",)


def full(*_: object) -> int:
    raise OSError(errno.ENOSPC, "no space left on device")


def test_a_full_disk_during_a_replacement_leaves_nothing_open_and_nothing_behind(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a process that runs out of descriptors while its disk is full, and stays so.
    file = open_file(tmp_path / "records")
    file.append([b"one"])
    open_before = len(os.listdir("/proc/self/fd"))
    with monkeypatch.context() as full_disk:
        full_disk.setattr(os, "write", full)
        for _ in range(20):
            with pytest.raises(StorageFullError):
                file.replace([b"two"])
    assert len(os.listdir("/proc/self/fd")) == open_before
    assert os.listdir(tmp_path) == ["records"]
    file.append([b"three"])
    file.close()
    assert RecordFile(path=tmp_path / "records").open() == (b"one", b"three")


def test_records_after_a_failed_append_that_could_not_be_undone_are_readable(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a file that can't be read after a restart, since a part of a record lies in it.
    path = tmp_path / "records"
    file = open_file(path)
    file.append([b"one"])
    write = os.write

    def write_partly(descriptor: int, data: bytes) -> int:
        write(descriptor, bytes(data)[:5])
        return full()

    with monkeypatch.context() as full_disk:
        full_disk.setattr(os, "write", write_partly)
        full_disk.setattr(os, "ftruncate", full)
        for _ in range(2):
            with pytest.raises(StorageFullError):
                file.append([b"two"])
    file.append([b"three"])
    file.close()
    assert RecordFile(path=path).open() == (b"one", b"three")


def test_records_after_a_replacement_whose_name_was_not_synced_are_kept(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against records that are appended to the file that was replaced, and end with the process.
    path = tmp_path / "records"
    file = open_file(path)
    file.append([b"one"])
    with monkeypatch.context() as full_disk:
        full_disk.setattr("figpaddle.storage._record_file._sync_directory", full)
        with pytest.raises(StorageFullError):
            file.replace([b"two"])
        with pytest.raises(StorageFullError):
            file.append([b"unsynced"])
    file.append([b"three"])
    file.close()
    assert RecordFile(path=path).open() == (b"two", b"three")
