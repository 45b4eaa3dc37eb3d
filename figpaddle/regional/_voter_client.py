"""Sends prepare and accept requests to the voters of the register and collects the replies."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection

import anyio

from figpaddle.coordination import (
    NO_BALLOT,
    RECOVERY_BALLOT_DISTANCE,
    Acceptance,
    Ballot,
    Promise,
    VoterSet,
)
from figpaddle.errors import PeerUnreachableError, StorageError
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._tasks import ContainedTasks
from figpaddle.telemetry import Log
from figpaddle.wire import AcceptReply, AcceptRequest, Message, PeekRequest, PrepareReply

#: Timeout of a voter's reply, seconds; three of the longest round trips and a slow disk write.
VOTER_TIMEOUT_S = 0.8


class VoterClient:
    """Sends a proposer's requests to the voters.

    It tracks the highest ballot seen and the incarnation of each voter. Requests run in ``tasks``;
    once enough replies have arrived, those still open continue in the background. A request that fails by
    an unexpected error counts as one without a reply, and ``tasks`` logs the error.
    """

    def __init__(
        self,
        *,
        name: str,
        mesh: Mesh,
        answer_self: Callable[[Message], Awaitable[Message]],
        tasks: ContainedTasks,
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
        """The last incarnation that each voter replied with."""
        return dict(self._incarnations)

    def next_ballot(self) -> Ballot:
        """Return a ballot above all that were seen, for an ordinary round."""
        self._highest = Ballot(self._highest.number + 1, self._name)
        return self._highest

    def recovery_ballot(self) -> Ballot:
        """Return a ballot ``RECOVERY_BALLOT_DISTANCE`` above the highest seen, for a recovery."""
        self._highest = Ballot(self._highest.number + RECOVERY_BALLOT_DISTANCE, self._name)
        return self._highest

    def observe_ballot(self, ballot: tuple[int, str]) -> None:
        """Record a ballot seen in a request or a reply."""
        self._highest = max(self._highest, Ballot(*ballot))

    async def gather_promises(
        self,
        voters: tuple[str, ...],
        query: Message,
        is_enough: Callable[[tuple[Promise, ...]], bool],
    ) -> tuple[Promise, ...]:
        """Query all voters; return the granted promises once they are enough or all have replied.

        The queries to slower voters go on, and the incarnations in their replies are kept.
        """
        promises: list[Promise] = []
        reply_count = 0
        decided = anyio.Event()

        async def ask_voter(name: str) -> None:
            nonlocal reply_count
            try:
                promise = await self._request_promise(name, query)
                if promise is not None and promise.granted:
                    promises.append(promise)
            finally:
                reply_count += 1
                if reply_count == len(voters) or (promises and is_enough(tuple(promises))):
                    decided.set()

        for name in voters:
            self._tasks.start_soon(ask_voter, name)
        await decided.wait()
        return tuple(promises)

    async def gather_acceptances(
        self,
        ballot: Ballot,
        value: bytes,
        incarnations: dict[str, str],
        *,
        reserved: Ballot,
        voters: VoterSet,
    ) -> bool:
        """Ask voters to accept; return whether a quorum of ``voters`` did.

        The requests to slower voters go on, so that these hold the newest value soon after.
        """
        granted: set[str] = set()
        unanswered = set(incarnations)
        decided = anyio.Event()

        async def ask_voter(name: str, incarnation: str) -> None:
            query = AcceptRequest(
                ballot=ballot_to_wire(ballot),
                incarnation=incarnation,
                value=value,
                reserved=ballot_to_wire(reserved),
            )
            try:
                reply = await self._request_acceptance(name, query)
                if reply is not None and reply.granted:
                    granted.add(name)
            finally:
                unanswered.discard(name)
                if voters.is_quorum(granted) or not voters.is_quorum(granted | unanswered):
                    decided.set()

        if not voters.is_quorum(unanswered):
            return False
        for name, incarnation in incarnations.items():
            self._tasks.start_soon(ask_voter, name, incarnation)
        await decided.wait()
        return voters.is_quorum(granted)

    async def peek(self, names: Collection[str]) -> dict[str, PrepareReply]:
        """Return what instances hold as voters, by their names; those without a reply are left out."""
        replies: dict[str, PrepareReply] = {}

        async def ask_voter(name: str) -> None:
            reply = await self._query_voter(name, PeekRequest())
            if isinstance(reply, PrepareReply):
                replies[name] = reply

        async with anyio.create_task_group() as tasks:
            for name in sorted(names):
                tasks.start_soon(ask_voter, name)
        return replies

    async def _request_promise(self, name: str, query: Message) -> Promise | None:
        reply = await self._query_voter(name, query)
        if not isinstance(reply, PrepareReply):
            return None
        self.observe_ballot(reply.promised)
        self._incarnations[reply.voter] = reply.incarnation
        return Promise(
            voter=reply.voter,
            incarnation=reply.incarnation,
            granted=reply.granted,
            promised=Ballot(*reply.promised),
            accepted=Ballot(*reply.accepted),
            value=reply.value,
        )

    async def _request_acceptance(self, name: str, query: Message) -> Acceptance | None:
        reply = await self._query_voter(name, query)
        if not isinstance(reply, AcceptReply):
            return None
        self.observe_ballot(reply.promised)
        return Acceptance(
            voter=reply.voter, granted=reply.granted, promised=Ballot(*reply.promised)
        )

    async def _query_voter(self, name: str, query: Message) -> Message | None:
        try:
            if name != self._name:
                return await self._mesh.send_query(name, query, timeout_s=VOTER_TIMEOUT_S)
            with anyio.fail_after(VOTER_TIMEOUT_S):
                return await self._answer_self(query)
        except (PeerUnreachableError, StorageError, TimeoutError) as error:
            self._log.info("voter_silent", peer=name, reason=str(error))
            return None


def ballot_to_wire(ballot: Ballot) -> tuple[int, str]:
    """Return a ballot as messages encode it: its number and its proposer."""
    return ballot.number, ballot.proposer
