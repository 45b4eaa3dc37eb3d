"""One instance's view of all instances, and the updates that it disseminates."""

from __future__ import annotations

import dataclasses

from figpaddle.coordination._member_table import MemberRecord, MemberTable, supersedes
from figpaddle.coordination._membership_events import (
    MemberChanged,
    MemberRemoved,
    MembershipEffect,
)
from figpaddle.coordination._membership_options import MembershipOptions
from figpaddle.coordination._update_queue import UpdateQueue
from figpaddle.wire import InstanceInfo, InstanceState, MemberNews


class MemberView:
    """The records of all members and the queue of updates to send.

    Changes of the view are collected until ``drain_changes`` is called.
    """

    def __init__(self, *, own: InstanceInfo, options: MembershipOptions) -> None:
        self._options = options
        self._own = own
        self._changes: list[MembershipEffect] = []
        #: Records of all instances, including this one.
        self.table = MemberTable()
        #: Updates that are still sent to other instances.
        self.update_queue = UpdateQueue()
        self.table.put(MemberRecord(info=own, suspected=False, expires_at=None))
        self.update_queue.put(MemberNews(info=own))

    @property
    def own(self) -> InstanceInfo:
        """This instance, as it describes itself to others."""
        return self._own

    @property
    def others(self) -> list[str]:
        """Names of the other instances that are not gone, in order."""
        return sorted(name for name in self.table.live if name != self._own.name)

    def drain_changes(self) -> tuple[MembershipEffect, ...]:
        """Return the changes since the last call and remove them."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def update_own(self, own: InstanceInfo) -> None:
        """Replace the record of this instance and disseminate it."""
        self._own = own
        self.table.put(MemberRecord(info=own, suspected=False, expires_at=None))
        self.update_queue.put(MemberNews(info=own))
        self._changes.append(MemberChanged(info=own))

    def merge_updates(self, updates: tuple[MemberNews, ...], *, now: float) -> tuple[str, ...]:
        """Apply the updates that are newer than the records; return the names of new members."""
        added = []
        for update in updates:
            name = update.info.name
            known = self.table.find(name)
            if name == self._own.name:
                self._refute(update)
            elif known is None and update.info.state is not InstanceState.GONE:
                self._store(update, now)
                added.append(name)
            elif known is not None and supersedes(update, known.update):
                self._store(update, now)
        return tuple(added)

    def updates_to_refute(self, name: str) -> tuple[MemberNews, ...]:
        """Return the update about ``name`` if that is suspected or gone, for ``name`` to refute."""
        record = self.table.find(name)
        if record is None or not (record.suspected or record.gone):
            return ()
        return (record.update,)

    def updates_for(self, receiver: str) -> tuple[MemberNews, ...]:
        """Return the updates to send along, beginning with those that the receiver may refute."""
        to_refute = self.updates_to_refute(receiver)
        limit = self._options.max_ping_updates - len(to_refute)
        return to_refute + self.update_queue.next_batch(
            limit=limit, member_count=self.table.live_count
        )

    def expire(self, *, now: float) -> None:
        """Mark members with an expired suspicion as gone and remove expired records."""
        for record in self.table.expired(now=now):
            if record.gone:
                self._remove(record.info.name)
            else:
                gone = record.info.with_state(InstanceState.GONE)
                self._store(MemberNews(info=gone), now)

    def _refute(self, update: MemberNews) -> None:
        """Raise the own incarnation above ``update`` if it would replace the own record.

        Such an update is a suspicion, or stems from an earlier process of this instance.
        """
        if self._own.state is InstanceState.GONE:
            return
        if supersedes(update, MemberNews(info=self._own)):
            raised = update.info.incarnation + 1
            self.update_own(dataclasses.replace(self._own, incarnation=raised))

    def _store(self, update: MemberNews, now: float) -> None:
        name = update.info.name
        known = self.table.find(name)
        record = MemberRecord(
            info=update.info, suspected=update.suspected, expires_at=self._expiry(update, now)
        )
        self.table.put(record)
        self.update_queue.put(update)
        if known is None or known.info != update.info:
            self._changes.append(MemberChanged(info=update.info))
        if record.gone:
            self._evict_oldest_gone()

    def _expiry(self, update: MemberNews, now: float) -> float | None:
        if update.info.state is InstanceState.GONE:
            return now + self._options.gone_retention_s
        if update.suspected:
            return now + self._options.suspicion_timeout_s(member_count=self.table.live_count)
        return None

    def _evict_oldest_gone(self) -> None:
        gone = self.table.gone
        if len(gone) > self._options.max_gone_members:
            self._remove(min(gone, key=self._recorded_expiry))

    def _recorded_expiry(self, name: str) -> float:
        record = self.table.find(name)
        if record is None or record.expires_at is None:
            return 0.0
        return record.expires_at

    def _remove(self, name: str) -> None:
        self.table.remove(name)
        self.update_queue.remove(name)
        self._changes.append(MemberRemoved(name=name))
