"""What the exchange of leases needs of an entry."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from figpaddle.engine_leases import AskedEngine, LeaseSurroundings
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._placer import Placer
from figpaddle.regional._settings import ProcessSettings
from figpaddle.wire import Message


class EntryLeaseSurroundings(LeaseSurroundings):
    """Connects the exchange of leases with the other entries and with placement."""

    def __init__(self, *, settings: ProcessSettings, mesh: Mesh, placer: Placer) -> None:
        self._settings = settings
        self._mesh = mesh
        self._placer = placer

    @property
    def name(self) -> str:
        """Name of this entry."""
        return self._settings.ip

    @property
    def incarnation(self) -> int:
        """Start of its process, milliseconds of Unix time."""
        return self._mesh.incarnation

    def send(self, message: Message, name: str) -> None:
        """Send a datagram to another entry."""
        self._mesh.send_datagrams(message, [name])

    def expect_reply(self, within_s: float) -> Callable[[], object]:
        """Have datagrams read soon while a request waits for one; return what ends that."""
        return self._mesh.expect_reply(within_s)

    def on_message(self, kind: type[Message], handler: Callable[[Message], None]) -> None:
        """Have a handler called for each message of a type."""
        self._mesh.on_datagram(kind, handler)

    def keepers(self) -> Mapping[str, str]:
        """Return the zones of the live entries of the region that keep accounts, by name."""
        zones = {
            heartbeat.name: heartbeat.zone
            for heartbeat in self._mesh.live_entries(self._settings.region)
            if heartbeat.leases_engines and not heartbeat.cut_off and not heartbeat.stopping_s
        }
        return {**zones, self._settings.ip: self._settings.zone}

    def count_entries(self) -> int:
        """Return the number of entries that share limits in the region, silent ones included."""
        return self._placer.count_sharers()

    def classes(self) -> Mapping[str, int]:
        """Return the number of priorities of each service whose engines are leased."""
        return self._placer.leased_classes()

    def asked_engines(self, service: str) -> list[AskedEngine]:
        """Return the engines of a service that this entry uses in the first place."""
        return self._placer.leased_engines(service)

    def engine_names(self) -> list[str]:
        """Return the names of all engines of the region."""
        return list(self._placer.backend_addresses())

    def zone_of(self, engine: str) -> str | None:
        """Return the zone of an engine; None for one that isn't known."""
        backend = self._placer.fleet.get(engine)
        return None if backend is None else backend.record.zone
