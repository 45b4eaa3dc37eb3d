"""Expected times follow measured ones without running ahead of them."""

from __future__ import annotations

import math

from figpaddle.routing import ExpectationModel


def test_a_server_that_becomes_slow_is_never_expected_to_be_slower_than_it_was() -> None:
    """The estimate catches up with the slowness that a few answers showed before."""
    model, estimated_s, actual_s = ExpectationModel(), 0.05, 2.0
    for answer in range(40):
        now = 0.1 * answer
        expected_s = model.correction("plain", now=now).corrected_s(estimated_s)
        assert expected_s <= actual_s
        model.note("plain", expected_s=estimated_s, measured_s=actual_s, now=now)
        estimated_s += (actual_s - estimated_s) * 0.1
    assert math.isclose(model.correction("plain", now=4.0).corrected_s(actual_s), actual_s)


def test_an_estimate_beyond_the_measured_times_stays_as_it_is() -> None:
    model = ExpectationModel()
    for _ in range(20):
        model.note("plain", expected_s=0.1, measured_s=1.0, now=0.0)
    correction = model.correction("plain", now=0.0)
    assert correction.factor > 1.5 and correction.corrected_s(3.0) == 3.0
