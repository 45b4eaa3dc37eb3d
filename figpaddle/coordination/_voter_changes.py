"""Decides when an instance that is gone is replaced as a voter, and which instances are added."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from figpaddle.coordination._voter_set import MAX_VOTERS

#: Silence after which a voter may be replaced, seconds. A voter that was replaced although it is only
#: slow or cut off comes back as a candidate, so that an early replacement costs just another change.
SILENT_VOTER_S = 2.0
#: Silence up to which a voter counts as present, seconds; several heartbeats.
PRESENT_S = 1.2


class VoterChanges:
    """Replaces silent voters by candidates, and adds candidates while all voters are present.

    A candidate never joins while a voter is missing without taking its place. A machine that is
    replaced again and again therefore leaves no voters behind that count and never answer.

    >>> changes = VoterChanges(started_at=0.0)
    >>> heard_at = {"a": 9.9, "b": 9.8, "c": 7.0, "d": 9.9}
    >>> changes.next_voters(("a", "b", "c"), candidates=("d",), heard_at=heard_at, now=10.0)
    ('a', 'b', 'd')
    """

    def __init__(self, *, started_at: float) -> None:
        self._started_at = started_at

    def silent_voters(
        self, voters: Collection[str], *, heard_at: Mapping[str, float], now: float
    ) -> list[str]:
        """Return the voters that may be replaced, the one that is silent for longest first."""
        silences = {name: now - heard_at.get(name, self._started_at) for name in voters}
        silent = [name for name, silence in silences.items() if silence >= SILENT_VOTER_S]
        return sorted(silent, key=lambda name: (-silences[name], name))

    def next_voters(
        self,
        voters: tuple[str, ...],
        *,
        candidates: Collection[str],
        heard_at: Mapping[str, float],
        now: float,
    ) -> tuple[str, ...] | None:
        """Return the voters to change to, sorted, or None while nothing is to change.

        ``heard_at`` gives when each instance was last heard, seconds; ``candidates`` are live
        instances that are no voters and could vote at once.
        """
        waiting = sorted(set(candidates) - set(voters))
        silent = self.silent_voters(voters, heard_at=heard_at, now=now)
        removed = silent[: len(waiting)]
        added = waiting[: len(removed)]
        if all(now - heard_at.get(name, float("-inf")) <= PRESENT_S for name in voters):
            added = waiting[: max(0, MAX_VOTERS - len(voters))]
        if not added:
            return None
        return tuple(sorted((set(voters) - set(removed)) | set(added)))
