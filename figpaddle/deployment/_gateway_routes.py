"""Which requests go where: routes, services and limits as an operator sets them."""

from __future__ import annotations

import dataclasses
import enum
import functools


class Repeat(enum.Enum):
    """What may be done with a request whose fate is unknown."""

    #: It may run any number of times.
    IDEMPOTENT = "idempotent"
    #: It may run once at most.
    ONCE = "once"
    #: A stream that may be taken up again where it broke off.
    RESUMABLE = "resumable"


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewayRoute:
    """What happens to requests for one host and path prefix."""

    #: Name of the route.
    name: str
    #: Host, in lowercase, without a port.
    host: str
    #: First part of the path; begins and ends with a slash.
    path_prefix: str
    #: Whether answers are streams of events.
    streaming: bool
    #: What may be repeated.
    repeat: Repeat
    #: Longest time for the whole answer, seconds.
    timeout_s: float
    #: Time to the first byte within which an answer counts as on time, seconds.
    target_s: float
    #: Longest pause between events that counts as on time, seconds.
    gap_s: float
    #: Rank; 0 is the most urgent.
    priority: int
    #: Most backend servers that one request may reach.
    max_attempts: int
    #: Services and their weights.
    services: tuple[tuple[str, int], ...]
    #: Regions that may serve it; empty for all.
    home_regions: tuple[str, ...]

    def allows(self, region: str) -> bool:
        """Return whether requests may be served in ``region``."""
        return not self.home_regions or region in self.home_regions


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewayService:
    """A service and what its backend servers bear."""

    #: Name of the service.
    name: str
    #: Path of the health check.
    health_path: str
    #: Most connections that one backend server accepts from all instances.
    max_connections: int
    #: Requests a second that a cold backend server bears; 0 where it never is cold.
    cold_per_s: float
    #: Time for which a backend server is cold after its start, seconds.
    warmup_s: float
    #: Whether its backend servers are model engines.
    is_model: bool
    #: Requests that one engine processes at once; 0 where unknown.
    slots: int
    #: Memory of one engine, tokens; 0 where it isn't a model engine.
    memory_tokens: int
    #: Tokens in an event of a stream.
    tokens_per_event: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewayLimits:
    """Limits on what callers send."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewayConfiguration:
    """One version of everything that an operator sets."""

    version: int
    routes: tuple[GatewayRoute, ...]
    services: tuple[GatewayService, ...]
    limits: GatewayLimits

    @functools.cached_property
    def _by_host(self) -> dict[str, list[GatewayRoute]]:
        hosts: dict[str, list[GatewayRoute]] = {}
        for route in sorted(self.routes, key=lambda one: -len(one.path_prefix)):
            hosts.setdefault(route.host, []).append(route)
        return hosts

    @functools.cached_property
    def _services(self) -> dict[str, GatewayService]:
        return {service.name: service for service in self.services}

    def route_for(self, host: str, path: str) -> GatewayRoute | None:
        """Return the route with the longest prefix that begins ``path``."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service(self, name: str) -> GatewayService | None:
        """Return the service called ``name``."""
        return self._services.get(name)
