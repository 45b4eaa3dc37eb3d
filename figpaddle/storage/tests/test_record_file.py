"""Records survive what disks do: no sync, no room, torn tails."""

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

    def noted_write(descriptor: int, data: bytes) -> int:
        events.append("write")
        return write(descriptor, data)

    def noted_sync(descriptor: int) -> None:
        events.append("sync")
        sync(descriptor)

    monkeypatch.setattr(os, "write", noted_write)
    monkeypatch.setattr(os, "fsync", noted_sync)
    file.append([b"one"])
    assert events[-1] == "sync" and "write" in events


def test_a_rewritten_file_and_its_folder_are_synced(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = open_file(tmp_path / "records")
    synced: list[int] = []
    sync = os.fsync

    def noted_sync(descriptor: int) -> None:
        synced.append(os.fstat(descriptor).st_ino)
        sync(descriptor)

    monkeypatch.setattr(os, "fsync", noted_sync)
    file.replace([b"one"])
    assert os.stat(tmp_path / "records").st_ino in synced
    assert os.stat(tmp_path).st_ino in synced


def test_an_append_that_failed_half_way_leaves_the_next_one_readable(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "records"
    file = open_file(path)
    file.append([b"one"])
    write = os.write

    def write_a_part(descriptor: int, data: bytes) -> int:
        write(descriptor, bytes(data)[:5])
        raise OSError(errno.ENOSPC, "no space left on device")

    with monkeypatch.context() as full:
        full.setattr(os, "write", write_a_part)
        with pytest.raises(StorageFullError):
            file.append([b"two"])
    file.append([b"three"])
    file.close()
    assert RecordFile(path=path).open() == (b"one", b"three")


@pytest.mark.parametrize("left", range(1, 15))
def test_a_torn_tail_is_cut_off(tmp_path: pathlib.Path, left: int) -> None:
    path = tmp_path / "records"
    file = open_file(path)
    file.append([b"one"])
    size = file.size_bytes
    file.append([b"two"])
    file.close()
    os.truncate(path, size + left)
    assert RecordFile(path=path).open() == (b"one",)
