"""Intervals, timeouts and limits of membership."""

from __future__ import annotations

import dataclasses
import math

#: Probability that a death is found later than the bound says.
MISS_PROBABILITY = 1e-6


@dataclasses.dataclass(frozen=True, kw_only=True)
class MembershipOptions:
    """Intervals, timeouts and limits of membership; the same in all instances.

    >>> options = MembershipOptions()
    >>> options.detection_bound_s(members=9) < 21.0
    True
    """

    #: Interval of probes, seconds.
    probe_interval_s: float = 1.0
    #: Time for the answer to a probe, seconds.
    probe_timeout_s: float = 1.0
    #: Time for an indirect probe, which holds a probe, seconds.
    indirect_timeout_s: float = 2.0
    #: Instances asked to probe an instance that did not answer.
    indirect_probes: int = 3
    #: Most instances suspected here that are probed again in each interval.
    blamed_probes: int = 2
    #: Time in which a suspicion can be refuted in a group of one, seconds.
    suspicion_base_s: float = 1.5
    #: Further time for each doubling of the group, seconds.
    suspicion_per_doubling_s: float = 0.5
    #: Interval of anti-entropy with a random instance, seconds.
    sync_interval_s: float = 10.0
    #: Interval of attempts to reach an instance that is gone or was never met, seconds.
    rejoin_interval_s: float = 2.0
    #: Time for one round of anti-entropy, seconds.
    sync_timeout_s: float = 2.0
    #: Most rounds of anti-entropy in a row with one instance.
    sync_rounds: int = 64
    #: How long an instance that is gone is remembered, seconds.
    gone_retention_s: float = 7200.0
    #: Most instances remembered that are gone.
    max_gone: int = 512
    #: Most items of news in a probe.
    max_news: int = 8
    #: Most items of news in one direction of a round of anti-entropy.
    max_sync_news: int = 12
    #: A longer pause between ticks means that the process itself stood still, seconds.
    lapse_s: float = 1.0

    def suspicion_s(self, *, members: int) -> float:
        """Return the time in which a suspicion can be refuted in a group of ``members``."""
        doublings = math.log2(max(1, members))
        return self.suspicion_base_s + self.suspicion_per_doubling_s * doublings

    def detection_bound_s(self, *, members: int) -> float:
        """Return the time after which every dead member has been found dead by some member.

        Each member's probes go round the whole group in a random order. All others miss a member
        for ``rounds`` intervals with a probability of at most ``exp(-rounds)``, and never for
        two whole turns.
        """
        others = max(1, members - 1)
        rounds = min(2 * others, math.ceil(-math.log(MISS_PROBABILITY)))
        waits = self.probe_timeout_s + self.indirect_timeout_s
        return rounds * self.probe_interval_s + waits + self.suspicion_s(members=members)
