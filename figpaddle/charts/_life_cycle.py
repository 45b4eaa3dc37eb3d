"""Life cycles that are defined by state charts."""

from __future__ import annotations

import functools
import importlib.resources

from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Statechart

from figpaddle.errors import FigpaddleError


class TransitionError(FigpaddleError):
    """The current state of a life cycle has no transition for an event."""

    def __init__(self, *, chart: str, state: str, event: str) -> None:
        super().__init__(
            what=f"state {state} has no transition for event {event}",
            where=f"chart {chart}",
            hint="see the transitions of the chart",
        )


@functools.cache
def _load_chart(name: str) -> Statechart:
    source = importlib.resources.files("figpaddle.charts") / f"{name}.yaml"
    return import_from_yaml(source.read_text(encoding="utf-8"))


class LifeCycle:
    """The current state of one object, such as a link, according to a chart of this package.

    ``chart`` is the name of a YAML file in this package, without its suffix.

    >>> link = LifeCycle(chart="link")
    >>> link.handle("dial")
    'dialling'
    >>> link.handle("admitted")
    'open'
    """

    def __init__(self, *, chart: str) -> None:
        self._chart_name = chart
        self._interpreter = Interpreter(_load_chart(chart))
        self._interpreter.execute()
        self._state = self._active_state()

    @property
    def state(self) -> str:
        """Name of the current state."""
        return self._state

    def handle(self, event: str) -> str:
        """Perform the transition for ``event`` and return the new state.

        Raises TransitionError if the current state has no transition for it.
        """
        self._interpreter.queue(event)
        steps = self._interpreter.execute()
        if not any(step.transitions for step in steps):
            raise TransitionError(chart=self._chart_name, state=self._state, event=event)
        entered = [name for step in steps for name in step.entered_states]
        self._state = entered[-1] if entered else self._state
        return self._state

    def _active_state(self) -> str:
        return str(self._interpreter.configuration[-1])
