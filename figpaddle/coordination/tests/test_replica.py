"""Single rules of the replica that random schedules reach too seldom."""

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
TIMING = LogSettings(heartbeat_s=1.0, election_s=5.0, join_s=2.0)
MUCH_LATER = 20.0


def replica(
    peer: Peer = A, *, term: int = 0, terms: tuple[int, ...] = (), now: float = 0.0
) -> Replica:
    entries = tuple(
        Entry(index=index, term=of, kind=EntryKind.COMMAND, data=b"x")
        for index, of in enumerate(terms, 1)
    )
    state = DurableState(
        peer=peer,
        hard=HardState(term=term),
        snapshot=Snapshot(index=0, term=0, membership=ALL, data=b""),
        entries=entries,
    )
    return Replica(
        state=state, settings=TIMING, eligible=("a", "b", "c"), rng=random.Random(1), now=now
    )


def sent(effects: tuple[Effect, ...]) -> list[LogMessage]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, LogMessage)
    ]


def leader(now: float = MUCH_LATER) -> Replica:
    one = replica()
    for trial in (True, False):
        one.handle(Tick(), now)
        vote = VoteReply(term=1, sender=B, receiver=A, granted=True, trial=trial)
        one.handle(Received(message=vote), now)
    assert one.role is Role.LEADER
    return one


def accept(one: Replica, peer: Peer, index: int, now: float, number: int = 1) -> tuple[Effect, ...]:
    reply = AppendReply(
        term=one.term, sender=peer, receiver=A, accepted=True, match_index=index, round=number
    )
    return one.handle(Received(message=reply), now)


