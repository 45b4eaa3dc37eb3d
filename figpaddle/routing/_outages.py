"""Backend servers that end together, as in an outage of their zone, and what can't have ended them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from figpaddle.routing._unsettled_attempts import Process

#: Number of processes lost one shortly after the other from which an outage may have ended them.
MIN_OUTAGE_PROCESSES = 4
#: Longest time from the first loss of an outage to the last, seconds. The processes end at one moment,
#: and instances notice it with the next byte that they send there.
MAX_OUTAGE_S = 0.5
#: Fraction of the processes of an outage that must have run a request or prompt part for it to be the
#: cause of the losses. What really crashes servers was in progress at most of them.
MIN_CAUSE_FRACTION = 0.75


class Outages:
    """Tells the losses that a request or prompt part may have caused from those of an outage.

    >>> lost_at = {(f"e{number}", 1): 0.1 * number for number in range(5)}
    >>> outages = Outages(lost_at)
    >>> sorted(outages.possible_causes([("e0", 1), ("e1", 1)]))
    []
    >>> len(outages.possible_causes(lost_at))
    5
    """

    def __init__(self, lost_at: Mapping[Process, float]) -> None:
        self._together: dict[Process, frozenset[Process]] = {}
        group: list[Process] = []
        for process in sorted(lost_at, key=lambda process: lost_at[process]):
            if group and lost_at[process] - lost_at[group[0]] > MAX_OUTAGE_S:
                self._add(group)
                group = []
            group.append(process)
        self._add(group)

    def together(self, process: Process) -> frozenset[Process]:
        """Return the processes of the outage that ended a process; empty if it ended by itself."""
        return self._together.get(process, frozenset())

    def possible_causes(self, processes: Iterable[Process]) -> set[Process]:
        """Return those of ``processes``, lost with one digest, whose loss it may have caused."""
        lost = set(processes)
        return {
            process
            for process in lost
            if len((together := self.together(process)) & lost)
            >= MIN_CAUSE_FRACTION * len(together)
        }

    def _add(self, group: list[Process]) -> None:
        if len(group) >= MIN_OUTAGE_PROCESSES:
            together = frozenset(group)
            self._together.update(dict.fromkeys(group, together))
