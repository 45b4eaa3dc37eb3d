"""Determines the voters of a new deployment, which begins with its seeds."""

from __future__ import annotations

from collections.abc import Collection

#: Minimum time from the start of the deciding node to its decision while seeds are missing, seconds.
#: It lets nodes that start slowly become candidates.
MIN_BOOTSTRAP_S = 3.5
#: Time without a new candidate before the decision, seconds.
STABLE_CANDIDATES_S = 1.5


class VoterBootstrap:
    """Proposes the voters of a new deployment to its seeds.

    The seeds vote on the first set of voters, so that it survives whatever most of them survive.
    Several of them may propose one, and the register chooses one; usually only the lowest live
    one does.

    >>> bootstrap = VoterBootstrap(name="10.0.0.1", seeds=("10.0.0.1", "10.0.0.2"), now=0.0)
    >>> bootstrap.add_candidate("10.0.0.2", now=0.3)
    >>> bootstrap.decide(live=("10.0.0.2",), now=1.0)
    >>> bootstrap.decide(live=("10.0.0.2",), now=4.0)
    ('10.0.0.1', '10.0.0.2')
    """

    def __init__(self, *, name: str, seeds: tuple[str, ...], now: float) -> None:
        self._name = name
        self._seeds = seeds
        self._started_at = now
        self._last_added_at = now
        self._candidates = {name}

    def add_candidate(self, name: str, *, now: float) -> None:
        """Add a node that takes part in the first start as a candidate."""
        if name not in self._candidates:
            self._candidates.add(name)
            self._last_added_at = now

    def decide(self, *, live: Collection[str], now: float) -> tuple[str, ...] | None:
        """Return the voters to propose once no more candidates are expected, else None.

        ``live`` are the other nodes that run and take part in the first start.
        """
        if self._name not in self._seeds:
            return None
        # The deciding node may be the last one that starts, and others join later by a change of voters.
        has_all_seeds = {self._name, *live}.issuperset(self._seeds)
        if not has_all_seeds and now - self._started_at < MIN_BOOTSTRAP_S:
            return None
        if now - self._last_added_at < STABLE_CANDIDATES_S:
            return None
        if any(name < self._name for name in live if name in self._seeds):
            return None
        return tuple(sorted(self._candidates.intersection({self._name, *live})))
