"""What a process of a regional deployment is told at its start."""

from __future__ import annotations

import dataclasses
import pathlib

from figpaddle.wire import InstanceRole


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Times and sums that a deployment promises to keep."""

    #: How long a process has from the request to stop to its end, seconds.
    grace_s: float = 8.0
    #: Retries allowed as a share of the requests of a service.
    retry_ratio: float = 0.2
    #: Window of the retry budget, seconds.
    retry_window_s: float = 10.0
    #: Retries allowed in a window beside the share, summed over all entries.
    retry_slack: float = 50.0
    #: Times the rate of a cold backend server that it may get in one second.
    cold_overshoot: float = 1.5
    #: Requests that it may get beside that.
    cold_slack: float = 3.0
    #: Longest time for which callers keep an answer of the entry lookup, seconds.
    lookup_ttl_s: float = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProcessSettings:
    """Place, addresses and limits of one process."""

    #: Name in logs.
    label: str
    #: IP address; names the instance among the others.
    ip: str
    role: InstanceRole
    region: str
    zone: str
    #: Region of each availability zone.
    zones: dict[str, str]
    #: Where callers reach it; empty for none. The other addresses likewise.
    caller_address: str
    readiness_address: str
    control_address: str
    lookup_address: str
    #: Port for the other instances, over TCP and UDP; the same on all.
    peer_port: int
    #: Port of the metrics page; 0 for none.
    metrics_port: int
    #: IP addresses of some control instances.
    seeds: tuple[str, ...]
    #: Whether the whole deployment starts for the first time.
    first_start: bool
    #: Folder for durable state; None where there is no disk.
    data_folder: pathlib.Path | None
    #: Descriptors that the process may use.
    max_descriptors: int
    bounds: Bounds

    @property
    def zones_of_region(self) -> frozenset[str]:
        """The availability zones of the own region."""
        return frozenset(zone for zone, region in self.zones.items() if region == self.region)
