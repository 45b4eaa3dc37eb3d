"""How often an instance sends heartbeats to another."""

from __future__ import annotations

#: Interval between heartbeats to each instance of the own region, seconds.
NEAR_INTERVAL_S = 0.2
#: Interval to those of other regions, seconds; their news is older by the way there anyway.
FAR_INTERVAL_S = 0.4
#: Longest intervals in a large deployment, seconds; a lost heartbeat makes nobody silent.
MAX_NEAR_INTERVAL_S, MAX_FAR_INTERVAL_S = 0.5, 1.0
#: Interval between attempts to reach instances that are silent or only known by name, seconds.
SEARCH_INTERVAL_S = 0.8
#: Time after its start in which an instance looks for its seeds as often as for neighbours,
#: seconds. After a power loss all start at once, and whoever came first asked too early.
EAGER_S = 5.0
#: Number of instances above which heartbeats become rarer in proportion.
FULL_RATE_INSTANCES = 16


def beat_interval(
    *, silent: bool, near: bool, is_seed: bool, instances: int, running_s: float
) -> float:
    """Return the interval of heartbeats to one instance, seconds.

    ``silent`` says that nothing was heard of it lately, ``near`` that it is of the own region;
    ``instances`` are known in all, and the own process has been running for ``running_s``.
    """
    if silent:
        eager = is_seed and running_s < EAGER_S
        return NEAR_INTERVAL_S if eager else SEARCH_INTERVAL_S
    scale = max(1.0, instances / FULL_RATE_INSTANCES)
    if near:
        return min(MAX_NEAR_INTERVAL_S, NEAR_INTERVAL_S * scale)
    return min(MAX_FAR_INTERVAL_S, FAR_INTERVAL_S * scale)
