"""The invariant holds in all interleavings, and each rule of the protocol is necessary."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from minicheck import check_safety

from figpaddle.ledger.tests.specification import Rules, protocol

MAX_STATES = 3_000_000


def test_no_interleaving_dispatches_a_request_twice(
    record_property: Callable[[str, object], None],
) -> None:
    result = check_safety(protocol(Rules()), max_states=MAX_STATES)
    record_property("states", result["reachable_states"])
    assert result["exhaustive"]
    assert result["properties"]["at_most_once"]["holds"]


@pytest.mark.parametrize(
    "mutation",
    [
        pytest.param(Rules(record_before_dispatch=False, losses=0), id="record_after_dispatch"),
        pytest.param(Rules(votes_needed=1, losses=0), id="no_copies"),
        pytest.param(Rules(refuse_after_amnesia=False, losses=1), id="no_refusal_after_amnesia"),
        pytest.param(Rules(list_votes=False, losses=1), id="votes_of_lost_memories_count"),
        pytest.param(Rules(report_own_incarnation=False), id="own_incarnation_not_reported"),
    ],
)
def test_checker_finds_a_second_dispatch_when_a_rule_is_off(mutation: Rules) -> None:
    result = check_safety(protocol(mutation), max_states=MAX_STATES)
    invariant = result["properties"]["at_most_once"]
    assert invariant["holds"] is False
    assert invariant["counterexample"]
