"""A small specification of the replicated log and of the distribution of revisions.

Three replicas elect leaders and append; a vote or an acknowledgement is one step of the replica
that gives it, and counts at the candidate or leader from then on, whatever happens to its sender.
A crash loses what is in memory, so the roles; a lost disk loses everything, and the replica comes
back under a new identity. The leader first commits the removal of the old identity, then the
addition of the new one; each of the two is in force for those whose log holds it. An entry is
written as its term, with ``REMOVAL`` or ``ADDITION`` added for the two changes.
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
    """Which rules the specification follows; a mutation breaks one of them."""

    votes_once: bool = True
    compares_logs: bool = True
    syncs_votes: bool = True
    syncs_entries: bool = True
    new_identity: bool = True
    removes_first: bool = True
    installs_newer_only: bool = True
    keeps_before_use: bool = True


class Node(NamedTuple):
    """One replica."""

    term: int = 0
    vote: int | None = None
    log: tuple[int, ...] = ()
    role: str = FOLLOWER
    replaced: bool = False
    blank: bool = False
    votes: frozenset[int] = frozenset()
    matches: tuple[int, int, int] = (0, 0, 0)


class Log(NamedTuple):
    """Everything that the log's invariants speak of."""

    nodes: tuple[Node, Node, Node] = (Node(), Node(), Node())
    winners: tuple[int | None, ...] = (None,) * (MAX_TERM + 1)
    committed: tuple[int, ...] = ()
    commit_term: int = 0
    lost_disks: int = 0
    two_leaders: bool = False
    blank_vote: bool = False


def _with(state: Log, index: int, **changes: Any) -> Log:
    nodes = list(state.nodes)
    nodes[index] = nodes[index]._replace(**changes)
    return state._replace(nodes=tuple(nodes))


def _rank(log: tuple[int, ...]) -> tuple[int, int]:
    return (_term(log[-1]) if log else 0, len(log))


def _term(entry: int) -> int:
    return entry % REMOVAL


def _counts(node: Node, log: tuple[int, ...]) -> bool:
    """Return whether ``node`` is a voter for one that holds ``log``."""
    return not node.replaced or any(entry > ADDITION for entry in log)


def log_steps(state: Log, rules: Rules) -> Iterator[tuple[str, Log]]:
    for index in REPLICAS:
        node = state.nodes[index]
        if node.role != FOLLOWER:
            reset = {"role": FOLLOWER, "votes": frozenset(), "matches": (0, 0, 0)}
            yield f"crash {index}", _with(state, index, **reset)
        if _counts(node, node.log) and node.role != LEADER and node.term < MAX_TERM:
            yield f"campaign {index}", _campaign(state, index)
        if node.role == CANDIDATE:
            yield from _vote_steps(state, index, rules)
        if node.role == LEADER:
            yield from _leader_steps(state, index, rules)
        if state.lost_disks == 0:
            yield f"lose disk {index}", _lose_disk(state, index, rules)


def _campaign(state: Log, index: int) -> Log:
    term = state.nodes[index].term + 1
    votes = frozenset({index})
    return _with(state, index, term=term, vote=index, role=CANDIDATE, votes=votes)


def _lose_disk(state: Log, index: int, rules: Rules) -> Log:
    fresh = Node(replaced=rules.new_identity, blank=True)
    nodes = list(state.nodes)
    nodes[index] = fresh
    return state._replace(nodes=tuple(nodes), lost_disks=1)


def _vote_steps(state: Log, candidate: int, rules: Rules) -> Iterator[tuple[str, Log]]:
    asking = state.nodes[candidate]
    if len(asking.votes) >= QUORUM:
        yield f"win {candidate}", _win(state, candidate)
    for index in REPLICAS:
        voter = state.nodes[index]
        if index in asking.votes or voter.term > asking.term or not _counts(voter, asking.log):
            continue
        free = voter.term < asking.term or voter.vote is None or not rules.votes_once
        if not free or (rules.compares_logs and _rank(voter.log) > _rank(asking.log)):
            continue
        counted = _with(state, candidate, votes=asking.votes | {index})
        counted = counted._replace(blank_vote=state.blank_vote or voter.blank)
        durable = _with(
            counted,
            index,
            term=asking.term,
            vote=candidate,
            role=FOLLOWER,
            votes=frozenset(),
            matches=(0, 0, 0),
        )
        yield f"{index} votes for {candidate}", durable
        if not rules.syncs_votes:
            yield f"{index} votes for {candidate} and crashes", counted


def _win(state: Log, index: int) -> Log:
    node = state.nodes[index]
    winner = state.winners[node.term]
    winners = list(state.winners)
    winners[node.term] = index
    twice = winner is not None and winner != index
    matches = tuple(len(node.log) if other == index else 0 for other in REPLICAS)
    won = _with(state, index, role=LEADER, votes=frozenset(), matches=matches)
    return won._replace(winners=tuple(winners), two_leaders=state.two_leaders or twice)


