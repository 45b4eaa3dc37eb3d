"""Creation of the replicated log at the first start of a deployment.

A voter without a log can't distinguish a first start from a lost disk, and a second log must never
be created. Only the first voter by name creates a log, and only after all other voters have
replied that they have none. If any voter has one, this voter joins that log as a learner.
"""

from __future__ import annotations

import anyio
import anyio.to_thread

from figpaddle.coordination import DurableState, HardState, Persist, first_snapshot
from figpaddle.daemon._log_file import FileLogStorage
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.deployment import ChangeMachine, VersionedConfiguration
from figpaddle.errors import PeerUnreachableError, StorageError
from figpaddle.telemetry import Log
from figpaddle.wire import FormationAnswer, FormationQuestion, LogMembership, Message, Peer

#: Pause between two rounds of queries to the other voters, seconds.
ROUND_PAUSE_S = 0.3
#: Timeout of a query, seconds.
QUERY_TIMEOUT_S = 1.0


class Formation:
    """Creates the log at the first start of a deployment."""

    def __init__(
        self,
        *,
        voters: tuple[str, ...],
        bootstrap: VersionedConfiguration,
        storage: FileLogStorage,
        network: PeerNetwork,
        log: Log,
    ) -> None:
        self._voters = tuple(sorted(voters))
        self._bootstrap = bootstrap
        self._storage = storage
        self._network = network
        self._log = log
        network.register(FormationQuestion, self._on_question)

    async def initial_state(self, state: DurableState) -> DurableState:
        """Return the state of a newly created log, or the empty ``state`` to join an existing log."""
        if state.peer.name != self._voters[0]:
            return state
        while True:
            answers = await self._query_voters()
            if any(not answer.blank for answer in answers):
                self._log.info("log_found")
                return state
            if len(answers) == len(self._voters) - 1 and self._settings_agree(answers):
                return await self._create_log(state, answers)
            await anyio.sleep(ROUND_PAUSE_S)

    async def _query_voters(self) -> list[FormationAnswer]:
        answers: list[FormationAnswer] = []

        async def query(name: str) -> None:
            try:
                reply = await self._network.request(
                    name, FormationQuestion(), timeout_s=QUERY_TIMEOUT_S
                )
            except PeerUnreachableError:
                return
            if isinstance(reply, FormationAnswer):
                answers.append(reply)

        async with anyio.create_task_group() as tasks:
            for name in self._voters[1:]:
                tasks.start_soon(query, name)
        return answers

    def _settings_agree(self, answers: list[FormationAnswer]) -> bool:
        own = self._own_answer(self._storage.load())
        mismatched = [
            answer.peer.name
            for answer in answers
            if (answer.voters, answer.digest) != (own.voters, own.digest)
        ]
        if mismatched:
            self._log.error("settings_differ", what="voters or configuration", voters=mismatched)
        return not mismatched

    async def _create_log(
        self, state: DurableState, answers: list[FormationAnswer]
    ) -> DurableState:
        peers: list[Peer] = sorted([state.peer, *(answer.peer for answer in answers)])
        machine = ChangeMachine(versioned=self._bootstrap)
        snapshot = first_snapshot(LogMembership(voters=tuple(peers)), machine.snapshot())
        change = Persist(hard=HardState(), snapshot=snapshot)
        await anyio.to_thread.run_sync(self._storage.save, (change,))
        self._log.info("log_formed", voters=[peer.name for peer in peers])
        return self._storage.load()

    def _own_answer(self, state: DurableState) -> FormationAnswer:
        return FormationAnswer(
            peer=state.peer,
            blank=state.is_empty,
            voters=self._voters,
            digest=self._bootstrap.digest,
        )

    async def _on_question(self, peer: str, message: FormationQuestion) -> Message | None:
        try:
            return self._own_answer(self._storage.load())
        except StorageError:
            return None
