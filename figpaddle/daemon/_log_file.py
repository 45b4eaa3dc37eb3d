"""The replicated log's durable state in one file of checksummed records.

The file is a sequence of records, each with a magic number, the length and the CRC-32 of its
content, and the content. One batch of changes is one record, so a batch is durable as a whole or
not at all. An incomplete record at the end of the file was never acknowledged and is truncated. A
damaged record followed by a valid one was acknowledged, so the file is rejected.
"""

from __future__ import annotations

import contextlib
import dataclasses
import errno
import os
import pathlib
import secrets
import struct
import zlib
from typing import Any

import cbor2
import pydantic

from figpaddle.coordination import DurableState, LogStorage, Persist
from figpaddle.errors import StorageCorruptError, StorageError, StorageFullError
from figpaddle.wire import Peer

#: Name of the file in its folder.
LOG_FILE_NAME = "control.log"
#: Magic number at the start of each record.
RECORD_MAGIC = b"\xf1gp\x01"
#: Magic number, content length and CRC-32 before the content.
RECORD_HEADER = struct.Struct(">4sII")
#: Length of the random incarnation of a replica, bytes.
INCARNATION_BYTES = 8
#: Values of ``errno`` for a lack of disk space.
NO_SPACE_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Record:
    """Content of one record: a complete state, or changes to the state before it."""

    state: DurableState | None = None
    changes: tuple[Persist, ...] = ()


_RECORD = pydantic.TypeAdapter(_Record)


def _encode_enum(encoder: cbor2.CBOREncoder, value: Any) -> None:
    encoder.encode(value.value)


def pack_record(content: bytes) -> bytes:
    """Return the record that holds ``content``."""
    return RECORD_HEADER.pack(RECORD_MAGIC, len(content), zlib.crc32(content)) + content


def unpack_record(data: bytes, offset: int) -> bytes | None:
    """Return the content of the record at ``offset``, or None if there is no valid one."""
    if offset + RECORD_HEADER.size > len(data):
        return None
    magic, length, checksum = RECORD_HEADER.unpack_from(data, offset)
    start = offset + RECORD_HEADER.size
    content = data[start : start + length]
    if magic != RECORD_MAGIC or len(content) < length or zlib.crc32(content) != checksum:
        return None
    return content


def sync_folder(folder: pathlib.Path) -> None:
    """Make created and renamed directory entries of ``folder`` durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Replace the content of ``path`` by ``data`` durably and atomically."""
    temporary = path.with_suffix(".new")
    try:
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        sync_folder(path.parent)
    except OSError as error:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise storage_error(error, path) from error


def storage_error(error: OSError, path: pathlib.Path) -> StorageError:
    """Return the StorageError for an OSError; a StorageFullError if there is no space."""
    if error.errno in NO_SPACE_ERRNOS:
        return StorageFullError(what="the disk is full", where=str(path), hint="free disk space")
    return StorageError(what=str(error), where=str(path), hint="check the disk")


