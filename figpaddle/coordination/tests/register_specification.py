"""A specification of the register for minicheck: voters, proposers, short rounds and lost disks.

Each proposer makes one change: it adds its number to the value. A promise or an acceptance is one
step of the voter that sends it and counts at the proposer from then on, even if the voter fails.
A short round is one without a prepare phase; it uses the ballot that the voters reserved with their
last acceptance. One voter may lose its disk; it votes again only after it has read from enough
others. The incarnations of voters are omitted, since they are an additional safeguard.
"""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

VOTERS = (0, 1, 2)
MAJORITY = 2
#: Number of other voters from which a voter that lost its disk must read. Every majority that
#: included it also includes one of them.
RECOVERY_QUORUM = 2
PROPOSERS = (1, 2)
#: Ballot of a recovery; higher than any ballot that the lost disk may have promised.
RECOVERY_BALLOT = 10


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """The rules that the specification follows; a mutation disables one of them."""

    reads_before_voting: bool = True
    keeps_promises: bool = True
    accept_reserves_ballot: bool = True
    adopts_newest: bool = True
    recovers_with_high_ballot: bool = True


class VoterNode(NamedTuple):
    """One voter."""

    complete: bool = True
    promised: int = 0
    accepted: int = 0
    value: frozenset[int] = frozenset()


class ProposerNode(NamedTuple):
    """One proposer: its ballot, the promises it received and the voters that accepted."""

    ballot: int = 0
    phase: str = "idle"
    promises: frozenset[tuple[int, int, frozenset[int]]] = frozenset()
    value: frozenset[int] = frozenset()
    accepted_by: frozenset[int] = frozenset()


class RegisterState(NamedTuple):
    """All voters and proposers, and the history that the invariants need."""

    voters: tuple[VoterNode, ...] = (VoterNode(),) * 3
    proposers: tuple[ProposerNode, ...] = (ProposerNode(),) * 2
    #: Changes that were confirmed to their callers.
    confirmed: frozenset[int] = frozenset()
    #: Values that a majority accepted, with their ballots.
    chosen: frozenset[tuple[int, frozenset[int]]] = frozenset()
    lost_disks: int = 0
    short_rounds: int = 0


def _with_voter(state: RegisterState, index: int, **changes: Any) -> RegisterState:
    voters = list(state.voters)
    voters[index] = voters[index]._replace(**changes)
    return state._replace(voters=tuple(voters))


def _with_proposer(state: RegisterState, index: int, **changes: Any) -> RegisterState:
    proposers = list(state.proposers)
    proposers[index] = proposers[index]._replace(**changes)
    return state._replace(proposers=tuple(proposers))


def _steps(state: RegisterState, rules: Rules) -> Iterator[tuple[str, RegisterState]]:
    for index in range(len(PROPOSERS)):
        yield from _proposer_steps(state, index, rules)
    for name in VOTERS:
        yield from _disk_steps(state, name, rules)


def _proposer_steps(
    state: RegisterState, index: int, rules: Rules
) -> Iterator[tuple[str, RegisterState]]:
    node = state.proposers[index]
    number = PROPOSERS[index]
    if node.phase == "idle":
        # The first ballot of a proposer that knows of no other round, of one round of the other
        # proposer, or of a recovery.
        ballots = [number, number + 2 * len(PROPOSERS)]
        recovered = any(voter.promised >= RECOVERY_BALLOT for voter in state.voters)
        if recovered or not rules.recovers_with_high_ballot:
            ballots.append(RECOVERY_BALLOT + number)
        for ballot in ballots:
            yield (
                f"begin {number} at {ballot}",
                _with_proposer(state, index, phase="prepare", ballot=ballot),
            )
    if node.phase == "prepare":
        for name in VOTERS:
            voter = state.voters[name]
            has_promised = any(promise[0] == name for promise in node.promises)
            if has_promised or not voter.complete or voter.promised >= node.ballot:
                continue
            promise = (name, voter.accepted, voter.value)
            after = (
                _with_voter(state, name, promised=node.ballot) if rules.keeps_promises else state
            )
            yield (
                f"promise {name} {number}",
                _with_proposer(after, index, promises=node.promises | {promise}),
            )
        if len(node.promises) >= MAJORITY:
            select = max if rules.adopts_newest else min
            newest = select(node.promises, key=lambda promise: promise[1])
            yield (
                f"propose {number}",
                _with_proposer(state, index, phase="accept", value=newest[2] | {number}),
            )
    if node.phase == "accept":
        yield from _accept_steps(state, index, rules)
    if node.phase == "won" and state.short_rounds == 0:
        # The proposer continues with the ballot that its majority reserved.
        yield (
            f"short {number}",
            _with_proposer(
                state._replace(short_rounds=1),
                index,
                phase="accept",
                ballot=_reserved(node.ballot),
                value=node.value | {number + 10},
                accepted_by=frozenset(),
            ),
        )


