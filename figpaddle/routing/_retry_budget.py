"""Retry budget per member, as a share of the member's requests."""

from __future__ import annotations

import dataclasses

#: Retries earned by each request.
RETRY_SHARE = 0.2
#: Retries earned per second, so that members with little traffic can retry too.
RETRIES_PER_S = 2.0
#: Maximum number of saved retries; enough for the in-flight requests of one lost engine.
MAX_SAVED_RETRIES = 64.0


@dataclasses.dataclass(kw_only=True)
class _Account:
    saved: float
    updated_at: float


class RetryBudget:
    """Counts requests and retries of each member and refuses retries beyond the share.

    During an outage the attempts of a member stay below ``1 + share`` times its requests, and one
    member's failures don't use the budget of another.

    >>> budget = RetryBudget(share=0.5, per_s=0.0, max_saved=1.0)
    >>> budget.note_request("hanbit", now=0.0)
    >>> budget.take("hanbit", now=0.0), budget.take("hanbit", now=0.0)
    (True, False)
    >>> budget.give_back("hanbit", now=0.0)
    >>> budget.take("hanbit", now=0.0)
    True
    """

    def __init__(
        self,
        *,
        share: float = RETRY_SHARE,
        per_s: float = RETRIES_PER_S,
        max_saved: float = MAX_SAVED_RETRIES,
    ) -> None:
        self._share = share
        self._per_s = per_s
        self._max_saved = max_saved
        self._accounts: dict[str, _Account] = {}

    def note_request(self, member: str, *, now: float) -> None:
        """Count a request of ``member``."""
        account = self._account(member, now)
        account.saved = min(self._max_saved, account.saved + self._share)

    def take(self, member: str, *, now: float) -> bool:
        """Use one retry of ``member`` if the budget allows it; return whether it did."""
        account = self._account(member, now)
        if account.saved < 1.0:
            return False
        account.saved -= 1.0
        return True

    def give_back(self, member: str, *, now: float) -> None:
        """Return a retry of ``member`` that was taken and not sent."""
        account = self._account(member, now)
        account.saved = min(self._max_saved, account.saved + 1.0)

    def _account(self, member: str, now: float) -> _Account:
        account = self._accounts.get(member)
        if account is None:
            account = _Account(saved=self._max_saved, updated_at=now)
            self._accounts[member] = account
        earned = max(0.0, now - account.updated_at) * self._per_s
        account.saved = min(self._max_saved, account.saved + earned)
        account.updated_at = now
        return account
