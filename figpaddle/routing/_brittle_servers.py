"""Limits on what brittle backend servers have to refuse, kept by all entries of a region together."""

from __future__ import annotations

import collections
import dataclasses

from figpaddle.routing._entry_shares import EntryShares

#: Fraction of the refusals that a server bears in a second which entries risk.
RISK_FRACTION = 0.75
#: Time after which a request that wasn't refused has been accepted, seconds: a refusal comes at once,
#: within a round trip in the region and the delays of two busy processes.
REFUSAL_DELAY_S = 0.1
#: Window of the refusals, seconds. Slightly longer than the one second of the limit, because
#: requests sent further apart may arrive within one second.
REFUSAL_WINDOW_S = 1.15
#: Time after a refusal during which a server with as much work counts as full, seconds.
FULL_TTL_S = 2.0
#: Largest number of backend servers for which refusals are kept.
MAX_SERVERS = 4096


@dataclasses.dataclass(kw_only=True, slots=True)
class _Refusals:
    #: When requests were sent that may still be refused, by their keys.
    unanswered: dict[str, float] = dataclasses.field(default_factory=dict)
    refused_at: collections.deque[float] = dataclasses.field(default_factory=collections.deque)
    #: Requests at the server when it last refused one.
    full_requests: int = 0


class BrittleServers:
    """Decides whether an entry may risk a refusal by a backend server that is brittle.

    The servers of a service say that they are brittle, and how many refusals in a second they bear. The
    entries of the region share that number by ``EntryShares``. Each counts the refusals of the last second
    and the requests that may still be refused.

    >>> servers = BrittleServers()
    >>> servers.note_stated("draft", 4)
    True
    >>> alone = EntryShares(name="a", names=("a",), count=1)
    >>> for key in ("r1", "r2", "r3"):
    ...     servers.note_sent("e1", key, now=0.0)
    >>> servers.allows("e1", "draft", requests=8, shares=alone, now=0.0)
    False
    >>> servers.allows("e1", "draft", requests=8, shares=alone, now=0.1)
    True
    """

    def __init__(self) -> None:
        #: Refusals in a second that each server of a service bears.
        self._stated: dict[str, int] = {}
        self._refusals: collections.OrderedDict[str, _Refusals] = collections.OrderedDict()

    def note_stated(self, service: str, refusals_per_s: int | None) -> bool:
        """Record what a server of a service states in an answer; return whether that is news."""
        known = self._stated.get(service)
        if refusals_per_s is None:
            self._stated.pop(service, None)
        else:
            self._stated[service] = refusals_per_s
        return known != refusals_per_s

    def bears(self, service: str) -> int | None:
        """Return the refusals in a second that a server of ``service`` bears; None if it isn't brittle."""
        return self._stated.get(service)

    def note_sent(self, backend: str, key: str, *, now: float) -> None:
        """Record that a request is being sent, which ``key`` identifies."""
        refusals = self._refusals.setdefault(backend, _Refusals())
        refusals.unanswered[key] = now
        self._refusals.move_to_end(backend)
        if len(self._refusals) > MAX_SERVERS:
            self._refusals.popitem(last=False)

    def note_accepted(self, backend: str, key: str) -> None:
        """Record that a server has begun to answer a request, or that the request ended otherwise."""
        if backend in self._refusals:
            self._refusals[backend].unanswered.pop(key, None)

    def note_refused(self, backend: str, key: str, *, requests: int, now: float) -> None:
        """Record that a server with ``requests`` in progress refused a request."""
        refusals = self._refusals.setdefault(backend, _Refusals())
        refusals.unanswered.pop(key, None)
        refusals.refused_at.append(now)
        refusals.full_requests = requests

    def allows(
        self, backend: str, service: str, *, requests: int, shares: EntryShares, now: float
    ) -> bool:
        """Return whether one more request may be sent to ``backend``, with ``requests`` in progress."""
        borne = self._stated.get(service)
        if borne is None:
            return True
        refusals = self._refusals.get(backend, _Refusals())
        while refusals.refused_at and now - refusals.refused_at[0] >= FULL_TTL_S:
            refusals.refused_at.popleft()
        if refusals.refused_at and requests >= refusals.full_requests:
            return False
        parts = max(1, int(borne * RISK_FRACTION))
        sharers = shares.sharers(backend, most=parts)
        if not sharers:
            return False
        for key, sent_at in list(refusals.unanswered.items()):
            if now - sent_at >= REFUSAL_DELAY_S:
                del refusals.unanswered[key]
        recent = sum(now - at < REFUSAL_WINDOW_S for at in refusals.refused_at)
        return recent + len(refusals.unanswered) < parts // sharers
