"""Runs one replica of the configuration log with its file, state machine and messages."""

from __future__ import annotations

import pathlib
import random
from collections.abc import Callable
from typing import Any

import anyio
import anyio.to_thread

from figpaddle.coordination import (
    Apply,
    Compact,
    DurableState,
    Effect,
    Event,
    LogSettings,
    Persist,
    Propose,
    Received,
    Replica,
    Restore,
    Role,
    RoleChanged,
    Send,
    Tick,
)
from figpaddle.daemon._component import Component
from figpaddle.daemon._formation import Formation
from figpaddle.daemon._log_file import FileLogStorage
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.deployment import (
    Change,
    ChangeAnswer,
    ChangeMachine,
    VersionedConfiguration,
    encode_change,
)
from figpaddle.errors import CoordinationError, NotLeaderError, StorageError, StorageFullError
from figpaddle.telemetry import Log
from figpaddle.wire import (
    AppendReply,
    AppendRequest,
    ChangeReply,
    EntryKind,
    JoinRequest,
    LogMessage,
    Message,
    SnapshotRequest,
    SubmitChange,
    VoteReply,
    VoteRequest,
)

#: Shortest and longest wait between two ticks of the replica, seconds.
MIN_TICK_S = 0.01
MAX_TICK_S = 0.5
#: Length of the event queue; further messages are dropped, which the protocol tolerates.
INBOX_LENGTH = 4096
#: Most events processed with one durable write.
MAX_BATCH_EVENTS = 256
#: Number of applied entries since the last snapshot after which the log is compacted.
COMPACT_AFTER_ENTRIES = 1000
#: Changes of one member that may be proposed at the same time; further ones wait.
MAX_PENDING_CHANGES = 64
#: Longest wait for a change to be committed, seconds.
COMMIT_TIMEOUT_S = 2.0
#: Pause after a write that failed because the disk is full, seconds.
FULL_DISK_PAUSE_S = 1.0

LOG_MESSAGES: tuple[type[Message], ...] = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotRequest,
)


