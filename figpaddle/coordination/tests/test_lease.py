"""At most one instance holds the lease; the specification and the code."""

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
        (LeaseRules(waits_out=False), "one order-holder at a time", 40_000),
        (LeaseRules(waits_out=False), "no order after one with a newer number", 150_000),
        (LeaseRules(counts_from_proposal=False), "one order-holder at a time", 40_000),
        (LeaseRules(checks_before_send=False), "no order after one with a newer number", 150_000),
        (LeaseRules(waits_after_restart=False), "one order-holder at a time", 40_000),
        (LeaseRules(tells_runs_apart=False), "one order-holder at a time", 40_000),
    ],
)
def test_checker_finds_the_broken_rule(rules: LeaseRules, broken: str, max_states: int) -> None:
    result = check_safety(lease_protocol(rules), max_states=max_states)
    assert result["properties"][broken]["holds"] is False


def holds(lease: Lease, now: float) -> bool:
    try:
        lease.check(now=now)
    except LeaseLostError:
        return False
    return True


def checks_passed(seed: int) -> int:
    """Run one random schedule and return how often an instance found that it holds the lease."""
    rng = random.Random(seed)
    timing = LeaseTiming()
    rates = {"one": 1.0, "two": rng.uniform(0.98, 1.02)}
    leases = {name: Lease(own=name, incarnation=0, now=0.0, timing=timing) for name in rates}
    log: list[LeaseClaim] = []
    applied = dict.fromkeys(rates, 0)
    proposed: list[LeaseClaim] = []
    now = 0.0
    passed = 0
    for step in range(400):
        now += rng.choice((0.0, 0.1, 0.5, 2.0))
        name = rng.choice(list(rates))
        clock = now * rates[name]
        action = rng.random()
        if action < 0.35:
            claim = leases[name].claim(now=clock)
            proposed += [claim] if claim is not None else []
        elif action < 0.6 and proposed:
            log.append(proposed.pop(rng.randrange(len(proposed))))
        elif action < 0.97:
            for claim in log[applied[name] :]:
                leases[name].committed(claim, now=clock)
            applied[name] = len(log)
        else:
            last = leases[name].last
            leases[name] = Lease(own=name, incarnation=step, now=clock, last=last, timing=timing)
        holders = [one for one in rates if holds(leases[one], now * rates[one])]
        assert len(holders) <= 1
        passed += len(holders)
    return passed


def test_two_instances_never_hold_it_at_once() -> None:
    assert sum(checks_passed(seed) for seed in range(200)) > 0


def test_frozen_holder_that_wakes_late_may_not_send() -> None:
    lease = Lease(own="one", incarnation=1, now=0.0)
    claim = lease.claim(now=5.0)
    assert claim is not None
    lease.committed(claim, now=5.1)
    assert lease.check(now=5.2) == 1
    with pytest.raises(LeaseLostError):
        lease.check(now=9.0)


def test_claim_that_another_has_overtaken_counts_for_nothing() -> None:
    lease = Lease(own="one", incarnation=1, now=0.0)
    late = lease.claim(now=5.0)
    assert late is not None
    lease.committed(LeaseClaim(holder="two", incarnation=1, replaces=0), now=5.1)
    lease.committed(late, now=5.2)
    assert lease.last == LeaseClaim(holder="two", incarnation=1, replaces=0)
    assert not holds(lease, 5.3)
    assert lease.claim(now=9.2) is None
    assert lease.claim(now=9.4) is not None


def test_instance_that_restarts_waits_out_what_may_still_hold() -> None:
    claim = LeaseClaim(holder="two", incarnation=1, replaces=0)
    lease = Lease(own="one", incarnation=2, now=100.0, last=claim)
    assert lease.claim(now=104.1) is None
    assert lease.claim(now=104.3) is not None
