"""The register: its specification, its voters' rules, and founding."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from minicheck import check_safety

from figpaddle.coordination import (
    NO_BALLOT,
    Ballot,
    Founder,
    Promise,
    Voter,
    VoterState,
    is_settled,
    majority,
    recovery_quorum,
)
from figpaddle.coordination.tests.register_specification import Rules, register_protocol

MAX_STATES = 2_000_000


def test_invariants_hold_in_every_state(record_property: Callable[[str, object], None]) -> None:
    result = check_safety(register_protocol(Rules()), max_states=MAX_STATES)
    record_property("states", result["reachable_states"])
    assert result["exhaustive"] is True
    for name, verdict in result["properties"].items():
        assert verdict["holds"] is True, (name, verdict["counterexample"])


@pytest.mark.parametrize(
    "rules",
    [
        Rules(reads_before_voting=False),
        Rules(keeps_promises=False),
        Rules(short_round_reserves=False),
        Rules(takes_newest=False),
        Rules(recovers_far_above=False),
    ],
)
def test_checker_finds_each_broken_rule(rules: Rules) -> None:
    result = check_safety(register_protocol(rules), max_states=MAX_STATES)
    assert not all(verdict["holds"] for verdict in result["properties"].values())


def voter(*, complete: bool = True) -> Voter:
    return Voter(name="a", state=VoterState(incarnation="one", complete=complete))


def accept(one: Voter, ballot: Ballot, value: bytes, reserved: Ballot = NO_BALLOT) -> bool:
    state, answer = one.accept(ballot, value, incarnation="one", reserved=reserved)
    one.replace(state)
    return answer.granted


def test_a_voter_keeps_the_highest_promise() -> None:
    one = voter()
    state, promise = one.prepare(Ballot(3, "x"))
    one.replace(state)
    assert promise.granted
    assert not one.prepare(Ballot(2, "y"))[1].granted
    assert not accept(one, Ballot(2, "y"), b"old")
    assert accept(one, Ballot(3, "x"), b"new")


def test_a_voter_that_lost_its_disk_answers_nothing_until_it_has_read() -> None:
    one = voter(complete=False)
    assert not one.prepare(Ballot(9, "x"))[1].granted
    assert not accept(one, Ballot(9, "x"), b"value")


def test_a_promise_of_an_earlier_incarnation_does_not_count() -> None:
    one = voter()
    _, answer = one.accept(Ballot(1, "x"), b"value", incarnation="zero", reserved=NO_BALLOT)
    assert not answer.granted


def test_an_acceptance_promises_the_reserved_ballot_too() -> None:
    one = voter()
    assert accept(one, Ballot(1, "x"), b"first", reserved=Ballot(3, "x"))
    assert not one.prepare(Ballot(2, "y"))[1].granted
    assert accept(one, Ballot(3, "x"), b"second")


def promise(name: str, number: int) -> Promise:
    return Promise(
        voter=name,
        incarnation="",
        granted=True,
        promised=Ballot(number, "x"),
        accepted=Ballot(number, "x"),
        value=b"",
    )


def test_a_value_is_settled_once_a_majority_holds_it() -> None:
    assert is_settled((promise("a", 2), promise("b", 2), promise("c", 1)), voters=3)
    assert not is_settled((promise("a", 2), promise("b", 1)), voters=3)


@pytest.mark.parametrize("voters", range(1, 12))
def test_recovery_reads_from_one_member_of_every_majority(voters: int) -> None:
    others_in_majority = majority(voters) - 1
    others = voters - 1
    assert recovery_quorum(voters) + others_in_majority > others


def test_only_the_lowest_seed_decides_and_waits_for_slow_starters() -> None:
    seeds = ("10.0.0.2", "10.0.0.1")
    assert Founder(name="10.0.0.2", seeds=seeds, now=0.0).decide(now=60.0) is None
    founder = Founder(name="10.0.0.1", seeds=seeds, now=0.0)
    founder.heard("10.0.0.2", now=3.0)
    assert founder.decide(now=4.0) is None
    decision = founder.decide(now=5.0)
    assert decision is not None and decision.names == ("10.0.0.1", "10.0.0.2")
