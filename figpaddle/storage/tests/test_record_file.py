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
