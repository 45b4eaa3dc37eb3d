"""The entries that a replica holds in memory, after a snapshot."""

from __future__ import annotations

from figpaddle.coordination._log_types import DurableState
from figpaddle.wire import Entry, LogMembership, Snapshot


class Log:
    """A snapshot and the entries that follow it without gaps."""

    def __init__(self, *, state: DurableState) -> None:
        self._snapshot = state.snapshot
        self._entries = list(state.entries)
        self._changes = [entry for entry in state.entries if entry.membership is not None]

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot that the entries follow."""
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
        """The newest membership, committed or not; None where none is known."""
        return self._changes[-1].membership if self._changes else self._snapshot.membership

    @property
    def membership_index(self) -> int:
        """Index of the entry that gave the newest membership, at least the snapshot's."""
        return self._changes[-1].index if self._changes else self._snapshot.index

    def membership_at(self, index: int) -> LogMembership | None:
        """Return the membership after the entry at ``index``."""
        for entry in reversed(self._changes):
            if entry.index <= index:
                return entry.membership
        return self._snapshot.membership

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or None where it is not held."""
        if index == self._snapshot.index:
            return self._snapshot.term
        offset = index - self._snapshot.index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def entry(self, index: int) -> Entry:
        """Return the entry at ``index``, which must be held."""
        return self._entries[index - self._snapshot.index - 1]

    def after(self, index: int, *, limit: int | None = None) -> tuple[Entry, ...]:
        """Return the entries after ``index``, at most ``limit``."""
        begin = max(0, index - self._snapshot.index)
        end = None if limit is None else begin + limit
        return tuple(self._entries[begin:end])

    def append(self, entry: Entry) -> None:
        """Put ``entry`` at its index and drop all that followed there."""
        del self._entries[entry.index - self._snapshot.index - 1 :]
        self._entries.append(entry)
        while self._changes and self._changes[-1].index >= entry.index:
            self._changes.pop()
        if entry.membership is not None:
            self._changes.append(entry)

    def compact(self, index: int, data: bytes) -> None:
        """Replace the entries up to ``index`` by a snapshot."""
        term = self.term_at(index)
        assert term is not None
        membership = self.membership_at(index)
        kept = list(self.after(index))
        self._snapshot = Snapshot(index=index, term=term, membership=membership, data=data)
        self._entries = kept
        self._changes = [entry for entry in self._changes if entry.index > index]

    def reset(self, snapshot: Snapshot) -> None:
        """Replace everything by ``snapshot``."""
        self._snapshot = snapshot
        self._entries = []
        self._changes = []
