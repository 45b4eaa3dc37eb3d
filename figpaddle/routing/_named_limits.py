"""Limits that backend servers name in their answers, kept by all entries of a region together."""

from __future__ import annotations

import collections
import dataclasses

from figpaddle.routing._entry_shares import EntryShares
from figpaddle.wire import BackendLimit

#: Lowest limit that is used, requests a second. A server that names a lower one, or zero, is asked
#: this often whether its limit has changed; nothing else would tell.
MIN_LIMIT_PER_S = 1 / 30
#: Requests a second of one entry below which fewer entries share a limit.
MIN_SHARE_PER_S = 1.0
#: Largest number of entries that share a limit. Each may exceed its share by one request in any span.
MAX_SHARERS = 4
#: Time for which the end of a limit is told to other entries, seconds; longer than an entry takes
#: to hear from the others after a pause.
ENDED_TTL_S = 10.0
#: Time after which a limit that no entry hears confirmed is dropped, seconds. At the lowest limit
#: it is confirmed several times.
LIMIT_TTL_S = 180.0
#: Largest number of backend servers for which limits and sending times are kept.
MAX_BACKENDS = 4096


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Stated:
    """What a process of a backend server stated of its limit, and when."""

    born: int
    #: Requests a second; None for no limit.
    per_s: float | None
    stated_at: float


class NamedLimits:
    """Decides whether an entry may send to a backend server that names a limit.

    The entries of a region share a limit by ``EntryShares``. Each of them spaces its requests evenly
    by its share. The newest statement counts, whichever entry got it; entries tell each other theirs.
    It concerns one process of the server: a restart ends it.

    >>> limits = NamedLimits()
    >>> limits.note_stated("e1", 0.5, born=7, now=0.0)
    True
    >>> alone = EntryShares(name="a", names=("a",), count=1)
    >>> limits.turn_at("e1", born=7, shares=alone, now=0.0)
    2.0
    """

    def __init__(self) -> None:
        self._stated: dict[str, _Stated] = {}
        #: When this entry last sent to each backend server.
        self._sent_at: collections.OrderedDict[str, float] = collections.OrderedDict()
        #: Since when this entry has its share of each limit: the number of sharing entries and the
        #: time.
        self._shared_since: dict[str, tuple[int, float]] = {}

    def note_stated(self, backend: str, per_s: float | None, *, born: int, now: float) -> bool:
        """Record what a server states in an answer; return whether others have to be told now."""
        known = self._stated.get(backend)
        if known is None and per_s is None:
            return False
        if known is not None and (known.born > born or known.stated_at > now):
            return False
        self._set(backend, _Stated(born=born, per_s=per_s, stated_at=now))
        return known is None or (known.born, known.per_s) != (born, per_s)

    def merge(self, limits: tuple[BackendLimit, ...], *, now: float) -> None:
        """Merge what another entry was told."""
        for limit in limits:
            stated_at = now - max(0.0, limit.age_s)
            known = self._stated.get(limit.backend)
            if known is not None and (known.born, known.stated_at) >= (limit.born, stated_at):
                continue
            if known is not None or limit.per_s is not None:
                self._set(
                    limit.backend,
                    _Stated(born=limit.born, per_s=limit.per_s, stated_at=stated_at),
                )

    def records(self, *, now: float) -> tuple[BackendLimit, ...]:
        """Return the limits, and those that ended a short time ago, for other entries."""
        return tuple(
            BackendLimit(
                backend=backend,
                born=stated.born,
                per_s=stated.per_s,
                age_s=now - stated.stated_at,
            )
            for backend, stated in self._stated.items()
        )

    def limit_of(self, backend: str, *, born: int, now: float) -> float | None:
        """Return the limit of a process, requests a second, or None."""
        stated = self._stated.get(backend)
        if stated is None or stated.born != born or now - stated.stated_at >= LIMIT_TTL_S:
            return None
        return stated.per_s

    def note_sent(self, backend: str, *, now: float) -> None:
        """Record that this entry sends a request to a backend server."""
        self._sent_at[backend] = now
        self._sent_at.move_to_end(backend)
        if len(self._sent_at) > MAX_BACKENDS:
            self._sent_at.popitem(last=False)

    def turn_at(self, backend: str, *, born: int, shares: EntryShares, now: float) -> float | None:
        """Return from when on this entry may send to a process; None if it has no share."""
        limit = self.limit_of(backend, born=born, now=now)
        if limit is None:
            self._shared_since.pop(backend, None)
            return now
        limit = max(limit, MIN_LIMIT_PER_S)
        most = min(MAX_SHARERS, max(1, int(limit / MIN_SHARE_PER_S)))
        sharers = shares.sharers(backend, most=most)
        if not sharers:
            self._shared_since.pop(backend, None)
            return None
        known = self._shared_since.get(backend)
        if known is None or sharers < known[0]:
            # Another entry may just have used the share.
            known = (sharers, now)
        known = self._shared_since[backend] = (sharers, known[1])
        since = max(known[1], self._sent_at.get(backend, known[1]))
        return since + sharers / limit

    def expire(self, *, now: float) -> None:
        """Forget limits that ended or weren't confirmed for long."""
        for backend, stated in list(self._stated.items()):
            ttl_s = ENDED_TTL_S if stated.per_s is None else LIMIT_TTL_S
            if now - stated.stated_at >= ttl_s:
                del self._stated[backend]
                self._shared_since.pop(backend, None)

    def _set(self, backend: str, stated: _Stated) -> None:
        self._stated[backend] = stated
        while len(self._stated) > MAX_BACKENDS:
            oldest = min(self._stated, key=lambda name: self._stated[name].stated_at)
            del self._stated[oldest]
            self._shared_since.pop(oldest, None)
