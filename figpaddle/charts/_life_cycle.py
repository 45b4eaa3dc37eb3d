"""Runs a life cycle from its state chart."""

from __future__ import annotations

import functools
import importlib.resources

from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Statechart

from figpaddle.errors import FigpaddleError


class TransitionError(FigpaddleError):
    """An event does not apply in the present state of a life cycle."""

    def __init__(self, *, chart: str, state: str, event: str) -> None:
        super().__init__(
            what=f"event {event} does not apply in state {state}",
            where=f"chart {chart}",
            mend="see the chart's transitions",
        )


@functools.cache
def _chart(name: str) -> Statechart:
    source = importlib.resources.files("figpaddle.charts") / f"{name}.yaml"
    return import_from_yaml(source.read_text(encoding="utf-8"))


class LifeCycle:
    """The state of one thing whose life cycle is a chart of this package.

    >>> link = LifeCycle(chart="link")
    >>> link.handle("dial")
    'dialling'
    >>> link.handle("admitted")
    'open'
    """

    def __init__(self, *, chart: str) -> None:
        self._name = chart
        self._interpreter = Interpreter(_chart(chart))
        self._interpreter.execute()
        self._state = self._leaf()

    @property
    def state(self) -> str:
        """Name of the present state."""
        return self._state

    def handle(self, event: str) -> str:
        """Take the transition for ``event`` and return the new state.

        Raises TransitionError if the present state has none.
        """
        self._interpreter.queue(event)
        steps = self._interpreter.execute()
        if not any(step.transitions for step in steps):
            raise TransitionError(chart=self._name, state=self._state, event=event)
        entered = [name for step in steps for name in step.entered_states]
        self._state = entered[-1] if entered else self._state
        return self._state

    def _leaf(self) -> str:
        return str(self._interpreter.configuration[-1])
