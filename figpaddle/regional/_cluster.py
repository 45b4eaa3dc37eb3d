"""This instance's copy of the cluster state, kept up to date with newer revisions."""

from __future__ import annotations

import collections
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
from figpaddle.regional._wake_ups import sleep_until_shared
from figpaddle.telemetry import Log
from figpaddle.wire import InstanceHeartbeat, Message, StateQuery, StateReply

#: Interval between checks of the revisions in the other instances' heartbeats, seconds.
FOLLOW_INTERVAL_S = 0.1
#: Time for which an instance waits for a neighbour to fetch from another region, seconds; two round
#: trips and a heartbeat.
NEIGHBOUR_WAIT_S = 0.6
#: Timeout of a query for the state, seconds; covers the transfer of a large configuration.
QUERY_TIMEOUT_S = 1.5
#: Number of the last installed revisions whose times are kept.
KEPT_INSTALLATIONS = 32


class ClusterFollower:
    """Holds the newest known revision; it never goes back while the process runs.

    It is only given revisions that a majority of the voters holds.
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
        self._installed = anyio.Event()
        #: When the last revisions were installed, seconds of the monotonic clock, oldest first.
        self._installations: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=KEPT_INSTALLATIONS
        )
        mesh.on_query(StateQuery, self._answer_state_query)

    @property
    def state(self) -> ClusterState:
        """The newest revision of the cluster state."""
        return self._state

    def revision_at(self, time: float) -> int:
        """Return the revision that was installed at a time, or the oldest one known after it."""
        revision = self._installations[0][1] if self._installations else self._state.revision
        for installed_at, installed in self._installations:
            if installed_at <= time:
                revision = installed
        return revision

    @property
    def configuration(self) -> GatewayConfiguration | None:
        """The configuration in force, or None before the first."""
        return self._configuration

    @property
    def voters(self) -> tuple[str, ...]:
        """The names of the voters that are certainly in force; empty before they are known."""
        return self._voters

    def learn_voters(self, voters: tuple[str, ...]) -> None:
        """Record the names of the voters unless some are known; each installed state renews them."""
        if voters and not self._voters:
            self._voters = voters
            self._log.info("voters_known", voters=",".join(voters))

    def install(self, state: ClusterState, *, source: str) -> None:
        """Install ``state`` if it is newer than the present one and its configuration is valid."""
        if not self._is_newer(state):
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
        self._renew_voters(state)
        if not self._installations:
            self._installations.append((float("-inf"), self._state.revision))
        self._installations.append((self._clock(), state.revision))
        self._state = state
        self._configuration = configuration
        self._mesh.send_heartbeats_now()
        self._installed.set()
        self._installed = anyio.Event()

    def _is_newer(self, state: ClusterState) -> bool:
        if state.revision != self._state.revision:
            return state.revision > self._state.revision
        # Instances of earlier builds leave out the voters of a revision that they pass on.
        return bool(state.voters) and not self._state.voters

    def _renew_voters(self, state: ClusterState) -> None:
        voters = state.previous_voters or state.voters
        if voters and voters != self._voters:
            self._log.info("voters_changed", voters=",".join(voters), revision=state.revision)
            self._voters = voters

    async def wait_for_revision(self, revision: int, *, timeout_s: float) -> bool:
        """Return whether ``revision`` or a newer one is installed within ``timeout_s``."""
        with anyio.move_on_after(timeout_s):
            while self._state.revision < revision:
                await self._installed.wait()
        return self._state.revision >= revision

    async def wait_for_configuration(self) -> GatewayConfiguration:
        """Wait until there is a configuration, and return it."""
        while self._configuration is None:
            await self._installed.wait()
        return self._configuration

    async def run(self) -> None:
        """Fetch newer revisions until cancelled."""
        while True:
            source = self._choose_source()
            if source is not None:
                await self._fetch(source)
            await sleep_until_shared(FOLLOW_INTERVAL_S)

    def _choose_source(self) -> InstanceHeartbeat | None:
        """Return an instance with a newer revision, preferably one of the own region.

        Only the instance with the lowest name in a region fetches from another region at once. The
        others wait for ``NEIGHBOUR_WAIT_S``, so that a configuration crosses the link once.
        """
        live = self._mesh.live_heartbeats()
        ahead = [heartbeat for heartbeat in live if heartbeat.revision > self._state.revision]
        if not ahead:
            self._behind_since = None
            return None if self._voters else self._choose_control()
        local = [heartbeat for heartbeat in ahead if heartbeat.region == self._region]
        if local:
            return self._rng.choice(local)
        now = self._clock()
        if self._behind_since is None:
            self._behind_since = now
        designated = min(
            [
                self._name,
                *(heartbeat.name for heartbeat in live if heartbeat.region == self._region),
            ]
        )
        if designated == self._name or now - self._behind_since >= NEIGHBOUR_WAIT_S:
            return self._rng.choice(ahead)
        return None

    def _choose_control(self) -> InstanceHeartbeat | None:
        controls = self._mesh.live_controls()
        return self._rng.choice(controls) if controls else None

    async def _fetch(self, source: InstanceHeartbeat) -> None:
        try:
            reply = await self._mesh.send_query(
                source.name, StateQuery(), timeout_s=QUERY_TIMEOUT_S
            )
            if not isinstance(reply, StateReply):
                raise MalformedMessageError(what="the reply is not a StateReply", where=source.name)
            self.install(decode_state(reply.state), source=source.name)
            self.learn_voters(reply.voters)
        except (PeerUnreachableError, MalformedMessageError) as error:
            self._log.warning("state_query_failed", peer=source.name, reason=str(error))

    async def _answer_state_query(self, query: Message) -> Message:
        return StateReply(voters=self._voters, state=encode_state(self._state))
