"""Routes as they apply to the requests of one workspace."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import TYPE_CHECKING

from figpaddle.deployment._workspaces import DEFAULT_WORKSPACE_PRIORITY, Workspace

if TYPE_CHECKING:
    from figpaddle.deployment._gateway_routes import GatewayRoute

#: Number of priorities that backend servers tell apart.
MAX_RANKS = 10

#: Priorities of a workspace and of a route.
PriorityPair = tuple[int, int]


def rank_priorities(pairs: Iterable[PriorityPair]) -> dict[PriorityPair, int]:
    """Return one priority for each pair, the most urgent 0; that of the workspace goes before.

    They are dense, as each in use costs its part of every load report. Beyond ``MAX_RANKS``, neighbours
    share one.

    >>> rank_priorities([(1, 0), (0, 7), (0, 2), (1, 7)])
    {(0, 2): 0, (0, 7): 1, (1, 0): 2, (1, 7): 3}
    """
    ordered = sorted(set(pairs))
    ranks = min(MAX_RANKS, len(ordered))
    return {pair: index * ranks // len(ordered) for index, pair in enumerate(ordered)}


def workspace_priority(workspace: Workspace) -> int:
    """Return the priority of a workspace, or the default."""
    return DEFAULT_WORKSPACE_PRIORITY if workspace.priority is None else workspace.priority


def common_homes(route: GatewayRoute, workspace: Workspace | None) -> tuple[str, ...] | None:
    """Return the regions that both allow, empty for all regions; None if there is none."""
    if workspace is None or not workspace.home_regions:
        return route.home_regions
    homes = tuple(region for region in workspace.home_regions if route.allows(region))
    return homes or None


def effective_route(
    route: GatewayRoute, workspace: Workspace | None, *, priority: int
) -> GatewayRoute | None:
    """Return ``route`` with the homes that it has for a workspace, and ``priority``.

    None if the homes of both leave no region.
    """
    homes = common_homes(route, workspace)
    if homes is None:
        return None
    return dataclasses.replace(route, home_regions=homes, priority=priority)
