"""A replica of the log: roles, elections and the follower's side of replication.

The protocol is Raft with trial votes (pre-vote), a leader that steps down without a quorum
(check-quorum), learners, and membership changes of one voter at a time.
"""

from __future__ import annotations

import random

from figpaddle.coordination._followership import Followership
from figpaddle.coordination._leadership import Leadership
from figpaddle.coordination._log import Log
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
    """One replica, driven by events and the present time.

    Effects come in an order that matters: a batch of effects, from one event or from several in
    a row, may be carried out only after all its ``Persist`` effects are durable. If one of them
    can't be made durable, the batch and the replica are dropped, and a new replica is made from
    the durable state.

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
        self._hard = state.hard
        self._log = Log(state=state)
        self._commit = state.snapshot.index
        self._role = Role.FOLLOWER
        self._leader: Peer | None = None
        self._leader_contact = now
        self._votes: set[Peer] = set()
        self._leadership: Leadership | None = None
        self._join_due = now
        self._effects: list[Effect] = []
        self._saved = self._hard
        self._unsaved_from: int | None = None
        self._unsaved_snapshot: Snapshot | None = None
        self._followership = Followership(replica=self, log=self._log)
        self._reset_election_timer(now)

    @property
    def peer(self) -> Peer:
        """Identity of this replica."""
        return self._peer

    @property
    def role(self) -> Role:
        """What it does in its term."""
        return self._role

    @property
    def term(self) -> int:
        """Latest term seen."""
        return self._hard.term

    @property
    def leader(self) -> str | None:
        """Name of the leader, as far as known."""
        return None if self._leader is None else self._leader.name

    @property
    def commit_index(self) -> int:
        """Last entry known to be committed."""
        return self._commit

    @property
    def log(self) -> Log:
        """Its log, to be read only."""
        return self._log

    @property
    def membership(self) -> LogMembership | None:
        """The newest membership in its log."""
        return self._log.membership

    @property
    def next_due(self) -> float:
        """When it needs a tick at the latest, seconds."""
        if self._leadership is not None:
            return self._leadership.heartbeat_due
        membership = self._log.membership
        if membership is None or self._peer not in membership.peers:
            return self._join_due
        return self._election_due

    def quorum_contact(self) -> float | None:
        """Return when a quorum last confirmed this leader, seconds, or None for a follower."""
        if self._leadership is None:
            return None
        return self._leadership.quorum_contact()

    def handle(self, event: Event, now: float) -> tuple[Effect, ...]:
        """Take ``event`` and return what is to be done."""
        before = (self._role, self._hard.term, self._leader)
        self._effects = []
        match event:
            case Tick():
                self._on_tick(now)
            case Received():
                self._on_message(event.message, now)
            case Propose():
                self._leading().propose(event.data, now)
            case ChangeMembership():
                self._leading().change_membership(event.membership, now)
            case Read():
                self._leading().read(event.token, now)
            case Compact():
                self._log.compact(event.index, event.data)
                self._unsaved_snapshot = self._log.snapshot
        if (self._role, self._hard.term, self._leader) != before:
            changed = RoleChanged(role=self._role, term=self._hard.term, leader=self.leader)
            self._effects.append(changed)
        return (*self._take_unsaved(), *self._effects)

    def _take_unsaved(self) -> tuple[Persist, ...]:
        snapshot, first = self._unsaved_snapshot, self._unsaved_from
        if snapshot is None and first is None and self._hard == self._saved:
            return ()
        self._saved, self._unsaved_snapshot, self._unsaved_from = self._hard, None, None
        if snapshot is not None:
            entries = self._log.after(snapshot.index)
        else:
            entries = () if first is None else self._log.after(first - 1)
        return (Persist(hard=self._hard, entries=entries, snapshot=snapshot),)

    def _leading(self) -> Leadership:
        if self._leadership is None:
            raise NotLeaderError(leader=self.leader)
        return self._leadership

    def send(self, message: LogMessage) -> None:
        """Add a message to the effects."""
        self._effects.append(Send(receiver=message.receiver.name, message=message))

    def emit(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def append(self, entry: Entry) -> None:
        """Put ``entry`` into the log, to be made durable before anything is sent."""
        if entry.index <= self._commit:
            raise LogConflictError(
                what=f"entry {entry.index} of term {entry.term} would replace a committed one",
                where=self._peer.name,
                mend="empty the data folder that belongs to another deployment",
            )
        self._log.append(entry)
        unsaved = self._unsaved_from
        self._unsaved_from = entry.index if unsaved is None else min(unsaved, entry.index)

    def commit(self, index: int) -> None:
        """Hand the entries up to ``index`` to the machine."""
        while self._commit < index:
            self._commit += 1
            self._effects.append(Apply(entry=self._log.entry(self._commit)))

    def step_down(self, now: float) -> None:
        """Stop leading and wait for another leader."""
        self._follow(self._hard.term, None, now)
        self._reset_election_timer(now)

    def _reset_election_timer(self, now: float) -> None:
        shortest = self._settings.election_s
        self._election_due = now + self._rng.uniform(shortest, 2 * shortest)

    def _follow(self, term: int, leader: Peer | None, now: float) -> None:
        if term > self._hard.term:
            self._hard = HardState(term=term)
        self._role = Role.FOLLOWER
        self._leadership = None
        self._leader = leader
        self._votes = set()
        if leader is not None:
            self._leader_contact = now
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
            self._ask_to_join(now)
        elif self._peer in membership.voters and now >= self._election_due:
            self._start_trial(membership, now)

    def _ask_to_join(self, now: float) -> None:
        if now < self._join_due:
            return
        self._join_due = now + self._settings.join_s
        for name in self._eligible:
            if name != self._peer.name:
                self._effects.append(Send(receiver=name, message=JoinRequest(peer=self._peer)))

    def _start_trial(self, membership: LogMembership, now: float) -> None:
        self._role = Role.TRIAL_CANDIDATE
        self._leader = None
        self._votes = {self._peer}
        self._reset_election_timer(now)
        if membership.is_quorum(self._votes):
            self._start_election(membership, now)
        else:
            self._ask_votes(membership, self._hard.term + 1, trial=True)

    def _start_election(self, membership: LogMembership, now: float) -> None:
        self._role = Role.CANDIDATE
        self._hard = HardState(term=self._hard.term + 1, vote=self._peer)
        self._votes = {self._peer}
        self._reset_election_timer(now)
        if membership.is_quorum(self._votes):
            self._lead(now)
        else:
            self._ask_votes(membership, self._hard.term, trial=False)

    def _ask_votes(self, membership: LogMembership, term: int, *, trial: bool) -> None:
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

    def _lead(self, now: float) -> None:
        self._role = Role.LEADER
        self._leader = self._peer
        self._leadership = Leadership(
            replica=self,
            log=self._log,
            settings=self._settings,
            eligible=self._eligible,
            now=now,
        )
        self._leadership.begin(now)

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
                if message.term > self._hard.term:
                    self._follow(message.term, None, now)
                elif self._leadership is not None and message.term == self._hard.term:
                    self._leadership.on_reply(message, now)

    def _hears_leader(self, now: float) -> bool:
        if self._leadership is not None:
            return True
        return self._leader is not None and now < self._leader_contact + self._settings.election_s

    def _is_up_to_date(self, message: VoteRequest) -> bool:
        theirs = (message.last_term, message.last_index)
        return theirs >= (self._log.last_term, self._log.last_index)

    def _on_vote_request(self, message: VoteRequest, now: float) -> None:
        if self._hears_leader(now):
            if message.trial:
                self._reply_vote(message, granted=False)
            return
        if message.trial:
            granted = message.term > self._hard.term and self._is_up_to_date(message)
            self._reply_vote(message, granted=granted)
            return
        if message.term > self._hard.term:
            self._follow(message.term, None, now)
        may = self._hard.vote in (None, message.sender) and message.term == self._hard.term
        granted = may and self._is_up_to_date(message)
        if granted:
            self._hard = HardState(term=self._hard.term, vote=message.sender)
            self._reset_election_timer(now)
        self._reply_vote(message, granted=granted)

    def _reply_vote(self, message: VoteRequest, *, granted: bool) -> None:
        self.send(
            VoteReply(
                term=message.term if granted else self._hard.term,
                sender=self._peer,
                receiver=message.sender,
                granted=granted,
                trial=message.trial,
            )
        )

    def _on_vote_reply(self, message: VoteReply, now: float) -> None:
        if not message.granted:
            if message.term > self._hard.term:
                self._follow(message.term, None, now)
            return
        membership = self._log.membership
        asked = Role.TRIAL_CANDIDATE if message.trial else Role.CANDIDATE
        term = self._hard.term + 1 if message.trial else self._hard.term
        if membership is None or self._role is not asked or message.term != term:
            return
        self._votes.add(message.sender)
        if not membership.is_quorum(self._votes):
            return
        if message.trial:
            self._start_election(membership, now)
        else:
            self._lead(now)

    def _on_leader_message(self, message: AppendRequest | SnapshotRequest, now: float) -> None:
        if message.term < self._hard.term:
            self._followership.refuse(message)
            return
        self._follow(message.term, message.sender, now)
        if isinstance(message, SnapshotRequest):
            self._followership.on_snapshot(message)
        else:
            self._followership.on_append(message)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the log and the machine by ``snapshot``."""
        self._log.reset(snapshot)
        self._commit = snapshot.index
        self._unsaved_snapshot = snapshot
        self._unsaved_from = None
        self._effects.append(Restore(snapshot=snapshot))


def first_snapshot(membership: LogMembership, data: bytes = b"") -> Snapshot:
    """Return the snapshot that a new log begins with.

    It covers one entry, so a replica without a log asks for it instead of taking it for its own.
    """
    return Snapshot(index=1, term=0, membership=membership, data=data)
