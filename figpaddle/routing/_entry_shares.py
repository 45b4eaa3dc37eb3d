"""Shares of the limits that all entries of a region keep together."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

from figpaddle.routing._ranking import highest_ranked

#: Time from the first count that another instance states until an entry uses its shares, seconds.
#: By then entries that started at the same moment know each other, even if heartbeats get lost, and
#: those that ran before have made room for it.
SETTLE_S = 1.0
#: Time for which the last stated count is used while no instance states one, seconds. Behind relays hardly
#: any does, and those that are gone are forgotten by then.
COUNT_RETENTION_S = 60.0
#: Time for which an entry may use shares after a majority of the voters was last heard that hears it, seconds.
#: Those that hear a majority count silent entries for a minute, so its share is left until then.
LEASE_S = 45.0
#: Time since a majority of the voters was heard up to which the counts that are stated now are complete,
#: seconds; after it an instance counts as silent.
VOTER_SILENCE_S = 2.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryShares:
    """The entries of a region that share its limits, as one of them counts them.

    The parts of all entries together stay within the whole for any names that they know, as long as
    none of them counts fewer entries than use a share.

    >>> shares = EntryShares(name="a", names=("a", "b", "c"), count=3)
    >>> shares.sharers("engine", most=6)
    3
    """

    #: The entry that counts.
    name: str
    #: Names of the entries that it knows, itself and those that fell silent a short time ago included.
    names: tuple[str, ...]
    #: Number of entries of the region according to the instance that counts the most.
    count: int
    #: Whether the entry may use shares: the others had the time to count it.
    settled: bool = True

    def sharers(self, subject: str, *, most: int) -> int:
        """Return how many entries share a limit in equal parts, 0 if this one has no part.

        ``most`` is the number of parts that the limit has at most. With more entries than parts,
        rendezvous hashing by ``subject`` picks the sharers; an entry that doesn't know all names
        isn't one, as it may rank too high among those that it knows.
        """
        if not self.settled or most < 1:
            return 0
        if self.count <= most:
            return self.count
        if len(self.names) < self.count:
            return 0
        return most if self.name in highest_ranked(subject, self.names, count=most) else 0


class EntryCensus:
    """Counts the entries of a region for one of them, from its own view and from what others state.

    An entry that has just started knows itself alone. The others keep entries that fell silent in
    their counts for a minute, so its share is left when it starts again.

    Parts of a region that don't hear each other can't tell the other from one that is gone. Any two
    majorities of the voters have one in common, so the count falls only while a majority is heard, and
    an entry that has heard none for ``LEASE_S`` uses no share until the others can have counted it again.
    Voters that don't hear the entry forget it like one that is gone, so they are none of its majority.

    >>> census = EntryCensus(name="a")
    >>> census.update({"b"}, [3], voters_heard_at=0.0, now=0.0).settled
    False
    >>> census.update({"b"}, [3], voters_heard_at=SETTLE_S, now=SETTLE_S)
    EntryShares(name='a', names=('a', 'b'), count=3, settled=True)
    """

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._count = 0
        #: The highest of the counts stated last, and when.
        self._stated: tuple[int, float] = (0, float("-inf"))
        #: When a count was first stated since the entry started or its lease ended, seconds.
        self._first_stated_at: float | None = None
        #: Since when a majority of the voters has been heard all the time, seconds.
        self._majority_since: float | None = None
        self._voters_heard_at = float("-inf")

    def update(
        self,
        known: Collection[str],
        stated: Collection[int],
        *,
        voters_heard_at: float,
        now: float,
    ) -> EntryShares:
        """Return the shares, given the other entries known and the counts that live instances state.

        ``voters_heard_at`` is the last moment since which a majority of the voters has been heard that
        hears this entry.
        """
        names = tuple(sorted({*known, self._name}))
        has_lease = now - voters_heard_at <= LEASE_S
        # A process that stood still may have the heartbeats of that time before it looks at the clock.
        was_renewed = voters_heard_at - self._voters_heard_at <= LEASE_S
        self._voters_heard_at = max(self._voters_heard_at, voters_heard_at)
        if not has_lease or not was_renewed:
            self._first_stated_at = None
        if has_lease and stated and self._first_stated_at is None:
            self._first_stated_at = now
        if now - voters_heard_at > VOTER_SILENCE_S:
            self._majority_since = None
        elif self._majority_since is None:
            self._majority_since = now
        if stated:
            self._stated = (max(stated), now)
        stated_count, stated_at = self._stated
        count = max(len(names), stated_count if now - stated_at <= COUNT_RETENTION_S else 0)
        has_majority = self._majority_since is not None and now - self._majority_since >= SETTLE_S
        self._count = count if has_majority else max(count, self._count)
        return EntryShares(
            name=self._name,
            names=names,
            count=self._count,
            settled=self._first_stated_at is not None and now - self._first_stated_at >= SETTLE_S,
        )
