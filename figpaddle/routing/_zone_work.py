"""Work at the backend servers of a region, summed over the entries of an availability zone."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Iterable

from figpaddle.routing._peer_load import PeerLoad
from figpaddle.wire import BackendLimit, BackendWork

#: Number of own heartbeats whose work is kept; more than are sent while a sum is on its way.
KEPT_HEARTBEATS = 32


def sum_work(works: Iterable[tuple[BackendWork, ...]]) -> tuple[BackendWork, ...]:
    """Return the sum of the work of several entries, one item for each backend server.

    >>> one = BackendWork(backend="e", requests=1, tokens=5, prefill=3, waiting=(1, 3))
    >>> sum_work([(one,), (one,)])[0].waiting
    (2, 6)
    """
    sums: dict[str, BackendWork] = {}
    for item in itertools.chain.from_iterable(works):
        known = sums.get(item.backend)
        sums[item.backend] = item if known is None else _add(known, item, 1)
    return tuple(sums.values())


def newest_limits(limits: Iterable[BackendLimit]) -> tuple[BackendLimit, ...]:
    """Return the newest statement of each backend server."""
    newest: dict[str, BackendLimit] = {}
    for limit in limits:
        known = newest.get(limit.backend)
        if known is None or (limit.born, -limit.age_s) > (known.born, -known.age_s):
            newest[limit.backend] = limit
    return tuple(newest.values())


def peer_load(work: BackendWork) -> PeerLoad:
    """Return the work of other entries in the form that placement reads."""
    return PeerLoad(
        requests=work.requests,
        memory=work.tokens,
        unanswered=work.waiting[::2],
        # Without classes, the prompts count as ahead of every request.
        prefill=work.waiting[1::2] or (work.prefill,),
    )


class OwnWorkHistory:
    """This entry's last heartbeats to relays, to recognise them in what relays send."""

    def __init__(self) -> None:
        self._sent: collections.OrderedDict[int, tuple[tuple[BackendWork, ...], float]] = (
            collections.OrderedDict()
        )

    def note_sent(self, sequence: int, work: tuple[BackendWork, ...], *, now: float) -> None:
        """Record the work in the heartbeat with the number ``sequence``."""
        self._sent[sequence] = (work, now)
        if len(self._sent) > KEPT_HEARTBEATS:
            self._sent.popitem(last=False)

    def sent_at(self, sequence: int) -> float | None:
        """Return when a heartbeat was sent; None if that was long ago."""
        sent = self._sent.get(sequence)
        return None if sent is None else sent[1]

    def without_own(self, work: tuple[BackendWork, ...], echo: int) -> tuple[BackendWork, ...]:
        """Return ``work`` less the own part, which the heartbeat number ``echo`` had; 0 for none.

        >>> own = BackendWork(backend="e", requests=1, tokens=5, prefill=3, waiting=(1, 3))
        >>> both = BackendWork(backend="e", requests=3, tokens=9, prefill=3, waiting=(1, 3))
        >>> history = OwnWorkHistory()
        >>> history.note_sent(7, (own,), now=0.0)
        >>> [(item.requests, item.waiting) for item in history.without_own((both,), 7)]
        [(2, (0, 0))]
        """
        own_work, _ = self._sent.get(echo, ((), 0.0))
        own = {item.backend: item for item in own_work}
        return tuple(
            _add(item, own[item.backend], -1) if item.backend in own else item for item in work
        )


def _add(first: BackendWork, second: BackendWork, sign: int) -> BackendWork:
    waiting = itertools.zip_longest(first.waiting, second.waiting, fillvalue=0)
    return dataclasses.replace(
        first,
        requests=max(0, first.requests + sign * second.requests),
        tokens=max(0, first.tokens + sign * second.tokens),
        prefill=max(0, first.prefill + sign * second.prefill),
        waiting=tuple(max(0, one + sign * other) for one, other in waiting),
    )
