"""Admission of urgent and less urgent requests while a region has more load than capacity."""

from __future__ import annotations

import dataclasses

import pytest

from figpaddle.regional.tests.simulated_region import KindResult, RequestKind, SimulatedRegion

ENGINES, SLOTS = 4, 32
DURATION_S = 30.0
CHECK = RequestKind(
    name="check", priority=0, prompt_tokens=2400, output_tokens=22, target_s=0.6, per_s=45.0
)
CHAT = RequestKind(
    name="chat", priority=1, prompt_tokens=830, output_tokens=290, target_s=0.6, per_s=32.0
)
#: The checks and chats take about half of the engines' time, and these twice what remains.
REVIEW = RequestKind(
    name="review", priority=2, prompt_tokens=12_000, output_tokens=380, target_s=1.0, per_s=25.0
)


@pytest.fixture(scope="module")
def results() -> dict[str, KindResult]:
    region = SimulatedRegion(engines=ENGINES, slots=SLOTS, seed=19)
    return region.run([CHECK, CHAT, REVIEW], duration_s=DURATION_S)


@pytest.mark.parametrize("name", ["check", "chat"])
def test_less_urgent_waiting_requests_cause_no_refusal_of_urgent_ones(
    results: dict[str, KindResult], name: str
) -> None:
    result = results[name]
    assert result.refused <= 0.05 * result.offered, result


def test_admitted_requests_begin_within_their_target(results: dict[str, KindResult]) -> None:
    result = results["review"]
    assert result.on_time >= 0.8 * result.admitted, result


def test_entries_with_late_reports_do_not_all_use_the_engine_that_looks_free() -> None:
    """Fourteen entries place twice the reviews that fit, and report their load twice a second."""
    region = SimulatedRegion(engines=12, slots=SLOTS, seed=19, entries=14)
    kinds = [dataclasses.replace(kind, per_s=3 * kind.per_s) for kind in (CHECK, CHAT, REVIEW)]
    results = region.run(kinds, duration_s=8.0)
    review = results["review"]
    assert review.on_time >= 0.8 * review.admitted, review
    assert results["check"].on_time >= 0.95 * results["check"].admitted, results["check"]
