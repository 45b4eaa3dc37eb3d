"""Routes, services and limits of the gateway as set by the operator."""

from __future__ import annotations

import dataclasses
import enum
import functools
import hmac

from figpaddle.deployment._effective_routes import (
    PriorityPair,
    effective_route,
    rank_priorities,
    workspace_priority,
)
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
                priorities.setdefault(service, set()).update(self._priorities_on(route))
        return {service: tuple(sorted(found)) for service, found in priorities.items()}

    @functools.cached_property
    def _targets(self) -> dict[str, tuple[tuple[int, float], ...]]:
        targets: dict[str, set[tuple[int, float]]] = {}
        for route in self.routes:
            for service, _ in route.services:
                targets.setdefault(service, set()).add((route.priority, route.target_s))
        return {service: tuple(sorted(found)) for service, found in targets.items()}

    @functools.cached_property
    def _workspaces_by_digest(self) -> dict[bytes, tuple[bytes, Workspace]]:
        return {
            digest: (digest, workspace)
            for workspace in self.workspaces
            for digest in workspace.key_digests
        }

    @functools.cached_property
    def _workspaces_by_name(self) -> dict[str, Workspace]:
        return {workspace.name: workspace for workspace in self.workspaces}

    @functools.cached_property
    def _ranks(self) -> dict[PriorityPair, int]:
        return rank_priorities(pair for route in self.routes for pair in self._pairs_on(route))

    @functools.cached_property
    def _effective_routes(self) -> dict[tuple[str, str, str], GatewayRoute | None]:
        # By host, path prefix and workspace.
        return {}

    @functools.cached_property
    def _workspace_priorities(self) -> frozenset[int]:
        return frozenset(map(workspace_priority, self.workspaces))

    def _pair(self, route: GatewayRoute, workspace: Workspace | None) -> PriorityPair:
        """Return the priorities of a request; one without a workspace goes with the least urgent."""
        if workspace is None:
            return max(self._workspace_priorities, default=0), route.priority
        return workspace_priority(workspace), route.priority

    def _pairs_on(self, route: GatewayRoute) -> set[PriorityPair]:
        if route.public:
            return {self._pair(route, None)}
        return {(priority, route.priority) for priority in self._workspace_priorities}

    def _priorities_on(self, route: GatewayRoute) -> set[int]:
        """Return the priorities of the requests on a route."""
        if not self.workspaces:
            return {route.priority}
        return {self._ranks[pair] for pair in self._pairs_on(route)}

    def workspace_for(self, key_digest: bytes) -> Workspace | None:
        """Return the workspace of which a caller has a key, or None."""
        found = self._workspaces_by_digest.get(key_digest)
        if found is None or not hmac.compare_digest(found[0], key_digest):
            return None
        return found[1]

    def workspace(self, name: str) -> Workspace | None:
        """Return the workspace called ``name``, or None."""
        return self._workspaces_by_name.get(name)

    def effective_route(
        self, route: GatewayRoute, workspace: Workspace | None
    ) -> GatewayRoute | None:
        """Return a route of this configuration as it applies to requests that it allows.

        ``workspace`` is None on public routes. Where both have homes, both bind; None if they leave no
        region. Without workspaces it is the route itself.
        """
        if not self.workspaces:
            return route
        key = (route.host, route.path_prefix, "" if workspace is None else workspace.name)
        cache = self._effective_routes
        if key not in cache:
            priority = self._ranks[self._pair(route, workspace)]
            cache[key] = effective_route(route, workspace, priority=priority)
        return cache[key]

    def needs_workspace(self, route_name: str) -> bool:
        """Return whether callers need a key on the route called ``route_name``, if there is one."""
        return bool(self.workspaces) and route_name not in self._public_routes

    @functools.cached_property
    def _public_routes(self) -> frozenset[str]:
        # Of several routes with one name, all must be public.
        others = {route.name for route in self.routes if not route.public}
        return frozenset(route.name for route in self.routes) - others

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
        """Return priority and latency target in seconds of the routes that use a service.

        Empty where workspaces have priorities: they are agreed with the operator, so targets say nothing of
        the order between workspaces.
        """
        return () if self.workspaces else self._targets.get(service, ())

    def priorities_of(self, service: str) -> tuple[int, ...]:
        """Return the priorities of the requests for a service, the most urgent first."""
        return self._priorities.get(service, ())
