"""How much of a backend server that has just started or recovered is used, by how it answers."""

from __future__ import annotations

#: Fraction of the slots that is used at first, and never less than one slot.
FIRST_FRACTION = 0.15
#: Slots that an answer in time adds. About three entries use a server and each sees its own answers
#: alone, so that together they double what is used with each round of answers.
GROWTH_PER_ANSWER = 1.0
#: Measured time to the first byte, as a multiple of the expected one, up to which an answer is in time
#: and from which it is late. In between nothing changes.
IN_TIME_RATIO, LATE_RATIO = 1.5, 2.5
#: Time after which all slots are used, seconds: an entry that seldom uses a server learns little of it.
MAX_PACED_S = 8.0
#: Factor on the slots used after a late answer.
LATE_FACTOR = 0.7


class StartPace:
    """The slots of a backend server that are used while it shows what it bears.

    A server that has just started has no requests, so it looks best to all entries at once, and it may be
    slow for seconds. The same holds for one that is reached again after failures or a pause; its time then
    begins with the end of these. It begins with a few slots, each answer in time adds to them, and late answers take
    some back. Requests beyond them go elsewhere if any other server is better, and are not refused for it. It
    ends once all slots are in use.

    >>> pace = StartPace(now=0.0)
    >>> pace.slots(64, now=0.0)
    9
    >>> for _ in range(20):
    ...     pace.note_answer(1.0, slots=64)
    >>> pace.slots(64, now=1.0), pace.slots(64, now=9.0)
    (29, 64)
    """

    def __init__(self, *, now: float) -> None:
        self._begun_at = now
        #: Slots used; None before the number of slots is known.
        self._window: float | None = None
        self._has_ended = False

    @property
    def begun_at(self) -> float:
        """When the server may first get requests, seconds."""
        return self._begun_at

    def slots(self, slots: int, *, now: float) -> int:
        """Return how many of the slots of the server are used."""
        self._has_ended = self._has_ended or now - self._begun_at > MAX_PACED_S
        return slots if self._has_ended else max(1, int(self._used(slots)))

    def note_answer(self, ratio: float, *, slots: int) -> None:
        """Record the measured time to a first byte as a multiple of the expected one."""
        if self._has_ended:
            return
        used = self._used(slots)
        if ratio >= LATE_RATIO:
            used = max(FIRST_FRACTION * slots, used * LATE_FACTOR)
        elif ratio <= IN_TIME_RATIO:
            used += GROWTH_PER_ANSWER
        self._window = used
        self._has_ended = used >= slots

    def _used(self, slots: int) -> float:
        return FIRST_FRACTION * slots if self._window is None else min(self._window, float(slots))
