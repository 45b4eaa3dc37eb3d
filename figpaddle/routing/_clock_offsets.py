"""How far the clocks of other processes are from the own one, by all that is heard of them."""

from __future__ import annotations

from collections.abc import Mapping

from figpaddle.routing._transit_times import TransitTimes

#: A run of a process: its name and the number of the run.
Sender = tuple[str, int]


class ClockOffsets:
    """Upper bounds of the differences between the own clock and those of other processes.

    A message is never received before it is sent, so the smallest difference between the own time of
    receipt and the sender's time of sending is at most the shortest way too large. What another process
    has measured of a third one is added to the offset of that other process, and the bound is then at most
    two shortest ways too large. Clocks must go on while their machine is suspended.

    >>> offsets = ClockOffsets()
    >>> offsets.note(("relay", 1), sent_at=100.0, received_at=7.02)
    >>> offsets.note_measured(("relay", 1), {"north-1": (5, 40.01)})
    >>> round(offsets.offset_s(("north-1", 5)), 2)
    -52.97
    """

    def __init__(self) -> None:
        self._heard = TransitTimes()
        # The run of each process that has measured offsets, and what it has measured.
        self._measured: dict[str, tuple[int, Mapping[str, tuple[int, float]]]] = {}

    def note(self, sender: Sender, *, sent_at: float, received_at: float) -> None:
        """Record a message that ``sender`` sent at ``sent_at`` by its own clock."""
        self._heard.note(
            sender, sent_at=sent_at, received_after=received_at, received_at=received_at
        )

    def note_measured(self, by: Sender, offsets: Mapping[str, tuple[int, float]]) -> None:
        """Record the offsets that another process has measured, each with the number of the run."""
        name, run = by
        self._measured[name] = run, offsets

    def direct_s(self, sender: Sender) -> float | None:
        """Return the bound by messages of ``sender`` itself, seconds; None if none has come."""
        return self._heard.offset_s(sender)

    def offset_s(self, sender: Sender) -> float | None:
        """Return the smallest bound that is known, seconds; None if there is none."""
        name, run = sender
        bounds = [self.direct_s(sender)]
        for relay, (relay_run, measured) in self._measured.items():
            measured_run, offset_s = measured.get(name, (None, 0.0))
            relay_offset_s = self.direct_s((relay, relay_run))
            if measured_run == run and relay_offset_s is not None:
                bounds.append(relay_offset_s + offset_s)
        return min((bound for bound in bounds if bound is not None), default=None)

    def expire(self, *, now: float) -> None:
        """Forget processes that have been silent for long."""
        self._heard.expire(now=now)
        for relay, (run, _) in list(self._measured.items()):
            if self.direct_s((relay, run)) is None:
                del self._measured[relay]