class _ChangeWaiter:
    """A caller that waits for the result of a change."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.answer: ChangeAnswer | None = None

    def finish(self, answer: ChangeAnswer | None) -> None:
        self.answer = answer
        self.done.set()


class Voter(Component):
    """Drives a replica with batches of events.

    The state changes of a batch are made durable with one write; only then are messages sent and
    committed entries applied.
    """

    def __init__(
        self,
        *,
        name: str,
        voters: tuple[str, ...],
        folder: pathlib.Path,
        bootstrap: VersionedConfiguration,
        network: PeerNetwork,
        rng: random.Random,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        self._name = name
        self._voters = voters
        self._storage = FileLogStorage(folder=folder, name=name)
        self._network = network
        self._rng = rng
        self._clock = clock
        self._log = log
        self._machine = ChangeMachine(versioned=VersionedConfiguration())
        self._applied = 0
        self._replica: Replica | None = None
        sender, receiver = anyio.create_memory_object_stream[Event](INBOX_LENGTH)
        self._inbox, self._events = sender, receiver
        self._waiters: dict[tuple[str, str, str], list[_ChangeWaiter]] = {}
        self._change_limiters: dict[str, anyio.Semaphore] = {}
        self._formation = Formation(
            voters=voters,
            bootstrap=bootstrap,
            storage=self._storage,
            network=network,
            log=log,
        )
        #: Called with the committed configuration after each batch.
        self.publish: Callable[[VersionedConfiguration], None] = lambda versioned: None
        for message_type in LOG_MESSAGES:
            network.register(message_type, self._on_log_message)
        network.register(JoinRequest, self._on_join_request)
        network.register(SubmitChange, self._on_submit)

    @property
    def name(self) -> str:
        """Key of this component's section in the state dump."""
        return "voter"

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader."""
        return self._replica is not None and self._replica.role is Role.LEADER

    @property
    def leader(self) -> str | None:
        """Name of the leader, or None if unknown."""
        return None if self._replica is None else self._replica.leader

    @property
    def quorum_contact(self) -> float | None:
        """Time at which a quorum last confirmed this leader, seconds; None for a follower."""
        return None if self._replica is None else self._replica.last_quorum_contact()

    def dump(self, *, now: float, member: str | None) -> Any:
        """Return the role, term, log positions and members of the replica."""
        replica = self._replica
        if replica is None:
            return {"role": "none"}
        membership = replica.membership
        voters = () if membership is None else membership.voters
        learners = () if membership is None else membership.learners
        return {
            "role": replica.role.value,
            "term": replica.term,
            "leader": replica.leader,
            "incarnation": replica.peer.incarnation,
            "commit": replica.commit_index,
            "last": replica.log.last_index,
            "snapshot": replica.log.snapshot.index,
            "file_bytes": self._storage.size_bytes,
            "voters": sorted(f"{peer.name}/{peer.incarnation}" for peer in voters),
            "learners": sorted(f"{peer.name}/{peer.incarnation}" for peer in learners),
        }

    async def run(self) -> None:
        """Run the replica until cancelled or until storage fails."""
        try:
            state = await anyio.to_thread.run_sync(self._storage.load)
            if state.is_empty:
                state = await self._formation.initial_state(state)
            self._start(state)
            while True:
                await self._process_batch(await self._next_events())
        except StorageError as error:
            self._replica = None
            self._log.error("voter_stopped", error=type(error).__name__, what=str(error))
        finally:
            self._storage.close()

    async def submit(self, change: Change) -> ChangeAnswer | None:
        """Return the result of ``change``, or None if not leader or not committed in time."""
        if not self.is_leader:
            return None
        earlier = self._machine.answer_to(change)
        if earlier is not None:
            return earlier
        limiter = self._change_limiters.setdefault(
            change.member.name, anyio.Semaphore(MAX_PENDING_CHANGES)
        )
        waiter = _ChangeWaiter()
        waiters = self._waiters.setdefault(change.key, [])
        waiters.append(waiter)
        try:
            with anyio.move_on_after(COMMIT_TIMEOUT_S):
                async with limiter:
                    await self._inbox.send(Propose(data=encode_change(change)))
                    await waiter.done.wait()
        finally:
            waiters.remove(waiter)
            if not waiters:
                self._waiters.pop(change.key, None)
        return waiter.answer

    async def _on_submit(self, peer: str, message: SubmitChange) -> Message | None:
        answer = await self.submit(message.change)
        return ChangeReply(answer=answer, leader=self.leader)

    async def _on_log_message(self, peer: str, message: LogMessage) -> Message | None:
        if message.sender.name == peer:
            self._enqueue(Received(message=message))
        return None

    async def _on_join_request(self, peer: str, message: JoinRequest) -> Message | None:
        if message.peer.name == peer:
            self._enqueue(Received(message=message))
        return None

    def _enqueue(self, event: Event) -> None:
        try:
            self._inbox.send_nowait(event)
        except anyio.WouldBlock:
            self._log.warning("voter_inbox_full")

    def _start(self, state: DurableState) -> None:
        self._replica = Replica(
            state=state,
            settings=LogSettings(),
            eligible=self._voters,
            rng=self._rng,
            now=self._clock(),
        )
        self._restore(state.snapshot.data, state.snapshot.index)

    def _restore(self, data: bytes, index: int) -> None:
        self._machine.restore(data)
        self._applied = index

    async def _next_events(self) -> list[Event]:
        assert self._replica is not None
        events: list[Event] = []
        pause_s = min(MAX_TICK_S, self._replica.next_tick_at - self._clock())
        with anyio.move_on_after(max(MIN_TICK_S, pause_s)):
            events.append(await self._events.receive())
        while len(events) < MAX_BATCH_EVENTS:
            try:
                events.append(self._events.receive_nowait())
            except anyio.WouldBlock:
                break
        return [*events, Tick()]

    async def _process_batch(self, events: list[Event]) -> None:
        effects: list[Effect] = []
        for event in events:
            effects.extend(self._feed_replica(event))
        effects.extend(self._compact())
        changes = tuple(effect for effect in effects if isinstance(effect, Persist))
        if changes and not await self._save(changes):
            return
        for effect in effects:
            self._perform(effect)
        if self._machine.versioned.revision:
            self.publish(self._machine.versioned)

    def _feed_replica(self, event: Event) -> tuple[Effect, ...]:
        assert self._replica is not None
        try:
            return self._replica.handle(event, self._clock())
        except NotLeaderError:
            self._fail_waiters()
        except CoordinationError as error:
            self._log.error("log_event_refused", error=type(error).__name__, what=str(error))
        return ()

    def _compact(self) -> tuple[Effect, ...]:
        assert self._replica is not None
        if self._applied - self._replica.log.snapshot.index < COMPACT_AFTER_ENTRIES:
            return ()
        return self._feed_replica(Compact(index=self._applied, data=self._machine.snapshot()))

    async def _save(self, changes: tuple[Persist, ...]) -> bool:
        try:
            await anyio.to_thread.run_sync(self._storage.save, changes)
        except StorageFullError as error:
            self._log.error("disk_full", what=str(error))
            self._fail_waiters()
            self._start(self._storage.load())
            await anyio.sleep(FULL_DISK_PAUSE_S)
            return False
        return True

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Send():
                self._network.post(effect.receiver, effect.message)
            case Apply():
                self._applied = effect.entry.index
                if effect.entry.kind is EntryKind.COMMAND:
                    self._resolve_waiters(*self._machine.apply(effect.entry.data))
            case Restore():
                self._restore(effect.snapshot.data, effect.snapshot.index)
            case RoleChanged():
                self._log.info(
                    "role", role=effect.role.value, term=effect.term, leader=effect.leader
                )
                if effect.role is not Role.LEADER:
                    self._fail_waiters()

    def _resolve_waiters(self, change: Change, answer: ChangeAnswer) -> None:
        for waiter in self._waiters.get(change.key, ()):
            waiter.finish(answer)

    def _fail_waiters(self) -> None:
        for waiters in self._waiters.values():
            for waiter in waiters:
                waiter.finish(None)
