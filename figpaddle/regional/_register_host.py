"""Runs the register: this instance's voter, and changes and reads through a majority."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from figpaddle.coordination import (
    NO_BALLOT,
    Acceptance,
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
    PeerUnreachableError,
    StorageError,
)
from figpaddle.regional._cluster import ClusterFollower
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

#: Longest wait for a voter's answer, seconds; three of the longest round trips and a slow disk.
VOTER_TIMEOUT_S = 0.8
#: Longest wait for another control instance to make a change, seconds.
PROPOSER_TIMEOUT_S = 1.1
#: Longest random pause after another proposer got in the way, seconds.
MAX_PAUSE_S = 0.25
#: Rounds after which a change is given up.
MAX_ROUNDS = 6
#: Interval of work that isn't urgent: founding, recovery and reading after a start, seconds.
UPKEEP_INTERVAL_S = 0.25
#: Time without a heartbeat after which another control instance isn't asked to propose, seconds.
PROPOSER_SILENT_S = 1.2

#: A change of the agreed state.
Change = Callable[[ClusterState], ClusterState]


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
        self._highest = NO_BALLOT
        self._waiting: list[tuple[Change, anyio.Event]] = []
        self._confirmed: set[anyio.Event] = set()
        self._round = anyio.Lock()
        self._read_once = False
        follower.learn_voters(store.voters)
        mesh.on_question(PrepareRequest, self._answer_prepare)
        mesh.on_question(AcceptRequest, self._answer_accept)
        mesh.on_question(PeekRequest, self._answer_peek)
        mesh.on_question(VotersDecision, self._answer_voters)
        mesh.on_question(StateChange, self._answer_change)

    async def run(self) -> None:
        """Found the deployment, recover and read after a start, until cancelled."""
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
        proposer = self._preferred_proposer()
        if proposer != self._settings.ip:
            try:
                reply = await self._mesh.ask(proposer, order, timeout_s=PROPOSER_TIMEOUT_S)
            except PeerUnreachableError as error:
                self._log.warning("proposer_unreachable", peer=proposer, reason=str(error))
            else:
                if isinstance(reply, StateChangeReply) and reply.done:
                    return self._follower.state
        return await self._change_here(order)

    async def read(self) -> ClusterState:
        """Return the newest agreed state; raises NoMajorityError without a majority."""
        voters = self._voters()
        promises = await self._gather_promises(PeekRequest(), majority(len(voters)))
        if promises is None:
            raise NoMajorityError(what="no majority of the voters answers")
        if is_settled(promises, voters=len(voters)):
            state = decode_state(newest_value(promises).value)
        else:
            state = await self._change_here(None)
        self._follower.install(state, source="majority")
        return state

    async def _change_here(self, order: StateChange | None) -> ClusterState:
        event = anyio.Event()
        self._waiting.append((_change_of(order), event))
        async with self._round:
            if event.is_set():
                if event in self._confirmed:
                    self._confirmed.discard(event)
                    return self._follower.state
                raise NoMajorityError(what="the change may not be durable")
            batch, self._waiting = self._waiting, []
            try:
                state = await self._run_rounds([change for change, _ in batch])
            except BaseException:
                for _, waiting in batch:
                    waiting.set()
                raise
            for _, waiting in batch:
                self._confirmed.add(waiting)
                waiting.set()
            self._confirmed.discard(event)
            return state

    async def _run_rounds(self, changes: list[Change]) -> ClusterState:
        for attempt in range(MAX_ROUNDS):
            state = await self._run_round(changes)
            if state is not None:
                self._follower.install(state, source="register")
                return state
            await anyio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S) * (attempt + 1))
        raise NoMajorityError(what="other changes kept getting in the way")

    async def _run_round(self, changes: list[Change]) -> ClusterState | None:
        needed = majority(len(self._voters()))
        ballot = self._next_ballot()
        promises = await self._gather_promises(PrepareRequest(ballot=_pair(ballot)), needed)
        if promises is None:
            self._log.info("round_lost", ballot=ballot.number, phase="prepare")
            return None
        state = decode_state(newest_value(promises).value)
        for change in changes:
            state = change(state)
        value = encode_state(state)
        accepted = await self._gather_acceptances(ballot, value, promises, needed)
        if not accepted:
            self._log.info("round_lost", ballot=ballot.number, phase="accept")
            return None
        self._log.info(
            "round_won", ballot=ballot.number, revision=state.revision, changes=len(changes)
        )
        return state

    async def _gather_promises(self, question: Message, needed: int) -> tuple[Promise, ...] | None:
        promises: list[Promise] = []
        enough = anyio.Event()
        refused = 0

        async def one(name: str) -> None:
            nonlocal refused
            promise = await self._ask_promise(name, question)
            if promise is None or not promise.granted:
                refused += 1
                if refused > len(self._voters()) - needed:
                    enough.set()
                return
            promises.append(promise)
            if len(promises) >= needed:
                enough.set()

        await self._until(enough, one, self._voters())
        return tuple(promises) if len(promises) >= needed else None

    async def _gather_acceptances(
        self, ballot: Ballot, value: bytes, promises: tuple[Promise, ...], needed: int
    ) -> bool:
        incarnations = {promise.voter: promise.incarnation for promise in promises}
        granted = refused = 0
        enough = anyio.Event()

        async def one(name: str) -> None:
            nonlocal granted, refused
            question = AcceptRequest(
                ballot=_pair(ballot), incarnation=incarnations[name], value=value
            )
            answer = await self._ask_acceptance(name, question)
            if answer is not None and answer.granted:
                granted += 1
            else:
                refused += 1
            if granted >= needed or refused > len(incarnations) - needed:
                enough.set()

        await self._until(enough, one, tuple(incarnations))
        return granted >= needed

    async def _until(
        self,
        enough: anyio.Event,
        one: Callable[[str], object],
        names: tuple[str, ...],
    ) -> None:
        async with anyio.create_task_group() as tasks:

            async def all_asked() -> None:
                async with anyio.create_task_group() as asking:
                    for name in names:
                        asking.start_soon(one, name)  # type: ignore[arg-type]
                enough.set()

            tasks.start_soon(all_asked)
            await enough.wait()
            tasks.cancel_scope.cancel()

    async def _ask_promise(self, name: str, question: Message) -> Promise | None:
        reply = await self._ask_voter(name, question)
        if not isinstance(reply, PrepareReply):
            return None
        self._note_ballot(reply.promised)
        return Promise(
            voter=reply.voter,
            incarnation=reply.incarnation,
            granted=reply.granted,
            promised=Ballot(*reply.promised),
            accepted=Ballot(*reply.accepted),
            value=reply.value,
        )

    async def _ask_acceptance(self, name: str, question: Message) -> Acceptance | None:
        reply = await self._ask_voter(name, question)
        if not isinstance(reply, AcceptReply):
            return None
        self._note_ballot(reply.promised)
        return Acceptance(
            voter=reply.voter, granted=reply.granted, promised=Ballot(*reply.promised)
        )

    async def _ask_voter(self, name: str, question: Message) -> Message | None:
        try:
            if name != self._settings.ip:
                return await self._mesh.ask(name, question, timeout_s=VOTER_TIMEOUT_S)
            with anyio.fail_after(VOTER_TIMEOUT_S):
                return await self._answer_self(question)
        except (PeerUnreachableError, StorageError, TimeoutError) as error:
            self._log.info("voter_silent", peer=name, reason=str(error))
            return None

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
        self._note_ballot(question.ballot)
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
                ballot, question.value, incarnation=question.incarnation
            )
        except StorageError as error:
            self._log.error("register_not_written", reason=str(error))
            return AcceptReply(
                voter=self._settings.ip,
                granted=False,
                promised=_pair(self._store.voter.state.promised),
            )
        return AcceptReply(
            voter=answer.voter, granted=answer.granted, promised=_pair(answer.promised)
        )

    async def _answer_peek(self, question: Message) -> Message:
        state = self._store.voter.state
        return PrepareReply(
            voter=self._settings.ip,
            incarnation=state.incarnation,
            granted=state.complete,
            promised=_pair(state.promised),
            accepted=_pair(state.accepted),
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
            return StateChangeReply(done=False, revision=0)
        return StateChangeReply(done=True, revision=state.revision)

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
        others = tuple(name for name in self._voters() if name != self._settings.ip)
        needed = recovery_quorum(len(self._voters()))
        ballot = self._next_ballot()
        promises: list[Promise] = []
        enough = anyio.Event()

        async def one(name: str) -> None:
            promise = await self._ask_promise(name, PrepareRequest(ballot=_pair(ballot)))
            if promise is not None and promise.granted:
                promises.append(promise)
                if len(promises) >= needed:
                    enough.set()

        await self._until(enough, one, others)
        if len(promises) < needed:
            self._log.warning("voter_not_recovered", answers=len(promises), needed=needed)
            return
        await self._store.record_voters(self._voters())
        await self._store.recover(tuple(promises), ballot)
        self._log.info("voter_recovered", ballot=ballot.number, answers=len(promises))

    @property
    def _is_voter(self) -> bool:
        return self._settings.ip in self._follower.voters

    def _voters(self) -> tuple[str, ...]:
        voters = self._follower.voters
        if not voters:
            raise NoMajorityError(what="the voters are not known yet")
        return voters

    def _next_ballot(self) -> Ballot:
        self._highest = Ballot(self._highest.number + 1, self._settings.ip)
        return self._highest

    def _note_ballot(self, ballot: tuple[int, str]) -> None:
        self._highest = max(self._highest, Ballot(*ballot))

    def _preferred_proposer(self) -> str:
        now = self._clock()
        names = [self._settings.ip]
        for beat in self._mesh.controls():
            heard = self._mesh.heard(beat.name)
            if heard is not None and now - heard.at <= PROPOSER_SILENT_S:
                names.append(beat.name)
        return min(names)


def _pair(ballot: Ballot) -> tuple[int, str]:
    return ballot.number, ballot.proposer


def _reply(promise: Promise) -> PrepareReply:
    return PrepareReply(
        voter=promise.voter,
        incarnation=promise.incarnation,
        granted=promise.granted,
        promised=_pair(promise.promised),
        accepted=_pair(promise.accepted),
        value=promise.value,
    )


def _change_of(order: StateChange | None) -> Change:
    if order is None:
        return lambda state: state
    match order.kind:
        case "configuration":
            return lambda state: state.with_configuration(order.version, order.document)
        case "evacuate":
            return lambda state: state.with_evacuation(order.zone)
        case "return":
            return lambda state: state.without_evacuation(order.zone)
    raise MalformedMessageError(what=f"change {order.kind!r}", where="register")
