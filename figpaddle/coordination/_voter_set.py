"""The voters of the register, and which of them have to agree while the set of voters changes."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from figpaddle.coordination._register import Promise, majority, newest_value, recovery_quorum

#: Largest number of voters; more make each round slower and outlast no more realistic losses.
MAX_VOTERS = 23


@dataclasses.dataclass(frozen=True, kw_only=True)
class VoterSet:
    """The voters in whose majorities a value of the register counts.

    The set is part of the value. It changes in two rounds: the first one writes a value with the
    new and the previous voters, which needs a majority of each; the second one, which may only
    begin once that value was chosen, drops the previous ones.

    >>> voters = VoterSet(names=("a", "b", "c"))
    >>> changing = VoterSet(names=("a", "b", "d"), previous=voters.names)
    >>> changing.is_quorum(("a", "d")), changing.is_quorum(("a", "b"))
    (False, True)
    """

    #: Names of the voters, sorted.
    names: tuple[str, ...]
    #: Names before the change in progress; empty if there is none.
    previous: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """All voters, the previous ones included, sorted."""
        return tuple(sorted({*self.names, *self.previous}))

    @property
    def settled_names(self) -> tuple[str, ...]:
        """The last voters that are certainly in force: the previous ones during a change."""
        return self.previous or self.names

    def is_quorum(self, granted: Iterable[str]) -> bool:
        """Return whether ``granted`` include a majority of the voters and of the previous ones."""
        names = set(granted)
        return all(len(names.intersection(group)) >= majority(len(group)) for group in self._groups)

    def is_recovery_quorum(self, granted: Iterable[str], *, lost: str) -> bool:
        """Return whether ``lost``, whose disk is empty, may vote after it has read from ``granted``.

        Each majority that included ``lost`` must include one more of them. For an instance that is no
        voter any majority does.
        """
        names = set(granted) - {lost}
        return all(
            len(names.intersection(group))
            >= (recovery_quorum(len(group)) if lost in group else majority(len(group)))
            for group in self._groups
        )

    @property
    def _groups(self) -> tuple[tuple[str, ...], ...]:
        return (self.names, self.previous) if self.previous else (self.names,)


def is_chosen(promises: tuple[Promise, ...], *, voters: VoterSet) -> bool:
    """Return whether a quorum of ``voters`` has accepted the newest value among ``promises``.

    ``voters`` is the set that this value names. Such a value is chosen: it can be returned by a read
    without another accept phase.
    """
    newest = newest_value(promises).accepted
    return voters.is_quorum(promise.voter for promise in promises if promise.accepted == newest)
