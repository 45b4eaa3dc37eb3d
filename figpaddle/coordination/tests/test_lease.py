"""Checks the lease against its specification and under random schedules."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from minicheck import check_safety

from figpaddle.coordination import Lease, LeaseClaim, LeaseTiming
from figpaddle.coordination.tests.lease_specification import LeaseRules, lease_protocol
from figpaddle.errors import LeaseLostError

MAX_STATES = 1_000_000


def test_invariants_hold_in_every_state(record_property: Callable[[str, object], None]) -> None:
    result = check_safety(lease_protocol(LeaseRules()), max_states=MAX_STATES)
    record_property("states", result["reachable_states"])
    assert result["exhaustive"] is True
    for name, verdict in result["properties"].items():
        assert verdict["holds"] is True, (name, verdict["counterexample"])


@pytest.mark.parametrize(
    ("rules", "broken", "max_states"),
    [
        (LeaseRules(waits_for_expiry=False), "at most one holder at a time", 40_000),
        (
            LeaseRules(waits_for_expiry=False),
            "no command after one with a higher fencing token",
            150_000,
        ),
        (LeaseRules(counts_from_proposal=False), "at most one holder at a time", 40_000),
        (
            LeaseRules(checks_before_send=False),
            "no command after one with a higher fencing token",
            150_000,
        ),
        (LeaseRules(waits_after_restart=False), "at most one holder at a time", 40_000),
        (LeaseRules(distinguishes_restarts=False), "at most one holder at a time", 40_000),
    ],
)
def test_checker_detects_the_broken_rule(rules: LeaseRules, broken: str, max_states: int) -> None:
    result = check_safety(lease_protocol(rules), max_states=max_states)
    assert result["properties"][broken]["holds"] is False


def holds(lease: Lease, now: float) -> bool:
    try:
        lease.check_held(now=now)
    except LeaseLostError:
        return False
    return True


def count_held_checks(seed: int) -> int:
    """Run one random schedule and return how often a check found a holder of the lease."""
    rng = random.Random(seed)
    timing = LeaseTiming()
    clock_rates = {"one": 1.0, "two": rng.uniform(0.98, 1.02)}
    leases = {name: Lease(own=name, incarnation=0, now=0.0, timing=timing) for name in clock_rates}
    log: list[LeaseClaim] = []
    applied = dict.fromkeys(clock_rates, 0)
    proposed: list[LeaseClaim] = []
    now = 0.0
    held_checks = 0
    for step in range(400):
        now += rng.choice((0.0, 0.1, 0.5, 2.0))
        name = rng.choice(list(clock_rates))
        local_now = now * clock_rates[name]
        action = rng.random()
        if action < 0.35:
            claim = leases[name].propose_claim(now=local_now)
            proposed += [claim] if claim is not None else []
        elif action < 0.6 and proposed:
            log.append(proposed.pop(rng.randrange(len(proposed))))
        elif action < 0.97:
            for claim in log[applied[name] :]:
                leases[name].apply_claim(claim, now=local_now)
            applied[name] = len(log)
        else:
            last_claim = leases[name].last_claim
            leases[name] = Lease(
                own=name, incarnation=step, now=local_now, last_claim=last_claim, timing=timing
            )
        holders = [other for other in clock_rates if holds(leases[other], now * clock_rates[other])]
        assert len(holders) <= 1
        held_checks += len(holders)
    return held_checks


def test_two_instances_never_hold_the_lease_at_once() -> None:
    assert sum(count_held_checks(seed) for seed in range(200)) > 0


def test_stalled_holder_that_resumes_after_expiry_may_not_send() -> None:
    lease = Lease(own="one", incarnation=1, now=0.0)
    claim = lease.propose_claim(now=5.0)
    assert claim is not None
    lease.apply_claim(claim, now=5.1)
    assert lease.check_held(now=5.2) == 1
    with pytest.raises(LeaseLostError):
        lease.check_held(now=9.0)


def test_claim_committed_after_a_competing_one_has_no_effect() -> None:
    lease = Lease(own="one", incarnation=1, now=0.0)
    late_claim = lease.propose_claim(now=5.0)
    assert late_claim is not None
    lease.apply_claim(LeaseClaim(holder="two", incarnation=1, replaced_token=0), now=5.1)
    lease.apply_claim(late_claim, now=5.2)
    assert lease.last_claim == LeaseClaim(holder="two", incarnation=1, replaced_token=0)
    assert not holds(lease, 5.3)
    assert lease.propose_claim(now=9.2) is None
    assert lease.propose_claim(now=9.4) is not None


def test_restarted_instance_waits_until_an_earlier_claim_has_expired() -> None:
    claim = LeaseClaim(holder="two", incarnation=1, replaced_token=0)
    lease = Lease(own="one", incarnation=2, now=100.0, last_claim=claim)
    assert lease.propose_claim(now=104.1) is None
    assert lease.propose_claim(now=104.3) is not None
