"""Distribution of configuration revisions.

The leader sends a new revision to one relay instance in each availability zone, which sends it to
the other instances of its zone. In addition, every instance polls for newer revisions.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from typing import Any

import anyio
import anyio.to_thread

from figpaddle.coordination import InstanceDirectory, relay_by_zone, revision_sources, zone_key
from figpaddle.daemon._component import Component
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.daemon._persisted_configuration import PersistedConfiguration
from figpaddle.daemon._voter import Voter
from figpaddle.deployment import VersionedConfiguration
from figpaddle.errors import PeerUnreachableError, StorageError
from figpaddle.telemetry import Log
from figpaddle.wire import (
    ConfigurationNews,
    ConfigurationQuestion,
    InForce,
    InForceQuestion,
    Message,
    PartInForce,
)

#: Mean interval at which an instance polls for newer revisions, seconds.
ANTI_ENTROPY_INTERVAL_S = 1.0
#: Timeout of one poll, seconds.
POLL_TIMEOUT_S = 1.0
#: Age of a quorum's confirmation from which a polled instance counts as outdated, so that the next
#: one is polled too, seconds.
MAX_CONFIRMATION_AGE_S = 3.0
#: Shortest pause between two rounds of polling, seconds.
MIN_POLL_INTERVAL_S = 0.05


class ConfigurationDistribution(Component):
    """Puts newer revisions in force on this instance and sends them on to others."""

    def __init__(
        self,
        *,
        state: ConfigurationState,
        persisted: PersistedConfiguration | None,
        voter: Voter | None,
        voters: tuple[str, ...],
        directory: InstanceDirectory,
        network: PeerNetwork,
        rng: random.Random,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        self._state = state
        self._persisted = persisted
        self._voter = voter
        self._voters = voters
        self._directory = directory
        self._network = network
        self._rng = rng
        self._clock = clock
        self._log = log
        self._newest = state.versioned
        self._newest_changed = anyio.Event()
        self._poll_requested = anyio.Event()
        self._full_copy_needed = False
        network.register(ConfigurationQuestion, self._on_question)
        network.register(ConfigurationNews, self._on_update)
        network.register(InForceQuestion, self._on_in_force_question)
        if voter is not None:
            voter.publish = self.accept_committed

    @property
    def name(self) -> str:
        """Key of this component's section in the state dump."""
        return "distribution"

    def dump(self, *, now: float, member: str | None) -> Any:
        """Return the relay of this zone and the time since a quorum confirmed the configuration."""
        relay = relay_by_zone(self._directory.instances).get(zone_key(self._directory.own))
        confirmed_at = self._state.confirmed_at
        return {
            "relay": None if relay is None else relay.name,
            "confirmed_s": None if confirmed_at is None else round(now - confirmed_at, 3),
            "may_cross": self._state.allows_cross_region(now),
        }

    def accept_committed(self, versioned: VersionedConfiguration) -> None:
        """Schedule a committed revision to be put in force if it is newer."""
        if versioned.revision > self._newest.revision:
            self._newest = versioned
            self._newest_changed.set()

    async def run(self) -> None:
        """Install, send on and poll for revisions until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._install_forever)
            tasks.start_soon(self._poll_forever)

    async def _install_forever(self) -> None:
        while True:
            await self._newest_changed.wait()
            self._newest_changed = anyio.Event()
            newest, previous_revision = self._newest, self._state.versioned.revision
            try:
                if self._persisted is not None:
                    await anyio.to_thread.run_sync(self._persisted.save, newest)
            except StorageError as error:
                self._log.error("configuration_not_kept", what=str(error))
                await anyio.sleep(ANTI_ENTROPY_INTERVAL_S)
                self._newest_changed.set()
                continue
            if self._state.install_versioned(newest):
                self._log.info("configuration_in_force", revision=newest.revision)
                self._push_update(previous_revision)

    def _push_update(self, since: int) -> None:
        instances = self._directory.instances
        own = self._directory.own
        zone_relays = relay_by_zone(instances)
        receivers: set[str] = set()
        if self._voter is not None and self._voter.is_leader:
            receivers.update(relay.name for relay in zone_relays.values())
        relay = zone_relays.get(zone_key(own))
        if relay is not None and relay.name == own.name:
            receivers.update(info.name for info in instances if zone_key(info) == zone_key(own))
        update = self._make_update(since)
        for receiver in sorted(receivers - {own.name}):
            self._network.post(receiver, update)

    def _make_update(self, since: int, *, confirmed_s: float | None = None) -> ConfigurationNews:
        newest = self._newest
        return ConfigurationNews(
            revision=newest.revision,
            since=since,
            parts=newest.parts_since(since),
            digest=newest.digest,
            confirmed_s=confirmed_s,
        )

    async def _on_question(self, peer: str, message: ConfigurationQuestion) -> Message | None:
        self._confirm_from_own_log()
        if message.revision > self._newest.revision:
            self._poll_requested.set()
        confirmed_at = self._state.confirmed_at
        age_s = None if confirmed_at is None else self._clock() - confirmed_at
        return self._make_update(message.revision, confirmed_s=age_s)

    async def _on_update(self, peer: str, message: ConfigurationNews) -> Message | None:
        self._merge_update(message)
        return None

    async def _on_in_force_question(self, peer: str, message: InForceQuestion) -> Message | None:
        return self.in_force()

    def in_force(self) -> InForce:
        """Return the revisions and digests that this instance has in force."""
        versioned = self._state.versioned
        return InForce(
            revision=versioned.revision,
            digest=versioned.digest,
            parts=tuple(
                PartInForce(member=part.member.name, revision=part.revision, digest=part.digest())
                for part in versioned.parts
            ),
        )

    def _merge_update(self, update: ConfigurationNews) -> None:
        if update.revision <= self._newest.revision:
            return
        base = VersionedConfiguration() if update.since == 0 else self._newest
        if update.since > base.revision:
            self._poll_requested.set()
            return
        merged = base.merged(update.revision, update.parts)
        if merged.digest != update.digest:
            self._log.warning("configuration_digest_differs", revision=update.revision)
            self._full_copy_needed = True
            self._poll_requested.set()
            return
        self._full_copy_needed = False
        self.accept_committed(merged)

    def _confirm_from_own_log(self) -> None:
        """Confirm the configuration from the local log if this instance is its leader."""
        if self._voter is None or not self._voter.is_leader:
            return
        contact = self._voter.quorum_contact
        if contact is not None and self._newest.revision == self._state.versioned.revision:
            self._state.confirm(contact)

    async def _poll_forever(self) -> None:
        while True:
            with anyio.move_on_after(ANTI_ENTROPY_INTERVAL_S * self._rng.uniform(0.75, 1.25)):
                await self._poll_requested.wait()
            self._poll_requested = anyio.Event()
            self._confirm_from_own_log()
            if self._voter is None or not self._voter.is_leader:
                await self._poll_sources()
            await anyio.sleep(MIN_POLL_INTERVAL_S)

    async def _poll_sources(self) -> None:
        names = revision_sources(
            self._directory.instances,
            own=self._directory.own,
            voters=self._voters,
            leader=None if self._voter is None else self._voter.leader,
            rng=self._rng,
        )
        for name in names:
            with contextlib.suppress(PeerUnreachableError):
                if await self._poll_source(name):
                    return

    async def _poll_source(self, name: str) -> bool:
        asked_at = self._clock()
        since = 0 if self._full_copy_needed else self._newest.revision
        request = ConfigurationQuestion(revision=since)
        reply = await self._network.request(name, request, timeout_s=POLL_TIMEOUT_S)
        if not isinstance(reply, ConfigurationNews):
            return False
        self._merge_update(reply)
        if reply.confirmed_s is None:
            return False
        if reply.revision <= self._state.versioned.revision:
            self._state.confirm(asked_at - reply.confirmed_s)
        return reply.confirmed_s < MAX_CONFIRMATION_AGE_S
