"""Life cycles follow their charts."""

from __future__ import annotations

import itertools
import pathlib

import pytest
from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Statechart

from figpaddle import charts
from figpaddle.charts import LifeCycle, TransitionError

CHARTS = sorted(pathlib.Path(charts.__file__).parent.glob("*.json"))


def _library_state(chart: Statechart, events: tuple[str, ...]) -> str | None:
    """Return the state after ``events``; None if the last one has no transition."""
    interpreter = Interpreter(chart)
    steps = interpreter.execute()
    for event in events:
        steps = interpreter.queue(event).execute()
    entered = [name for step in steps for name in step.entered_states]
    return entered[-1] if entered else None


def _own_state(name: str, events: tuple[str, ...]) -> str | None:
    cycle = LifeCycle(chart=name)
    state: str | None = cycle.state
    for event in events:
        try:
            state = cycle.handle(event)
        except TransitionError:
            state = None
    return state


@pytest.mark.parametrize("path", CHARTS, ids=lambda path: path.stem)
def test_charts_mean_what_the_library_reads_in_them(path: pathlib.Path) -> None:
    chart = import_from_yaml(path.read_text(encoding="utf-8"))
    names = sorted({transition.event for transition in chart.transitions})
    for length in range(5):
        for events in itertools.product(names, repeat=length):
            assert _own_state(path.stem, events) == _library_state(chart, events), events


@pytest.mark.parametrize(
    ("chart", "events", "state"),
    [
        ("instance", ["ready", "stop", "grace_over", "idle"], "stopped"),
        ("instance", ["stop", "grace_over", "drain_timeout"], "stopped"),
        ("backend", ["silence", "heard", "leave", "expired"], "gone"),
        ("link", ["dial", "admitted", "failed", "dial"], "dialling"),
    ],
)
def test_events_lead_to_the_expected_state(chart: str, events: list[str], state: str) -> None:
    cycle = LifeCycle(chart=chart)
    for event in events:
        cycle.handle(event)
    assert cycle.state == state


@pytest.mark.parametrize(("chart", "event"), [("instance", "idle"), ("link", "admitted")])
def test_event_without_a_transition_raises_an_error(chart: str, event: str) -> None:
    cycle = LifeCycle(chart=chart)
    initial_state = cycle.state
    with pytest.raises(TransitionError):
        cycle.handle(event)
    assert cycle.state == initial_state
