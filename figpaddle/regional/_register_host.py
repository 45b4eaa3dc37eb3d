"""Runs the replicated register: this instance's voter, and reads and changes by a majority."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import anyio

from figpaddle.coordination import (
    NO_BALLOT,
    Ballot,
    Promise,
    newest_value,
)
from figpaddle.deployment import ClusterState, decode_state, encode_state
from figpaddle.errors import (
    MalformedMessageError,
    NoMajorityError,
    OrderOvertakenError,
    StorageError,
)
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._delegation import Delegation
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._register_store import RegisterStore
from figpaddle.regional._register_voters import RegisterVoters
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._tasks import ContainedTasks
from figpaddle.regional._voter_client import VoterClient, ballot_to_wire
from figpaddle.regional._voter_maintenance import VoterMaintenance
from figpaddle.telemetry import Log
from figpaddle.wire import (
    AcceptReply,
    AcceptRequest,
    Message,
    PeekRequest,
    PrepareReply,
    PrepareRequest,
    StateChange,
    StateChangeReply,
    VotersDecision,
)

#: Longest random backoff after the first full round was lost, seconds; it grows with each further
#: round. It is longer than a round between regions, so that one of two competing proposers has the
#: time to finish.
MAX_BACKOFF_S = 0.5
#: Full rounds after which a change is given up.
MAX_ROUNDS = 6
#: Interval between runs of background work (the decision on the voters, recovery and the read after
#: a start), seconds.
UPKEEP_INTERVAL_S = 0.25
#: Interval between reads of a state that may lack its voters, seconds.
VOTERS_READ_INTERVAL_S = 2.0

#: Has a majority accept the present state.
CONFIRM = StateChange(kind="confirm", version=0, document=b"", zone="")

#: Returns the cluster state after a change.
StateTransform = Callable[[ClusterState], ClusterState]


@dataclasses.dataclass(kw_only=True)
class _PendingChange:
    """A change that waits for its round."""

    change: StateTransform
    done: anyio.Event
    #: Whether it needs a round with a prepare phase, which tells the incarnations of all instances.
    needs_promises: bool = False
    #: Returns whether the change must have no effect on a state, since others followed it.
    is_overtaken: Callable[[ClusterState], bool] = lambda _: False
    overtaken: bool = False
    #: The state that includes the change; None while it may not be durable.
    state: ClusterState | None = None

    def apply(self, state: ClusterState) -> ClusterState:
        """Return ``state`` after the change, which has no effect if it was overtaken."""
        self.overtaken = self.is_overtaken(state)
        return state if self.overtaken else self.change(state)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _WonRound:
    """The last round that this instance won."""

    #: Ballot that the majority promised together with its acceptance.
    reserved: Ballot
    state: ClusterState
    incarnations: dict[str, str]


class RegisterHost:
    """Confirms a change of the cluster state once a majority of the voters has made it durable.

    Concurrent changes share a round. The live control instance with the lowest name proposes for
    the others, so that proposers rarely compete; another instance proposes a change itself if that
    one doesn't reply. The same instance keeps the set of voters up to date.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        mesh: Mesh,
        follower: ClusterFollower,
        store: RegisterStore,
        tasks: ContainedTasks,
        clock: Callable[[], float],
        rng: random.Random,
        log: Log,
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._follower = follower
        self._store = store
        self._clock = clock
        self._rng = rng
        self._log = log
        self._pending: list[_PendingChange] = []
        self._change_added = anyio.Event()
        self._last_won_round: _WonRound | None = None
        self._delegation = Delegation(name=settings.ip, mesh=mesh, clock=clock, log=log)
        self._initial_read_done = False
        self._voters_read_at = float("-inf")
        self._candidates: tuple[str, ...] = ()
        self._voter_client = VoterClient(
            name=settings.ip, mesh=mesh, answer_self=self._answer_self, tasks=tasks, log=log
        )
        self._maintenance = VoterMaintenance(
            settings=settings,
            mesh=mesh,
            follower=follower,
            store=store,
            voter_client=self._voter_client,
            change_voters=self._change_voters,
            now=clock(),
            log=log,
        )
        self._voters = RegisterVoters(seeds=settings.seeds, store=store, follower=follower)
        follower.learn_voters(store.voters)
        mesh.on_query(PrepareRequest, self._answer_prepare)
        mesh.on_query(AcceptRequest, self._answer_accept)
        mesh.on_query(PeekRequest, self._answer_peek)
        mesh.on_query(VotersDecision, self._answer_voters)
        mesh.on_query(StateChange, self._answer_change)

    async def run(self) -> None:
        """Propose changes, decide the voters, recover and read after a start, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._propose)
            while True:
                try:
                    await self._upkeep()
                except (NoMajorityError, StorageError) as error:
                    self._log.warning("register_upkeep_failed", reason=str(error))
                await anyio.sleep(UPKEEP_INTERVAL_S)

    async def change(self, change_request: StateChange) -> ClusterState:
        """Make a change durable, through this or another control instance.

        Raises NoMajorityError if the change may not be durable, and OrderOvertakenError if it had no effect
        because another order followed it.
        """
        proposer = self._delegation.proposer()
        if proposer != self._settings.ip:
            reply = await self._delegation.delegate(proposer, change_request)
            if reply is not None and reply.done:
                state = decode_state(reply.state)
                self._follower.install(state, source=proposer)
                return state
            if reply is not None and reply.overtaken:
                raise OrderOvertakenError(what="another order for the zone followed it")
        return await self._change_locally(change_request)

    async def read(self) -> ClusterState:
        """Return the newest cluster state; raises NoMajorityError without a majority."""
        promises = await self._voter_client.gather_promises(
            self._voters.targets(), PeekRequest(), self._voters.is_chosen
        )
        if not promises or not self._voters.is_chosen(promises):
            # Some voter may lack the newest value: have a majority accept it before it is returned.
            self._voters.learn(promises)
            return await self.change(CONFIRM)
        self._voters.forget_outdated()
        state = decode_state(newest_value(promises).value)
        self._follower.install(state, source="majority")
        return state

    async def _change_locally(self, change_request: StateChange) -> ClusterState:
        return await self._enqueue(_pending_change(change_request))

    async def _enqueue(self, pending: _PendingChange) -> ClusterState:
        self._pending.append(pending)
        self._change_added.set()
        await pending.done.wait()
        if pending.state is None:
            raise NoMajorityError(what="the change may not be durable")
        if pending.overtaken:
            raise OrderOvertakenError(what="another order for the zone followed it")
        return pending.state

    async def _propose(self) -> None:
        """Propose the pending changes; those that wait at the same time share a round.

        This runs in a task of its own, so that a round goes on when its caller is cancelled: some
        voters may have accepted the change already.
        """
        while True:
            if not self._pending:
                self._change_added = anyio.Event()
                await self._change_added.wait()
            batch, self._pending = self._pending, []
            state: ClusterState | None = None
            try:
                if any(pending.needs_promises for pending in batch):
                    self._last_won_round = None
                state = await self._run_rounds([pending.apply for pending in batch])
            except (NoMajorityError, StorageError, MalformedMessageError) as error:
                self._log.warning("change_not_made", changes=len(batch), reason=str(error))
            finally:
                for pending in batch:
                    pending.state = state
                    pending.done.set()

    async def _run_rounds(self, transforms: list[StateTransform]) -> ClusterState:
        state = await self._run_reserved_round(transforms)
        for attempt in range(MAX_ROUNDS):
            if state is not None:
                state = await self._settle_voters(state)
                self._follower.install(state, source="register")
                return state
            if attempt:
                await anyio.sleep(self._rng.uniform(0.0, MAX_BACKOFF_S) * attempt)
            state = await self._run_full_round(transforms)
        raise NoMajorityError(
            what="every round was lost, to other proposers or for lack of a majority"
        )

    async def _settle_voters(self, state: ClusterState) -> ClusterState:
        """End a change of the voters once the state that began it was chosen.

        The reserved ballot is the one promised with that state, so no other state came between.
        """
        if not state.previous_voters:
            return state
        settled = await self._run_reserved_round([ClusterState.with_settled_voters])
        return state if settled is None else settled

    async def _run_reserved_round(self, transforms: list[StateTransform]) -> ClusterState | None:
        """Send accepts with the ballot promised in the last won round, without a prepare phase."""
        last_round, self._last_won_round = self._last_won_round, None
        if last_round is None:
            return None
        state = _apply_transforms(transforms, last_round.state)
        return await self._run_accepts(last_round.reserved, state, last_round.incarnations, "short")

    async def _run_full_round(self, transforms: list[StateTransform]) -> ClusterState | None:
        ballot = self._voter_client.next_ballot()
        promises = await self._gather_quorum(ballot, self._voters.is_quorum)
        if promises is None:
            self._log.info("round_lost", ballot=ballot.number, phase="prepare")
            return None
        state = _apply_transforms(transforms, decode_state(newest_value(promises).value))
        # Voters whose promise came too late get accept requests too. A voter that lost its disk
        # after its promise must refuse, so the incarnation in the promise overrides any seen later.
        promised_incarnations = {promise.voter: promise.incarnation for promise in promises}
        incarnations = {**self._voter_client.incarnations, **promised_incarnations}
        return await self._run_accepts(ballot, state, incarnations, "accept")

    async def _gather_quorum(
        self, ballot: Ballot, is_enough: Callable[[tuple[Promise, ...]], bool]
    ) -> tuple[Promise, ...] | None:
        """Have instances promise ``ballot``; return the promises, or None if they are too few.

        Instances that may become voters are asked too, since a new voter accepts a value only under
        the incarnation that it stated.
        """
        names = {*self._voters.targets(), *self._candidates}
        promises = await self._voter_client.gather_promises(
            tuple(sorted(names)), PrepareRequest(ballot=ballot_to_wire(ballot)), is_enough
        )
        if promises and is_enough(promises):
            self._voters.forget_outdated()
            return promises
        if self._voters.learn(promises):
            self._log.info("voters_outdated", voters=",".join(self._voters.targets()))
        return None

    async def _run_accepts(
        self, ballot: Ballot, state: ClusterState, incarnations: dict[str, str], phase: str
    ) -> ClusterState | None:
        reserved = self._voter_client.next_ballot()
        value = encode_state(state)
        voters = self._voters.of_value(value)
        won = await self._voter_client.gather_acceptances(
            ballot,
            value,
            {name: incarnations[name] for name in voters.members if name in incarnations},
            reserved=reserved,
            voters=voters,
        )
        if not won:
            self._log.info("round_lost", ballot=ballot.number, phase=phase)
            return None
        self._last_won_round = _WonRound(
            reserved=reserved,
            state=state,
            incarnations=incarnations,
        )
        self._log.info("round_won", ballot=ballot.number, revision=state.revision, phase=phase)
        return state

    async def _answer_self(self, query: Message) -> Message:
        match query:
            case PrepareRequest():
                return await self._answer_prepare(query)
            case AcceptRequest():
                return await self._answer_accept(query)
            case VotersDecision():
                return await self._answer_voters(query)
            case _:
                return await self._answer_peek(query)

    async def _answer_prepare(self, query: Message) -> Message:
        assert isinstance(query, PrepareRequest)
        ballot = Ballot(*query.ballot)
        self._voter_client.observe_ballot(query.ballot)
        try:
            return _prepare_reply(await self._store.prepare(ballot))
        except StorageError as error:
            self._log.error("register_not_written", reason=str(error))
            return _prepare_reply(self._store.voter.prepare(NO_BALLOT)[1])

    async def _answer_accept(self, query: Message) -> Message:
        assert isinstance(query, AcceptRequest)
        ballot = Ballot(*query.ballot)
        try:
            answer = await self._store.accept(
                ballot,
                query.value,
                incarnation=query.incarnation,
                reserved=Ballot(*query.reserved),
            )
        except StorageError as error:
            self._log.error("register_not_written", reason=str(error))
            return AcceptReply(
                voter=self._settings.ip,
                granted=False,
                promised=ballot_to_wire(self._store.voter.state.promised),
            )
        return AcceptReply(
            voter=answer.voter, granted=answer.granted, promised=ballot_to_wire(answer.promised)
        )

    async def _answer_peek(self, query: Message) -> Message:
        state = self._store.voter.state
        return PrepareReply(
            voter=self._settings.ip,
            incarnation=state.incarnation,
            granted=state.complete,
            promised=ballot_to_wire(state.promised),
            accepted=ballot_to_wire(state.accepted),
            value=state.value,
            changes_voters=True,
        )

    async def _answer_voters(self, query: Message) -> Message:
        assert isinstance(query, VotersDecision)
        try:
            names = await self._store.record_voters(query.names)
        except StorageError as error:
            self._log.error("register_not_written", reason=str(error))
            return VotersDecision(names=self._store.voters)
        self._follower.learn_voters(names)
        return VotersDecision(names=names)

    async def _answer_change(self, query: Message) -> Message:
        assert isinstance(query, StateChange)
        try:
            state = await self._change_locally(query)
        except (NoMajorityError, OrderOvertakenError) as error:
            self._log.warning("change_not_confirmed", kind=query.kind, reason=str(error))
            is_overtaken = isinstance(error, OrderOvertakenError)
            return StateChangeReply(done=False, state=b"", overtaken=is_overtaken)
        return StateChangeReply(done=True, state=encode_state(state))

    async def _upkeep(self) -> None:
        if not self._voters.known:
            await self._maintenance.decide_first_voters(now=self._clock())
        elif not self._store.voter.state.complete:
            await self._recover()
        elif not self._store.voters:
            await self._store.record_voters(self._follower.voters)
        elif not self._initial_read_done:
            await self.read()
            self._initial_read_done = True
        elif self._may_lack_voters() and self._clock() >= (
            self._voters_read_at + VOTERS_READ_INTERVAL_S
        ):
            self._voters_read_at = self._clock()
            await self.read()
        elif self._delegation.proposer() == self._settings.ip:
            await self._settle_interrupted_change()
            await self._maintenance.replace_silent_voters(now=self._clock())

    def _may_lack_voters(self) -> bool:
        """Return whether voters may have been replaced by a state that was installed without its voters.

        Instances of earlier builds leave them out of a state that they pass on.
        """
        voters = self._follower.voters
        live = {self._settings.ip, *(item.name for item in self._mesh.live_controls())}
        is_outdated = self._settings.ip not in voters or not live.issuperset(voters)
        return is_outdated and not self._follower.state.voters

    async def _settle_interrupted_change(self) -> None:
        """End a change of the voters that another proposer began and didn't end."""
        if self._follower.state.previous_voters:
            await self._change_locally(CONFIRM)

    async def _change_voters(self, names: tuple[str, ...], present: tuple[str, ...]) -> None:
        """Change the voters from ``present`` to ``names``, unless others changed them meanwhile."""

        def begin_change(state: ClusterState) -> ClusterState:
            if state.previous_voters or (state.voters and state.voters != present):
                return state
            return state.with_voters(names, previous=present)

        self._candidates = names
        try:
            await self._enqueue(
                _PendingChange(change=begin_change, done=anyio.Event(), needs_promises=True)
            )
        finally:
            self._candidates = ()

    async def _recover(self) -> None:
        """Restore the voter after its disk was lost, or prepare this instance to become a voter.

        A recovery quorum of promises ensures that it can't contradict the votes on a lost disk.
        """

        def is_enough(promises: tuple[Promise, ...]) -> bool:
            return self._voters.is_recovery_quorum(promises, lost=self._settings.ip)

        # The replies tell the ballots in use; a lower one would be refused.
        peeked = await self._voter_client.gather_promises(
            self._voters.targets(), PeekRequest(), is_enough
        )
        self._voters.learn(peeked)
        ballot = self._voter_client.recovery_ballot()
        promises = await self._gather_quorum(ballot, is_enough)
        if promises is None:
            self._log.warning("voter_not_recovered", voters=",".join(self._voters.targets()))
            return
        await self._store.recover(promises, ballot)
        await self._store.record_voters(self._follower.voters)
        self._log.info("voter_recovered", ballot=ballot.number, answers=len(promises))


