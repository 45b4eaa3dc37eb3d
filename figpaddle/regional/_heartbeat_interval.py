"""Intervals at which an instance sends heartbeats to another."""

from __future__ import annotations

#: Interval between heartbeats to each instance of the own region, seconds.
SAME_REGION_INTERVAL_S = 0.2
#: Interval between heartbeats to each instance of another region, seconds. It is longer because
#: the network delay between regions makes their information older anyway.
OTHER_REGION_INTERVAL_S = 0.4
#: Longest intervals in a large deployment, seconds; one lost heartbeat must not make an instance
#: count as silent.
MAX_SAME_REGION_INTERVAL_S, MAX_OTHER_REGION_INTERVAL_S = 0.5, 1.0
#: Interval between heartbeats to the relays of the zone, seconds. With the interval at which relays
#: send, the work of other entries is known within half a second.
RELAY_HEARTBEAT_INTERVAL_S = 0.2
#: Interval between heartbeats to instances that are silent or known only by name, seconds.
SEARCH_INTERVAL_S = 0.8
#: Time after its start in which an instance sends to silent seeds at the shortest interval, seconds.
#: After a power loss all instances start at once, and the first heartbeats of the earliest ones
#: reach seeds that don't listen yet.
STARTUP_SEARCH_S = 5.0
#: Number of instances above which the interval grows in proportion to their number.
FULL_RATE_INSTANCES = 16


def heartbeat_interval(
    *, silent: bool, same_region: bool, is_seed: bool, instances: int, uptime_s: float
) -> float:
    """Return the interval between heartbeats to one instance, seconds.

    ``silent`` says that no recent heartbeat came from it, ``same_region`` that it runs in the region
    of this process. ``instances`` is the number of instances known, ``uptime_s`` the time since this
    process started.
    """
    if silent:
        search_fast = is_seed and uptime_s < STARTUP_SEARCH_S
        return SAME_REGION_INTERVAL_S if search_fast else SEARCH_INTERVAL_S
    scale = max(1.0, instances / FULL_RATE_INSTANCES)
    if same_region:
        return min(MAX_SAME_REGION_INTERVAL_S, SAME_REGION_INTERVAL_S * scale)
    return min(MAX_OTHER_REGION_INTERVAL_S, OTHER_REGION_INTERVAL_S * scale)
