"""Rules of the replica that random schedules rarely exercise."""

from __future__ import annotations

import dataclasses
import random

import pytest

from figpaddle.coordination import (
    ChangeMembership,
    DurableState,
    Effect,
    HardState,
    LogSettings,
    Propose,
    Read,
    ReadReady,
    Received,
    Replica,
    Restore,
    Role,
    Send,
    Tick,
)
from figpaddle.errors import CoordinationError, LogConflictError, NotLeaderError
from figpaddle.wire import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    JoinRequest,
    LogMembership,
    LogMessage,
    Peer,
    Snapshot,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)

A, B, C = (Peer(name=name, incarnation="1") for name in "abc")
ALL = LogMembership(voters=(A, B, C))
SETTINGS = LogSettings(heartbeat_interval_s=1.0, election_timeout_s=5.0, join_interval_s=2.0)
#: Time after the first election timeout of each replica, seconds.
ELECTION_AT = 20.0


def replica(
    peer: Peer = A, *, term: int = 0, terms: tuple[int, ...] = (), now: float = 0.0
) -> Replica:
    entries = tuple(
        Entry(index=index, term=entry_term, kind=EntryKind.COMMAND, data=b"x")
        for index, entry_term in enumerate(terms, 1)
    )
    state = DurableState(
        peer=peer,
        hard=HardState(term=term),
        snapshot=Snapshot(index=0, term=0, membership=ALL, data=b""),
        entries=entries,
    )
    return Replica(
        state=state, settings=SETTINGS, eligible=("a", "b", "c"), rng=random.Random(1), now=now
    )


def sent_messages(effects: tuple[Effect, ...]) -> list[LogMessage]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, LogMessage)
    ]


def leader(now: float = ELECTION_AT) -> Replica:
    node = replica()
    for trial in (True, False):
        node.handle(Tick(), now)
        vote = VoteReply(term=1, sender=B, receiver=A, granted=True, trial=trial)
        node.handle(Received(message=vote), now)
    assert node.role is Role.LEADER
    return node


def accept(
    node: Replica, peer: Peer, index: int, now: float, number: int = 1
) -> tuple[Effect, ...]:
    reply = AppendReply(
        term=node.term, sender=peer, receiver=A, accepted=True, match_index=index, round=number
    )
    return node.handle(Received(message=reply), now)


def append(term: int, previous: tuple[int, int], *terms: int, commit: int = 0) -> Received:
    index, previous_term = previous
    entries = tuple(
        Entry(index=index + offset, term=entry_term, kind=EntryKind.COMMAND, data=b"new")
        for offset, entry_term in enumerate(terms, 1)
    )
    return Received(
        message=AppendRequest(
            term=term,
            sender=B,
            receiver=A,
            previous_index=index,
            previous_term=previous_term,
            entries=entries,
            commit=commit,
            round=1,
        )
    )


def test_late_snapshot_keeps_entries_acknowledged_after_it() -> None:
    node = replica(terms=(1, 1, 1, 1))
    snapshot = Snapshot(index=2, term=1, membership=ALL, data=b"")
    request = SnapshotRequest(
        term=1, sender=B, receiver=A, snapshot=snapshot, offset=0, last=True, round=1
    )
    node.handle(Received(message=request), 1.0)
    assert (node.commit_index, node.log.last_index) == (2, 4)


def test_snapshot_is_installed_only_complete_and_in_order() -> None:
    node = replica()
    snapshot = Snapshot(index=5, term=1, membership=ALL, data=b"")
    reported_offsets = []
    for offset, data, last in [(0, b"ab", False), (4, b"ef", True), (2, b"cd", False)]:
        chunk = dataclasses.replace(snapshot, data=data)
        request = SnapshotRequest(
            term=1, sender=B, receiver=A, snapshot=chunk, offset=offset, last=last, round=1
        )
        (reply,) = sent_messages(node.handle(Received(message=request), 1.0))
        assert isinstance(reply, AppendReply) and not reply.accepted
        reported_offsets.append(reply.snapshot_offset)
    assert (reported_offsets, node.commit_index) == ([2, 2, 4], 0)
    last_chunk = SnapshotRequest(
        term=1,
        sender=B,
        receiver=A,
        snapshot=dataclasses.replace(snapshot, data=b"ef"),
        offset=4,
        last=True,
        round=1,
    )
    effects = node.handle(Received(message=last_chunk), 1.0)
    assert Restore(snapshot=dataclasses.replace(snapshot, data=b"abcdef")) in effects
    assert node.commit_index == 5


def test_large_entries_are_split_over_several_messages() -> None:
    node = leader()
    accept(node, B, 1, ELECTION_AT)
    for _ in range(5):
        node.handle(Propose(data=b"x" * 400_000), ELECTION_AT)
    sizes = []
    index = 2
    while index < 6:
        (message,) = sent_messages(accept(node, B, index, ELECTION_AT))
        assert isinstance(message, AppendRequest)
        sizes.append(sum(len(entry.data) for entry in message.entries))
        index += len(message.entries)
    assert max(sizes) <= 512 * 1024


def test_entry_of_an_earlier_term_is_committed_only_with_one_of_the_own_term() -> None:
    node = replica(term=1, terms=(1, 1))
    for trial in (True, False):
        node.handle(Tick(), ELECTION_AT)
        vote = VoteReply(term=2, sender=B, receiver=A, granted=True, trial=trial)
        node.handle(Received(message=vote), ELECTION_AT)
    accept(node, B, 2, ELECTION_AT)
    assert node.commit_index == 0
    accept(node, B, 3, ELECTION_AT)
    assert node.commit_index == 3


