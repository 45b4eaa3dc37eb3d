"""Determines the voters of a new deployment from the configured seeds."""

from __future__ import annotations

import dataclasses

#: Minimum time from the start of the deciding node to its decision, seconds. It lets nodes that
#: start slowly become candidates.
MIN_BOOTSTRAP_S = 3.5
#: Time without a new candidate before the decision, seconds.
STABLE_CANDIDATES_S = 1.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Voters:
    """The voters of a deployment, which are fixed at its first start."""

    #: Names of the voters, sorted.
    names: tuple[str, ...]


class VoterBootstrap:
    """Decides which nodes are the voters of a new deployment, and when.

    Only the node with the lowest seed address decides. Its caller makes the decision durable
    before any other node learns of it, so that there is only one. A node that starts later is no
    voter; it forwards calls to the voters.

    >>> bootstrap = VoterBootstrap(name="10.0.0.1", seeds=("10.0.0.1", "10.0.0.2"), now=0.0)
    >>> bootstrap.add_candidate("10.0.0.2", now=0.3)
    >>> bootstrap.decide(now=1.0), bootstrap.decide(now=4.0).names
    (None, ('10.0.0.1', '10.0.0.2'))
    """

    def __init__(self, *, name: str, seeds: tuple[str, ...], now: float) -> None:
        self._name = name
        self._is_decider = bool(seeds) and name == min(seeds)
        self._started_at = now
        self._last_added_at = now
        self._candidates = {name}

    @property
    def is_decider(self) -> bool:
        """Whether this node decides."""
        return self._is_decider

    def add_candidate(self, name: str, *, now: float) -> None:
        """Add a node that takes part in the first start as a candidate."""
        if name not in self._candidates:
            self._candidates.add(name)
            self._last_added_at = now

    def decide(self, *, now: float) -> Voters | None:
        """Return the voters once no more candidates are expected, else None."""
        if not self._is_decider or now - self._started_at < MIN_BOOTSTRAP_S:
            return None
        if now - self._last_added_at < STABLE_CANDIDATES_S:
            return None
        return Voters(names=tuple(sorted(self._candidates)))
