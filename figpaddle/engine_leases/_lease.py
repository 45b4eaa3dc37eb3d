"""What an entry may begin at one engine, and what it has begun."""

from __future__ import annotations

import dataclasses

#: Time for which an unused rate gathers, seconds. More would let entries that were idle begin at once together.
GATHERING_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineLease:
    """Rates that one entry may use at one engine, by class from 0, the most urgent."""

    #: Prompt tokens a second.
    prompt_per_s: tuple[float, ...]
    #: Streams a second that may begin.
    starts_per_s: tuple[float, ...]
    #: Time from the question until it ends, seconds.
    life_s: float

    @property
    def classes(self) -> int:
        """Number of classes for which it has both rates."""
        return min(len(self.prompt_per_s), len(self.starts_per_s))


class Allowance:
    """A rate that may be used up to what has gathered, and beyond that by the last request."""

    def __init__(self) -> None:
        self._level = 0.0
        self._filled_at: float | None = None

    def level(self, per_s: float, *, now: float) -> float:
        """Return what has gathered at a rate; negative while the last request isn't made up for."""
        if self._filled_at is None:
            self._level = per_s * GATHERING_S
        else:
            gained = per_s * max(0.0, now - self._filled_at)
            self._level = min(per_s * GATHERING_S, self._level + gained)
        self._filled_at = now
        return self._level

    def spend(self, amount: float) -> None:
        """Take an amount, beyond what has gathered too."""
        self._level -= amount

    def lend(self, amount: float) -> None:
        """Add an amount for one request that may begin now."""
        self._level = max(0.0, self._level) + amount


class HeldLease:
    """A lease at the entry that holds it.

    A request may begin while anything has gathered, whatever it costs, and the next one waits until that is made
    up for. So a large request is begun no later than a small one.

    >>> held = HeldLease(classes=2)
    >>> held.renew(EngineLease(prompt_per_s=(100.0, 10.0), starts_per_s=(9.0, 9.0), life_s=1.0), asked_at=0.0)
    >>> held.may_begin(1, now=0.0), held.may_begin(0, now=2.0)
    (True, False)
    >>> held.spend(1, prompt_tokens=50.0, now=0.0)
    >>> held.may_begin(1, now=0.9), held.is_held(now=0.9), held.is_held(now=1.1)
    (False, True, False)
    """

    def __init__(self, *, classes: int) -> None:
        self._lease: EngineLease | None = None
        self._expires_at = float("-inf")
        self._prompts = [Allowance() for _ in range(classes)]
        self._starts = [Allowance() for _ in range(classes)]

    @property
    def lease(self) -> EngineLease | None:
        """The last lease."""
        return self._lease

    @property
    def expires_at(self) -> float:
        """When the lease ends, seconds of the caller's clock; minus infinity without one."""
        return self._expires_at

    def is_held(self, *, now: float) -> bool:
        """Return whether the lease hasn't ended."""
        return now < self._expires_at

    def renew(self, lease: EngineLease, *, asked_at: float) -> None:
        """Take a lease, which counts from when it was asked for."""
        if asked_at + lease.life_s > self._expires_at:
            self._lease, self._expires_at = lease, asked_at + lease.life_s

    def may_begin(self, urgency_class: int, *, now: float) -> bool:
        """Return whether a request of a class may begin at the engine."""
        if self._lease is None or not self.is_held(now=now):
            return False
        prompts, starts = self._levels(self._lease, urgency_class, now=now)
        return prompts > 0.0 and starts > 0.0

    def spend(self, urgency_class: int, *, prompt_tokens: float, now: float) -> None:
        """Count a request that begins."""
        if self._lease is not None:
            self._levels(self._lease, urgency_class, now=now)
        self._prompts[urgency_class].spend(prompt_tokens)
        self._starts[urgency_class].spend(1.0)

    def lend(self, urgency_class: int, *, prompt_tokens: float, now: float) -> None:
        """Let one request begin beyond the lease."""
        if self._lease is not None:
            self._levels(self._lease, urgency_class, now=now)
        self._prompts[urgency_class].lend(max(1.0, prompt_tokens))
        self._starts[urgency_class].lend(1.0)

    def _levels(self, lease: EngineLease, urgency_class: int, *, now: float) -> tuple[float, float]:
        return (
            self._prompts[urgency_class].level(lease.prompt_per_s[urgency_class], now=now),
            self._starts[urgency_class].level(lease.starts_per_s[urgency_class], now=now),
        )
