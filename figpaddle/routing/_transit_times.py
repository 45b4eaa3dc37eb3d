"""How long messages of other instances have been on their way."""

from __future__ import annotations

import dataclasses
from collections.abc import Hashable

#: Time for which the fastest message of a sender counts, seconds; the clocks of two machines drift
#: apart by a few milliseconds within it.
FASTEST_TTL_S = 60.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Offsets:
    """The smallest differences of the receiver's time and the sender's, seconds."""

    since: float
    #: In the present interval of ``FASTEST_TTL_S``, and in the one before.
    present: float
    before: float


class TransitTimes:
    """Estimates by how much a message is later than the fastest ones of its sender.

    The clocks of two machines differ by an unknown, nearly constant time. So the receiver compares the
    difference between its time of receipt and the sender's time of sending with the smallest one that
    it has seen lately. Both clocks must go on while their machine is suspended.

    A process that was busy or stopped knows only a span in which a message came: the delay counts from
    the beginning of the span, and the fastest message by its end.

    >>> transits = TransitTimes()
    >>> transits.note("north-1", sent_at=500.0, received_after=0.01, received_at=0.02)
    0.0
    >>> round(transits.note("north-1", sent_at=501.0, received_after=2.52, received_at=2.53), 1)
    1.5
    """

    def __init__(self) -> None:
        self._offsets: dict[Hashable, _Offsets] = {}

    def note(
        self, sender: Hashable, *, sent_at: float, received_after: float, received_at: float
    ) -> float:
        """Record a message and return its least delay, seconds; 0 for the first one of a sender.

        It came after ``received_after`` and was read at ``received_at``. ``sender`` identifies a run of
        the sending process: a restart may start its clock anew.
        """
        offset = received_at - sent_at
        known = self._offsets.get(sender)
        if known is None or received_at - known.since >= 2 * FASTEST_TTL_S:
            known = _Offsets(since=received_at, present=offset, before=offset)
            self._offsets[sender] = known
        elif received_at - known.since >= FASTEST_TTL_S:
            known.since, known.before, known.present = received_at, known.present, offset
        known.present = min(known.present, offset)
        return max(0.0, received_after - sent_at - min(known.present, known.before))

    def offset_s(self, sender: Hashable) -> float | None:
        """Return the smallest difference of the times of a message of ``sender``; None if there is none."""
        known = self._offsets.get(sender)
        return None if known is None else min(known.present, known.before)

    def expire(self, *, now: float) -> None:
        """Forget senders that have sent nothing for long."""
        for sender, known in list(self._offsets.items()):
            if now - known.since >= 2 * FASTEST_TTL_S:
                del self._offsets[sender]
