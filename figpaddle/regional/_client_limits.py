"""What a process may hold for its clients, and the log of those that are ended for others."""

from __future__ import annotations

from collections.abc import Callable

from figpaddle.http1 import ClientLimits
from figpaddle.telemetry import Log, MetricsRegistry

#: Fraction of the memory of a process that its clients may use. The rest is for the process itself, for what
#: backend servers and other instances send, and for copies that exist while a message is passed on.
CLIENT_MEMORY_FRACTION = 0.2
#: Shortest interval between log lines about ended clients, seconds.
LOG_INTERVAL_S = 1.0


def client_limits(*, memory_bytes: int | None, connections: int) -> ClientLimits:
    """Return the limits of a process with ``memory_bytes``, which has none if that isn't known.

    >>> client_limits(memory_bytes=200 << 20, connections=1200).held_bytes >> 20
    40
    """
    if memory_bytes is None:
        return ClientLimits(connections=connections)
    held_bytes = int(memory_bytes * CLIENT_MEMORY_FRACTION)
    return ClientLimits(held_bytes=held_bytes, connections=connections)


class EndedClients:
    """Counts and logs the clients that are refused or closed for others, at most once in an interval."""

    def __init__(self, *, clock: Callable[[], float], log: Log, metrics: MetricsRegistry) -> None:
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._logged_at = float("-inf")
        self._count = 0

    def note(self, short: str) -> None:
        """Note a client that was ended as ``short``, bytes or connections, were short."""
        self._metrics.count("clients_ended_total", short=short)
        self._count += 1
        now = self._clock()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._log.warning("clients_ended", short=short, since_last=self._count)
            self._logged_at, self._count = now, 0
