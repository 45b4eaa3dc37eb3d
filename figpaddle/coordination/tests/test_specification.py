"""The specification keeps its invariants, and each broken rule is found."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from minicheck import Protocol, check_safety

from figpaddle.coordination.tests.specification import Rules, log_protocol, spread_protocol

MAX_STATES = 2_000_000


@pytest.mark.parametrize("protocol", [log_protocol, spread_protocol])
def test_invariants_hold_in_every_state(
    protocol: Callable[[Rules], Protocol], record_property: Callable[[str, object], None]
) -> None:
    result = check_safety(protocol(Rules()), max_states=MAX_STATES)
    record_property("states", result["reachable_states"])
    assert result["exhaustive"] is True
    for name, verdict in result["properties"].items():
        assert verdict["holds"] is True, (name, verdict["counterexample"])


MUTATIONS = [
    (log_protocol, Rules(votes_once=False), "one leader a term", 40_000),
    (log_protocol, Rules(syncs_votes=False), "one leader a term", 40_000),
    (log_protocol, Rules(compares_logs=False), "committed entry never lost", 40_000),
    (log_protocol, Rules(syncs_entries=False), "committed entry never lost", 40_000),
    (log_protocol, Rules(new_identity=False), "lost disk never votes from an empty memory", 40_000),
    (log_protocol, Rules(new_identity=False), "committed entry never lost", 200_000),
    (log_protocol, Rules(removes_first=False), "committed entry never lost", 200_000),
    (spread_protocol, Rules(installs_newer_only=False), "revision never falls", 40_000),
    (spread_protocol, Rules(keeps_before_use=False), "revision never falls", 40_000),
]


@pytest.mark.parametrize(("protocol", "rules", "broken", "max_states"), MUTATIONS)
def test_checker_finds_the_broken_rule(
    protocol: Callable[[Rules], Protocol], rules: Rules, broken: str, max_states: int
) -> None:
    result = check_safety(protocol(rules), max_states=max_states)
    assert result["properties"][broken]["holds"] is False
