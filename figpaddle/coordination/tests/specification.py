"""Specifications of the replicated log and of the distribution of revisions, for minicheck.

Three replicas elect leaders and append entries. A vote or an acknowledgement is one step of the
replica that sends it, and counts at the candidate or the leader from then on, even if its sender
crashes. A crash loses the state in memory, which is the role. A lost disk loses everything, and
the replica returns under a new identity. The leader first commits the removal of the old identity,
then the addition of the new one; each change is effective for the replicas whose log contains it.
An entry is represented by its term, plus ``REMOVAL`` or ``ADDITION`` for a membership change.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

REPLICAS = (0, 1, 2)
QUORUM = 2
MAX_TERM = 2
MAX_LOG = 3
MAX_REVISION = 3
REMOVAL, ADDITION = 10, 20
FOLLOWER, CANDIDATE, LEADER = "F", "C", "L"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """The rules that the specification follows; a mutation disables one of them."""

    votes_once: bool = True
    compares_logs: bool = True
    persists_votes: bool = True
    persists_entries: bool = True
    gives_new_identity: bool = True
    removes_predecessor_first: bool = True
    installs_newer_only: bool = True
    persists_before_use: bool = True


class Node(NamedTuple):
    """One replica."""

    term: int = 0
    vote: int | None = None
    log: tuple[int, ...] = ()
    role: str = FOLLOWER
    #: Whether the replica has a new identity since its disk was lost.
    replaced: bool = False
    #: Whether its disk was lost and its new identity isn't a voter yet.
    blank: bool = False
    #: Votes received by a candidate.
    votes: frozenset[int] = frozenset()
    #: Number of entries that each replica has acknowledged to a leader.
    matches: tuple[int, int, int] = (0, 0, 0)


class LogState(NamedTuple):
    """The state of all replicas, and the history that the invariants need."""

    nodes: tuple[Node, Node, Node] = (Node(), Node(), Node())
    winners: tuple[int | None, ...] = (None,) * (MAX_TERM + 1)
    committed: tuple[int, ...] = ()
    commit_term: int = 0
    lost_disks: int = 0
    #: Whether two replicas have led the same term.
    two_leaders: bool = False
    #: Whether a replica has voted with an empty log after it lost its disk.
    blank_vote: bool = False


def _with_node(state: LogState, index: int, **changes: Any) -> LogState:
    nodes = list(state.nodes)
    nodes[index] = nodes[index]._replace(**changes)
    return state._replace(nodes=tuple(nodes))


def _log_position(log: tuple[int, ...]) -> tuple[int, int]:
    return (_term(log[-1]) if log else 0, len(log))


def _term(entry: int) -> int:
    return entry % REMOVAL


def _is_voter(node: Node, log: tuple[int, ...]) -> bool:
    """Return whether ``node`` is a voter according to ``log``."""
    return not node.replaced or any(entry > ADDITION for entry in log)


def log_steps(state: LogState, rules: Rules) -> Iterator[tuple[str, LogState]]:
    for index in REPLICAS:
        node = state.nodes[index]
        if node.role != FOLLOWER:
            reset = {"role": FOLLOWER, "votes": frozenset(), "matches": (0, 0, 0)}
            yield f"crash {index}", _with_node(state, index, **reset)
        if _is_voter(node, node.log) and node.role != LEADER and node.term < MAX_TERM:
            yield f"campaign {index}", _campaign(state, index)
        if node.role == CANDIDATE:
            yield from _vote_steps(state, index, rules)
        if node.role == LEADER:
            yield from _leader_steps(state, index, rules)
        if state.lost_disks == 0:
            yield f"lose disk {index}", _lose_disk(state, index, rules)


def _campaign(state: LogState, index: int) -> LogState:
    term = state.nodes[index].term + 1
    votes = frozenset({index})
    return _with_node(state, index, term=term, vote=index, role=CANDIDATE, votes=votes)


def _lose_disk(state: LogState, index: int, rules: Rules) -> LogState:
    fresh = Node(replaced=rules.gives_new_identity, blank=True)
    nodes = list(state.nodes)
    nodes[index] = fresh
    return state._replace(nodes=tuple(nodes), lost_disks=1)


def _vote_steps(state: LogState, candidate: int, rules: Rules) -> Iterator[tuple[str, LogState]]:
    requester = state.nodes[candidate]
    if len(requester.votes) >= QUORUM:
        yield f"win {candidate}", _become_leader(state, candidate)
    for index in REPLICAS:
        voter = state.nodes[index]
        if (
            index in requester.votes
            or voter.term > requester.term
            or not _is_voter(voter, requester.log)
        ):
            continue
        may_vote = voter.term < requester.term or voter.vote is None or not rules.votes_once
        if not may_vote or (
            rules.compares_logs and _log_position(voter.log) > _log_position(requester.log)
        ):
            continue
        acknowledged = _with_node(state, candidate, votes=requester.votes | {index})
        acknowledged = acknowledged._replace(blank_vote=state.blank_vote or voter.blank)
        persisted = _with_node(
            acknowledged,
            index,
            term=requester.term,
            vote=candidate,
            role=FOLLOWER,
            votes=frozenset(),
            matches=(0, 0, 0),
        )
        yield f"{index} votes for {candidate}", persisted
        if not rules.persists_votes:
            yield f"{index} votes for {candidate} and crashes", acknowledged


def _become_leader(state: LogState, index: int) -> LogState:
    node = state.nodes[index]
    winner = state.winners[node.term]
    winners = list(state.winners)
    winners[node.term] = index
    is_second_leader = winner is not None and winner != index
    matches = tuple(len(node.log) if other == index else 0 for other in REPLICAS)
    won = _with_node(state, index, role=LEADER, votes=frozenset(), matches=matches)
    return won._replace(winners=tuple(winners), two_leaders=state.two_leaders or is_second_leader)


def _leader_steps(state: LogState, leader: int, rules: Rules) -> Iterator[tuple[str, LogState]]:
    node = state.nodes[leader]
    if len(node.log) < MAX_LOG:
        log = (*node.log, node.term)
        yield f"append {leader}", _with_node(
            state, leader, log=log, matches=_with_match(node, leader, log)
        )
    for index in REPLICAS:
        follower = state.nodes[index]
        if index != leader and follower.term <= node.term:
            yield from _replicate(state, leader, index, rules)
    length = sorted(node.matches)[-QUORUM]
    if length > len(state.committed) and _term(node.log[length - 1]) == node.term:
        committed = node.log[:length]
        yield f"commit {leader}", state._replace(committed=committed, commit_term=node.term)


def _with_match(node: Node, index: int, log: tuple[int, ...]) -> tuple[int, ...]:
    matches = list(node.matches)
    matches[index] = len(log)
    return tuple(matches)


def _replicate(
    state: LogState, leader: int, index: int, rules: Rules
) -> Iterator[tuple[str, LogState]]:
    node, follower = state.nodes[leader], state.nodes[index]
    is_voter = _is_voter(follower, node.log)
    matches = _with_match(node, index, node.log) if is_voter else node.matches
    acknowledged = _with_node(state, leader, matches=matches)
    vote = follower.vote if follower.term == node.term else None
    persisted = _with_node(
        acknowledged,
        index,
        term=node.term,
        vote=vote,
        log=node.log,
        role=FOLLOWER,
        votes=frozenset(),
        matches=(0, 0, 0),
    )
    yield f"{leader} replicates to {index}", persisted
    if not rules.persists_entries:
        yield f"{leader} replicates to {index}, which crashes", acknowledged
    fully_committed = (
        state.commit_term == node.term and len(state.committed) == len(node.log) < MAX_LOG
    )
    if is_voter or not fully_committed or follower.log != node.log:
        return
    removed = not rules.removes_predecessor_first or any(entry > REMOVAL for entry in node.log)
    log = (*node.log, node.term + (ADDITION if removed else REMOVAL))
    changed = _with_node(state, leader, log=log, matches=_with_match(node, leader, log))
    yield f"{leader} replaces {index}", _with_node(changed, index, blank=not removed)


def _leaders_hold_committed(state: dict[str, Any]) -> bool:
    committed = state["committed"]
    return all(
        node.log[: len(committed)] == committed
        for node in state["nodes"]
        if node.role == LEADER and node.term >= state["commit_term"]
    )


def log_protocol(rules: Rules) -> Protocol:
    """Return the specification of elections and replication with ``rules``."""
    return Protocol(
        name="replicated-log",
        candidate=False,
        fields=LogState._fields,
        initial=tuple(LogState()),
        transitions=lambda state: [
            (label, tuple(after)) for label, after in log_steps(LogState(*state), rules)
        ],
        invariants={
            "at most one leader per term": lambda state: not state["two_leaders"],
            "committed entries are never lost": _leaders_hold_committed,
            "replica never votes with an empty log after it lost its disk": lambda state: not state[
                "blank_vote"
            ],
        },
    )


class DistributionState(NamedTuple):
    """The distribution of revisions from the log through a relay to an instance."""

    committed: int = 1
    #: Revision in use at the relay, and the one on its disk.
    relay: int = 0
    relay_persisted: int = 0
    #: Revision in use at the instance, and the one on its disk.
    instance: int = 0
    instance_persisted: int = 0
    in_flight: frozenset[int] = frozenset()
    #: Highest revision that the instance has used.
    seen: int = 0
    #: Whether the revision in use at the instance has ever decreased.
    decreased: bool = False


def distribution_steps(
    state: DistributionState, rules: Rules
) -> Iterator[tuple[str, DistributionState]]:
    if state.committed < MAX_REVISION:
        yield "commit", state._replace(committed=state.committed + 1)
    yield "push to relay", state._replace(relay=state.committed, relay_persisted=state.committed)
    yield "restart relay", state._replace(relay=state.relay_persisted)
    yield "relay sends", state._replace(in_flight=state.in_flight | {state.relay})
    for revision in state.in_flight:
        if revision > state.instance or not rules.installs_newer_only:
            persisted = revision if rules.persists_before_use else state.instance_persisted
            yield f"install {revision}", _install(state, revision, persisted)
    restarted = state._replace(instance_persisted=state.instance_persisted)
    yield "restart instance", _install(
        restarted, state.instance_persisted, state.instance_persisted
    )
    if not rules.persists_before_use:
        yield "persist", state._replace(instance_persisted=state.instance)


def _install(state: DistributionState, revision: int, persisted: int) -> DistributionState:
    return state._replace(
        instance=revision,
        instance_persisted=persisted,
        seen=max(state.seen, revision),
        decreased=state.decreased or revision < state.seen,
    )


def distribution_protocol(rules: Rules) -> Protocol:
    """Return the specification of the distribution of revisions with ``rules``."""
    return Protocol(
        name="distribution",
        candidate=False,
        fields=DistributionState._fields,
        initial=tuple(DistributionState()),
        transitions=lambda state: [
            (label, tuple(after))
            for label, after in distribution_steps(DistributionState(*state), rules)
        ],
        invariants={
            "revision never decreases": lambda state: not state["decreased"],
            "no uncommitted revision is in use": lambda state: state["seen"] <= state["committed"],
        },
    )
