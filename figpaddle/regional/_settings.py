"""Settings that a process of a regional deployment gets at its start."""

from __future__ import annotations

import dataclasses
import pathlib

from figpaddle.wire import InstanceRole


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Limits that a deployment guarantees."""

    #: Time from the request to stop within which a process ends, seconds.
    grace_s: float = 8.0
    #: Retries allowed as a fraction of the requests of a service.
    retry_ratio: float = 0.2
    #: Window of the retry budget, seconds.
    retry_window_s: float = 10.0
    #: Retries allowed in a window beyond that fraction, summed over all entries.
    retry_slack: float = 50.0
    #: Factor on the permitted request rate of a cold backend server within one second.
    cold_overshoot: float = 1.5
    #: Requests that a cold backend server may get beyond that.
    cold_slack: float = 3.0
    #: Longest time for which callers cache an answer of the entry lookup, seconds.
    lookup_ttl_s: float = 5.0
    #: Window of the quotas of workspaces, seconds.
    quota_window_s: float = 8.0
    #: Fraction by which a workspace may exceed its quota in a window, and the cost beyond that, summed over
    #: all entries.
    quota_overshoot: float = 0.1
    quota_slack: float = 0.0
    #: Whether an entry out of contact with the control instances refuses callers that need a key.
    fail_closed: bool = False
    #: Time within which a removed key has no effect any more where that is so, seconds.
    revoke_s: float = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProcessSettings:
    """Location, addresses and limits of one process."""

    #: Name of the process in logs.
    label: str
    #: IP address, which is also the name of the instance.
    ip: str
    role: InstanceRole
    region: str
    zone: str
    #: Region of each availability zone.
    zones: dict[str, str]
    #: Address for callers, ``HOST:PORT``; empty for none. The other addresses likewise.
    caller_address: str
    readiness_address: str
    control_address: str
    lookup_address: str
    #: Port for other instances, TCP and UDP; the same on all instances.
    peer_port: int
    #: Port of the metrics page; 0 for none.
    metrics_port: int
    #: IP addresses of some control instances, to discover the others.
    seeds: tuple[str, ...]
    #: Whether the whole deployment starts for the first time.
    first_start: bool
    #: Folder for durable state; None where there is no disk.
    data_folder: pathlib.Path | None
    #: Limit of open file descriptors.
    max_descriptors: int
    bounds: Bounds
    #: Memory of the process, bytes; None if there is no limit.
    memory_bytes: int | None = None

    @property
    def regions(self) -> tuple[str, ...]:
        """The names of all regions, sorted."""
        return tuple(sorted({self.region, *self.zones.values()}))

    @property
    def zones_of_region(self) -> frozenset[str]:
        """The availability zones of the own region."""
        return frozenset(zone for zone, region in self.zones.items() if region == self.region)
