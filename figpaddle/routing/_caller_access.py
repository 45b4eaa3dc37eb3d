"""Decides whose request a caller's is, and whether it may be handled at all."""

from __future__ import annotations

import dataclasses

from figpaddle.deployment import GatewayConfiguration, GatewayRoute, Workspace


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerAccess:
    """A request that may be handled."""

    #: The workspace of which the caller has a key; None if it needs none.
    workspace: Workspace | None
    #: The route as it applies to that workspace.
    route: GatewayRoute


@dataclasses.dataclass(frozen=True, kw_only=True)
class AccessRefusal:
    """A request that may not be handled, and has not run."""

    #: Status of the answer: 401 for want of a key that is known, 503 otherwise.
    status: int
    reason: str
    #: The workspace, if its key is known.
    workspace: str = ""
    #: Whether another entry may handle it now.
    is_own: bool = False


def decide_access(
    configuration: GatewayConfiguration,
    route: GatewayRoute,
    key_digest: bytes,
    *,
    keys_are_current: bool,
) -> CallerAccess | AccessRefusal:
    """Decide on a request on ``route`` whose caller has the key with ``key_digest``, empty for none.

    ``keys_are_current`` is whether a key that was taken away would be known to be so.
    """
    workspace = None
    if configuration.workspaces and not route.public:
        if not keys_are_current:
            return AccessRefusal(
                status=503, reason="out of contact, keys may be outdated", is_own=True
            )
        if not key_digest:
            return AccessRefusal(status=401, reason="key missing")
        workspace = configuration.workspace_for(key_digest)
        if workspace is None:
            return AccessRefusal(status=401, reason="key unknown")
    effective_route = configuration.effective_route(route, workspace)
    if effective_route is None:
        name = "" if workspace is None else workspace.name
        return AccessRefusal(status=503, reason="homes leave no region", workspace=name)
    return CallerAccess(workspace=workspace, route=effective_route)
