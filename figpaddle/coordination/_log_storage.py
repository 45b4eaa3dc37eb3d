"""Where the durable state of a replica is kept."""

from __future__ import annotations

import abc

from figpaddle.coordination._log_types import DurableState, Persist


class LogStorage(abc.ABC):
    """Durable state of one replica."""

    @abc.abstractmethod
    def load(self) -> DurableState:
        """Return what is durable; a new store makes a new identity and keeps it first.

        Raises StorageCorruptError where a record that was promised can't be read.
        """

    @abc.abstractmethod
    def save(self, changes: tuple[Persist, ...]) -> None:
        """Return once all ``changes`` are durable.

        Raises StorageFullError if none of them is, and StorageError where that is not known.
        """


class MemoryLogStorage(LogStorage):
    """Keeps the state in memory, for tests and embedders without a disk."""

    def __init__(self, *, state: DurableState) -> None:
        self._state = state

    def load(self) -> DurableState:
        """Return the kept state."""
        return self._state

    def save(self, changes: tuple[Persist, ...]) -> None:
        """Keep ``changes``."""
        for change in changes:
            self._state = self._state.with_change(change)
