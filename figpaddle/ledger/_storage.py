"""Interface to the durable storage of a holder's state."""

from __future__ import annotations

import abc

from figpaddle.wire import Message


class LedgerStorage(abc.ABC):
    """Durable entries of one slot, in the order in which they were written."""

    @property
    @abc.abstractmethod
    def size_bytes(self) -> int:
        """Size of all entries, bytes; 0 without durable storage."""

    @abc.abstractmethod
    def read(self) -> tuple[Message, ...]:
        """Return all entries; raises StorageError if they can't be read or are damaged."""

    @abc.abstractmethod
    def write(self, entries: tuple[Message, ...]) -> None:
        """Append ``entries`` and return once they are durable; raises StorageError."""

    @abc.abstractmethod
    def replace(self, entries: tuple[Message, ...]) -> None:
        """Replace all stored entries by ``entries`` and return once that is durable."""


class NoStorage(LedgerStorage):
    """Storage of an instance without a data folder: the state is lost when the process ends."""

    @property
    def size_bytes(self) -> int:
        """Always 0."""
        return 0

    def read(self) -> tuple[Message, ...]:
        """Return no entries."""
        return ()

    def write(self, entries: tuple[Message, ...]) -> None:
        """Discard ``entries``."""

    def replace(self, entries: tuple[Message, ...]) -> None:
        """Discard ``entries``."""
