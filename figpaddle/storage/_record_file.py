"""An append-only file of checksummed records that are durable before ``append`` returns."""

from __future__ import annotations

import contextlib
import errno
import os
import pathlib
import struct
import zlib
from collections.abc import Iterable

from figpaddle.errors import StorageCorruptError, StorageError, StorageFullError

#: First bytes of each record.
MAGIC = b"FPR1"
#: Head of a record: magic, length of the payload, checksum of the payload.
HEAD = struct.Struct(">4sII")


class RecordFile:
    """Records in one file; a record torn by a crash at the end of the file is cut off.

    Only records whose ``append`` returned count. A damaged record that whole ones follow is no
    torn tail, and the file is refused.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        self._path = path
        self._descriptor: int | None = None
        self._size = 0

    @property
    def size_bytes(self) -> int:
        """Size of the file."""
        return self._size

    def open(self) -> tuple[bytes, ...]:
        """Return all records and make the file ready for more.

        Raises StorageCorruptError if the file is damaged before its end, StorageError if it can't
        be used.
        """
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            self._descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
            data = self._path.read_bytes()
            records, size = self._parse(data)
            os.ftruncate(self._descriptor, size)
            os.lseek(self._descriptor, size, os.SEEK_SET)
            os.fsync(self._descriptor)
            _sync_folder(self._path.parent)
        except OSError as error:
            raise self._failure(error) from error
        self._size = size
        return records

    def append(self, payloads: Iterable[bytes]) -> None:
        """Return once ``payloads`` are durable; raises StorageError if they may not be."""
        if self._descriptor is None:
            raise StorageError(what="the file is not open", where=str(self._path))
        data = b"".join(_frame(payload) for payload in payloads)
        try:
            _write_all(self._descriptor, data)
            os.fsync(self._descriptor)
        except OSError as error:
            self._cut_unfinished(self._descriptor)
            raise self._failure(error) from error
        self._size += len(data)

    def replace(self, payloads: Iterable[bytes]) -> None:
        """Return once the file durably holds exactly ``payloads``."""
        data = b"".join(_frame(payload) for payload in payloads)
        fresh = self._path.with_suffix(".new")
        try:
            descriptor = os.open(fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
            _write_all(descriptor, data)
            os.fsync(descriptor)
            os.replace(fresh, self._path)
            _sync_folder(self._path.parent)
        except OSError as error:
            raise self._failure(error) from error
        self.close()
        self._descriptor = descriptor
        self._size = len(data)

    def close(self) -> None:
        """Close the file."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _cut_unfinished(self, descriptor: int) -> None:
        """Remove what a failed append may have left, so that the next record follows whole ones."""
        with contextlib.suppress(OSError):
            os.ftruncate(descriptor, self._size)
            os.lseek(descriptor, self._size, os.SEEK_SET)

    def _parse(self, data: bytes) -> tuple[tuple[bytes, ...], int]:
        records = []
        offset = 0
        while offset < len(data):
            payload = _record_at(data, offset)
            if payload is None:
                self._check_tail(data, offset)
                break
            records.append(payload)
            offset += HEAD.size + len(payload)
        return tuple(records), offset

    def _check_tail(self, data: bytes, offset: int) -> None:
        later = data.find(MAGIC, offset + 1)
        while later >= 0:
            if _record_at(data, later) is not None:
                raise StorageCorruptError(
                    what=f"the record at byte {offset} is damaged and whole ones follow",
                    where=str(self._path),
                    mend="move the file away; the slot then recovers from the others",
                )
            later = data.find(MAGIC, later + 1)

    def _failure(self, error: OSError) -> StorageError:
        kind = StorageFullError if error.errno == errno.ENOSPC else StorageError
        return kind(
            what=error.strerror or type(error).__name__,
            where=str(self._path),
            mend="free space or repair the disk, then start the process again",
        )


def _frame(payload: bytes) -> bytes:
    return HEAD.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


def _record_at(data: bytes, offset: int) -> bytes | None:
    if len(data) - offset < HEAD.size:
        return None
    magic, length, checksum = HEAD.unpack_from(data, offset)
    begin = offset + HEAD.size
    payload = data[begin : begin + length]
    if magic != MAGIC or len(payload) != length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
