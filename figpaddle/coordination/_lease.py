"""A lease on top of the replicated log, with a fencing token for each claim."""

from __future__ import annotations

import dataclasses

from figpaddle.errors import LeaseLostError


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseClaim:
    """A claim of the lease, new or renewed, to be committed to the log.

    The log orders the claims. Of several that replace the same token only the first one counts.
    """

    #: Name of the instance that claims the lease.
    holder: str
    #: Incarnation of the holder, raised at each start. It distinguishes a claim proposed before a
    #: restart from one proposed after it.
    incarnation: int
    #: Fencing token of the claim that this one replaces, 0 for none.
    replaced_token: int

    @property
    def fencing_token(self) -> int:
        """The fencing token of this claim."""
        return self.replaced_token + 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseTiming:
    """Duration of a lease and the tolerated difference between clock rates."""

    #: How long a claim is valid for its holder, seconds.
    duration_s: float = 4.0
    #: Maximum difference between the rates of two clocks, as a fraction.
    max_clock_drift: float = 0.05

    @property
    def takeover_wait_s(self) -> float:
        """How long another instance waits after a committed claim before it claims, seconds."""
        return self.duration_s * (1.0 + self.max_clock_drift)


class Lease:
    """One instance's view of a lease that at most one instance holds at any time.

    The holder measures the duration from the time just before it proposes its claim, any other
    instance from the time when it sees the claim committed. The lease therefore expires at the
    holder first, as long as the rates of the clocks differ by less than the limit; the clocks need
    not be synchronized. An instance that restarts waits the full time from its start.

    >>> one = Lease(own="one", incarnation=1, now=0.0)
    >>> claim = one.propose_claim(now=5.0)
    >>> one.apply_claim(claim, now=5.2)
    >>> one.check_held(now=8.9)
    1
    """

    def __init__(
        self,
        *,
        own: str,
        incarnation: int,
        now: float,
        last_claim: LeaseClaim | None = None,
        timing: LeaseTiming | None = None,
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._timing = timing or LeaseTiming()
        self._last_claim = last_claim
        self._claimable_at = now + self._timing.takeover_wait_s
        self._held_until: float | None = None
        self._proposed_at: dict[LeaseClaim, float] = {}

    @property
    def last_claim(self) -> LeaseClaim | None:
        """The last committed claim, or None."""
        return self._last_claim

    def propose_claim(self, *, now: float) -> LeaseClaim | None:
        """Return a claim to propose to the log, or None while another process's may be valid."""
        if not self._owns_last_claim and now < self._claimable_at:
            return None
        replaced_token = self._last_claim.fencing_token if self._last_claim is not None else 0
        claim = LeaseClaim(
            holder=self._own, incarnation=self._incarnation, replaced_token=replaced_token
        )
        self._proposed_at.setdefault(claim, now)
        return claim

    def apply_claim(self, claim: LeaseClaim, *, now: float) -> None:
        """Apply a committed claim; all instances apply the claims in the order of the log."""
        current_token = self._last_claim.fencing_token if self._last_claim is not None else 0
        if claim.replaced_token != current_token:
            return
        proposed_at = self._proposed_at.get(claim)
        self._proposed_at.clear()
        self._last_claim = claim
        self._claimable_at = now + self._timing.takeover_wait_s
        self._held_until = None
        if claim.holder == self._own and proposed_at is not None:
            self._held_until = proposed_at + self._timing.duration_s

    def check_held(self, *, now: float) -> int:
        """Return the fencing token; raises LeaseLostError unless this instance holds the lease.

        The holder calls this right before each command that it sends.
        """
        if self._last_claim is None or self._held_until is None or now >= self._held_until:
            raise LeaseLostError(
                holder=self._last_claim.holder if self._last_claim is not None else ""
            )
        return self._last_claim.fencing_token

    @property
    def _owns_last_claim(self) -> bool:
        """Whether this process made the last claim, which may have expired since."""
        return self._held_until is not None
