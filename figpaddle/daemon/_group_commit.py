"""Group commit: one write to the disk makes the entries of many callers durable."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.to_thread

from figpaddle.errors import StorageError
from figpaddle.ledger import LedgerStorage
from figpaddle.wire import Message

#: The file is compacted when it has grown by this factor since its last compaction.
REWRITE_FACTOR = 2
#: The file is never compacted below this size, bytes.
REWRITE_MIN_BYTES = 4 * 1024 * 1024


class GroupCommit:
    """Collects entries while a write is in progress and then writes them together.

    After a failed write the content of the file is unknown, so every later commit fails.
    """

    def __init__(
        self, *, storage: LedgerStorage, snapshot: Callable[[], tuple[Message, ...]]
    ) -> None:
        self._storage = storage
        self._snapshot = snapshot
        self._pending: list[Message] = []
        self._appended = 0
        self._durable = 0
        self._writing: anyio.Event | None = None
        self._failure: StorageError | None = None
        self._size_after_rewrite = 0

    @property
    def failed(self) -> bool:
        """Whether a write has failed."""
        return self._failure is not None

    def append(self, entries: tuple[Message, ...]) -> None:
        """Add ``entries`` to the next write; ``commit`` waits for it."""
        self._pending.extend(entries)
        self._appended += len(entries)

    async def commit(self) -> None:
        """Return once all entries appended so far are durable; raises StorageError."""
        target = self._appended
        while self._durable < target:
            if self._failure is not None:
                raise self._failure
            if self._writing is not None:
                await self._writing.wait()
            else:
                await self._write()
        if self._failure is not None:
            raise self._failure

    async def _write(self) -> None:
        self._writing = anyio.Event()
        batch, self._pending = tuple(self._pending), []
        appended = self._appended
        try:
            with anyio.CancelScope(shield=True):
                if self._needs_rewrite():
                    await anyio.to_thread.run_sync(self._storage.replace, self._snapshot())
                    self._size_after_rewrite = self._storage.size_bytes
                else:
                    await anyio.to_thread.run_sync(self._storage.write, batch)
            self._durable = appended
        except StorageError as error:
            self._failure = error
        finally:
            self._writing.set()
            self._writing = None

    def _needs_rewrite(self) -> bool:
        limit_bytes = max(REWRITE_MIN_BYTES, REWRITE_FACTOR * self._size_after_rewrite)
        return self._storage.size_bytes > limit_bytes
