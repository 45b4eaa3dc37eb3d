"""Urgent streams keep their pace while less urgent prompts come to the same engines."""

from __future__ import annotations

import pytest

from figpaddle.regional.tests.simulated_region import RequestKind, SimulatedRegion

#: Additional time of a step for each stream, seconds, and engines that three kinds share.
STEP_PER_REQUEST_S, ENGINES = 0.000121, 8
#: Prompts of all kinds take most of the engines' time, those of queries about an eighth of it.
QUERY = RequestKind(
    name="query",
    priority=0,
    prompt_tokens=800,
    output_tokens=950,
    spread=0.7,
    median_tokens=230,
    event_tokens=10,
    target_s=0.82,
    per_s=7.8 * ENGINES,
)
CLASSIFY = RequestKind(
    name="classify",
    priority=1,
    prompt_tokens=1970,
    output_tokens=90,
    spread=0.4,
    median_tokens=40,
    target_s=1.6,
    per_s=5.9 * ENGINES,
)
REVIEW = RequestKind(
    name="review",
    priority=2,
    prompt_tokens=10_500,
    output_tokens=1120,
    spread=0.6,
    median_tokens=300,
    event_tokens=10,
    target_s=2.5,
    per_s=6.6 * ENGINES,
)


@pytest.mark.parametrize("entries", [1, 28])
def test_long_urgent_streams_end_beside_prompts_of_less_urgent_kinds(entries: int) -> None:
    # Guards against long streams that miss their deadline as less urgent prompts fill the steps.
    region = SimulatedRegion(
        engines=ENGINES, slots=64, seed=71, entries=entries, step_per_request_s=STEP_PER_REQUEST_S
    )
    query = region.run([QUERY, CLASSIFY, REVIEW], duration_s=30.0)["query"]
    everyone = query.share_served(longest=1.0)
    assert everyone >= 0.9
    assert query.share_served(longest=0.1) >= 0.75 * everyone
    assert query.share_served(longest=0.3, but=0.1) >= 0.9 * everyone
