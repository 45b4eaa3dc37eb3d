"""Storage of a ledger slot's entries in a file of the data folder."""

from __future__ import annotations

import pathlib

from figpaddle.errors import ForeignFileError
from figpaddle.ledger import LedgerStorage
from figpaddle.storage import RecordFile
from figpaddle.wire import Message, StoredMemory, decode, encode

#: Name of the file in the data folder.
FILE_NAME = "ledger.records"


class FileLedgerStorage(LedgerStorage):
    """Stores the entries of one slot in one file."""

    def __init__(self, *, folder: pathlib.Path, slot: str, slots: tuple[str, ...]) -> None:
        self._path = folder / FILE_NAME
        self._file = RecordFile(path=self._path)
        self._slot = slot
        self._slots = slots

    @property
    def size_bytes(self) -> int:
        """Size of the file, bytes."""
        return self._file.size_bytes

    def read(self) -> tuple[Message, ...]:
        """Return all entries; raises StorageError for a damaged file or one of another slot."""
        entries = tuple(decode(payload) for payload in self._file.open())
        for entry in entries:
            if isinstance(entry, StoredMemory):
                self._check_owner(entry)
        return entries

    def write(self, entries: tuple[Message, ...]) -> None:
        """Append ``entries`` durably."""
        self._file.append(encode(entry) for entry in entries)

    def replace(self, entries: tuple[Message, ...]) -> None:
        """Replace the content of the file by ``entries`` durably."""
        self._file.replace(encode(entry) for entry in entries)

    def _check_owner(self, memory: StoredMemory) -> None:
        if memory.slot != self._slot or memory.slots != self._slots:
            raise ForeignFileError(
                what=f"the file belongs to slot {memory.slot} of {', '.join(memory.slots)}",
                where=str(self._path),
                hint="give each slot its own data folder, and don't change the list of slots",
            )
