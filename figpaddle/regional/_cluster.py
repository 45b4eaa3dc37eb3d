"""The agreed state as one instance holds it, and how it follows newer revisions."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from figpaddle.deployment import (
    EMPTY_STATE,
    ClusterState,
    GatewayConfiguration,
    decode_state,
    encode_state,
)
from figpaddle.errors import MalformedMessageError, PeerUnreachableError
from figpaddle.regional._dialect import Dialect, InvalidConfigurationError
from figpaddle.regional._mesh import Mesh
from figpaddle.telemetry import Log
from figpaddle.wire import InstanceHeartbeat, Message, StateQuery, StateReply

#: Interval at which the others' revisions are looked at, seconds.
FOLLOW_INTERVAL_S = 0.1
#: Time for which an instance leaves it to a neighbour to ask another region, seconds; two round
#: trips and a heartbeat.
NEIGHBOUR_WAIT_S = 0.6
#: Longest wait for the state of another instance, seconds; covers a large configuration.
QUERY_TIMEOUT_S = 1.5


class ClusterFollower:
    """Holds the newest revision known here; it never goes back while the process runs.

    Only revisions that a majority of the voters holds are ever handed to it.
    """

    def __init__(
        self,
        *,
        name: str,
        region: str,
        dialect: Dialect,
        mesh: Mesh,
        clock: Callable[[], float],
        rng: random.Random,
        log: Log,
    ) -> None:
        self._name = name
        self._region = region
        self._behind_since: float | None = None
        self._dialect = dialect
        self._mesh = mesh
        self._clock = clock
        self._rng = rng
        self._log = log
        self._state = EMPTY_STATE
        self._configuration: GatewayConfiguration | None = None
        self._voters: tuple[str, ...] = ()
        self._news = anyio.Event()
        mesh.on_question(StateQuery, self._answer)

    @property
    def state(self) -> ClusterState:
        """The newest revision."""
        return self._state

    @property
    def configuration(self) -> GatewayConfiguration | None:
        """The configuration in force, or None before the first."""
        return self._configuration

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters, as far as they are known."""
        return self._voters

    def learn_voters(self, voters: tuple[str, ...]) -> None:
        """Take in who the voters are; the first answer stays."""
        if voters and not self._voters:
            self._voters = voters
            self._log.info("voters_known", voters=",".join(voters))

    def install(self, state: ClusterState, *, source: str) -> None:
        """Take over ``state`` if it is newer."""
        if state.revision <= self._state.revision:
            return
        configuration = self._configuration
        if state.version != self._state.version:
            try:
                configuration = self._dialect.read_configuration(state.document)
            except InvalidConfigurationError as error:
                self._log.error(
                    "configuration_unreadable", version=state.version, reason=str(error)
                )
                return
        self._log.info(
            "state_installed",
            revision=state.revision,
            previous=self._state.revision,
            version=state.version,
            evacuated=",".join(state.evacuated),
            source=source,
        )
        self._state = state
        self._configuration = configuration
        self._mesh.send_soon()
        self._news.set()
        self._news = anyio.Event()

    async def wait_for_revision(self, revision: int, *, timeout_s: float) -> bool:
        """Return whether ``revision`` or a newer one is installed within the time."""
        with anyio.move_on_after(timeout_s):
            while self._state.revision < revision:
                await self._news.wait()
        return self._state.revision >= revision

    async def run(self) -> None:
        """Follow newer revisions until cancelled."""
        while True:
            source = self._newer_source()
            if source is not None:
                await self._fetch(source)
            await anyio.sleep(FOLLOW_INTERVAL_S)

    def _newer_source(self) -> InstanceHeartbeat | None:
        """Return whom to ask: one of the own region if any there is ahead.

        Only one instance of a region asks another region at once; the others wait for it a while,
        so that a configuration crosses the link once.
        """
        live = self._mesh.live()
        ahead = [beat for beat in live if beat.revision > self._state.revision]
        if not ahead:
            self._behind_since = None
            return None if self._voters else self._any_control()
        near = [beat for beat in ahead if beat.region == self._region]
        if near:
            return self._rng.choice(near)
        now = self._clock()
        if self._behind_since is None:
            self._behind_since = now
        first = min([self._name, *(beat.name for beat in live if beat.region == self._region)])
        if first == self._name or now - self._behind_since >= NEIGHBOUR_WAIT_S:
            return self._rng.choice(ahead)
        return None

    def _any_control(self) -> InstanceHeartbeat | None:
        controls = self._mesh.controls()
        return self._rng.choice(controls) if controls else None

    async def _fetch(self, source: InstanceHeartbeat) -> None:
        try:
            reply = await self._mesh.ask(source.name, StateQuery(), timeout_s=QUERY_TIMEOUT_S)
            if not isinstance(reply, StateReply):
                raise MalformedMessageError(what="not a state", where=source.name)
            self.learn_voters(reply.voters)
            self.install(decode_state(reply.state), source=source.name)
        except (PeerUnreachableError, MalformedMessageError) as error:
            self._log.warning("state_query_failed", peer=source.name, reason=str(error))

    async def _answer(self, question: Message) -> Message:
        return StateReply(voters=self._voters, state=encode_state(self._state))
