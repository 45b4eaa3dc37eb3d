"""The backend servers of a deployment as known to one instance."""

from __future__ import annotations

import copy
import dataclasses
import enum
import math

from figpaddle.routing._unsettled_attempts import Process
from figpaddle.wire import (
    BackendRecord,
    BackendState,
    number,
    plain_text,
    port_of,
    whole_number,
)

#: A backend server without a newer record for this long gets no requests, seconds. Far longer than
#: the heartbeat interval, because a backend server that has lost contact with the control processes
#: may still serve its own region.
REPORT_TIMEOUT_S = 45.0
#: Age at which a record is removed, seconds.
RECORD_TTL_S = 180.0
#: Time after a loss in which a process that goes on after all has reported, seconds; longer than the
#: interval of its heartbeats.
SILENCE_AFTER_LOSS_S = 2.5
#: First backoff after a failed connection to a backend server, seconds.
INITIAL_BACKOFF_S = 0.4
#: Longest backoff, seconds.
MAX_BACKOFF_S = 2.0
#: Consecutive failures to reach a backend server after which it counts as one that has to recover; a single
#: one may be that of a connection.
FAILURES_BEFORE_RECOVERY = 2
#: Longest pause that a backend server may ask for, seconds; a malformed value must not exclude it for
#: good.
MAX_PAUSE_S = 300.0
#: Number of consecutive connections closed without a byte of a response after which a backend
#: server is backed off. A single one may be a connection reset in the network.
DISCONNECTS_BEFORE_BACKOFF = 3


class RecordChange(enum.Enum):
    """What a record changed."""

    #: The record is not newer than the known one.
    NOTHING = "nothing"
    #: The record is newer and repeats the known state.
    CONFIRMED = "confirmed"
    #: The backend server was unknown or has restarted.
    STARTED = "started"
    #: Its state or number of slots changed.
    STATE = "state"


@dataclasses.dataclass(kw_only=True, slots=True)
class FleetBackend:
    """One backend server: its latest record and the local observations."""

    #: Latest record.
    record: BackendRecord
    #: When the backend server reported it, seconds.
    reported_at: float
    #: End of the backoff, seconds.
    backoff_until: float = 0.0
    #: End of the pause that it asked for, seconds.
    paused_until: float = 0.0
    #: When it last responded to a request, seconds.
    reached_at: float = float("-inf")
    #: Consecutive failures to reach it.
    consecutive_failures: int = 0
    #: Consecutive connections that were closed without a byte of a response.
    consecutive_disconnects: int = 0
    #: End of its warm-up according to its latest report, seconds.
    cold_until: float = 0.0
    #: Reports up to this time don't tell whether it is cold now, seconds.
    cold_state_unknown_until: float = float("-inf")
    #: When it was last asked itself whether it is cold and answered, and the end of its warm-up by that
    #: answer, seconds. A heartbeat that arrives late may be older.
    asked_at: float = float("-inf")
    cold_by_answer_until: float = 0.0

    @property
    def name(self) -> str:
        """Name of this incarnation of the backend server."""
        return self.record.name

    @property
    def address(self) -> str:
        """Address that it listens on."""
        return self.record.address

    @property
    def warmth_known_at(self) -> float:
        """The time for which it has last told whether it is cold, seconds."""
        return max(self.reported_at, self.asked_at)

    def is_warming_up(self, *, now: float) -> bool:
        """Return whether it is cold by its own word."""
        return now < max(self.cold_until, self.cold_by_answer_until)

    def recovers_at(self, *, now: float) -> float | None:
        """Return when it may be used again after failures or a pause; None if it is in use.

        A single failure to reach it doesn't count.
        """
        backoff_until = self.backoff_until
        if self.consecutive_failures < FAILURES_BEFORE_RECOVERY:
            backoff_until = now
        recovers_at = max(backoff_until, self.paused_until)
        return recovers_at if recovers_at > now else None

    def may_be_cold(self, *, now: float, max_age_s: float = float("inf")) -> bool:
        """Return whether it is cold, or may have become cold since it last told.

        What it told counts for ``max_age_s``.
        """
        return (
            self.is_warming_up(now=now)
            or self.warmth_known_at <= self.cold_state_unknown_until
            or now - self.warmth_known_at > max_age_s
        )


