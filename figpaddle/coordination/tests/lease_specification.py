"""A small specification of a lease on the replicated log and of orders sent under it.

Two instances claim the lease by entries of a log that puts them in one order. Time passes in steps;
a clock may miss one step in the time of a lease. An instance that takes no step while time passes is
frozen; it may hold an order that it has already picked up. A restart keeps what the log says and
nothing else. The engine runs whatever it is sent, as one that ignores fencing numbers does.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

DURATION = 2
WAIT_OUT = 3
MAX_CLAIMS = 3
MAX_RESTARTS = 1
#: Both are alike, so it is enough that one of them restarts.
RESTARTING = 0
INSTANCES = (0, 1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseRules:
    """Which rules the specification follows; a mutation breaks one of them."""

    waits_out: bool = True
    counts_from_proposal: bool = True
    checks_before_send: bool = True
    waits_after_restart: bool = True
    tells_runs_apart: bool = True


class Holder(NamedTuple):
    """One instance: what it has seen of the log, its timers, and the order in its hand."""

    seen: int = 0
    held: int = 0
    wait: int = 0
    claimed: int | None = None
    age: int = 0
    slack: int = 1
    order: int | None = None
    restarts: int = 0


class LeaseState(NamedTuple):
    """Everything that the invariants speak of."""

    #: Each entry is the instance that claimed and the number of its restarts by then.
    log: tuple[tuple[int, int], ...] = ()
    instances: tuple[Holder, Holder] = (Holder(), Holder())
    sent: int = 0
    overtaken: bool = False


Step = tuple[str, LeaseState]


def _with(state: LeaseState, number: int, holder: Holder) -> LeaseState:
    changed = list(state.instances)
    changed[number] = holder
    return state._replace(instances=(changed[0], changed[1]))


def _elapsed(holder: Holder) -> Holder:
    return holder._replace(
        held=max(0, holder.held - 1),
        wait=max(0, holder.wait - 1),
        age=min(DURATION, holder.age + 1) if holder.claimed is not None else 0,
    )


def _clocks(holder: Holder) -> Iterator[Holder]:
    yield _elapsed(holder)
    if holder.slack and (holder.held or holder.claimed is not None):
        yield holder._replace(slack=0, wait=max(0, holder.wait - 1))


def _time_steps(state: LeaseState) -> Iterator[Step]:
    for first in _clocks(state.instances[0]):
        for second in _clocks(state.instances[1]):
            yield "time", state._replace(instances=(first, second))


def _claim_steps(state: LeaseState, number: int, rules: LeaseRules) -> Iterator[Step]:
    own = state.instances[number]
    may_claim = own.held or own.wait == 0 or not rules.waits_out
    if own.claimed is None and may_claim and own.seen < MAX_CLAIMS:
        slack = 1 if own.held == 0 else own.slack
        claimed = own._replace(claimed=own.seen, age=0, slack=slack)
        yield f"claim {number}", _with(state, number, claimed)
    if own.claimed is not None and own.claimed == len(state.log):
        yield f"commit {number}", state._replace(log=(*state.log, (number, own.restarts)))


def _apply_steps(state: LeaseState, number: int, rules: LeaseRules) -> Iterator[Step]:
    own = state.instances[number]
    if own.seen == len(state.log):
        return
    held = 0
    holder, restarts = state.log[own.seen]
    same_run = restarts == own.restarts or not rules.tells_runs_apart
    if holder == number and same_run and own.claimed == own.seen:
        age = own.age if rules.counts_from_proposal else 0
        held = max(0, DURATION - age)
    applied = own._replace(seen=own.seen + 1, held=held, wait=WAIT_OUT, claimed=None, age=0)
    yield f"apply {number}", _with(state, number, applied)


def _order_steps(state: LeaseState, number: int, rules: LeaseRules) -> Iterator[Step]:
    own = state.instances[number]
    picked = 0 if rules.checks_before_send else own.seen
    if own.order is None and own.held:
        yield f"pick up {number}", _with(state, number, own._replace(order=picked))
    if own.order is None:
        return
    if own.held or not rules.checks_before_send:
        fencing = own.seen if rules.checks_before_send else own.order
        sent = _with(state, number, own._replace(order=None))
        yield (
            f"send {number}",
            sent._replace(
                sent=max(state.sent, fencing), overtaken=state.overtaken or fencing < state.sent
            ),
        )
    else:
        yield f"drop {number}", _with(state, number, own._replace(order=None))


def _restart_steps(state: LeaseState, number: int, rules: LeaseRules) -> Iterator[Step]:
    own = state.instances[number]
    if number != RESTARTING or own.restarts == MAX_RESTARTS:
        return
    wait = WAIT_OUT if rules.waits_after_restart else 0
    yield f"restart {number}", _with(
        state, number, Holder(seen=own.seen, wait=wait, restarts=own.restarts + 1)
    )


def lease_steps(state: LeaseState, rules: LeaseRules) -> Iterator[Step]:
    """Yield every possible step."""
    yield from _time_steps(state)
    for number in INSTANCES:
        yield from _claim_steps(state, number, rules)
        yield from _apply_steps(state, number, rules)
        yield from _order_steps(state, number, rules)
        yield from _restart_steps(state, number, rules)


def _one_holder(state: dict[str, Any]) -> bool:
    return sum(1 for holder in state["instances"] if holder.held) <= 1


def lease_protocol(rules: LeaseRules) -> Protocol:
    """Return the specification under ``rules``."""
    return Protocol(
        name="lease",
        candidate=False,
        fields=LeaseState._fields,
        initial=tuple(LeaseState()),
        transitions=lambda state: [
            (label, tuple(after)) for label, after in lease_steps(LeaseState(*state), rules)
        ],
        invariants={
            "one order-holder at a time": _one_holder,
            "no order after one with a newer number": lambda state: not state["overtaken"],
        },
    )