def _reserved(ballot: int) -> int:
    """Return the later ballot of the same proposer."""
    return ballot + len(PROPOSERS)


def _accept_steps(
    state: RegisterState, index: int, rules: Rules
) -> Iterator[tuple[str, RegisterState]]:
    node = state.proposers[index]
    number = PROPOSERS[index]
    for name in sorted(promise[0] for promise in node.promises):
        voter = state.voters[name]
        if name in node.accepted_by or not voter.complete or voter.promised > node.ballot:
            continue
        promised = _reserved(node.ballot) if rules.accept_reserves_ballot else node.ballot
        after = _with_voter(state, name, promised=promised, accepted=node.ballot, value=node.value)
        accepted_by = node.accepted_by | {name}
        after = _with_proposer(after, index, accepted_by=accepted_by)
        if len(accepted_by) >= MAJORITY:
            after = _with_proposer(after, index, phase="won")
            after = after._replace(
                confirmed=after.confirmed | node.value,
                chosen=after.chosen | {(node.ballot, node.value)},
            )
        yield f"accept {name} {number}", after


def _disk_steps(
    state: RegisterState, name: int, rules: Rules
) -> Iterator[tuple[str, RegisterState]]:
    voter = state.voters[name]
    if state.lost_disks == 0:
        replacement = VoterNode(complete=not rules.reads_before_voting)
        voters = tuple(
            replacement if index == name else old for index, old in enumerate(state.voters)
        )
        yield f"lose {name}", state._replace(voters=voters, lost_disks=1)
    if voter.complete:
        return
    others = [index for index in VOTERS if index != name]
    if all(
        state.voters[index].complete and state.voters[index].promised < RECOVERY_BALLOT
        for index in others[:RECOVERY_QUORUM]
    ):
        after = state
        for index in others:
            after = _with_voter(after, index, promised=RECOVERY_BALLOT)
        newest = max((state.voters[index] for index in others), key=lambda voter: voter.accepted)
        after = _with_voter(
            after,
            name,
            complete=True,
            promised=RECOVERY_BALLOT,
            accepted=newest.accepted,
            value=newest.value,
        )
        yield f"recover {name}", after


def _keeps_confirmed_changes(state: RegisterState) -> bool:
    """Return whether the newest chosen value holds every confirmed change."""
    if not state.chosen:
        return True
    newest = max(state.chosen, key=lambda value: value[0])[1]
    return state.confirmed <= newest


def _majorities_are_current(state: RegisterState) -> bool:
    """Return whether the newest value of every voting majority has all confirmed changes."""
    for first, second in itertools.combinations(state.voters, MAJORITY):
        if first.complete and second.complete:
            newest = max(first, second, key=lambda voter: voter.accepted)
            if not state.confirmed <= newest.value:
                return False
    return True


def register_protocol(rules: Rules) -> Protocol:
    """Return the specification of the register with ``rules``."""
    return Protocol(
        name="register",
        candidate=False,
        fields=RegisterState._fields,
        initial=tuple(RegisterState()),
        transitions=lambda state: [
            (label, tuple(after)) for label, after in _steps(RegisterState(*state), rules)
        ],
        invariants={
            "confirmed changes are never lost": lambda state: _keeps_confirmed_changes(
                RegisterState(**state)
            ),
            "every majority has all confirmed changes": lambda state: _majorities_are_current(
                RegisterState(**state)
            ),
        },
    )
