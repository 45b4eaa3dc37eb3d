"""An append-only file of checksummed records; they are durable when ``append`` returns."""

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
#: Header of a record: magic, length of the payload, CRC-32 of the payload.
HEADER = struct.Struct(">4sII")


class RecordFile:
    """Records in one file; ``open`` truncates a record that a crash left incomplete at the end.

    Only records whose ``append`` returned are guaranteed to be kept. An incomplete append can't
    leave a damaged record before an intact one, so ``open`` then raises StorageCorruptError.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        self._path = path
        self._descriptor: int | None = None
        self._size = 0
        # Whether bytes of a failed append may follow the last record, and whether a replaced file's name
        # may not be durable.
        self._has_remainder = False
        self._is_name_unsynced = False

    @property
    def size_bytes(self) -> int:
        """Size of the file, bytes."""
        return self._size

    def open(self) -> tuple[bytes, ...]:
        """Return all records and prepare the file for ``append``; create it if necessary.

        Raises StorageCorruptError if the file is damaged before its last record, StorageError if
        it can't be read or written.
        """
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            self._descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
            data = self._path.read_bytes()
            records, size = self._parse(data)
            os.ftruncate(self._descriptor, size)
            os.lseek(self._descriptor, size, os.SEEK_SET)
            os.fsync(self._descriptor)
            _sync_directory(self._path.parent)
        except OSError as error:
            raise self._storage_error(error) from error
        self._size = size
        return records

    def append(self, payloads: Iterable[bytes]) -> None:
        """Append ``payloads`` and return once they are durable.

        Raises StorageError unless they are known to be durable.
        """
        if self._descriptor is None:
            raise StorageError(what="the file is not open", where=str(self._path))
        data = b"".join(_encode_record(payload) for payload in payloads)
        try:
            self._repair(self._descriptor)
            self._has_remainder = True
            _write_all(self._descriptor, data)
            os.fsync(self._descriptor)
        except OSError as error:
            with contextlib.suppress(OSError):
                self._repair(self._descriptor)
            raise self._storage_error(error) from error
        self._has_remainder = False
        self._size += len(data)

    def replace(self, payloads: Iterable[bytes]) -> None:
        """Replace the whole file by ``payloads`` and return once that is durable."""
        data = b"".join(_encode_record(payload) for payload in payloads)
        temporary_path = self._path.with_suffix(".new")
        descriptor: int | None = None
        try:
            descriptor = os.open(temporary_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
            _write_all(descriptor, data)
            os.fsync(descriptor)
            os.replace(temporary_path, self._path)
        except OSError as error:
            if descriptor is not None:
                os.close(descriptor)
            with contextlib.suppress(OSError):
                temporary_path.unlink()
            raise self._storage_error(error) from error
        # From here on the old file has no name, so whatever is appended to it would be lost.
        self.close()
        self._descriptor, self._size = descriptor, len(data)
        self._has_remainder, self._is_name_unsynced = False, True
        try:
            self._repair(descriptor)
        except OSError as error:
            raise self._storage_error(error) from error

    def close(self) -> None:
        """Close the file."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _repair(self, descriptor: int) -> None:
        """Undo what an earlier failure left, so that the next record follows an intact one and lasts."""
        if self._has_remainder:
            os.ftruncate(descriptor, self._size)
            os.lseek(descriptor, self._size, os.SEEK_SET)
            self._has_remainder = False
        if self._is_name_unsynced:
            _sync_directory(self._path.parent)
            self._is_name_unsynced = False

    def _parse(self, data: bytes) -> tuple[tuple[bytes, ...], int]:
        """Return the payloads of the intact records and the offset at which the last one ends."""
        records = []
        offset = 0
        while offset < len(data):
            payload = _record_at(data, offset)
            if payload is None:
                self._check_no_intact_record_after(data, offset)
                break
            records.append(payload)
            offset += HEADER.size + len(payload)
        return tuple(records), offset

    def _check_no_intact_record_after(self, data: bytes, offset: int) -> None:
        candidate = data.find(MAGIC, offset + 1)
        while candidate >= 0:
            if _record_at(data, candidate) is not None:
                raise StorageCorruptError(
                    what=f"the record at byte {offset} is damaged but intact records follow it",
                    where=str(self._path),
                    hint="move the file away; the process then recovers its state from other instances",
                )
            candidate = data.find(MAGIC, candidate + 1)

    def _storage_error(self, error: OSError) -> StorageError:
        error_type = StorageFullError if error.errno == errno.ENOSPC else StorageError
        return error_type(
            what=error.strerror or type(error).__name__,
            where=str(self._path),
            hint="free space or repair the disk, then start the process again",
        )


def _encode_record(payload: bytes) -> bytes:
    return HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


def _record_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the record at ``offset``, or None if there is no intact one."""
    if len(data) - offset < HEADER.size:
        return None
    magic, length, checksum = HEADER.unpack_from(data, offset)
    payload_offset = offset + HEADER.size
    payload = data[payload_offset : payload_offset + length]
    if magic != MAGIC or len(payload) != length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _write_all(descriptor: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        remaining = remaining[written:]


def _sync_directory(directory: pathlib.Path) -> None:
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