class FileLogStorage(LogStorage):
    """Stores a replica's durable state in one file of the data folder."""

    def __init__(self, *, folder: pathlib.Path, name: str) -> None:
        self._path = folder / LOG_FILE_NAME
        self._name = name
        self._descriptor: int | None = None
        self._size = 0
        self._state: DurableState | None = None
        self._write_failed = False

    @property
    def size_bytes(self) -> int:
        """Size of the file, bytes."""
        return self._size

    def load(self) -> DurableState:
        """Return the durable state; an empty folder first gets one with a new incarnation."""
        if self._state is None:
            self._state = self._read() if self._path.exists() else self._create()
        return self._state

    def save(self, changes: tuple[Persist, ...]) -> None:
        """Make ``changes`` durable; raises StorageError if any of them is not.

        A failed write is undone. After a failed fsync, or a failed write that can't be undone, the
        content of the file is unknown and all later calls fail.
        """
        if self._write_failed:
            raise StorageError(what="an earlier write failed", where=str(self._path))
        state = self.load()
        for change in changes:
            state = state.with_change(change)
        if any(change.snapshot is not None for change in changes):
            self._rewrite(state)
        else:
            self._append(_Record(changes=changes))
        self._state = state

    def close(self) -> None:
        """Close the file."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _create(self) -> DurableState:
        self._path.parent.mkdir(parents=True, exist_ok=True)
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        state = DurableState(peer=Peer(name=self._name, incarnation=incarnation))
        self._rewrite(state)
        return state

    def _rewrite(self, state: DurableState) -> None:
        data = pack_record(_encode(_Record(state=state)))
        try:
            replace_file(self._path, data)
        except StorageError:
            # What is appended to a file that has lost its name ends with the process.
            self._write_failed = self._descriptor is not None and not self._has_name()
            raise
        self.close()
        self._size = len(data)
        self._open()

    def _has_name(self) -> bool:
        """Return whether the path still names the open file."""
        assert self._descriptor is not None
        try:
            named = self._path.stat()
        except OSError:
            return False
        return os.path.samestat(named, os.fstat(self._descriptor))

    def _open(self) -> None:
        self._descriptor = os.open(self._path, os.O_WRONLY | os.O_APPEND)

    def _append(self, record: _Record) -> None:
        assert self._descriptor is not None
        data = pack_record(_encode(record))
        try:
            written = os.write(self._descriptor, data)
            if written < len(data):
                raise OSError(errno.ENOSPC, "short write")
        except OSError as error:
            self._truncate(self._size)
            raise storage_error(error, self._path) from error
        self._sync()
        self._size += len(data)

    def _sync(self) -> None:
        assert self._descriptor is not None
        try:
            os.fsync(self._descriptor)
        except OSError as error:
            self._write_failed = True
            raise StorageError(what=str(error), where=str(self._path)) from error

    def _truncate(self, size: int) -> None:
        assert self._descriptor is not None
        try:
            os.ftruncate(self._descriptor, size)
            os.fsync(self._descriptor)
        except OSError as error:
            self._write_failed = True
            raise StorageError(what=str(error), where=str(self._path)) from error

    def _read(self) -> DurableState:
        data = self._path.read_bytes()
        state: DurableState | None = None
        offset = 0
        while (content := unpack_record(data, offset)) is not None:
            state = _apply_record(state, content, self._path)
            offset += RECORD_HEADER.size + len(content)
        if state is None or self._record_follows(data, offset + 1):
            raise StorageCorruptError(
                what=f"the record at byte {offset} is damaged",
                where=str(self._path),
                hint="empty the data folder; the instance then rejoins as a learner",
            )
        if state.peer.name != self._name:
            raise StorageCorruptError(
                what=f"the log belongs to instance {state.peer.name}",
                where=str(self._path),
                hint="give each instance its own data folder",
            )
        self._open()
        self._size = offset
        if offset < len(data):
            self._truncate(offset)
        return state

    def _record_follows(self, data: bytes, offset: int) -> bool:
        while (offset := data.find(RECORD_MAGIC, offset)) >= 0:
            if unpack_record(data, offset) is not None:
                return True
            offset += 1
        return False


def _encode(record: _Record) -> bytes:
    return cbor2.dumps(_RECORD.dump_python(record), default=_encode_enum)


def _apply_record(state: DurableState | None, content: bytes, path: pathlib.Path) -> DurableState:
    try:
        record = _RECORD.validate_python(cbor2.loads(content))
    except (pydantic.ValidationError, cbor2.CBORDecodeError) as error:
        raise StorageCorruptError(
            what="a record has an unknown format",
            where=str(path),
            hint="run the version of figpaddle that wrote it",
        ) from error
    if record.state is not None:
        return record.state
    if state is None:
        raise StorageCorruptError(what="the first record is missing", where=str(path))
    for change in record.changes:
        state = state.with_change(change)
    return state
