"""Workspaces: who may call, from which regions, how urgently and how much."""

from __future__ import annotations

import dataclasses
import enum
import hashlib

#: Size of the digest of a caller's key, bytes.
KEY_DIGEST_BYTES = 16
#: Priority of a workspace that states none.
DEFAULT_WORKSPACE_PRIORITY = 5


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    #: Tokens of the prompt and of the longest answer.
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkspaceQuota:
    """What the requests of a workspace may cost, over all entries together.

    >>> quota = WorkspaceQuota(
    ...     per_s=1000.0, burst=500.0, unit=QuotaUnit.TOKENS, plain_cost=200.0
    ... )
    >>> quota.cost(prompt_tokens=900, output_tokens=100), quota.cost()
    (1000.0, 200.0)
    """

    #: Cost that becomes available a second.
    per_s: float
    #: Cost that may be spent at once after a pause.
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    #: Cost in tokens of a request that states none.
    plain_cost: float = 0.0

    def cost(self, *, prompt_tokens: int = 0, output_tokens: int = 0) -> float:
        """Return the cost of a request."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return float(prompt_tokens + output_tokens) or self.plain_cost


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """One tenant of a deployment, whose callers present one of its keys."""

    #: Name of the workspace.
    name: str
    #: Digests of its keys; the keys themselves aren't kept.
    key_digests: frozenset[bytes] = frozenset()
    #: Priority, which goes before that of a route; 0 is the most urgent. None for the default.
    priority: int | None = None
    #: Regions that may serve its requests; empty for all regions.
    home_regions: tuple[str, ...] = ()
    #: None for no limit.
    quota: WorkspaceQuota | None = None

    def allows(self, region: str) -> bool:
        """Return whether its requests may be served in ``region``."""
        return not self.home_regions or region in self.home_regions


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a caller's key is compared and kept."""
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()
