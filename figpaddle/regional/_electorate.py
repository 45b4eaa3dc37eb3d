"""Asks the voters of the register and gathers what they answer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from figpaddle.coordination import NO_BALLOT, RECOVERY_JUMP, Acceptance, Ballot, Promise
from figpaddle.errors import PeerUnreachableError, StorageError
from figpaddle.regional._mesh import Mesh
from figpaddle.telemetry import Log
from figpaddle.wire import AcceptReply, AcceptRequest, Message, PrepareReply

#: Longest wait for a voter's answer, seconds; three of the longest round trips and a slow disk.
VOTER_TIMEOUT_S = 0.8


class Electorate:
    """The voters as one proposer reaches them.

    It keeps the highest ballot that anyone named, and each voter's incarnation. Questions go on
    in ``tasks`` when their asker has enough answers.
    """

    def __init__(
        self,
        *,
        name: str,
        mesh: Mesh,
        answer_self: Callable[[Message], Awaitable[Message]],
        tasks: anyio.abc.TaskGroup,
        log: Log,
    ) -> None:
        self._name = name
        self._mesh = mesh
        self._answer_self = answer_self
        self._tasks = tasks
        self._log = log
        self._highest = NO_BALLOT
        self._incarnations: dict[str, str] = {}

    @property
    def incarnations(self) -> dict[str, str]:
        """The incarnation that each voter named last."""
        return dict(self._incarnations)

    def next_ballot(self) -> Ballot:
        """Return a ballot above all that were seen, for an ordinary round."""
        self._highest = Ballot(self._highest.number + 1, self._name)
        return self._highest

    def recovery_ballot(self) -> Ballot:
        """Return a ballot far above all that were seen."""
        self._highest = Ballot(self._highest.number + RECOVERY_JUMP, self._name)
        return self._highest

    def note_ballot(self, ballot: tuple[int, str]) -> None:
        """Take in a ballot that someone named."""
        self._highest = max(self._highest, Ballot(*ballot))

    async def gather_promises(
        self,
        voters: tuple[str, ...],
        question: Message,
        enough: Callable[[tuple[Promise, ...]], bool],
    ) -> tuple[Promise, ...] | None:
        """Ask all voters; return the granted promises as soon as they are enough.

        Voters that answer later still get the question, and what they say of their incarnation is
        kept.
        """
        promises: list[Promise] = []
        answered = 0
        decided = anyio.Event()

        async def one(name: str) -> None:
            nonlocal answered
            promise = await self._ask_promise(name, question)
            if promise is not None and promise.granted:
                promises.append(promise)
            answered += 1
            if answered == len(voters) or (promises and enough(tuple(promises))):
                decided.set()

        for name in voters:
            self._tasks.start_soon(one, name)
        await decided.wait()
        found = tuple(promises)
        return found if found and enough(found) else None

    async def gather_acceptances(
        self,
        ballot: Ballot,
        value: bytes,
        incarnations: dict[str, str],
        *,
        reserved: Ballot,
        needed: int,
    ) -> tuple[str, ...] | None:
        """Ask the voters to accept; return those of a majority that did, or None.

        All are asked to the end, so that the others hold the newest value soon after.
        """
        asked = len(incarnations)
        granted: list[str] = []
        answered = 0
        decided = anyio.Event()

        async def one(name: str, incarnation: str) -> None:
            nonlocal answered
            question = AcceptRequest(
                ballot=pair(ballot),
                incarnation=incarnation,
                value=value,
                reserved=pair(reserved),
            )
            answer = await self._ask_acceptance(name, question)
            if answer is not None and answer.granted:
                granted.append(name)
            answered += 1
            if len(granted) >= needed or answered - len(granted) > asked - needed:
                decided.set()

        for name, incarnation in incarnations.items():
            self._tasks.start_soon(one, name, incarnation)
        await decided.wait()
        return tuple(granted) if len(granted) >= needed else None

    async def _ask_promise(self, name: str, question: Message) -> Promise | None:
        reply = await self._ask_voter(name, question)
        if not isinstance(reply, PrepareReply):
            return None
        self.note_ballot(reply.promised)
        self._incarnations[reply.voter] = reply.incarnation
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
        self.note_ballot(reply.promised)
        return Acceptance(
            voter=reply.voter, granted=reply.granted, promised=Ballot(*reply.promised)
        )

    async def _ask_voter(self, name: str, question: Message) -> Message | None:
        try:
            if name != self._name:
                return await self._mesh.ask(name, question, timeout_s=VOTER_TIMEOUT_S)
            with anyio.fail_after(VOTER_TIMEOUT_S):
                return await self._answer_self(question)
        except (PeerUnreachableError, StorageError, TimeoutError) as error:
            self._log.info("voter_silent", peer=name, reason=str(error))
            return None


def pair(ballot: Ballot) -> tuple[int, str]:
    """Return a ballot as messages carry it."""
    return ballot.number, ballot.proposer
