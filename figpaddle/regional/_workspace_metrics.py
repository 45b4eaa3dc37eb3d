"""Counts requests by workspace, for a bounded number of workspaces."""

from __future__ import annotations

from figpaddle.telemetry import MetricsRegistry

#: Most workspaces with counters of their own, and the name under which all further ones count.
MAX_NAMED_WORKSPACES = 64
OTHERS = "other"


class WorkspaceMetrics:
    """Counts requests of the first ``MAX_NAMED_WORKSPACES`` workspaces each by itself.

    >>> metrics = MetricsRegistry()
    >>> WorkspaceMetrics(metrics=metrics).count_end("desk", "refused: late")
    >>> metrics.render().strip()
    'figpaddle_workspace_requests_total{outcome="refused",workspace="desk"} 1'
    """

    def __init__(self, *, metrics: MetricsRegistry) -> None:
        self._metrics = metrics
        self._names: set[str] = set()

    def count_end(self, workspace: str, outcome: str) -> None:
        """Count the end of a request; those without a workspace don't count."""
        if workspace:
            kind = outcome.partition(":")[0]
            self._metrics.count(
                "workspace_requests_total", workspace=self._name(workspace), outcome=kind
            )

    def _name(self, workspace: str) -> str:
        if workspace not in self._names:
            if len(self._names) >= MAX_NAMED_WORKSPACES:
                return OTHERS
            self._names.add(workspace)
        return workspace
