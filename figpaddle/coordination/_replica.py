"""A replica of the log: roles, elections and the effects of each event.

The protocol is Raft with trial votes (pre-vote), a leader that steps down when it loses its quorum
(check-quorum), learners, and membership changes of one voter at a time.
"""

from __future__ import annotations

import random

from figpaddle.coordination._leadership import Leadership
from figpaddle.coordination._log import Log
from figpaddle.coordination._log_receiver import LogReceiver
from figpaddle.coordination._log_types import (
    Apply,
    ChangeMembership,
    Compact,
    DurableState,
    Effect,
    Event,
    HardState,
    LogSettings,
    Persist,
    Propose,
    Read,
    Received,
    Restore,
    Role,
    RoleChanged,
    Send,
    Tick,
)
from figpaddle.errors import LogConflictError, NotLeaderError
from figpaddle.wire import (
    AppendReply,
    AppendRequest,
    Entry,
    JoinRequest,
    LogMembership,
    LogMessage,
    Peer,
    Snapshot,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)


class Replica:
    """One replica; a state machine that is driven by events and the current time.

    Effects must be carried out in order. A batch of effects, of one event or of several
    consecutive ones, may be carried out only after all its ``Persist`` effects are durable. If
    one of them can't be made durable, the caller drops the batch and the replica, and creates a
    new replica from the durable state.

    ``eligible`` names the instances that may become voters.

    >>> one = Peer(name="one", incarnation="a")
    >>> state = DurableState(peer=one, snapshot=first_snapshot(LogMembership(voters=(one,))))
    >>> replica = Replica(
    ...     state=state, settings=LogSettings(), eligible=("one",), rng=random.Random(1), now=0.0
    ... )
    >>> effects = replica.handle(Tick(), 5.0)
    >>> replica.role.value, replica.term
    ('leader', 1)
    """

    def __init__(
        self,
        *,
        state: DurableState,
        settings: LogSettings,
        eligible: tuple[str, ...],
        rng: random.Random,
        now: float,
    ) -> None:
        self._peer = state.peer
        self._settings = settings
        self._eligible = eligible
        self._rng = rng
        self._hard_state = state.hard
        self._log = Log(state=state)
        self._commit_index = state.snapshot.index
        self._role = Role.FOLLOWER
        self._leader: Peer | None = None
        self._last_leader_contact = now
        self._votes: set[Peer] = set()
        self._leadership: Leadership | None = None
        self._join_due = now
        self._effects: list[Effect] = []
        self._saved_hard_state = self._hard_state
        self._first_unsaved_index: int | None = None
        self._unsaved_snapshot: Snapshot | None = None
        self._receiver = LogReceiver(replica=self, log=self._log)
        self._reset_election_timer(now)

    @property
    def peer(self) -> Peer:
        """Identity of this replica."""
        return self._peer

    @property
    def role(self) -> Role:
        """Its role in the current term."""
        return self._role

    @property
    def term(self) -> int:
        """Latest term seen."""
        return self._hard_state.term

    @property
    def leader(self) -> str | None:
        """Name of the leader, or None if it is not known."""
        return None if self._leader is None else self._leader.name

    @property
    def commit_index(self) -> int:
        """Index of the last entry that is known to be committed."""
        return self._commit_index

    @property
    def log(self) -> Log:
        """Its log; callers must not change it."""
        return self._log

    @property
    def membership(self) -> LogMembership | None:
        """The newest membership in its log."""
        return self._log.membership

    @property
    def next_tick_at(self) -> float:
        """Latest time of the next tick, seconds."""
        if self._leadership is not None:
            return self._leadership.heartbeat_due
        membership = self._log.membership
        if membership is None or self._peer not in membership.peers:
            return self._join_due
        return self._election_due

    def last_quorum_contact(self) -> float | None:
        """Return when a quorum last confirmed this leader, seconds, or None if it doesn't lead."""
        if self._leadership is None:
            return None
        return self._leadership.last_quorum_contact()

    def handle(self, event: Event, now: float) -> tuple[Effect, ...]:
        """Handle ``event`` and return the effects to carry out.

        Raises CoordinationError if the event can't be handled in the current state.
        """
        previous = (self._role, self._hard_state.term, self._leader)
        self._effects = []
        match event:
            case Tick():
                self._on_tick(now)
            case Received():
                self._on_message(event.message, now)
            case Propose():
                self._require_leadership().propose(event.data, now)
            case ChangeMembership():
                self._require_leadership().change_membership(event.membership, now)
            case Read():
                self._require_leadership().read(event.token, now)
            case Compact():
                self._log.compact(event.index, event.data)
                self._unsaved_snapshot = self._log.snapshot
        if (self._role, self._hard_state.term, self._leader) != previous:
            role_changed = RoleChanged(
                role=self._role, term=self._hard_state.term, leader=self.leader
            )
            self._effects.append(role_changed)
        return (*self._pop_unsaved(), *self._effects)

    def _pop_unsaved(self) -> tuple[Persist, ...]:
        snapshot, first_index = self._unsaved_snapshot, self._first_unsaved_index
        if snapshot is None and first_index is None and self._hard_state == self._saved_hard_state:
            return ()
        self._saved_hard_state, self._unsaved_snapshot, self._first_unsaved_index = (
            self._hard_state,
            None,
            None,
        )
        if snapshot is not None:
            entries = self._log.entries_after(snapshot.index)
        else:
            entries = () if first_index is None else self._log.entries_after(first_index - 1)
        return (Persist(hard=self._hard_state, entries=entries, snapshot=snapshot),)

    def _require_leadership(self) -> Leadership:
        if self._leadership is None:
            raise NotLeaderError(leader=self.leader)
        return self._leadership

    def send(self, message: LogMessage) -> None:
        """Add an effect that sends ``message``."""
        self._effects.append(Send(receiver=message.receiver.name, message=message))

    def emit(self, effect: Effect) -> None:
        """Add ``effect`` to the effects of the current event."""
        self._effects.append(effect)

    def append(self, entry: Entry) -> None:
        """Append ``entry`` to the log; it is made durable before any message is sent."""
        if entry.index <= self._commit_index:
            raise LogConflictError(
                what=f"entry {entry.index} of term {entry.term} would replace a committed entry",
                where=self._peer.name,
                hint="empty the data folder if it belongs to another deployment",
            )
        self._log.append(entry)
        first_index = self._first_unsaved_index
        self._first_unsaved_index = (
            entry.index if first_index is None else min(first_index, entry.index)
        )

    def commit(self, index: int) -> None:
        """Commit the entries up to ``index`` and apply them to the state machine."""
        while self._commit_index < index:
            self._commit_index += 1
            self._effects.append(Apply(entry=self._log.entry_at(self._commit_index)))

    def step_down(self, now: float) -> None:
        """Become a follower without a leader and wait for an election."""
        self._become_follower(self._hard_state.term, None, now)
        self._reset_election_timer(now)

    def _reset_election_timer(self, now: float) -> None:
        shortest = self._settings.election_timeout_s
        self._election_due = now + self._rng.uniform(shortest, 2 * shortest)

    def _become_follower(self, term: int, leader: Peer | None, now: float) -> None:
        if term > self._hard_state.term:
            self._hard_state = HardState(term=term)
        self._role = Role.FOLLOWER
        self._leadership = None
        self._leader = leader
        self._votes = set()
        if leader is not None:
            self._last_leader_contact = now
            self._reset_election_timer(now)

    def _on_tick(self, now: float) -> None:
        if self._leadership is not None:
            if self._leadership.has_lost_quorum(now):
                self.step_down(now)
            else:
                self._leadership.tick(now)
            return
        membership = self._log.membership
        if membership is None or self._peer not in membership.peers:
            self._request_join(now)
        elif self._peer in membership.voters and now >= self._election_due:
            self._start_trial_vote(membership, now)

    def _request_join(self, now: float) -> None:
        if now < self._join_due:
            return
        self._join_due = now + self._settings.join_interval_s
        for name in self._eligible:
            if name != self._peer.name:
                self._effects.append(Send(receiver=name, message=JoinRequest(peer=self._peer)))

    def _start_trial_vote(self, membership: LogMembership, now: float) -> None:
        self._role = Role.TRIAL_CANDIDATE
        self._leader = None
        self._votes = {self._peer}
        self._reset_election_timer(now)
        if membership.is_quorum(self._votes):
            self._start_election(membership, now)
        else:
            self._request_votes(membership, self._hard_state.term + 1, trial=True)

    def _start_election(self, membership: LogMembership, now: float) -> None:
        self._role = Role.CANDIDATE
        self._hard_state = HardState(term=self._hard_state.term + 1, vote=self._peer)
        self._votes = {self._peer}
        self._reset_election_timer(now)
        if membership.is_quorum(self._votes):
            self._become_leader(now)
        else:
            self._request_votes(membership, self._hard_state.term, trial=False)

    def _request_votes(self, membership: LogMembership, term: int, *, trial: bool) -> None:
        for peer in membership.voters:
            if peer != self._peer:
                self.send(
                    VoteRequest(
                        term=term,
                        sender=self._peer,
                        receiver=peer,
                        last_index=self._log.last_index,
                        last_term=self._log.last_term,
                        trial=trial,
                    )
                )

    def _become_leader(self, now: float) -> None:
        self._role = Role.LEADER
        self._leader = self._peer
        self._leadership = Leadership(
            replica=self,
            log=self._log,
            settings=self._settings,
            eligible=self._eligible,
            now=now,
        )
        self._leadership.start(now)

    def _on_message(self, message: LogMessage | JoinRequest, now: float) -> None:
        if isinstance(message, JoinRequest):
            if self._leadership is not None:
                self._leadership.on_join(message.peer, now)
            return
        if message.receiver != self._peer:
            return
        match message:
            case VoteRequest():
                self._on_vote_request(message, now)
            case VoteReply():
                self._on_vote_reply(message, now)
            case AppendRequest() | SnapshotRequest():
                self._on_leader_message(message, now)
            case AppendReply():
                if message.term > self._hard_state.term:
                    self._become_follower(message.term, None, now)
                elif self._leadership is not None and message.term == self._hard_state.term:
                    self._leadership.on_reply(message, now)

    def _has_live_leader(self, now: float) -> bool:
        if self._leadership is not None:
            return True
        return (
            self._leader is not None
            and now < self._last_leader_contact + self._settings.election_timeout_s
        )

    def _is_up_to_date(self, message: VoteRequest) -> bool:
        candidate_position = (message.last_term, message.last_index)
        return candidate_position >= (self._log.last_term, self._log.last_index)

    def _on_vote_request(self, message: VoteRequest, now: float) -> None:
        if self._has_live_leader(now):
            if message.trial:
                self._reply_vote(message, granted=False)
            return
        if message.trial:
            granted = message.term > self._hard_state.term and self._is_up_to_date(message)
            self._reply_vote(message, granted=granted)
            return
        if message.term > self._hard_state.term:
            self._become_follower(message.term, None, now)
        may_vote = (
            self._hard_state.vote in (None, message.sender)
            and message.term == self._hard_state.term
        )
        granted = may_vote and self._is_up_to_date(message)
        if granted:
            self._hard_state = HardState(term=self._hard_state.term, vote=message.sender)
            self._reset_election_timer(now)
        self._reply_vote(message, granted=granted)

    def _reply_vote(self, message: VoteRequest, *, granted: bool) -> None:
        self.send(
            VoteReply(
                term=message.term if granted else self._hard_state.term,
                sender=self._peer,
                receiver=message.sender,
                granted=granted,
                trial=message.trial,
            )
        )

    def _on_vote_reply(self, message: VoteReply, now: float) -> None:
        if not message.granted:
            if message.term > self._hard_state.term:
                self._become_follower(message.term, None, now)
            return
        membership = self._log.membership
        expected_role = Role.TRIAL_CANDIDATE if message.trial else Role.CANDIDATE
        term = self._hard_state.term + 1 if message.trial else self._hard_state.term
        if membership is None or self._role is not expected_role or message.term != term:
            return
        self._votes.add(message.sender)
        if not membership.is_quorum(self._votes):
            return
        if message.trial:
            self._start_election(membership, now)
        else:
            self._become_leader(now)

    def _on_leader_message(self, message: AppendRequest | SnapshotRequest, now: float) -> None:
        if message.term < self._hard_state.term:
            self._receiver.reject_stale_leader(message)
            return
        self._become_follower(message.term, message.sender, now)
        if isinstance(message, SnapshotRequest):
            self._receiver.on_snapshot(message)
        else:
            self._receiver.on_append(message)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the log and the state of the state machine by ``snapshot``."""
        self._log.reset(snapshot)
        self._commit_index = snapshot.index
        self._unsaved_snapshot = snapshot
        self._first_unsaved_index = None
        self._effects.append(Restore(snapshot=snapshot))


def first_snapshot(membership: LogMembership, data: bytes = b"") -> Snapshot:
    """Return the snapshot with which a new log starts.

    It covers one entry, which the empty log of a new replica doesn't contain. A leader therefore
    sends the snapshot instead of treating the empty log as matching.
    """
    return Snapshot(index=1, term=0, membership=membership, data=data)
