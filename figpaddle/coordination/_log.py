"""The in-memory log of a replica: a snapshot and the entries after it."""

from __future__ import annotations

from figpaddle.coordination._log_types import DurableState
from figpaddle.wire import Entry, LogMembership, Snapshot


class Log:
    """A snapshot and the contiguous entries after it."""

    def __init__(self, *, state: DurableState) -> None:
        self._snapshot = state.snapshot
        self._entries = list(state.entries)
        self._membership_entries = [
            entry for entry in state.entries if entry.membership is not None
        ]

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot that precedes the entries."""
        return self._snapshot

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._snapshot.term

    @property
    def membership(self) -> LogMembership | None:
        """The newest membership, committed or not; None if none is known."""
        return (
            self._membership_entries[-1].membership
            if self._membership_entries
            else self._snapshot.membership
        )

    @property
    def membership_index(self) -> int:
        """Index of the entry with the newest membership, else that of the snapshot."""
        return (
            self._membership_entries[-1].index if self._membership_entries else self._snapshot.index
        )

    def membership_at(self, index: int) -> LogMembership | None:
        """Return the membership in effect after the entry at ``index``."""
        for entry in reversed(self._membership_entries):
            if entry.index <= index:
                return entry.membership
        return self._snapshot.membership

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or None if the log doesn't contain it."""
        if index == self._snapshot.index:
            return self._snapshot.term
        offset = index - self._snapshot.index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def entry_at(self, index: int) -> Entry:
        """Return the entry at ``index``, which the log must contain."""
        return self._entries[index - self._snapshot.index - 1]

    def entries_after(self, index: int, *, limit: int | None = None) -> tuple[Entry, ...]:
        """Return the entries after ``index``, at most ``limit``."""
        start = max(0, index - self._snapshot.index)
        end = None if limit is None else start + limit
        return tuple(self._entries[start:end])

    def append(self, entry: Entry) -> None:
        """Store ``entry`` at its index and drop all entries from there on."""
        del self._entries[entry.index - self._snapshot.index - 1 :]
        self._entries.append(entry)
        while self._membership_entries and self._membership_entries[-1].index >= entry.index:
            self._membership_entries.pop()
        if entry.membership is not None:
            self._membership_entries.append(entry)

    def compact(self, index: int, data: bytes) -> None:
        """Replace the entries up to ``index`` by a snapshot with ``data``."""
        term = self.term_at(index)
        assert term is not None
        membership = self.membership_at(index)
        remaining = list(self.entries_after(index))
        self._snapshot = Snapshot(index=index, term=term, membership=membership, data=data)
        self._entries = remaining
        self._membership_entries = [
            entry for entry in self._membership_entries if entry.index > index
        ]

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log by ``snapshot``."""
        self._snapshot = snapshot
        self._entries = []
        self._membership_entries = []