def _prepare_reply(promise: Promise) -> PrepareReply:
    return PrepareReply(
        voter=promise.voter,
        incarnation=promise.incarnation,
        granted=promise.granted,
        promised=ballot_to_wire(promise.promised),
        accepted=ballot_to_wire(promise.accepted),
        value=promise.value,
        changes_voters=True,
    )


def _apply_transforms(transforms: list[StateTransform], state: ClusterState) -> ClusterState:
    for transform in transforms:
        state = transform(state)
    return state


def _pending_change(change_request: StateChange) -> _PendingChange:
    zone, base = change_request.zone, change_request.base
    done = anyio.Event()
    match change_request.kind:
        case "confirm":
            return _PendingChange(change=lambda state: state, done=done)
        case "configuration":
            return _PendingChange(
                change=lambda state: state.with_configuration(
                    change_request.version, change_request.document
                ),
                done=done,
            )
        case "evacuate":
            return _PendingChange(
                change=lambda state: state.with_evacuation(zone),
                is_overtaken=lambda state: state.overtakes(zone, evacuated=True, base=base),
                done=done,
            )
        case "return":
            return _PendingChange(
                change=lambda state: state.without_evacuation(zone),
                is_overtaken=lambda state: state.overtakes(zone, evacuated=False, base=base),
                done=done,
            )
    raise MalformedMessageError(
        what=f"unknown kind of change {change_request.kind!r}", where="register"
    )
