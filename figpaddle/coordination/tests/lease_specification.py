"""A specification of a lease on the replicated log and of commands sent under it, for minicheck.

Two instances claim the lease through entries of a totally ordered log. Time passes in steps; a
clock may miss one step per lease. An instance that takes no step while time passes is stalled; it may
still have a command that it is about to send. After a restart an instance knows only the log. The
engine runs every command that it receives, like one that ignores fencing tokens.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

DURATION = 2
TAKEOVER_WAIT = 3
MAX_CLAIMS = 3
MAX_RESTARTS = 1
#: The two instances are symmetric, so it is enough that one of them restarts.
RESTARTING = 0
INSTANCES = (0, 1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseRules:
    """The rules that the specification follows; a mutation disables one of them."""

    waits_for_expiry: bool = True
    counts_from_proposal: bool = True
    checks_before_send: bool = True
    waits_after_restart: bool = True
    distinguishes_restarts: bool = True


class Holder(NamedTuple):
    """One instance: its position in the log, its timers and the command to send next."""

    #: Number of log entries applied; it is also the fencing token of the last claim.
    seen: int = 0
    #: Remaining steps for which the instance holds the lease.
    held: int = 0
    #: Remaining steps until the instance may claim the lease from another holder.
    wait: int = 0
    #: Log position at which the pending claim must be committed; None without one.
    claimed: int | None = None
    #: Steps since the pending claim was proposed.
    age: int = 0
    #: Steps that the clock may still miss during this lease.
    slack: int = 1
    #: Fencing token of the command to send, 0 if the token is read at sending; None without a
    #: command.
    command: int | None = None
    restarts: int = 0


class LeaseState(NamedTuple):
    """The log, both instances, and the history that the invariants need."""

    #: Instance that claimed and the number of its restarts at that time, for each entry.
    log: tuple[tuple[int, int], ...] = ()
    instances: tuple[Holder, Holder] = (Holder(), Holder())
    #: Highest fencing token that was sent.
    sent: int = 0
    #: Whether a command was sent with a lower fencing token than an earlier one.
    stale_send: bool = False


Step = tuple[str, LeaseState]


def _with_holder(state: LeaseState, number: int, holder: Holder) -> LeaseState:
    changed = list(state.instances)
    changed[number] = holder
    return state._replace(instances=(changed[0], changed[1]))


def _advance(holder: Holder) -> Holder:
    return holder._replace(
        held=max(0, holder.held - 1),
        wait=max(0, holder.wait - 1),
        age=min(DURATION, holder.age + 1) if holder.claimed is not None else 0,
    )


def _clock_variants(holder: Holder) -> Iterator[Holder]:
    yield _advance(holder)
    if holder.slack and (holder.held or holder.claimed is not None):
        yield holder._replace(slack=0, wait=max(0, holder.wait - 1))


def _time_steps(state: LeaseState) -> Iterator[Step]:
    for first in _clock_variants(state.instances[0]):
        for second in _clock_variants(state.instances[1]):
            yield "time", state._replace(instances=(first, second))


def _claim_steps(state: LeaseState, number: int, rules: LeaseRules) -> Iterator[Step]:
    own = state.instances[number]
    may_claim = own.held or own.wait == 0 or not rules.waits_for_expiry
    if own.claimed is None and may_claim and own.seen < MAX_CLAIMS:
        slack = 1 if own.held == 0 else own.slack
        claimed = own._replace(claimed=own.seen, age=0, slack=slack)
        yield f"claim {number}", _with_holder(state, number, claimed)
    if own.claimed is not None and own.claimed == len(state.log):
        yield f"commit {number}", state._replace(log=(*state.log, (number, own.restarts)))


def _apply_steps(state: LeaseState, number: int, rules: LeaseRules) -> Iterator[Step]:
    own = state.instances[number]
    if own.seen == len(state.log):
        return
    held = 0
    holder, restarts = state.log[own.seen]
    same_incarnation = restarts == own.restarts or not rules.distinguishes_restarts
    if holder == number and same_incarnation and own.claimed == own.seen:
        age = own.age if rules.counts_from_proposal else 0
        held = max(0, DURATION - age)
    applied = own._replace(seen=own.seen + 1, held=held, wait=TAKEOVER_WAIT, claimed=None, age=0)
    yield f"apply {number}", _with_holder(state, number, applied)


def _command_steps(state: LeaseState, number: int, rules: LeaseRules) -> Iterator[Step]:
    own = state.instances[number]
    prepared_token = 0 if rules.checks_before_send else own.seen
    if own.command is None and own.held:
        yield f"prepare {number}", _with_holder(state, number, own._replace(command=prepared_token))
    if own.command is None:
        return
    if own.held or not rules.checks_before_send:
        token = own.seen if rules.checks_before_send else own.command
        sent = _with_holder(state, number, own._replace(command=None))
        yield (
            f"send {number}",
            sent._replace(
                sent=max(state.sent, token), stale_send=state.stale_send or token < state.sent
            ),
        )
    else:
        yield f"drop {number}", _with_holder(state, number, own._replace(command=None))


def _restart_steps(state: LeaseState, number: int, rules: LeaseRules) -> Iterator[Step]:
    own = state.instances[number]
    if number != RESTARTING or own.restarts == MAX_RESTARTS:
        return
    wait = TAKEOVER_WAIT if rules.waits_after_restart else 0
    yield f"restart {number}", _with_holder(
        state, number, Holder(seen=own.seen, wait=wait, restarts=own.restarts + 1)
    )


def lease_steps(state: LeaseState, rules: LeaseRules) -> Iterator[Step]:
    """Yield the label and the result of every possible step."""
    yield from _time_steps(state)
    for number in INSTANCES:
        yield from _claim_steps(state, number, rules)
        yield from _apply_steps(state, number, rules)
        yield from _command_steps(state, number, rules)
        yield from _restart_steps(state, number, rules)


def _one_holder(state: dict[str, Any]) -> bool:
    return sum(1 for holder in state["instances"] if holder.held) <= 1


def lease_protocol(rules: LeaseRules) -> Protocol:
    """Return the specification with ``rules``."""
    return Protocol(
        name="lease",
        candidate=False,
        fields=LeaseState._fields,
        initial=tuple(LeaseState()),
        transitions=lambda state: [
            (label, tuple(after)) for label, after in lease_steps(LeaseState(*state), rules)
        ],
        invariants={
            "at most one holder at a time": _one_holder,
            "no command after one with a higher fencing token": lambda state: not state[
                "stale_send"
            ],
        },
    )
