"""Fair shares of workspaces where requests have to wait.

Load pattern: one workspace suddenly sends many times its usual, and its requests fill the queues in
which those of all others wait.
"""

from __future__ import annotations

import dataclasses
import math

#: Time constants of the averages that stand for recent and for usual work, seconds.
RECENT_S, USUAL_S = 3.0, 60.0
#: Requests of a kind that must be known before shares are judged.
MIN_USUAL_REQUESTS = 40.0
#: Standard errors by which recent work must exceed a share: few requests show nothing.
STANDARD_ERRORS = 2.0
#: Part of the work beyond a share that counts as usual, so that lasting growth becomes usual in time.
EXCESS_AS_USUAL = 0.1
#: Share of a workspace without usual work, as a fraction of an equal share.
NEWCOMER_FRACTION = 0.5
#: Most workspaces that are kept for a kind of request; further ones count as one.
MAX_WORKSPACES = 1024
OTHER_WORKSPACES = ""

#: Requests that compete with each other: service and priority.
Kind = tuple[str, int]


@dataclasses.dataclass(kw_only=True)
class _Decaying:
    """A sum whose terms lose their weight exponentially."""

    time_constant_s: float
    value: float = 0.0
    at: float = float("-inf")

    def read(self, now: float) -> float:
        if not self.value:
            return 0.0
        return self.value * math.exp(-(now - self.at) / self.time_constant_s)

    def add(self, amount: float, now: float) -> None:
        self.value, self.at = self.read(now) + amount, now


def _recent() -> _Decaying:
    return _Decaying(time_constant_s=RECENT_S)


def _usual() -> _Decaying:
    return _Decaying(time_constant_s=USUAL_S)


@dataclasses.dataclass(kw_only=True)
class _Work:
    """The work that was asked for by one workspace, or by all together."""

    recent: _Decaying = dataclasses.field(default_factory=_recent)
    #: Of the squares of recent work, for its standard error.
    squares: _Decaying = dataclasses.field(default_factory=_recent)
    usual: _Decaying = dataclasses.field(default_factory=_usual)
    requests: _Decaying = dataclasses.field(default_factory=_usual)

    def note(self, work: float, *, usual_work: float, now: float) -> None:
        self.recent.add(work, now)
        self.squares.add(work * work, now)
        self.usual.add(usual_work, now)
        self.requests.add(1.0, now)


@dataclasses.dataclass(kw_only=True)
class _Kind:
    total: _Work = dataclasses.field(default_factory=_Work)
    workspaces: dict[str, _Work] = dataclasses.field(default_factory=dict)


class WorkspaceFairness:
    """Decides how long the requests of a workspace may wait, by its share of the work.

    A share is the part that a workspace usually has of the work of a kind of request. While requests
    needn't wait, it has no effect. Where they must, those of a workspace far beyond its share wait for
    a smaller part of the usual time and are refused before the queue becomes long for others.

    >>> fairness = WorkspaceFairness()
    >>> fairness.wait_fraction("draft", 0, "desk", now=0.0)
    1.0
    """

    def __init__(self) -> None:
        self._kinds: dict[Kind, _Kind] = {}

    def note_request(
        self, service: str, priority: int, workspace: str, *, work: float, now: float
    ) -> None:
        """Record a request with its ``work`` in any unit, the same for all requests of a service."""
        kind = self._kinds.setdefault((service, priority), _Kind())
        name = self._known_as(kind, workspace)
        excess = self._excess_factor(kind, name, now)
        usual_work = work if excess <= 1.0 else work * EXCESS_AS_USUAL
        kind.workspaces.setdefault(name, _Work()).note(work, usual_work=usual_work, now=now)
        kind.total.note(work, usual_work=usual_work, now=now)

    def wait_fraction(self, service: str, priority: int, workspace: str, *, now: float) -> float:
        """Return the part of the usual longest wait for which a request may wait, above 0 and at most 1."""
        kind = self._kinds.get((service, priority))
        if kind is None:
            return 1.0
        return 1.0 / self._excess_factor(kind, self._known_as(kind, workspace), now)

    def expire(self, *, now: float) -> None:
        """Forget workspaces that have been silent for long."""
        for key, kind in list(self._kinds.items()):
            for name, work in list(kind.workspaces.items()):
                if now - work.requests.at > USUAL_S * 3:
                    del kind.workspaces[name]
            if not kind.workspaces:
                del self._kinds[key]

    def _known_as(self, kind: _Kind, workspace: str) -> str:
        if workspace in kind.workspaces or len(kind.workspaces) < MAX_WORKSPACES:
            return workspace
        return OTHER_WORKSPACES

    def _excess_factor(self, kind: _Kind, workspace: str, now: float) -> float:
        """Return how many times its share a workspace surely has of recent work, at least 1."""
        work = kind.workspaces.get(workspace)
        if work is None or kind.total.requests.read(now) < MIN_USUAL_REQUESTS:
            return 1.0
        surely = work.recent.read(now) - STANDARD_ERRORS * math.sqrt(work.squares.read(now))
        if surely <= 0.0:
            return 1.0
        least = NEWCOMER_FRACTION / len(kind.workspaces)
        share = max(least, work.usual.read(now) / max(kind.total.usual.read(now), 1e-9))
        return max(1.0, surely / (share * kind.total.recent.read(now)))
