"""A small specification of the register: voters, proposers, short rounds and lost disks.

Each proposer makes one change: it adds its mark to the value. A promise or an acceptance is one
step of the voter that gives it and counts at the proposer from then on, whatever becomes of the
voter. A voter may lose its disk once and votes again only after it has read from enough others.
The incarnations of voters are left out: they are a second line of defence.
"""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

VOTERS = (0, 1, 2)
MAJORITY = 2
#: Voters other than a lost one from which it must read: every majority that counted it keeps one.
RECOVERY = 2
PROPOSERS = (1, 2)
#: Ballot under which a voter recovers; above all that the lost disk may have promised.
RECOVERY_BALLOT = 10


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """Which rules the specification follows; a mutation breaks one of them."""

    reads_before_voting: bool = True
    keeps_promises: bool = True
    short_round_reserves: bool = True
    takes_newest: bool = True
    recovers_far_above: bool = True


class VoterNode(NamedTuple):
    """One voter."""

    complete: bool = True
    promised: int = 0
    accepted: int = 0
    value: frozenset[int] = frozenset()


class ProposerNode(NamedTuple):
    """One proposer: its ballot, the promises that count and the voters that accepted."""

    ballot: int = 0
    phase: str = "idle"
    promises: frozenset[tuple[int, int, frozenset[int]]] = frozenset()
    value: frozenset[int] = frozenset()
    accepted_by: frozenset[int] = frozenset()


class Register(NamedTuple):
    """Everything that the invariants speak of."""

    voters: tuple[VoterNode, ...] = (VoterNode(),) * 3
    proposers: tuple[ProposerNode, ...] = (ProposerNode(),) * 2
    #: Changes that were confirmed.
    confirmed: frozenset[int] = frozenset()
    #: Values that a majority accepted, with their ballots.
    chosen: frozenset[tuple[int, frozenset[int]]] = frozenset()
    lost_disks: int = 0
    shorts: int = 0


def _voter(state: Register, index: int, **changes: Any) -> Register:
    voters = list(state.voters)
    voters[index] = voters[index]._replace(**changes)
    return state._replace(voters=tuple(voters))


def _proposer(state: Register, index: int, **changes: Any) -> Register:
    proposers = list(state.proposers)
    proposers[index] = proposers[index]._replace(**changes)
    return state._replace(proposers=tuple(proposers))


def _steps(state: Register, rules: Rules) -> Iterator[tuple[str, Register]]:
    for index in range(len(PROPOSERS)):
        yield from _proposer_steps(state, index, rules)
    for name in VOTERS:
        yield from _disk_steps(state, name, rules)


def _proposer_steps(state: Register, index: int, rules: Rules) -> Iterator[tuple[str, Register]]:
    node = state.proposers[index]
    mark = PROPOSERS[index]
    if node.phase == "idle":
        # A proposer begins as one that has seen no other, a round of the other or a recovery.
        ballots = [mark, mark + 2 * len(PROPOSERS)]
        recovered = any(voter.promised >= RECOVERY_BALLOT for voter in state.voters)
        if recovered or not rules.recovers_far_above:
            ballots.append(RECOVERY_BALLOT + mark)
        for ballot in ballots:
            yield (
                f"begin {mark} at {ballot}",
                _proposer(state, index, phase="prepare", ballot=ballot),
            )
    if node.phase == "prepare":
        for name in VOTERS:
            voter = state.voters[name]
            asked = any(promise[0] == name for promise in node.promises)
            if asked or not voter.complete or voter.promised >= node.ballot:
                continue
            promise = (name, voter.accepted, voter.value)
            after = _voter(state, name, promised=node.ballot) if rules.keeps_promises else state
            yield (
                f"promise {name} {mark}",
                _proposer(after, index, promises=node.promises | {promise}),
            )
        if len(node.promises) >= MAJORITY:
            pick = max if rules.takes_newest else min
            newest = pick(node.promises, key=lambda promise: promise[1])
            yield (
                f"propose {mark}",
                _proposer(state, index, phase="accept", value=newest[2] | {mark}),
            )
    if node.phase == "accept":
        yield from _accept_steps(state, index, rules)
    if node.phase == "won" and state.shorts == 0:
        # A proposer that won goes on with the ballot that its majority promised meanwhile.
        yield (
            f"short {mark}",
            _proposer(
                state._replace(shorts=1),
                index,
                phase="accept",
                ballot=_reserved(node.ballot),
                value=node.value | {mark + 10},
                accepted_by=frozenset(),
            ),
        )


def _reserved(ballot: int) -> int:
    """Return the later ballot of the same proposer."""
    return ballot + len(PROPOSERS)


def _accept_steps(state: Register, index: int, rules: Rules) -> Iterator[tuple[str, Register]]:
    node = state.proposers[index]
    mark = PROPOSERS[index]
    for name in sorted(promise[0] for promise in node.promises):
        voter = state.voters[name]
        if name in node.accepted_by or not voter.complete or voter.promised > node.ballot:
            continue
        promised = _reserved(node.ballot) if rules.short_round_reserves else node.ballot
        after = _voter(state, name, promised=promised, accepted=node.ballot, value=node.value)
        accepted_by = node.accepted_by | {name}
        after = _proposer(after, index, accepted_by=accepted_by)
        if len(accepted_by) >= MAJORITY:
            after = _proposer(after, index, phase="won")
            after = after._replace(
                confirmed=after.confirmed | node.value,
                chosen=after.chosen | {(node.ballot, node.value)},
            )
        yield f"accept {name} {mark}", after


def _disk_steps(state: Register, name: int, rules: Rules) -> Iterator[tuple[str, Register]]:
    voter = state.voters[name]
    if state.lost_disks == 0:
        fresh = VoterNode(complete=not rules.reads_before_voting)
        voters = tuple(fresh if index == name else old for index, old in enumerate(state.voters))
        yield f"lose {name}", state._replace(voters=voters, lost_disks=1)
    if voter.complete:
        return
    others = [index for index in VOTERS if index != name]
    if all(
        state.voters[index].complete and state.voters[index].promised < RECOVERY_BALLOT
        for index in others[:RECOVERY]
    ):
        after = state
        for index in others:
            after = _voter(after, index, promised=RECOVERY_BALLOT)
        newest = max((state.voters[index] for index in others), key=lambda one: one.accepted)
        after = _voter(
            after,
            name,
            complete=True,
            promised=RECOVERY_BALLOT,
            accepted=newest.accepted,
            value=newest.value,
        )
        yield f"recover {name}", after


def _none_lost(state: Register) -> bool:
    """Return whether the newest chosen value holds every confirmed change."""
    if not state.chosen:
        return True
    newest = max(state.chosen, key=lambda one: one[0])[1]
    return state.confirmed <= newest


def _readable(state: Register) -> bool:
    """Return whether every majority of voting voters shows all confirmed changes."""
    for left, right in itertools.combinations(state.voters, MAJORITY):
        if left.complete and right.complete:
            newest = max(left, right, key=lambda voter: voter.accepted)
            if not state.confirmed <= newest.value:
                return False
    return True


def register_protocol(rules: Rules) -> Protocol:
    """Return the register under ``rules``."""
    return Protocol(
        name="register",
        candidate=False,
        fields=Register._fields,
        initial=tuple(Register()),
        transitions=lambda state: [
            (label, tuple(after)) for label, after in _steps(Register(*state), rules)
        ],
        invariants={
            "confirmed change never lost": lambda state: _none_lost(Register(**state)),
            "every majority shows confirmed changes": lambda state: _readable(Register(**state)),
        },
    )
