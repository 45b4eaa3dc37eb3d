"""Table of the backend servers of the local region, built from their announcements."""

from __future__ import annotations

import dataclasses
import math

from figpaddle.wire import BackendInfo, BackendState, ServiceSummary

#: How long an announcement is valid unless it is renewed, seconds.
ANNOUNCEMENT_TTL_S = 5.0
#: Fraction of a region's slots up to which it accepts requests from other regions.
MAX_UTILIZATION_FOR_REMOTE_REQUESTS = 0.85

#: Number of consecutive refused connections after which a backend server gets no requests until it
#: announces itself again. A single refusal may be caused by the network.
MAX_REFUSED_CONNECTIONS = 2
#: Interval at which a process tells the table that it reads announcements, seconds.
ANNOUNCEMENTS_READ_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownBackend:
    """A backend server's announcement with this instance's own observations."""

    #: Latest announcement.
    info: BackendInfo
    #: When it was received, seconds.
    received_at: float
    #: Requests of this instance that are in flight there.
    in_flight: int = 0
    #: Consecutive refused connections since the latest announcement.
    refused: int = 0

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be sent there."""
        return self.info.state is BackendState.SERVING and self.refused < MAX_REFUSED_CONNECTIONS


class BackendTable:
    """Backend servers by name.

    A process whose event loop is busy reads announcements late. Time in which it read none doesn't count as
    silence of the backend servers: ``note_reading`` is called each ``ANNOUNCEMENTS_READ_INTERVAL_S`` by a process
    that can be late.

    >>> table = BackendTable()
    >>> info = BackendInfo(name="e1", address="127.0.0.1:9", region="seoul", zone="seoul-a",
    ...                    services=("draft",), incarnation=1, sequence=1)
    >>> table.announce(info, now=0.0)
    True
    >>> [known.info.name for known in table.candidates("draft", now=1.0)]
    ['e1']
    """

    def __init__(self) -> None:
        self._known: dict[str, KnownBackend] = {}
        #: Until when each announcement is valid, without the lateness since the last reading, seconds.
        self._valid_until: dict[str, float] = {}
        self._read_at: float | None = None
        self._services_ever_announced: set[str] = set()

    @property
    def backends(self) -> tuple[KnownBackend, ...]:
        """All known backend servers, ordered by name."""
        return tuple(self._known[name] for name in sorted(self._known))

    def announce(self, info: BackendInfo, *, now: float) -> bool:
        """Record an announcement; return whether it is newer than the known one."""
        known = self._known.get(info.name)
        if known is not None and _version(info) <= _version(known.info):
            return False
        in_flight = known.in_flight if known is not None else 0
        self._known[info.name] = KnownBackend(info=info, received_at=now, in_flight=in_flight)
        self._valid_until[info.name] = now - self._late_s(now) + ANNOUNCEMENT_TTL_S
        self._services_ever_announced.update(info.services)
        return True

    def conflict(self, info: BackendInfo, *, now: float) -> str | None:
        """Return the backend server whose valid announcement contradicts ``info``, or None.

        Each address belongs to one name, and each incarnation of a name has one address.
        """
        for known in self.backends:
            other = known.info
            same_name = other.name == info.name
            same_address = other.address == info.address
            address_changed = (
                same_name and not same_address and other.incarnation == info.incarnation
            )
            if self._is_valid(known, now) and (address_changed or (same_address and not same_name)):
                return other.name
        return None

    def expire(self, *, now: float) -> tuple[str, ...]:
        """Remove backend servers whose announcements expired, and return their names.

        A backend server stays while this instance has requests in flight there.
        """
        expired = [
            name
            for name, known in self._known.items()
            if not self._is_valid(known, now) and known.in_flight == 0
        ]
        for name in expired:
            del self._known[name], self._valid_until[name]
        return tuple(expired)

    def candidates(self, service: str, *, now: float) -> tuple[KnownBackend, ...]:
        """Return the backend servers that accept new requests for ``service``."""
        return tuple(
            known
            for known in self.backends
            if service in known.info.services
            and known.accepts_requests
            and self._is_valid(known, now)
        )

    def note_reading(self, *, now: float) -> None:
        """Record that the process reads announcements; lengthens the known ones by what it is late."""
        late_s = self._late_s(now)
        self._read_at = now
        if late_s:
            for name in self._valid_until:
                self._valid_until[name] += late_s

    def ever_offered(self, service: str) -> bool:
        """Return whether a backend server of the local region has ever announced ``service``."""
        return service in self._services_ever_announced

    def started(self, name: str) -> None:
        """Count a request sent to the backend server ``name``."""
        self._change_in_flight(name, 1)

    def finished(self, name: str) -> None:
        """Count the end of a request at the backend server ``name``."""
        self._change_in_flight(name, -1)

    def note_lost(self, name: str) -> None:
        """Stop sending requests to ``name`` until it announces itself or accepts a connection."""
        known = self._known.get(name)
        if known is not None:
            self._known[name] = dataclasses.replace(known, refused=MAX_REFUSED_CONNECTIONS)

    def note_connection(self, name: str, *, opened: bool) -> None:
        """Record a successful or refused connection to the backend server ``name``."""
        known = self._known.get(name)
        if known is not None:
            refused = 0 if opened else known.refused + 1
            self._known[name] = dataclasses.replace(known, refused=refused)

    def summaries(self, *, now: float) -> tuple[ServiceSummary, ...]:
        """Return the state of each service in the local region."""
        services = sorted({name for known in self.backends for name in known.info.services})
        return tuple(self.summary(service, now=now) for service in services)

    def summary(self, service: str, *, now: float) -> ServiceSummary:
        """Return the state of ``service`` in the local region."""
        serving = self.candidates(service, now=now)
        slots = sum(known.info.slots for known in serving)
        load = sum(known.info.running + known.info.waiting for known in serving)
        return ServiceSummary(
            service=service,
            backends=len(serving),
            slots=slots,
            load=load,
            room=max(0, math.ceil(slots * MAX_UTILIZATION_FOR_REMOTE_REQUESTS) - load),
        )

    def _is_valid(self, known: KnownBackend, now: float) -> bool:
        return now - self._late_s(now) <= self._valid_until[known.info.name]

    def _late_s(self, now: float) -> float:
        """Return how much longer than usual nothing has been read, seconds."""
        if self._read_at is None:
            return 0.0
        return max(0.0, now - self._read_at - ANNOUNCEMENTS_READ_INTERVAL_S)

    def _change_in_flight(self, name: str, change: int) -> None:
        known = self._known.get(name)
        if known is not None:
            in_flight = max(0, known.in_flight + change)
            self._known[name] = dataclasses.replace(known, in_flight=in_flight)


def _version(info: BackendInfo) -> tuple[int, int]:
    return (info.incarnation, info.sequence)