def append(term: int, previous: tuple[int, int], *terms: int, commit: int = 0) -> Received:
    index, previous_term = previous
    entries = tuple(
        Entry(index=index + offset, term=of, kind=EntryKind.COMMAND, data=b"new")
        for offset, of in enumerate(terms, 1)
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
    one = replica(terms=(1, 1, 1, 1))
    snapshot = Snapshot(index=2, term=1, membership=ALL, data=b"")
    request = SnapshotRequest(
        term=1, sender=B, receiver=A, snapshot=snapshot, offset=0, last=True, round=1
    )
    one.handle(Received(message=request), 1.0)
    assert (one.commit_index, one.log.last_index) == (2, 4)


def test_snapshot_is_taken_only_whole_and_in_order() -> None:
    one = replica()
    snapshot = Snapshot(index=5, term=1, membership=ALL, data=b"")
    received = []
    for offset, data, last in [(0, b"ab", False), (4, b"ef", True), (2, b"cd", False)]:
        piece = dataclasses.replace(snapshot, data=data)
        request = SnapshotRequest(
            term=1, sender=B, receiver=A, snapshot=piece, offset=offset, last=last, round=1
        )
        (reply,) = sent(one.handle(Received(message=request), 1.0))
        assert isinstance(reply, AppendReply) and not reply.accepted
        received.append(reply.snapshot_offset)
    assert (received, one.commit_index) == ([2, 2, 4], 0)
    end = SnapshotRequest(
        term=1,
        sender=B,
        receiver=A,
        snapshot=dataclasses.replace(snapshot, data=b"ef"),
        offset=4,
        last=True,
        round=1,
    )
    effects = one.handle(Received(message=end), 1.0)
    assert Restore(snapshot=dataclasses.replace(snapshot, data=b"abcdef")) in effects
    assert one.commit_index == 5


def test_large_entries_travel_in_several_messages() -> None:
    one = leader()
    accept(one, B, 1, MUCH_LATER)
    for _ in range(5):
        one.handle(Propose(data=b"x" * 400_000), MUCH_LATER)
    sizes = []
    index = 2
    while index < 6:
        (message,) = sent(accept(one, B, index, MUCH_LATER))
        assert isinstance(message, AppendRequest)
        sizes.append(sum(len(entry.data) for entry in message.entries))
        index += len(message.entries)
    assert max(sizes) <= 512 * 1024


def test_entry_of_an_earlier_term_is_committed_only_below_one_of_the_own_term() -> None:
    one = replica(term=1, terms=(1, 1))
    for trial in (True, False):
        one.handle(Tick(), MUCH_LATER)
        vote = VoteReply(term=2, sender=B, receiver=A, granted=True, trial=trial)
        one.handle(Received(message=vote), MUCH_LATER)
    accept(one, B, 2, MUCH_LATER)
    assert one.commit_index == 0
    accept(one, B, 3, MUCH_LATER)
    assert one.commit_index == 3


def test_isolated_leader_steps_down_within_an_election_timeout() -> None:
    one = leader()
    one.handle(Tick(), MUCH_LATER + TIMING.election_s)
    assert one.role is Role.LEADER
    one.handle(Tick(), MUCH_LATER + TIMING.election_s + 0.1)
    assert one.role is Role.FOLLOWER
    with pytest.raises(NotLeaderError):
        one.handle(Propose(data=b"x"), MUCH_LATER + 6.0)


def test_replica_that_hears_a_leader_helps_nobody_to_replace_it() -> None:
    one = replica()
    one.handle(append(1, (0, 0)), 1.0)
    for trial in (True, False):
        request = VoteRequest(term=7, sender=C, receiver=A, last_index=9, last_term=6, trial=trial)
        replies = sent(one.handle(Received(message=request), 2.0))
        assert not any(isinstance(reply, VoteReply) and reply.granted for reply in replies)
    assert one.term == 1


def test_each_role_says_when_it_needs_a_tick() -> None:
    follower, leading = replica(), leader()
    assert TIMING.election_s <= follower.next_due <= 2 * TIMING.election_s
    follower.handle(append(1, (0, 0)), 3.0)
    assert follower.next_due >= 3.0 + TIMING.election_s
    assert leading.next_due == MUCH_LATER + TIMING.heartbeat_s
    assert replica(Peer(name="c", incarnation="2")).next_due == 0.0


def test_trial_never_raises_the_term() -> None:
    one = replica(term=3)
    for now in (10.0, 20.0, 30.0):
        messages = sent(one.handle(Tick(), now))
        assert all(isinstance(message, VoteRequest) and message.trial for message in messages)
    assert one.term == 3


def test_message_for_an_earlier_incarnation_is_dropped() -> None:
    one = replica(Peer(name="a", incarnation="2"))
    assert one.handle(append(5, (0, 0), 5), 1.0) == ()
    assert one.term == 0


def test_second_membership_change_waits_for_the_first() -> None:
    one = leader()
    accept(one, B, 1, MUCH_LATER)
    one.handle(ChangeMembership(membership=ALL.without(C)), MUCH_LATER)
    with pytest.raises(CoordinationError):
        one.handle(ChangeMembership(membership=ALL), MUCH_LATER)


def test_two_voters_are_never_changed_at_once() -> None:
    one = leader()
    accept(one, B, 1, MUCH_LATER)
    fresh = Peer(name="c", incarnation="2")
    with pytest.raises(CoordinationError):
        one.handle(ChangeMembership(membership=LogMembership(voters=(A, B, fresh))), MUCH_LATER)


def test_learner_replaces_its_lost_predecessor_only_once_it_holds_everything() -> None:
    one = leader()
    fresh = Peer(name="c", incarnation="2")
    accept(one, B, 1, MUCH_LATER)
    one.handle(Received(message=JoinRequest(peer=fresh)), MUCH_LATER)
    accept(one, B, 2, MUCH_LATER)
    accept(one, fresh, 1, MUCH_LATER)
    assert one.membership is not None and C in one.membership.voters
    accept(one, fresh, 2, MUCH_LATER)
    assert one.membership.voters == (A, B)
    accept(one, B, 3, MUCH_LATER)
    accept(one, fresh, 3, MUCH_LATER)
    assert one.membership.voters == (A, B, fresh)


def test_read_is_ready_only_after_a_quorum_answered_a_later_round() -> None:
    one = leader()
    accept(one, B, 1, MUCH_LATER)
    one.handle(Read(token=7), MUCH_LATER)
    assert ReadReady(token=7, index=1) not in accept(one, B, 1, MUCH_LATER, number=1)
    assert ReadReady(token=7, index=1) in accept(one, C, 1, MUCH_LATER, number=2)


@pytest.mark.parametrize("previous", [(2, 2), (3, 1), (1, 2)])
def test_entries_after_another_history_or_a_gap_are_refused(previous: tuple[int, int]) -> None:
    one = replica(term=2, terms=(1, 1))
    (reply,) = sent(one.handle(append(2, previous, 2, commit=3), 1.0))
    assert isinstance(reply, AppendReply) and not reply.accepted
    assert (one.log.last_index, one.log.last_term, one.commit_index) == (2, 1, 0)


def test_another_deployments_log_is_refused() -> None:
    one = replica()
    one.handle(append(1, (0, 0), 1, commit=1), 1.0)
    with pytest.raises(LogConflictError):
        one.handle(append(2, (0, 0), 2, commit=1), 2.0)


def test_a_new_leader_answers_no_read_before_it_has_committed_an_entry_of_its_own_term() -> None:
    """Entries that an earlier leader confirmed may be above the commit index that it knows."""
    one = leader()
    with pytest.raises(CoordinationError):
        one.handle(Read(token=7), MUCH_LATER)
    accept(one, B, one.log.last_index, MUCH_LATER)
    one.handle(Read(token=8), MUCH_LATER)
    effects = accept(one, B, one.log.last_index, MUCH_LATER, number=99)
    assert [effect.token for effect in effects if isinstance(effect, ReadReady)] == [8]