class Fleet:
    """Backend servers by name.

    Their records are ordered by start time and sequence number rather than by arrival. An address
    belongs to the incarnation that started last. Within one incarnation, the state only moves
    forward: a draining backend server never becomes ready again, and one that left stays gone.
    """

    def __init__(self) -> None:
        self._backends_by_name: dict[str, FleetBackend] = {}
        self._name_by_address: dict[str, str] = {}
        self._newest_report_at = float("-inf")
        # When each process was last noticed to have crashed.
        self._lost_at: dict[Process, float] = {}
        # Service, zone and version of processes whose name a later one took, and until when they are kept.
        self._earlier_versions: dict[tuple[str, str, str], float] = {}

    @property
    def newest_report_at(self) -> float:
        """The time of the newest report of any backend server, seconds."""
        return self._newest_report_at

    def apply(self, record: BackendRecord, *, now: float) -> RecordChange:
        """Apply a record; return what it changed.

        A record with a value out of bounds, which an earlier build may pass on, changes nothing.
        """
        current = self._backends_by_name.get(record.name)
        texts_known = current is not None and _texts(record) == _texts(current.record)
        if not _has_numbers_within_bounds(record) or not (
            texts_known or _has_texts_within_bounds(record)
        ):
            return RecordChange.NOTHING
        address_owner = self._backends_by_name.get(self._name_by_address.get(record.address, ""))
        if (
            address_owner is not None
            and address_owner.name != record.name
            and address_owner.record.born > record.born
        ):
            return RecordChange.NOTHING
        reported_at = now - max(0.0, record.age_s)
        self._newest_report_at = max(self._newest_report_at, reported_at)
        if current is None or record.born > current.record.born:
            self._add(record, reported_at)
            return RecordChange.STARTED
        if not _supersedes(record, current.record):
            return RecordChange.NOTHING
        changed = record.state is not current.record.state or record.slots != current.record.slots
        # A process keeps its version; an announcement without it, or a changed one, doesn't replace it.
        version = current.record.version or record.version
        current.record = dataclasses.replace(record, version=version)
        current.reported_at = max(current.reported_at, reported_at)
        current.cold_until = reported_at + record.warmup_s
        return RecordChange.STATE if changed else RecordChange.CONFIRMED

    def get(self, name: str) -> FleetBackend | None:
        """Return the backend server called ``name``, or None."""
        return self._backends_by_name.get(name)

    def backends(self) -> list[FleetBackend]:
        """Return all known backend servers."""
        return list(self._backends_by_name.values())

    def usable(
        self,
        service: str,
        *,
        region_zones: frozenset[str],
        evacuated: tuple[str, ...],
        now: float,
        include_unreachable: bool = False,
    ) -> list[FleetBackend]:
        """Return the backend servers that may receive requests of ``service`` now.

        ``include_unreachable`` adds those that this instance alone backs off from.
        """
        return [
            backend
            for backend in self._backends_by_name.values()
            if backend.record.service == service
            and backend.record.state is BackendState.SERVING
            and backend.record.zone in region_zones
            and backend.record.zone not in evacuated
            and (include_unreachable or backend.backoff_until <= now)
            and backend.paused_until <= now
            and now - backend.reported_at <= REPORT_TIMEOUT_S
            and not self._is_lost(backend)
        ]

    def snapshot(self) -> Fleet:
        """Return a copy for a look at what is known now; what is noted in it stays there."""
        copied = copy.copy(self)
        copied._backends_by_name = {
            name: copy.copy(backend) for name, backend in self._backends_by_name.items()
        }
        return copied

    def unusable_reason(
        self, backend: FleetBackend, *, evacuated: tuple[str, ...], now: float
    ) -> str:
        """Return why ``usable`` leaves out a backend server of the region, for operators."""
        if backend.record.state is not BackendState.SERVING:
            return str(backend.record.state.value)
        if backend.record.zone in evacuated:
            return "zone evacuated"
        if backend.paused_until > now:
            return "pausing"
        if backend.backoff_until > now:
            return "unreachable"
        return "crashed" if self._is_lost(backend) else "silent"

    def serving_names(
        self, service: str, *, region_zones: frozenset[str], evacuated: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Return the names of the backend servers that serve ``service`` by their own report.

        Unlike ``usable``, this doesn't depend on what this instance alone observed, so instances of
        a region agree on it.
        """
        return tuple(
            backend.name
            for backend in self._backends_by_name.values()
            if backend.record.service == service
            and backend.record.state is BackendState.SERVING
            and backend.record.zone in region_zones
            and backend.record.zone not in evacuated
        )

    def earliest_pause_end(self, service: str, *, now: float) -> float | None:
        """Return when the first pause of a backend server of ``service`` ends; None without any."""
        return min(
            (
                backend.paused_until
                for backend in self._backends_by_name.values()
                if backend.record.service == service
                and backend.record.state is BackendState.SERVING
                and backend.paused_until > now
            ),
            default=None,
        )

    def note_leaving(self, name: str, *, born: int) -> BackendRecord | None:
        """Record that a backend server said in an answer that it leaves.

        ``born`` is the start time of the process that was asked; a later one hasn't said so. Returns
        the changed record, or None if nothing changed.
        """
        backend = self._backends_by_name.get(name)
        if (
            backend is None
            or backend.record.born != born
            or backend.record.state is not BackendState.SERVING
        ):
            return None
        backend.record = dataclasses.replace(backend.record, state=BackendState.LEAVING)
        return backend.record

    def note_pause(self, name: str, pause_s: float, *, born: int, now: float) -> bool:
        """Record that a backend server asked for a pause; return whether that is news.

        Unlike a backoff, a pause doesn't end with the success of another request.
        """
        backend = self._backends_by_name.get(name)
        if backend is None or backend.record.born != born:
            return False
        is_news = backend.paused_until <= now
        backend.paused_until = max(backend.paused_until, now + min(MAX_PAUSE_S, pause_s))
        return is_news

    def note_unreachable(self, name: str, *, now: float) -> float:
        """Back off from a backend server; return the backoff, seconds."""
        backend = self._backends_by_name.get(name)
        if backend is None:
            return 0.0
        backend.consecutive_failures += 1
        backoff_s = min(
            MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** (backend.consecutive_failures - 1)
        )
        backend.backoff_until = now + backoff_s
        backend.cold_state_unknown_until = now
        return backoff_s

    def note_disconnect(self, name: str, *, now: float) -> float:
        """Record a connection closed before the response began; return the backoff, seconds.

        Limits the requests lost to an address that accepts connections and closes them. Such a
        request may have run, so the caller can't be asked to retry it.
        """
        backend = self._backends_by_name.get(name)
        if backend is None:
            return 0.0
        backend.consecutive_disconnects += 1
        if backend.consecutive_disconnects < DISCONNECTS_BEFORE_BACKOFF:
            return 0.0
        return self.note_unreachable(name, now=now)

    def note_warmth(
        self, name: str, warmup_s: float, *, born: int, asked_at: float, now: float
    ) -> None:
        """Record that a backend server answered now for how long it stays cold.

        ``born`` is the start time of the process that was asked at ``asked_at``.
        """
        backend = self._backends_by_name.get(name)
        if backend is not None and backend.record.born == born:
            backend.asked_at = max(backend.asked_at, asked_at)
            backend.cold_by_answer_until = now + warmup_s

    def note_lost(self, process: Process, *, lost_at: float) -> None:
        """Record that some instance noticed the crash of a process at ``lost_at``.

        It gets no requests if it neither reports nor responds from then on while other servers report.
        A record of it may come later, and from an instance that doesn't know of the crash.
        """
        known_at = self._lost_at.get(process)
        if known_at is None or self._shows_since(process, known_at):
            self._lost_at[process] = lost_at

    def note_zone_returned(self, zone: str, *, now: float) -> None:
        """Record that the evacuation of a zone ended: its backend servers may be cold."""
        for backend in self._backends_by_name.values():
            if backend.record.zone == zone:
                backend.cold_state_unknown_until = now

    def note_reached(self, name: str, *, now: float) -> None:
        """Record that a backend server responded; this ends its backoff."""
        backend = self._backends_by_name.get(name)
        if backend is not None:
            backend.consecutive_failures = 0
            backend.consecutive_disconnects = 0
            backend.backoff_until = 0.0
            backend.reached_at = now

    def note_replaced(self, name: str) -> None:
        """Record that another server uses the address of ``name``: this incarnation is gone."""
        backend = self._backends_by_name.get(name)
        if backend is not None:
            backend.record = dataclasses.replace(backend.record, state=BackendState.GONE)

    def is_replaced(self, name: str, born: int) -> bool:
        """Return whether the process ``name`` that started at ``born`` has ended.

        It has if its name or its address belongs to a process that started later.
        """
        backend = self._backends_by_name.get(name)
        if backend is None:
            return False
        return backend.record.born > born or self._name_by_address.get(backend.address) != name

    def has_reported_since(self, name: str, born: int, since: float) -> bool:
        """Return whether the process ``name`` that started at ``born`` reported after ``since``."""
        backend = self._backends_by_name.get(name)
        return backend is not None and backend.record.born == born and backend.reported_at > since

    def addresses(self, *, region_zones: frozenset[str], now: float) -> dict[str, str]:
        """Return the addresses of the processes of the region that serve by their own report."""
        return {
            backend.name: backend.address
            for backend in self._backends_by_name.values()
            if backend.record.state is BackendState.SERVING
            and backend.record.zone in region_zones
            and now - backend.reported_at <= REPORT_TIMEOUT_S
        }

    def version_of(self, name: str, *, born: int) -> str:
        """Return the software version of the process ``name`` that started at ``born``.

        Empty if it isn't known, or another process has the name or the address now.
        """
        backend = self._backends_by_name.get(name)
        if backend is None or backend.record.born != born or self.is_replaced(name, born):
            return ""
        return backend.record.version

    def running_versions(self, service: str, *, region_zones: frozenset[str]) -> tuple[str, ...]:
        """Return the software versions of all processes of a service that haven't ended."""
        return tuple(
            sorted(
                {
                    backend.record.version
                    for backend in self._backends_by_name.values()
                    if backend.record.service == service
                    and backend.record.zone in region_zones
                    and backend.record.state is not BackendState.GONE
                }
            )
        )

    def recent_versions(self, service: str, *, region_zones: frozenset[str]) -> tuple[str, ...]:
        """Return the software versions of all processes of a service, those included that have ended.

        An ended process is kept for ``RECORD_TTL_S``, since it may have run on after its last report.
        """
        versions = {
            backend.record.version
            for backend in self._backends_by_name.values()
            if backend.record.service == service and backend.record.zone in region_zones
        }
        versions |= {
            version
            for of_service, zone, version in self._earlier_versions
            if of_service == service and zone in region_zones
        }
        return tuple(sorted(versions))

    def records(self, *, now: float) -> tuple[BackendRecord, ...]:
        """Return all records with their current age, for another instance."""
        return tuple(
            dataclasses.replace(backend.record, age_s=now - backend.reported_at)
            for backend in self._backends_by_name.values()
        )

    def expire(self, *, now: float) -> None:
        """Remove expired records."""
        for name, backend in list(self._backends_by_name.items()):
            if now - backend.reported_at > RECORD_TTL_S:
                del self._backends_by_name[name]
                if self._name_by_address.get(backend.address) == name:
                    del self._name_by_address[backend.address]
        for key, until in list(self._earlier_versions.items()):
            if now > until:
                del self._earlier_versions[key]
        for process, lost_at in list(self._lost_at.items()):
            if now - lost_at > RECORD_TTL_S:
                del self._lost_at[process]

    def _is_lost(self, backend: FleetBackend) -> bool:
        process = (backend.name, backend.record.born)
        lost_at = self._lost_at.get(process)
        return (
            lost_at is not None
            and not self._shows_since(process, lost_at)
            and self._newest_report_at > lost_at + SILENCE_AFTER_LOSS_S
        )

    def _shows_since(self, process: Process, since: float) -> bool:
        """Return whether a process reported or responded after ``since``."""
        backend = self._backends_by_name.get(process[0])
        return (
            backend is not None
            and backend.record.born == process[1]
            and max(backend.reported_at, backend.reached_at) > since
        )

    def _add(self, record: BackendRecord, reported_at: float) -> None:
        previous_name = self._name_by_address.get(record.address)
        if previous_name is not None and previous_name != record.name:
            self.note_replaced(previous_name)
        earlier = self._backends_by_name.get(record.name)
        if earlier is not None:
            key = (earlier.record.service, earlier.record.zone, earlier.record.version)
            until = max(reported_at, earlier.reported_at) + RECORD_TTL_S
            self._earlier_versions[key] = max(until, self._earlier_versions.get(key, until))
        self._backends_by_name[record.name] = FleetBackend(
            record=record, reported_at=reported_at, cold_until=reported_at + record.warmup_s
        )
        self._name_by_address[record.address] = record.name


_STATE_ORDER = {BackendState.SERVING: 0, BackendState.LEAVING: 1, BackendState.GONE: 2}


def _texts(record: BackendRecord) -> tuple[str, ...]:
    return (record.name, record.service, record.zone, record.version, record.address)


def _has_texts_within_bounds(record: BackendRecord) -> bool:
    return all(plain_text(text) is not None for text in _texts(record)) and (
        port_of(record.address) is not None or not record.address
    )


def _has_numbers_within_bounds(record: BackendRecord) -> bool:
    return (
        whole_number(record.slots) is not None
        and whole_number(record.born) is not None
        and whole_number(record.sequence) is not None
        and number(record.warmup_s) is not None
        and math.isfinite(record.age_s)
    )


def _supersedes(record: BackendRecord, current: BackendRecord) -> bool:
    if record.born < current.born or _STATE_ORDER[record.state] < _STATE_ORDER[current.state]:
        return False
    return (
        record.sequence > current.sequence
        or _STATE_ORDER[record.state] > _STATE_ORDER[current.state]
    )
