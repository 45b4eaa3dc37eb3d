"""Life cycles that are defined by state charts."""

from __future__ import annotations

import functools
import json
import pkgutil

from figpaddle.errors import FigpaddleError


class TransitionError(FigpaddleError):
    """The current state of a life cycle has no transition for an event."""

    def __init__(self, *, chart: str, state: str, event: str) -> None:
        super().__init__(
            what=f"state {state} has no transition for event {event}",
            where=f"chart {chart}",
            hint="see the transitions of the chart",
        )


class _Chart:
    """The states of a chart without nested states, guards or actions."""

    def __init__(self, *, source: bytes) -> None:
        root = json.loads(source)["statechart"]["root state"]
        self.initial: str = root["initial"]
        #: The next state by state and event.
        self.targets: dict[tuple[str, str], str] = {
            (state["name"], transition["event"]): transition["target"]
            for state in root["states"]
            for transition in state.get("transitions", ())
        }


@functools.cache
def _load_chart(name: str) -> _Chart:
    source = pkgutil.get_data("figpaddle.charts", f"{name}.json")
    assert source is not None
    return _Chart(source=source)


class LifeCycle:
    """The current state of one object, such as a link, according to a chart of this package.

    ``chart`` is the name of a JSON file in this package, without its suffix. Its format is that of
    ``sismic``, which reads it for plots and checks; running the few plain states with that library
    would make its import a large part of the start of a process.

    >>> link = LifeCycle(chart="link")
    >>> link.handle("dial")
    'dialling'
    >>> link.handle("admitted")
    'open'
    """

    def __init__(self, *, chart: str) -> None:
        self._chart_name = chart
        self._chart = _load_chart(chart)
        self._state = self._chart.initial

    @property
    def state(self) -> str:
        """Name of the current state."""
        return self._state

    def handle(self, event: str) -> str:
        """Perform the transition for ``event`` and return the new state.

        Raises TransitionError if the current state has no transition for it.
        """
        target = self._chart.targets.get((self._state, event))
        if target is None:
            raise TransitionError(chart=self._chart_name, state=self._state, event=event)
        self._state = target
        return target
