"""Into how many parts quotas are divided, and whether a voter owns one."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Mapping

#: Time after which parts follow a change of the voters although not all voters have stated that they
#: know of it, seconds.
PART_HOLD_S = 20.0
#: Time without a majority of the voters after which a voter gives its part up, seconds. It may have been
#: replaced, and the part is another's ``PART_HOLD_S`` after that.
MAX_SILENCE_S = 15.0
#: Time after which a voter that starts takes the voters that it learns for known to all, seconds.
START_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _VoterSet:
    names: frozenset[str]
    revision: int
    seen_at: float


class QuotaParts:
    """Follows the voters, so that the parts in use never add up to more than the whole.

    After a change both sets count until each voter has stated that it knows of the change: the parts are
    as small as those of the union, and a new voter has none.

    >>> parts = QuotaParts(name="c")
    >>> parts.note_voters(("a", "b"), revision=1, now=0.0)
    >>> parts.note_voters(("a", "b", "c"), revision=2, now=9.0)
    >>> parts.update({"a": 2, "b": 1}, heard_at={"a": 9.0, "b": 9.0}, now=9.0)
    >>> parts.count, parts.owns_part
    (3, False)
    >>> parts.update({"a": 2, "b": 2}, heard_at={"a": 9.1, "b": 9.1}, now=9.1)
    >>> parts.count, parts.owns_part
    (3, True)
    """

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._sets: list[_VoterSet] = []
        self._is_started = False
        self._in_contact = False

    @property
    def count(self) -> int:
        """The number of parts; 0 before the voters are known."""
        return len(self._union())

    @property
    def owns_part(self) -> bool:
        """Whether this voter may use its part now."""
        is_member = bool(self._sets) and all(self._name in item.names for item in self._sets)
        return is_member and self._is_started and self._in_contact

    def note_voters(self, names: Collection[str], *, revision: int, now: float) -> None:
        """Note the voters of a revision, those of both sets during a change."""
        members = frozenset(names)
        if members and (not self._sets or self._sets[-1].names != members):
            self._sets.append(_VoterSet(names=members, revision=revision, seen_at=now))

    def update(
        self, revisions: Mapping[str, int], *, heard_at: Mapping[str, float], now: float
    ) -> None:
        """Note the revision that each other instance states, and when each was last heard."""
        while len(self._sets) > 1 and self._is_replaced(self._sets[0], revisions, now=now):
            self._sets.pop(0)
        if not self._sets:
            return
        self._is_started = self._is_started or now - self._sets[0].seen_at >= START_S
        if len(self._sets) > 1:
            # Another set followed, so this one isn't taken for known without the others' word.
            self._is_started = True
        voters = self._sets[-1].names
        heard = sum(
            name == self._name or now - heard_at.get(name, float("-inf")) <= MAX_SILENCE_S
            for name in voters
        )
        self._in_contact = 2 * heard > len(voters)

    def _is_replaced(self, old: _VoterSet, revisions: Mapping[str, int], *, now: float) -> bool:
        successor = self._sets[1]
        if now - successor.seen_at >= PART_HOLD_S:
            return True
        others = (old.names | successor.names) - {self._name}
        return all(revisions.get(name, -1) >= successor.revision for name in others)

    def _union(self) -> frozenset[str]:
        return frozenset().union(*(item.names for item in self._sets))
