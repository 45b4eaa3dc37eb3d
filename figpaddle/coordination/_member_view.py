"""What one instance holds true of all instances, and the news that it spreads."""

from __future__ import annotations

import dataclasses

from figpaddle.coordination._member_table import MemberRecord, MemberTable, supersedes
from figpaddle.coordination._membership_events import (
    MemberChanged,
    MemberForgotten,
    MembershipEffect,
)
from figpaddle.coordination._membership_options import MembershipOptions
from figpaddle.coordination._news_queue import NewsQueue
from figpaddle.wire import InstanceInfo, InstanceState, MemberNews


class MemberView:
    """The table of members, the news about them and the instance itself.

    Changes wait until ``take_changes`` is called.
    """

    def __init__(self, *, own: InstanceInfo, options: MembershipOptions) -> None:
        self._options = options
        self._own = own
        self._changes: list[MembershipEffect] = []
        #: Records of all instances, the own one among them.
        self.table = MemberTable()
        #: News that still spreads.
        self.news = NewsQueue()
        self.table.put(MemberRecord(info=own, suspected=False, expires_at=None))
        self.news.put(MemberNews(info=own))

    @property
    def own(self) -> InstanceInfo:
        """The instance itself, as it tells others."""
        return self._own

    @property
    def others(self) -> list[str]:
        """Names of the other instances that are not gone, in order."""
        return sorted(name for name in self.table.live if name != self._own.name)

    def take_changes(self) -> tuple[MembershipEffect, ...]:
        """Return the changes since the last call."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def set_own(self, own: InstanceInfo) -> None:
        """Tell others that the instance itself is now ``own``."""
        self._own = own
        self.table.put(MemberRecord(info=own, suspected=False, expires_at=None))
        self.news.put(MemberNews(info=own))
        self._changes.append(MemberChanged(info=own))

    def take_news(self, news: tuple[MemberNews, ...], *, now: float) -> tuple[str, ...]:
        """Take in what is newer than the records and return the names that were not known."""
        found = []
        for item in news:
            name = item.info.name
            known = self.table.find(name)
            if name == self._own.name:
                self._refute(item)
            elif known is None and item.info.state is not InstanceState.GONE:
                self._keep(item, now)
                found.append(name)
            elif known is not None and supersedes(item, known.news):
                self._keep(item, now)
        return tuple(found)

    def doubts_about(self, name: str) -> tuple[MemberNews, ...]:
        """Return the record of ``name`` where it is suspected or gone, for it to refute."""
        record = self.table.find(name)
        if record is None or not (record.suspected or record.gone):
            return ()
        return (record.news,)

    def news_for(self, receiver: str) -> tuple[MemberNews, ...]:
        """Return the news to send along, first of all doubts about the receiver itself."""
        doubts = self.doubts_about(receiver)
        limit = self._options.max_news - len(doubts)
        return doubts + self.news.take(limit=limit, members=self.table.live_count)

    def expire(self, *, now: float) -> None:
        """Turn old suspicions into deaths and forget old deaths."""
        for record in self.table.expired(now=now):
            if record.gone:
                self._forget(record.info.name)
            else:
                gone = record.info.with_state(InstanceState.GONE)
                self._keep(MemberNews(info=gone), now)

    def _refute(self, news: MemberNews) -> None:
        """Raise the own incarnation over doubts, also those left by an earlier process."""
        if self._own.state is InstanceState.GONE:
            return
        if supersedes(news, MemberNews(info=self._own)):
            raised = news.info.incarnation + 1
            self.set_own(dataclasses.replace(self._own, incarnation=raised))

    def _keep(self, news: MemberNews, now: float) -> None:
        name = news.info.name
        known = self.table.find(name)
        record = MemberRecord(
            info=news.info, suspected=news.suspected, expires_at=self._expiry(news, now)
        )
        self.table.put(record)
        self.news.put(news)
        if known is None or known.info != news.info:
            self._changes.append(MemberChanged(info=news.info))
        if record.gone:
            self._limit_gone()

    def _expiry(self, news: MemberNews, now: float) -> float | None:
        if news.info.state is InstanceState.GONE:
            return now + self._options.gone_retention_s
        if news.suspected:
            return now + self._options.suspicion_s(members=self.table.live_count)
        return None

    def _limit_gone(self) -> None:
        gone = self.table.gone
        if len(gone) > self._options.max_gone:
            self._forget(min(gone, key=self._forgotten_at))

    def _forgotten_at(self, name: str) -> float:
        record = self.table.find(name)
        if record is None or record.expires_at is None:
            return 0.0
        return record.expires_at

    def _forget(self, name: str) -> None:
        self.table.remove(name)
        self.news.drop(name)
        self._changes.append(MemberForgotten(name=name))
