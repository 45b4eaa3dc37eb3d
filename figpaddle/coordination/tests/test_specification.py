"""Model checks of the specifications, with all rules and with one rule disabled."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from minicheck import Protocol, check_safety

from figpaddle.coordination.tests.specification import Rules, distribution_protocol, log_protocol

MAX_STATES = 2_000_000


@pytest.mark.parametrize("protocol", [log_protocol, distribution_protocol])
def test_invariants_hold_in_every_state(
    protocol: Callable[[Rules], Protocol], record_property: Callable[[str, object], None]
) -> None:
    result = check_safety(protocol(Rules()), max_states=MAX_STATES)
    record_property("states", result["reachable_states"])
    assert result["exhaustive"] is True
    for name, verdict in result["properties"].items():
        assert verdict["holds"] is True, (name, verdict["counterexample"])


MUTATIONS = [
    (log_protocol, Rules(votes_once=False), "at most one leader per term", 40_000),
    (log_protocol, Rules(persists_votes=False), "at most one leader per term", 40_000),
    (log_protocol, Rules(compares_logs=False), "committed entries are never lost", 40_000),
    (log_protocol, Rules(persists_entries=False), "committed entries are never lost", 40_000),
    (
        log_protocol,
        Rules(gives_new_identity=False),
        "replica never votes with an empty log after it lost its disk",
        40_000,
    ),
    (log_protocol, Rules(gives_new_identity=False), "committed entries are never lost", 200_000),
    (
        log_protocol,
        Rules(removes_predecessor_first=False),
        "committed entries are never lost",
        200_000,
    ),
    (distribution_protocol, Rules(installs_newer_only=False), "revision never decreases", 40_000),
    (distribution_protocol, Rules(persists_before_use=False), "revision never decreases", 40_000),
]


@pytest.mark.parametrize(("protocol", "rules", "broken", "max_states"), MUTATIONS)
def test_checker_detects_the_broken_rule(
    protocol: Callable[[Rules], Protocol], rules: Rules, broken: str, max_states: int
) -> None:
    result = check_safety(protocol(rules), max_states=max_states)
    assert result["properties"][broken]["holds"] is False
