"""Runs the register: this instance's voter, and changes and reads through a majority."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import anyio
import anyio.abc

from figpaddle.coordination import (
    NO_BALLOT,
    Ballot,
    Founder,
    Promise,
    is_settled,
    majority,
    newest_value,
    recovery_quorum,
)
from figpaddle.deployment import ClusterState, decode_state, encode_state
from figpaddle.errors import (
    MalformedMessageError,
    NoMajorityError,
    StorageError,
)
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._delegation import Delegation
from figpaddle.regional._electorate import Electorate, pair
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._register_store import RegisterStore
from figpaddle.regional._settings import ProcessSettings
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

#: Longest random pause after another proposer got in the way, seconds: longer than its round
#: between regions takes, so that one of two that meet has the time to end.
MAX_PAUSE_S = 0.5
#: Rounds after which a change is given up.
MAX_ROUNDS = 6
#: Interval of work that isn't urgent: founding, recovery and reading after a start, seconds.
UPKEEP_INTERVAL_S = 0.25

#: A change of the agreed state.
Change = Callable[[ClusterState], ClusterState]


@dataclasses.dataclass(kw_only=True)
class _Ticket:
    """A change that waits for its round."""

    change: Change
    done: anyio.Event
    #: The state that holds the change; None where it may not be durable.
    state: ClusterState | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Won:
    """The round that this instance won last."""

    #: Ballot that the majority promised along with its acceptance.
    reserved: Ballot
    state: ClusterState
    incarnations: dict[str, str]


class RegisterHost:
    """Makes changes of the agreed state durable at a majority before it confirms them.

    Changes of a moment are made in one round. The live control instance with the lowest name
    makes them for the others, so that proposers rarely meet; any other does it itself as soon as
    that one doesn't answer.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        mesh: Mesh,
        follower: ClusterFollower,
        store: RegisterStore,
        tasks: anyio.abc.TaskGroup,
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
        self._founder = Founder(name=settings.ip, seeds=settings.seeds, now=clock())
        self._waiting: list[_Ticket] = []
        self._wanted = anyio.Event()
        self._won: _Won | None = None
        self._delegation = Delegation(name=settings.ip, mesh=mesh, clock=clock, log=log)
        self._read_once = False
        self._electorate = Electorate(
            name=settings.ip, mesh=mesh, answer_self=self._answer_self, tasks=tasks, log=log
        )
        follower.learn_voters(store.voters)
        mesh.on_question(PrepareRequest, self._answer_prepare)
        mesh.on_question(AcceptRequest, self._answer_accept)
        mesh.on_question(PeekRequest, self._answer_peek)
        mesh.on_question(VotersDecision, self._answer_voters)
        mesh.on_question(StateChange, self._answer_change)

    async def run(self) -> None:
        """Found the deployment, recover, read after a start and make changes until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._propose)
            while True:
                try:
                    await self._upkeep()
                except (NoMajorityError, StorageError) as error:
                    self._log.warning("register_upkeep_failed", reason=str(error))
                await anyio.sleep(UPKEEP_INTERVAL_S)

    async def change(self, order: StateChange) -> ClusterState:
        """Make a change durable, here or through another control instance.

        Raises NoMajorityError where it is not known to be durable.
        """
        proposer = self._delegation.proposer()
        if proposer != self._settings.ip:
            reply = await self._delegation.ask(proposer, order)
            if reply is not None and reply.done:
                state = decode_state(reply.state)
                self._follower.install(state, source=proposer)
                return state
        return await self._change_here(order)

    async def read(self) -> ClusterState:
        """Return the newest agreed state; raises NoMajorityError without a majority."""
        voters = self._voters()
        settled = await self._electorate.gather_promises(
            self._voters(), PeekRequest(), lambda promises: is_settled(promises, voters=len(voters))
        )
        if settled is None:
            # Some voter missed the newest value: have a majority accept it before it is shown.
            return await self.change(StateChange(kind="confirm", version=0, document=b"", zone=""))
        state = decode_state(newest_value(settled).value)
        self._follower.install(state, source="majority")
        return state

    async def _change_here(self, order: StateChange) -> ClusterState:
        ticket = _Ticket(change=_change_of(order), done=anyio.Event())
        self._waiting.append(ticket)
        self._wanted.set()
        await ticket.done.wait()
        if ticket.state is None:
            raise NoMajorityError(what="the change may not be durable")
        return ticket.state

    async def _propose(self) -> None:
        """Make the changes that wait, all of a moment in one round.

        The task goes on when whoever asked has left: the change may be durable in part already.
        """
        while True:
            if not self._waiting:
                self._wanted = anyio.Event()
                await self._wanted.wait()
            batch, self._waiting = self._waiting, []
            try:
                state: ClusterState | None = await self._run_rounds(
                    [ticket.change for ticket in batch]
                )
            except (NoMajorityError, StorageError, MalformedMessageError) as error:
                self._log.warning("change_not_made", changes=len(batch), reason=str(error))
                state = None
            for ticket in batch:
                ticket.state = state
                ticket.done.set()

    async def _run_rounds(self, changes: list[Change]) -> ClusterState:
        state = await self._run_short_round(changes)
        for attempt in range(MAX_ROUNDS):
            if state is not None:
                self._follower.install(state, source="register")
                return state
            if attempt:
                await anyio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S) * attempt)
            state = await self._run_round(changes)
        raise NoMajorityError(what="other changes kept getting in the way")

    async def _run_short_round(self, changes: list[Change]) -> ClusterState | None:
        """Go on with the ballot that a majority promised along with its last acceptance."""
        won, self._won = self._won, None
        if won is None:
            return None
        state = _apply(changes, won.state)
        return await self._run_accepts(won.reserved, state, won.incarnations, "short")

    async def _run_round(self, changes: list[Change]) -> ClusterState | None:
        needed = majority(len(self._voters()))
        ballot = self._electorate.next_ballot()
        promises = await self._electorate.gather_promises(
            self._voters(),
            PrepareRequest(ballot=pair(ballot)),
            lambda promises: len(promises) >= needed,
        )
        if promises is None:
            self._log.info("round_lost", ballot=ballot.number, phase="prepare")
            return None
        state = _apply(changes, decode_state(newest_value(promises).value))
        # A voter that promised too late is asked as well; one that promised and has lost its disk
        # since must refuse, so what it promised with goes before what it said later.
        promised = {promise.voter: promise.incarnation for promise in promises}
        incarnations = {**self._electorate.incarnations, **promised}
        return await self._run_accepts(ballot, state, incarnations, "accept")

    async def _run_accepts(
        self, ballot: Ballot, state: ClusterState, incarnations: dict[str, str], phase: str
    ) -> ClusterState | None:
        reserved = self._electorate.next_ballot()
        accepted_by = await self._electorate.gather_acceptances(
            ballot,
            encode_state(state),
            incarnations,
            reserved=reserved,
            needed=majority(len(self._voters())),
        )
        if accepted_by is None:
            self._log.info("round_lost", ballot=ballot.number, phase=phase)
            return None
        self._won = _Won(
            reserved=reserved,
            state=state,
            incarnations=incarnations,
        )
        self._log.info("round_won", ballot=ballot.number, revision=state.revision, phase=phase)
        return state

    async def _answer_self(self, question: Message) -> Message:
        match question:
            case PrepareRequest():
                return await self._answer_prepare(question)
            case AcceptRequest():
                return await self._answer_accept(question)
            case _:
                return await self._answer_peek(question)

    async def _answer_prepare(self, question: Message) -> Message:
        assert isinstance(question, PrepareRequest)
        ballot = Ballot(*question.ballot)
        self._electorate.note_ballot(question.ballot)
        try:
            return _reply(await self._store.prepare(ballot))
        except StorageError as error:
            self._log.error("register_not_written", reason=str(error))
            return _reply(self._store.voter.prepare(NO_BALLOT)[1])

    async def _answer_accept(self, question: Message) -> Message:
        assert isinstance(question, AcceptRequest)
        ballot = Ballot(*question.ballot)
        try:
            answer = await self._store.accept(
                ballot,
                question.value,
                incarnation=question.incarnation,
                reserved=Ballot(*question.reserved),
            )
        except StorageError as error:
            self._log.error("register_not_written", reason=str(error))
            return AcceptReply(
                voter=self._settings.ip,
                granted=False,
                promised=pair(self._store.voter.state.promised),
            )
        return AcceptReply(
            voter=answer.voter, granted=answer.granted, promised=pair(answer.promised)
        )

    async def _answer_peek(self, question: Message) -> Message:
        state = self._store.voter.state
        return PrepareReply(
            voter=self._settings.ip,
            incarnation=state.incarnation,
            granted=state.complete,
            promised=pair(state.promised),
            accepted=pair(state.accepted),
            value=state.value,
        )

    async def _answer_voters(self, question: Message) -> Message:
        assert isinstance(question, VotersDecision)
        names = await self._store.record_voters(question.names)
        self._follower.learn_voters(names)
        return VotersDecision(names=names)

    async def _answer_change(self, question: Message) -> Message:
        assert isinstance(question, StateChange)
        try:
            state = await self._change_here(question)
        except NoMajorityError as error:
            self._log.warning("change_not_confirmed", kind=question.kind, reason=str(error))
            return StateChangeReply(done=False, state=b"")
        return StateChangeReply(done=True, state=encode_state(state))

    async def _upkeep(self) -> None:
        if not self._follower.voters:
            await self._found()
        elif not self._store.voters and self._store.voter.state.complete:
            await self._store.record_voters(self._voters())
        elif not self._store.voter.state.complete and self._is_voter:
            await self._recover()
        elif not self._read_once:
            await self.read()
            self._read_once = True

    async def _found(self) -> None:
        now = self._clock()
        for beat in self._mesh.controls():
            if beat.founding:
                self._founder.heard(beat.name, now=now)
        voters = self._founder.decide(now=now) if self._settings.first_start else None
        if voters is None:
            return
        names = await self._store.record_voters(voters.names)
        self._log.info("voters_decided", voters=",".join(names))
        self._follower.learn_voters(names)

    async def _recover(self) -> None:
        """Read from enough other voters that this one can't contradict its lost disk."""
        needed = recovery_quorum(len(self._voters()))
        ballot = self._electorate.recovery_ballot()
        promises = await self._electorate.gather_promises(
            self._voters(),
            PrepareRequest(ballot=pair(ballot)),
            lambda promises: len(promises) >= needed,
        )
        if promises is None:
            self._log.warning("voter_not_recovered", needed=needed)
            return
        await self._store.record_voters(self._voters())
        await self._store.recover(promises, ballot)
        self._log.info("voter_recovered", ballot=ballot.number, answers=len(promises))

    @property
    def _is_voter(self) -> bool:
        return self._settings.ip in self._follower.voters

    def _voters(self) -> tuple[str, ...]:
        voters = self._follower.voters
        if not voters:
            raise NoMajorityError(what="the voters are not known yet")
        return voters


def _reply(promise: Promise) -> PrepareReply:
    return PrepareReply(
        voter=promise.voter,
        incarnation=promise.incarnation,
        granted=promise.granted,
        promised=pair(promise.promised),
        accepted=pair(promise.accepted),
        value=promise.value,
    )


def _apply(changes: list[Change], state: ClusterState) -> ClusterState:
    for change in changes:
        state = change(state)
    return state


def _change_of(order: StateChange) -> Change:
    match order.kind:
        case "confirm":
            return lambda state: state
        case "configuration":
            return lambda state: state.with_configuration(order.version, order.document)
        case "evacuate":
            return lambda state: state.with_evacuation(order.zone)
        case "return":
            return lambda state: state.without_evacuation(order.zone)
    raise MalformedMessageError(what=f"change {order.kind!r}", where="register")
