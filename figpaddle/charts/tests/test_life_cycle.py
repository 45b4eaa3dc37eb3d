"""Life cycles follow their charts."""

from __future__ import annotations

import pytest

from figpaddle.charts import LifeCycle, TransitionError


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
