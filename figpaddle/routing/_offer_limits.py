"""Which places may be asked to go on with requests that another place has begun."""

from __future__ import annotations

import collections
import dataclasses

#: Time for which a place that refused a request isn't asked again, seconds: as old as the load reports may
#: be by which it was chosen. It grows with each further refusal.
REFUSAL_TTL_S = 0.5
#: Factor by which it grows, and the number of refusals in a row up to which it does. A place that stays full
#: may get few requests of an entry in the window of the retry budget.
REFUSAL_TTL_FACTOR, MAX_GROWING_REFUSALS = 4.0, 3
#: Longest such time, seconds, for a request that is cut unless it finds a place within 1.6 s, and for one
#: that may stay where it is.
MAX_REFUSAL_TTL_S, MAX_OFFER_REFUSAL_TTL_S = 1.0, 4.0
#: Requests that an entry asks one place to take at a time. Many need another place at the same moment, before
#: the load of the first ones shows in anyone's reports.
MAX_UNDECIDED = 4
#: The same for a place that isn't known to take any: it may refuse them all.
MAX_UNDECIDED_UNKNOWN = 1
#: Time for which a place that took a request is known to take others, seconds; as old as load reports.
TAKEN_TTL_S = 0.5
#: The same for one that took a request over, seconds: two turns of an entry that offers what it forwarded.
TAKEN_OVER_TTL_S = 2.0
#: Largest number of places that are remembered.
MAX_PLACES = 4096


@dataclasses.dataclass(kw_only=True, slots=True)
class _Place:
    #: Requests that were offered to it and that it has neither taken nor refused.
    offered: int = 0
    #: Other requests, by key, with the time after which it has taken them if it hasn't refused them.
    asked: dict[str, float] = dataclasses.field(default_factory=dict)
    refused_at: float = float("-inf")
    #: When a request was last sent there since.
    asked_at: float = float("-inf")
    #: Whether it has taken none since its last refusal.
    refuses: bool = False
    #: Refusals without a taken request in between; those of requests sent together count once.
    refusals: int = 0
    #: Until when it is known to take requests, as it took one.
    takes_until: float = float("-inf")


class OfferLimits:
    """Limits the requests that a place is asked to go on with before it is known whether it takes them.

    A place is a backend server or a region, by its name. One that refuses a request costs a part of the retry
    budget, and the time that the request could have used to ask elsewhere. So places are asked by one
    request each, and by more once that is taken.

    >>> limits = OfferLimits()
    >>> limits.note_offered("i-2")
    >>> limits.allows("i-2", now=0.0)
    False
    >>> limits.note_refused("i-2", now=0.0); limits.note_ended("i-2")
    >>> limits.allows("i-2", now=0.4), limits.allows("i-2", now=0.6)
    (False, True)
    """

    def __init__(self) -> None:
        self._places: collections.OrderedDict[str, _Place] = collections.OrderedDict()

    def note_offered(self, name: str) -> None:
        """Record that a request is being offered to a place."""
        self._place(name).offered += 1

    def note_ended(self, name: str) -> None:
        """Record that an offer has ended, whatever the place decided."""
        place = self._place(name)
        place.offered = max(0, place.offered - 1)

    def note_asked(
        self, name: str, *, now: float, key: str = "", refuses_within_s: float = 0.0
    ) -> None:
        """Record that a place gets a request that another one has begun.

        After a refusal the others wait for it: there may be room for one. A request with a ``key`` counts as
        undecided until ``note_decided``, for ``refuses_within_s`` at most, the time in which places refuse.
        """
        place = self._place(name)
        if place.refuses:
            place.asked_at = now
        if key:
            place.asked[key] = now + refuses_within_s

    def note_decided(self, name: str, key: str) -> None:
        """Record that a place has answered a request that it was asked to take, or can't any more."""
        place = self._places.get(name)
        if place is not None:
            place.asked.pop(key, None)

    def note_taken(
        self, name: str, *, asked_at: float, now: float, ttl_s: float = TAKEN_TTL_S
    ) -> None:
        """Record that a place goes on with a request that was sent there at ``asked_at``.

        It is known to take others for ``ttl_s``.
        """
        place = self._place(name)
        if asked_at > place.refused_at:
            place.refuses, place.refusals = False, 0
            place.takes_until = max(place.takes_until, now + ttl_s)

    def note_not_refused(self, name: str, *, now: float) -> None:
        """Record that a place hasn't refused an offer in the time in which places do.

        That ends no refusal, as it may not answer at all.
        """
        place = self._place(name)
        place.takes_until = max(place.takes_until, now + TAKEN_OVER_TTL_S)

    def note_refused(self, name: str, *, now: float) -> None:
        """Record that a place refused a request that another one had begun."""
        place = self._place(name)
        if not place.refuses or now - place.refused_at >= REFUSAL_TTL_S:
            place.refusals = min(place.refusals + 1, MAX_GROWING_REFUSALS)
        place.refuses, place.refused_at = True, now

    def has_refused(self, name: str, *, now: float, may_stay: bool = False) -> bool:
        """Return whether a place has refused a request, and was asked again too recently to be asked now.

        ``may_stay`` is whether the request that would be sent there may stay where it is.
        """
        place = self._places.get(name)
        if place is None or not place.refuses:
            return False
        most_s = MAX_OFFER_REFUSAL_TTL_S if may_stay else MAX_REFUSAL_TTL_S
        ttl_s = min(most_s, REFUSAL_TTL_S * REFUSAL_TTL_FACTOR ** (place.refusals - 1))
        return now - place.refused_at < ttl_s or now - place.asked_at < REFUSAL_TTL_S

    def allows(self, name: str, *, now: float, may_stay: bool = False) -> bool:
        """Return whether a place may be asked now to go on with one more request."""
        place = self._places.get(name)
        if place is None:
            return True
        undecided = place.offered + _undecided(place, now=now)
        most = MAX_UNDECIDED if _is_taking(place, now=now) else MAX_UNDECIDED_UNKNOWN
        return undecided < most and not self.has_refused(name, now=now, may_stay=may_stay)

    def _place(self, name: str) -> _Place:
        place = self._places.setdefault(name, _Place())
        self._places.move_to_end(name)
        if len(self._places) > MAX_PLACES:
            self._places.popitem(last=False)
        return place


def _is_taking(place: _Place, *, now: float) -> bool:
    """Return whether a place has just taken a request and refused none since."""
    return not place.refuses and now < place.takes_until


def _undecided(place: _Place, *, now: float) -> int:
    """Return how many requests that weren't offered are undecided; forget the others."""
    for key, taken_at in list(place.asked.items()):
        if taken_at <= now:
            del place.asked[key]
            place.takes_until = max(place.takes_until, taken_at + TAKEN_TTL_S)
    return len(place.asked)
