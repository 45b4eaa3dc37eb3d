"""Backend servers of the own region, as they announced themselves."""

from __future__ import annotations

import dataclasses
import math

from figpaddle.wire import BackendInfo, BackendState, ServiceSummary

#: An announcement holds for this long unless renewed, seconds.
ANNOUNCEMENT_TTL_S = 5.0
#: Part of a region's slots up to which it takes work from other regions.
SPILL_FILL = 0.85

#: A backend server that refused this many connections in a row gets no work until it announces
#: itself again; a single refusal may be the network's.
MAX_REFUSED = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownBackend:
    """A backend server with what the own instance knows beyond its announcement."""

    #: Latest announcement.
    info: BackendInfo
    #: When it was received, seconds.
    heard_at: float
    #: Requests that the own instance has in progress there.
    in_flight: int = 0
    #: Connections in a row that could not be opened since the latest announcement.
    refused: int = 0

    @property
    def takes_work(self) -> bool:
        """Whether new work may be sent there."""
        return self.info.state is BackendState.SERVING and self.refused < MAX_REFUSED


class BackendTable:
    """Backend servers by name.

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
        self._offered: set[str] = set()

    @property
    def backends(self) -> tuple[KnownBackend, ...]:
        """All known backend servers in the order of their names."""
        return tuple(self._known[name] for name in sorted(self._known))

    def announce(self, info: BackendInfo, *, now: float) -> bool:
        """Take in an announcement; return whether it was newer than what was known."""
        known = self._known.get(info.name)
        if known is not None and _age(info) <= _age(known.info):
            return False
        in_flight = known.in_flight if known is not None else 0
        self._known[info.name] = KnownBackend(info=info, heard_at=now, in_flight=in_flight)
        self._offered.update(info.services)
        return True

    def conflict(self, info: BackendInfo, *, now: float) -> str | None:
        """Return the backend server whose valid announcement contradicts ``info``, or None.

        One address belongs to one name, and one incarnation of a name to one address.
        """
        for known in self.backends:
            other = known.info
            same_name = other.name == info.name
            same_address = other.address == info.address
            moved = same_name and not same_address and other.incarnation == info.incarnation
            valid = now - known.heard_at <= ANNOUNCEMENT_TTL_S
            if valid and (moved or (same_address and not same_name)):
                return other.name
        return None

    def expire(self, *, now: float) -> tuple[str, ...]:
        """Forget backend servers that were not renewed in time and return their names."""
        expired = [
            name
            for name, known in self._known.items()
            if now - known.heard_at > ANNOUNCEMENT_TTL_S and known.in_flight == 0
        ]
        for name in expired:
            del self._known[name]
        return tuple(expired)

    def candidates(self, service: str, *, now: float) -> tuple[KnownBackend, ...]:
        """Return the backend servers that take new work for ``service``."""
        return tuple(
            known
            for known in self.backends
            if service in known.info.services
            and known.takes_work
            and now - known.heard_at <= ANNOUNCEMENT_TTL_S
        )

    def ever_offered(self, service: str) -> bool:
        """Return whether a backend server of the own region has ever announced ``service``."""
        return service in self._offered

    def started(self, name: str) -> None:
        """Count a request sent to the backend server ``name``."""
        self._change_in_flight(name, 1)

    def finished(self, name: str) -> None:
        """Count a request at the backend server ``name`` as ended."""
        self._change_in_flight(name, -1)

    def note_lost(self, name: str) -> None:
        """Send the backend server ``name`` no work until it announces itself again."""
        known = self._known.get(name)
        if known is not None:
            self._known[name] = dataclasses.replace(known, refused=MAX_REFUSED)

    def note_connection(self, name: str, *, opened: bool) -> None:
        """Count a connection to the backend server ``name`` that was opened or refused."""
        known = self._known.get(name)
        if known is not None:
            refused = 0 if opened else known.refused + 1
            self._known[name] = dataclasses.replace(known, refused=refused)

    def summaries(self, *, now: float) -> tuple[ServiceSummary, ...]:
        """Return the state of each service in the own region."""
        services = sorted({name for known in self.backends for name in known.info.services})
        return tuple(self.summary(service, now=now) for service in services)

    def summary(self, service: str, *, now: float) -> ServiceSummary:
        """Return the state of ``service`` in the own region."""
        serving = self.candidates(service, now=now)
        slots = sum(known.info.slots for known in serving)
        load = sum(known.info.running + known.info.waiting for known in serving)
        return ServiceSummary(
            service=service,
            backends=len(serving),
            slots=slots,
            load=load,
            room=max(0, math.ceil(slots * SPILL_FILL) - load),
        )

    def _change_in_flight(self, name: str, change: int) -> None:
        known = self._known.get(name)
        if known is not None:
            in_flight = max(0, known.in_flight + change)
            self._known[name] = dataclasses.replace(known, in_flight=in_flight)


def _age(info: BackendInfo) -> tuple[int, int]:
    return (info.incarnation, info.sequence)
