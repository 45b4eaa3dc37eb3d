"""Intervals, timeouts and limits of membership."""

from __future__ import annotations

import dataclasses
import math

#: Probability that a failure is detected later than ``detection_bound_s``.
MISS_PROBABILITY = 1e-6


@dataclasses.dataclass(frozen=True, kw_only=True)
class MembershipOptions:
    """Intervals, timeouts and limits of membership; all instances use the same values.

    >>> options = MembershipOptions()
    >>> options.detection_bound_s(member_count=9) < 21.0
    True
    """

    #: Interval between probes, seconds.
    probe_interval_s: float = 1.0
    #: Timeout of a direct probe, seconds.
    probe_timeout_s: float = 1.0
    #: Timeout of an indirect probe, seconds; it includes the helper's own probe.
    indirect_timeout_s: float = 2.0
    #: Number of helpers that are asked to probe an instance that did not answer.
    indirect_probes: int = 3
    #: Maximum number of extra probes per interval, sent to instances that the sender suspects.
    reprobes_per_interval: int = 2
    #: Suspicion timeout in a group of one, seconds.
    suspicion_base_s: float = 1.5
    #: Addition to the suspicion timeout for each doubling of the group, seconds.
    suspicion_per_doubling_s: float = 0.5
    #: Interval between anti-entropy exchanges with a random instance, seconds.
    sync_interval_s: float = 10.0
    #: Interval between attempts to reach an instance that is gone or was never reached, seconds.
    rejoin_interval_s: float = 2.0
    #: Timeout of one anti-entropy round, seconds.
    sync_timeout_s: float = 2.0
    #: Maximum number of consecutive anti-entropy rounds with one instance.
    sync_rounds: int = 64
    #: How long the record of an instance that is gone is kept, seconds.
    gone_retention_s: float = 7200.0
    #: Maximum number of records of instances that are gone.
    max_gone_members: int = 512
    #: Maximum number of updates in a probe or its answer.
    max_ping_updates: int = 8
    #: Maximum number of updates in one direction of an anti-entropy round.
    max_sync_updates: int = 12
    #: A longer pause between events means that this process itself was stalled, seconds.
    stall_threshold_s: float = 1.0

    def suspicion_timeout_s(self, *, member_count: int) -> float:
        """Return how long an instance can refute a suspicion before it is considered dead."""
        doublings = math.log2(max(1, member_count))
        return self.suspicion_base_s + self.suspicion_per_doubling_s * doublings

    def detection_bound_s(self, *, member_count: int) -> float:
        """Return the time within which some instance considers a dead one gone, seconds.

        Each instance probes the whole group once per cycle, in a random order. The probability
        that no other instance probes a given one for ``rounds`` intervals is at most
        ``exp(-rounds)``; after two whole cycles it is zero.
        """
        others = max(1, member_count - 1)
        rounds = min(2 * others, math.ceil(-math.log(MISS_PROBABILITY)))
        timeouts_s = self.probe_timeout_s + self.indirect_timeout_s
        return (
            rounds * self.probe_interval_s
            + timeouts_s
            + self.suspicion_timeout_s(member_count=member_count)
        )
