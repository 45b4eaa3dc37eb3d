"""A lease on top of the replicated log, with a fencing number for each claim."""

from __future__ import annotations

import dataclasses

from figpaddle.errors import LeaseLostError


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseClaim:
    """A committed claim of the lease, new or renewed.

    The log puts claims in one order; of two that rest on the same number the first one wins.
    """

    #: Name of the instance that claims.
    holder: str
    #: Number of the holder's run, raised at each start, so that a claim proposed before a restart
    #: is never taken for one proposed after it.
    incarnation: int
    #: Fencing number of the lease that the claim replaces.
    replaces: int

    @property
    def fencing(self) -> int:
        """The fencing number of this claim."""
        return self.replaces + 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseTiming:
    """Length of a lease and how far clocks may differ in their rates."""

    #: How long a claim holds, seconds.
    duration_s: float = 4.0
    #: Largest difference in the rates of two clocks over the duration, as a share of it.
    drift: float = 0.05

    @property
    def wait_out_s(self) -> float:
        """How long another instance waits after it has seen a claim, seconds."""
        return self.duration_s * (1.0 + self.drift)


class Lease:
    """One instance's view of a lease that at most one instance holds at a time.

    The holder counts from the moment before it proposed its claim, any other from the moment
    when it saw the claim committed. The holder's time thus ends first, whatever the clocks show,
    as long as their rates differ by less than the bound. An instance that restarts counts anew
    from its start.

    >>> one = Lease(own="one", incarnation=1, now=0.0)
    >>> claim = one.claim(now=5.0)
    >>> one.committed(claim, now=5.2)
    >>> one.check(now=8.9)
    1
    """

    def __init__(
        self,
        *,
        own: str,
        incarnation: int,
        now: float,
        last: LeaseClaim | None = None,
        timing: LeaseTiming | None = None,
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._timing = timing or LeaseTiming()
        self._last = last
        self._free_at = now + self._timing.wait_out_s
        self._held_until: float | None = None
        self._claimed: dict[LeaseClaim, float] = {}

    @property
    def last(self) -> LeaseClaim | None:
        """The claim committed last, or None."""
        return self._last

    def claim(self, *, now: float) -> LeaseClaim | None:
        """Return the claim to propose to the log, or None while another's may still hold."""
        if not self._is_holder and now < self._free_at:
            return None
        replaces = self._last.fencing if self._last is not None else 0
        claim = LeaseClaim(holder=self._own, incarnation=self._incarnation, replaces=replaces)
        self._claimed.setdefault(claim, now)
        return claim

    def committed(self, claim: LeaseClaim, *, now: float) -> None:
        """Take in a claim from the log; every instance does so in the same order."""
        current = self._last.fencing if self._last is not None else 0
        if claim.replaces != current:
            return
        begun = self._claimed.get(claim)
        self._claimed.clear()
        self._last = claim
        self._free_at = now + self._timing.wait_out_s
        self._held_until = None
        if claim.holder == self._own and begun is not None:
            self._held_until = begun + self._timing.duration_s

    def check(self, *, now: float) -> int:
        """Return the fencing number, right before each send; raises LeaseLostError."""
        if self._last is None or self._held_until is None or now >= self._held_until:
            raise LeaseLostError(holder=self._last.holder if self._last is not None else "")
        return self._last.fencing

    @property
    def _is_holder(self) -> bool:
        return self._held_until is not None
