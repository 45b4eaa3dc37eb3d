"""What all entries of a region together send to its engines between two reports of their load."""

# Guards against SHORT after landing 4: reviews late since all entries used the engine that looked free.

from __future__ import annotations

import dataclasses

import pytest

from figpaddle.regional.tests.simulated_region import RequestKind, SimulatedRegion
from figpaddle.regional.tests.test_overload import CHAT, CHECK, REVIEW, SLOTS

ENGINES, SEED = 12, 19
#: Requests a second of a burst, and its duration, seconds; shorter than the interval of the reports.
BURST_PER_S, BURST_S = 1680.0, 0.2


def _sent_in_a_burst(*, entries: int) -> int:
    region = SimulatedRegion(engines=ENGINES, slots=SLOTS, seed=SEED, entries=entries)
    burst: RequestKind = dataclasses.replace(REVIEW, per_s=BURST_PER_S)
    result = region.run([burst], duration_s=BURST_S)["review"]
    return result.offered - result.refused


@pytest.mark.parametrize("entries", [14, 28])
def test_many_entries_send_hardly_more_in_a_burst_than_one_entry_would(entries: int) -> None:
    sent, sent_by_one = _sent_in_a_burst(entries=entries), _sent_in_a_burst(entries=1)
    assert sent <= 1.5 * sent_by_one, (sent, sent_by_one)


def test_admitted_requests_begin_within_their_target_at_twice_as_many_entries() -> None:
    """As in ``test_overload`` with fourteen entries, of which the same share is asked."""
    region = SimulatedRegion(engines=ENGINES, slots=SLOTS, seed=SEED, entries=28)
    kinds = [dataclasses.replace(kind, per_s=3 * kind.per_s) for kind in (CHECK, CHAT, REVIEW)]
    review = region.run(kinds, duration_s=8.0)["review"]
    assert review.on_time >= 0.8 * review.admitted, review
