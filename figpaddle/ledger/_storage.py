"""Port through which a holder's memory outlives its process."""

from __future__ import annotations

import abc

from figpaddle.wire import Message


class LedgerStorage(abc.ABC):
    """Durable entries of one slot, in the order in which they were written."""

    @property
    @abc.abstractmethod
    def size_bytes(self) -> int:
        """Size of all entries, bytes; 0 where nothing is kept."""

    @abc.abstractmethod
    def read(self) -> tuple[Message, ...]:
        """Return all entries; raises StorageError if they can't be trusted."""

    @abc.abstractmethod
    def write(self, entries: tuple[Message, ...]) -> None:
        """Return once ``entries`` are durable; raises StorageError if they are not."""

    @abc.abstractmethod
    def replace(self, entries: tuple[Message, ...]) -> None:
        """Return once ``entries`` have durably taken the place of all earlier ones."""


class NoStorage(LedgerStorage):
    """Storage of an instance without a disk: nothing outlives the process."""

    @property
    def size_bytes(self) -> int:
        """Size of all entries: none."""
        return 0

    def read(self) -> tuple[Message, ...]:
        """Return no entry."""
        return ()

    def write(self, entries: tuple[Message, ...]) -> None:
        """Forget ``entries``."""

    def replace(self, entries: tuple[Message, ...]) -> None:
        """Forget ``entries``."""
