"""Storage of the durable state of a replica."""

from __future__ import annotations

import abc

from figpaddle.coordination._log_types import DurableState, Persist


class LogStorage(abc.ABC):
    """Loads and saves the durable state of one replica."""

    @abc.abstractmethod
    def load(self) -> DurableState:
        """Return the durable state; an empty storage first creates and saves a new identity.

        Raises StorageCorruptError if a record that was reported as durable can't be read.
        """

    @abc.abstractmethod
    def save(self, changes: tuple[Persist, ...]) -> None:
        """Return once all ``changes`` are durable.

        Raises StorageFullError if none of them is durable, StorageError if that is unknown.
        """


class MemoryLogStorage(LogStorage):
    """Stores the state in memory, for tests and embedders without a disk."""

    def __init__(self, *, state: DurableState) -> None:
        self._state = state

    def load(self) -> DurableState:
        """Return the stored state."""
        return self._state

    def save(self, changes: tuple[Persist, ...]) -> None:
        """Apply ``changes`` to the stored state."""
        for change in changes:
            self._state = self._state.with_change(change)