def test_isolated_leader_steps_down_within_an_election_timeout() -> None:
    node = leader()
    node.handle(Tick(), ELECTION_AT + SETTINGS.election_timeout_s)
    assert node.role is Role.LEADER
    node.handle(Tick(), ELECTION_AT + SETTINGS.election_timeout_s + 0.1)
    assert node.role is Role.FOLLOWER
    with pytest.raises(NotLeaderError):
        node.handle(Propose(data=b"x"), ELECTION_AT + 6.0)


def test_replica_with_a_live_leader_grants_no_vote_to_a_candidate() -> None:
    node = replica()
    node.handle(append(1, (0, 0)), 1.0)
    for trial in (True, False):
        request = VoteRequest(term=7, sender=C, receiver=A, last_index=9, last_term=6, trial=trial)
        replies = sent_messages(node.handle(Received(message=request), 2.0))
        assert not any(isinstance(reply, VoteReply) and reply.granted for reply in replies)
    assert node.term == 1


def test_each_role_reports_when_its_next_tick_is_due() -> None:
    follower, leader_replica = replica(), leader()
    assert SETTINGS.election_timeout_s <= follower.next_tick_at <= 2 * SETTINGS.election_timeout_s
    follower.handle(append(1, (0, 0)), 3.0)
    assert follower.next_tick_at >= 3.0 + SETTINGS.election_timeout_s
    assert leader_replica.next_tick_at == ELECTION_AT + SETTINGS.heartbeat_interval_s
    assert replica(Peer(name="c", incarnation="2")).next_tick_at == 0.0


def test_trial_vote_never_raises_the_term() -> None:
    node = replica(term=3)
    for now in (10.0, 20.0, 30.0):
        messages = sent_messages(node.handle(Tick(), now))
        assert all(isinstance(message, VoteRequest) and message.trial for message in messages)
    assert node.term == 3


def test_message_for_an_earlier_incarnation_is_dropped() -> None:
    node = replica(Peer(name="a", incarnation="2"))
    assert node.handle(append(5, (0, 0), 5), 1.0) == ()
    assert node.term == 0


def test_second_membership_change_waits_for_the_first() -> None:
    node = leader()
    accept(node, B, 1, ELECTION_AT)
    node.handle(ChangeMembership(membership=ALL.without(C)), ELECTION_AT)
    with pytest.raises(CoordinationError):
        node.handle(ChangeMembership(membership=ALL), ELECTION_AT)


def test_two_voters_are_never_changed_in_one_step() -> None:
    node = leader()
    accept(node, B, 1, ELECTION_AT)
    successor = Peer(name="c", incarnation="2")
    with pytest.raises(CoordinationError):
        node.handle(
            ChangeMembership(membership=LogMembership(voters=(A, B, successor))), ELECTION_AT
        )


def test_learner_replaces_its_lost_predecessor_only_once_it_has_caught_up() -> None:
    node = leader()
    successor = Peer(name="c", incarnation="2")
    accept(node, B, 1, ELECTION_AT)
    node.handle(Received(message=JoinRequest(peer=successor)), ELECTION_AT)
    accept(node, B, 2, ELECTION_AT)
    accept(node, successor, 1, ELECTION_AT)
    assert node.membership is not None and C in node.membership.voters
    accept(node, successor, 2, ELECTION_AT)
    assert node.membership.voters == (A, B)
    accept(node, B, 3, ELECTION_AT)
    accept(node, successor, 3, ELECTION_AT)
    assert node.membership.voters == (A, B, successor)


def test_read_is_ready_only_after_a_quorum_has_answered_a_later_round() -> None:
    node = leader()
    accept(node, B, 1, ELECTION_AT)
    node.handle(Read(token=7), ELECTION_AT)
    assert ReadReady(token=7, index=1) not in accept(node, B, 1, ELECTION_AT, number=1)
    assert ReadReady(token=7, index=1) in accept(node, C, 1, ELECTION_AT, number=2)


@pytest.mark.parametrize("previous", [(2, 2), (3, 1), (1, 2)])
def test_entries_after_a_conflicting_log_or_a_gap_are_rejected(previous: tuple[int, int]) -> None:
    node = replica(term=2, terms=(1, 1))
    (reply,) = sent_messages(node.handle(append(2, previous, 2, commit=3), 1.0))
    assert isinstance(reply, AppendReply) and not reply.accepted
    assert (node.log.last_index, node.log.last_term, node.commit_index) == (2, 1, 0)


def test_log_of_another_deployment_is_rejected() -> None:
    node = replica()
    node.handle(append(1, (0, 0), 1, commit=1), 1.0)
    with pytest.raises(LogConflictError):
        node.handle(append(2, (0, 0), 2, commit=1), 2.0)


def test_new_leader_answers_no_read_before_it_has_committed_an_entry_of_its_term() -> None:
    """An earlier leader may have committed entries above the commit index of the new leader."""
    node = leader()
    with pytest.raises(CoordinationError):
        node.handle(Read(token=7), ELECTION_AT)
    accept(node, B, node.log.last_index, ELECTION_AT)
    node.handle(Read(token=8), ELECTION_AT)
    effects = accept(node, B, node.log.last_index, ELECTION_AT, number=99)
    assert [effect.token for effect in effects if isinstance(effect, ReadReady)] == [8]
