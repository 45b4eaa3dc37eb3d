"""The account of one engine at the entry that keeps it."""

from __future__ import annotations

import dataclasses
import itertools
import math
import statistics

from figpaddle.engine_leases._division import divide
from figpaddle.engine_leases._lease import Allowance, EngineLease
from figpaddle.engine_leases._pace import (
    MAX_READING_FRACTION,
    MIN_READING_FRACTION,
    EngineUse,
    PaceEstimate,
    mean_gap_s,
)

#: Time for which a lease is granted, and for which a statement of use counts, seconds; two lost questions in a row
#: leave a lease in force.
LEASE_S = ACTIVE_S = 1.5
#: Multiple of its part of the demand up to which an entry gets of each engine: engines differ in what they have left.
ASKED_FACTOR = 1.5
#: Time constant of the measured reading, seconds; about that of the measured time between events, to which it belongs.
READING_S = 2.0
#: Time in which the number of streams may approach the one that fits, seconds.
APPROACH_S = 0.5
#: Time after the account begins in which leases of an earlier one may be in force, seconds.
SETTLE_S = LEASE_S


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Stated:
    use: EngineUse
    at: float


class EngineAccount:
    """Divides the reading time and the streams of one engine among the entries that use it.

    Classes are served in their order: a less urgent one gets what the more urgent ones leave, and never less than its
    least part. The leases in force for one of the less urgent classes together stay within that, as long as no answer
    is lost.

    >>> account = EngineAccount(slots=64, prompt_per_s=80_000.0, now=0.0)
    >>> use = EngineUse(prompt_per_s=(1000.0, 90_000.0), starts_per_s=(2.0, 5.0))
    >>> lease = account.grant("entry", use, now=2.0)
    >>> [round(rate) for rate in lease.prompt_per_s], lease.life_s
    ([72000, 71000], 1.5)
    """

    def __init__(self, *, slots: int, prompt_per_s: float, now: float) -> None:
        self._slots = slots
        self._speed = prompt_per_s
        self._speeds: dict[str, float] = {}
        # Moving average of the fraction of the time in which prompts are read, and when it was updated.
        self._reading = 0.0
        self._reading_at = now
        self._stated: dict[str, _Stated] = {}
        self._leases: dict[str, tuple[EngineLease, float]] = {}
        self._settled_at = now + SETTLE_S
        # What entries leave unused, for single requests beyond their leases.
        self._unused = Allowance()

    def note_capacity(self, entry: str, *, slots: int, prompt_per_s: float) -> None:
        """Record what the engine does by an entry: requests at once, and prompt tokens a second.

        The median of the speeds counts, as an entry that seldom uses the engine knows little of it.
        """
        self._slots = slots
        self._speeds[entry] = prompt_per_s
        self._speed = statistics.median(self._speeds.values())

    def grant(self, entry: str, use: EngineUse, *, now: float) -> EngineLease:
        """Return the lease of an entry that states its use and asks for one."""
        self._expire(now)
        self._stated[entry] = _Stated(use=use, at=now)
        kept = math.exp(-max(0.0, now - self._reading_at) / READING_S)
        self._reading = self._reading * kept + self._reading_of(0) * (1.0 - kept)
        self._reading_at = now
        classes = max(len(stated.use.prompt_per_s) for stated in self._stated.values())
        lease = EngineLease(
            prompt_per_s=self._prompt_rates(entry, classes, is_settled=now >= self._settled_at),
            starts_per_s=self._start_rates(entry, classes),
            life_s=LEASE_S,
        )
        self._leases[entry] = (lease, now + LEASE_S)
        return lease

    def lend(self, urgency_class: int, *, prompt_tokens: float, now: float) -> bool:
        """Return whether one request may begin beyond the leases, as entries leave reading time unused.

        The next loan waits until that time has made up for the request, whatever it costs.
        """
        self._expire(now)
        pace = self._pace()
        fraction = pace.reading_fraction(owed_s=self._owed_s(urgency_class))
        most = pace.most_streams(
            owed_s=self._owed_s(urgency_class),
            slots=self._slots,
            yielding=self._reading_of(urgency_class + 1),
        )
        is_settled = now >= self._settled_at
        # Prompts come in lumps: what is read just now is often less than what the leases let entries read.
        reading = max(self._reading, self._reading_of(0))
        unused = fraction - reading if is_settled and pace.streams < most else 0.0
        if self._unused.level(max(0.0, unused) * self._speed, now=now) <= 0.0:
            return False
        self._unused.spend(prompt_tokens)
        return True

    def pace(self, *, now: float) -> PaceEstimate:
        """Return the pace of the engine by what entries state."""
        self._expire(now)
        return self._pace()

    def wanted_per_s(self, *, now: float) -> tuple[float, ...]:
        """Return the prompt tokens a second that entries would have read, by class."""
        self._expire(now)
        classes = max((len(item.use.prompt_per_s) for item in self._stated.values()), default=0)
        return tuple(
            sum(self._wanted(urgency_class, "prompt_per_s").values())
            for urgency_class in range(classes)
        )

    def granted_per_s(self, *, now: float) -> tuple[float, ...]:
        """Return the prompt tokens a second that the leases in force allow, by class."""
        self._expire(now)
        rates = [lease.prompt_per_s for lease, _ in self._leases.values()]
        return tuple(sum(column) for column in itertools.zip_longest(*rates, fillvalue=0.0))

    def _pace(self) -> PaceEstimate:
        uses = [stated.use for stated in self._stated.values()]
        return PaceEstimate(
            gap_s=mean_gap_s(uses),
            streams=sum(use.streams for use in uses),
            reading=min(MAX_READING_FRACTION, self._reading),
        )

    def _prompt_rates(self, entry: str, classes: int, *, is_settled: bool) -> tuple[float, ...]:
        """Return the prompt tokens a second that an entry may have read, by class.

        An account that has just begun grants the least to less urgent classes: an earlier one, at an entry that
        others believed to keep it, may have granted the rest.
        """
        pace = self._pace()
        rates = []
        taken = 0.0
        for urgency_class in range(classes):
            wanted = self._wanted(urgency_class, "prompt_per_s")
            fraction = MAX_READING_FRACTION
            if urgency_class > 0:
                owed_s = self._owed_s(urgency_class)
                fraction = pace.reading_fraction(owed_s=owed_s) if is_settled else 0.0
            least = MIN_READING_FRACTION * self._speed
            left = max(least, fraction * self._speed - taken)
            asked = {name: ASKED_FACTOR * rate for name, rate in wanted.items()}
            part = divide(left, asked)[entry]
            kept = left if urgency_class == 0 else least
            rates.append(min(part, self._unleased(entry, urgency_class, left, kept=kept)))
            taken += min(left, sum(wanted.values()))
        return tuple(rates)

    def _start_rates(self, entry: str, classes: int) -> tuple[float, ...]:
        """Return the streams a second that an entry may begin, by class."""
        pace = self._pace()
        stream_s = max(0.1, self._mean_stream_s())
        rates = []
        taken = 0.0
        for urgency_class in range(classes):
            most = pace.most_streams(
                owed_s=self._owed_s(urgency_class),
                slots=self._slots,
                yielding=self._reading_of(urgency_class + 1),
            )
            per_s = max(0.0, pace.streams / stream_s + (most - pace.streams) / APPROACH_S)
            wanted = self._wanted(urgency_class, "starts_per_s")
            least = MIN_READING_FRACTION * per_s if urgency_class > 0 else 0.0
            left = max(least, per_s - taken)
            asked = {name: ASKED_FACTOR * rate for name, rate in wanted.items()}
            rates.append(divide(left, asked)[entry])
            taken += min(left, sum(wanted.values()))
        return tuple(rates)

    def _unleased(self, entry: str, urgency_class: int, capacity: float, *, kept: float) -> float:
        """Return what the leases of other entries for a class leave of its capacity.

        It isn't less than an equal part of what the class keeps. Less urgent classes keep their least part only,
        and that once: each of many entries that join would add an equal part of its own.
        """
        leased = sum(
            lease.prompt_per_s[urgency_class]
            for name, (lease, _) in self._leases.items()
            if name != entry and urgency_class < len(lease.prompt_per_s)
        )
        equal_part = kept / max(1, len(self._stated))
        if urgency_class > 0:
            equal_part = min(equal_part, max(0.0, capacity + kept - leased))
        return max(equal_part, capacity - leased)

    def _wanted(self, urgency_class: int, resource: str) -> dict[str, float]:
        wanted = {}
        for name, stated in self._stated.items():
            rates: tuple[float, ...] = getattr(stated.use, resource)
            wanted[name] = rates[urgency_class] if urgency_class < len(rates) else 0.0
        return wanted

    def _owed_s(self, urgency_class: int) -> float:
        """Return the time between events that streams of a class and of more urgent ones are owed, seconds."""
        return min(
            (
                owed_s
                for stated in self._stated.values()
                for owed_s in stated.use.owed_s[: urgency_class + 1]
            ),
            default=math.inf,
        )

    def _mean_stream_s(self) -> float:
        known = [stated.use.stream_s for stated in self._stated.values()]
        return sum(known) / len(known)

    def _reading_of(self, first_class: int) -> float:
        """Return the fraction of the time in which prompts of a class and of less urgent ones are read."""
        tokens_per_s = sum(
            sum(stated.use.begun_per_s[first_class:]) for stated in self._stated.values()
        )
        return tokens_per_s / self._speed

    def _expire(self, now: float) -> None:
        self._stated = {
            name: stated for name, stated in self._stated.items() if now - stated.at <= ACTIVE_S
        }
        self._leases = {name: item for name, item in self._leases.items() if item[1] > now}
        self._speeds = {name: speed for name, speed in self._speeds.items() if name in self._stated}
