"""How the voters of a new deployment agree who they are, from seeds alone."""

from __future__ import annotations

import dataclasses

#: Shortest time from the founder's start to its proposal, seconds; slow starters are awaited.
FOUNDING_WAIT_S = 3.5
#: Time without a new candidate before the founder proposes, seconds.
FOUNDING_STABLE_S = 1.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Voters:
    """The voters of a deployment; fixed at its first start."""

    #: Names of the voters, sorted.
    names: tuple[str, ...]


class Founder:
    """Decides when the candidates that were heard make up the voters.

    Only the node with the lowest seed address decides, and makes its decision durable before it
    tells anyone, so there is one decision. A node that starts later is no voter; it passes calls
    on to those that are.

    >>> founder = Founder(name="10.0.0.1", seeds=("10.0.0.1", "10.0.0.2"), now=0.0)
    >>> founder.heard("10.0.0.2", now=0.3)
    >>> founder.decide(now=1.0), founder.decide(now=4.0).names
    (None, ('10.0.0.1', '10.0.0.2'))
    """

    def __init__(self, *, name: str, seeds: tuple[str, ...], now: float) -> None:
        self._name = name
        self._leads = bool(seeds) and name == min(seeds)
        self._started_at = now
        self._changed_at = now
        self._candidates = {name}

    @property
    def leads(self) -> bool:
        """Whether this node decides."""
        return self._leads

    def heard(self, name: str, *, now: float) -> None:
        """Note a node that takes part in the first start."""
        if name not in self._candidates:
            self._candidates.add(name)
            self._changed_at = now

    def decide(self, *, now: float) -> Voters | None:
        """Return the voters once no more are expected."""
        if not self._leads or now - self._started_at < FOUNDING_WAIT_S:
            return None
        if now - self._changed_at < FOUNDING_STABLE_S:
            return None
        return Voters(names=tuple(sorted(self._candidates)))