def _leader_steps(state: Log, leader: int, rules: Rules) -> Iterator[tuple[str, Log]]:
    node = state.nodes[leader]
    if len(node.log) < MAX_LOG:
        log = (*node.log, node.term)
        yield f"append {leader}", _with(state, leader, log=log, matches=_set(node, leader, log))
    for index in REPLICAS:
        follower = state.nodes[index]
        if index != leader and follower.term <= node.term:
            yield from _replicate(state, leader, index, rules)
    length = sorted(node.matches)[-QUORUM]
    if length > len(state.committed) and _term(node.log[length - 1]) == node.term:
        committed = node.log[:length]
        yield f"commit {leader}", state._replace(committed=committed, commit_term=node.term)


def _set(node: Node, index: int, log: tuple[int, ...]) -> tuple[int, ...]:
    matches = list(node.matches)
    matches[index] = len(log)
    return tuple(matches)


def _replicate(state: Log, leader: int, index: int, rules: Rules) -> Iterator[tuple[str, Log]]:
    node, follower = state.nodes[leader], state.nodes[index]
    counts = _counts(follower, node.log)
    matches = _set(node, index, node.log) if counts else node.matches
    counted = _with(state, leader, matches=matches)
    vote = follower.vote if follower.term == node.term else None
    durable = _with(
        counted,
        index,
        term=node.term,
        vote=vote,
        log=node.log,
        role=FOLLOWER,
        votes=frozenset(),
        matches=(0, 0, 0),
    )
    yield f"{leader} replicates to {index}", durable
    if not rules.syncs_entries:
        yield f"{leader} replicates to {index}, which crashes", counted
    settled = state.commit_term == node.term and len(state.committed) == len(node.log) < MAX_LOG
    if counts or not settled or follower.log != node.log:
        return
    removed = not rules.removes_first or any(entry > REMOVAL for entry in node.log)
    log = (*node.log, node.term + (ADDITION if removed else REMOVAL))
    changed = _with(state, leader, log=log, matches=_set(node, leader, log))
    yield f"{leader} replaces {index}", _with(changed, index, blank=not removed)


def _leaders_hold_committed(state: dict[str, Any]) -> bool:
    committed = state["committed"]
    return all(
        node.log[: len(committed)] == committed
        for node in state["nodes"]
        if node.role == LEADER and node.term >= state["commit_term"]
    )


def log_protocol(rules: Rules) -> Protocol:
    """Return the specification of elections and replication under ``rules``."""
    return Protocol(
        name="replicated-log",
        candidate=False,
        fields=Log._fields,
        initial=tuple(Log()),
        transitions=lambda state: [
            (label, tuple(after)) for label, after in log_steps(Log(*state), rules)
        ],
        invariants={
            "one leader a term": lambda state: not state["two_leaders"],
            "committed entry never lost": _leaders_hold_committed,
            "lost disk never votes from an empty memory": lambda state: not state["blank_vote"],
        },
    )


class Spread(NamedTuple):
    """A revision on its way from the log over a relay to an instance."""

    committed: int = 1
    relay: int = 0
    relay_kept: int = 0
    instance: int = 0
    instance_kept: int = 0
    in_flight: frozenset[int] = frozenset()
    seen: int = 0
    fell: bool = False


def spread_steps(state: Spread, rules: Rules) -> Iterator[tuple[str, Spread]]:
    if state.committed < MAX_REVISION:
        yield "commit", state._replace(committed=state.committed + 1)
    yield "push to relay", state._replace(relay=state.committed, relay_kept=state.committed)
    yield "restart relay", state._replace(relay=state.relay_kept)
    yield "relay sends", state._replace(in_flight=state.in_flight | {state.relay})
    for revision in state.in_flight:
        if revision > state.instance or not rules.installs_newer_only:
            kept = revision if rules.keeps_before_use else state.instance_kept
            yield f"install {revision}", _use(state, revision, kept)
    restarted = state._replace(instance_kept=state.instance_kept)
    yield "restart instance", _use(restarted, state.instance_kept, state.instance_kept)
    if not rules.keeps_before_use:
        yield "keep", state._replace(instance_kept=state.instance)


def _use(state: Spread, revision: int, kept: int) -> Spread:
    return state._replace(
        instance=revision,
        instance_kept=kept,
        seen=max(state.seen, revision),
        fell=state.fell or revision < state.seen,
    )


def spread_protocol(rules: Rules) -> Protocol:
    """Return the specification of the distribution of revisions under ``rules``."""
    return Protocol(
        name="distribution",
        candidate=False,
        fields=Spread._fields,
        initial=tuple(Spread()),
        transitions=lambda state: [
            (label, tuple(after)) for label, after in spread_steps(Spread(*state), rules)
        ],
        invariants={
            "revision never falls": lambda state: not state["fell"],
            "nothing uncommitted in force": lambda state: state["seen"] <= state["committed"],
        },
    )
