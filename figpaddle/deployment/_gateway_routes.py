"""Routes, services and limits of the gateway as set by the operator."""

from __future__ import annotations

import dataclasses
import enum
import functools

from figpaddle.deployment._workspaces import Workspace


class Repeat(enum.Enum):
    """Whether a request with an unknown outcome may be retried."""

    #: It may run any number of times.
    IDEMPOTENT = "idempotent"
    #: It may run at most once.
    ONCE = "once"
    #: It is a stream that may be resumed after the last event received.
    RESUMABLE = "resumable"


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewayRoute:
    """Handling of the requests for one host and path prefix."""

    #: Name of the route.
    name: str
    #: Host, in lowercase, without a port.
    host: str
    #: Path prefix; begins and ends with a slash.
    path_prefix: str
    #: Whether responses are event streams.
    streaming: bool
    #: Whether a request with an unknown outcome may be retried.
    repeat: Repeat
    #: Time limit for the whole response, seconds.
    timeout_s: float
    #: Time to the first byte within which a response is on time, seconds.
    target_s: float
    #: Longest gap between events that is on time, seconds.
    gap_s: float
    #: Priority; 0 is the most urgent.
    priority: int
    #: Maximum number of backend servers that one request may reach.
    max_attempts: int
    #: Names of the services that serve it, and their weights in the random choice of one.
    services: tuple[tuple[str, int], ...]
    #: Regions that may serve it; empty for all regions.
    home_regions: tuple[str, ...]
    #: Whether callers need no key, where the configuration has workspaces.
    public: bool = False

    def allows(self, region: str) -> bool:
        """Return whether requests may be served in ``region``."""
        return not self.home_regions or region in self.home_regions


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewayService:
    """A service and the capacity of its backend servers."""

    #: Name of the service.
    name: str
    #: Path of the health check.
    health_path: str
    #: Maximum number of connections that one backend server accepts from all instances.
    max_connections: int
    #: Requests per second that a cold backend server can handle; 0 if it never is cold.
    cold_per_s: float
    #: How long a backend server is cold after its start, seconds.
    warmup_s: float
    #: Whether its backend servers are model engines.
    is_model: bool
    #: Number of requests that one engine processes at once; 0 if unknown.
    slots: int
    #: Size of one engine's KV cache, tokens; 0 if it isn't a model engine.
    memory_tokens: int
    #: Tokens per event of a stream.
    tokens_per_event: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewayLimits:
    """Limits on requests of callers."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewayConfiguration:
    """All settings of the operator, at one version."""

    version: int
    routes: tuple[GatewayRoute, ...]
    services: tuple[GatewayService, ...]
    limits: GatewayLimits
    #: Empty where callers need no keys.
    workspaces: tuple[Workspace, ...] = ()

    @functools.cached_property
    def _by_host(self) -> dict[str, list[GatewayRoute]]:
        hosts: dict[str, list[GatewayRoute]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.path_prefix)):
            hosts.setdefault(route.host, []).append(route)
        return hosts

    @functools.cached_property
    def _services(self) -> dict[str, GatewayService]:
        return {service.name: service for service in self.services}

    @functools.cached_property
    def _priorities(self) -> dict[str, tuple[int, ...]]:
        priorities: dict[str, set[int]] = {}
        for route in self.routes:
            for service, _ in route.services:
                priorities.setdefault(service, set()).add(route.priority)
        return {service: tuple(sorted(found)) for service, found in priorities.items()}

    @functools.cached_property
    def _targets(self) -> dict[str, tuple[tuple[int, float], ...]]:
        targets: dict[str, set[tuple[int, float]]] = {}
        for route in self.routes:
            for service, _ in route.services:
                targets.setdefault(service, set()).add((route.priority, route.target_s))
        return {service: tuple(sorted(found)) for service, found in targets.items()}

    def route_for(self, host: str, path: str) -> GatewayRoute | None:
        """Return the route of ``host`` with the longest prefix of ``path``, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service(self, name: str) -> GatewayService | None:
        """Return the service called ``name``, or None."""
        return self._services.get(name)

    def targets_of(self, service: str) -> tuple[tuple[int, float], ...]:
        """Return priority and latency target in seconds of the routes that use a service."""
        return self._targets.get(service, ())

    def priorities_of(self, service: str) -> tuple[int, ...]:
        """Return the priorities of the routes that use a service, the most urgent first."""
        return self._priorities.get(service, ())
