"""Spreads revisions of the configuration: leader, one relay in each zone, its instances."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from typing import Any

import anyio
import anyio.to_thread

from figpaddle.coordination import InstanceDirectory, relays, sources, zone_of
from figpaddle.daemon._component import Component
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._kept_configuration import KeptConfiguration
from figpaddle.daemon._peers import PeerNetwork
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

#: Interval at which an instance asks for newer revisions, seconds.
ANTI_ENTROPY_S = 1.0
#: Timeout of such a question, seconds.
QUESTION_TIMEOUT_S = 1.0
#: An answer confirmed longer ago than this is not enough, another instance is asked, seconds.
FRESH_S = 3.0
#: Shortest pause between two questions, seconds.
MIN_PAUSE_S = 0.05


class Distribution(Component):
    """Puts newer revisions in force here and passes them on."""

    def __init__(
        self,
        *,
        state: ConfigurationState,
        kept: KeptConfiguration | None,
        voter: Voter | None,
        voters: tuple[str, ...],
        directory: InstanceDirectory,
        network: PeerNetwork,
        rng: random.Random,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        self._state = state
        self._kept = kept
        self._voter = voter
        self._voters = voters
        self._directory = directory
        self._network = network
        self._rng = rng
        self._clock = clock
        self._log = log
        self._newest = state.versioned
        self._offered = anyio.Event()
        self._ask_now = anyio.Event()
        self._ask_for_all = False
        network.register(ConfigurationQuestion, self._on_question)
        network.register(ConfigurationNews, self._on_news)
        network.register(InForceQuestion, self._on_in_force_question)
        if voter is not None:
            voter.publish = self.offer

    @property
    def name(self) -> str:
        """Key of its part in the state dump."""
        return "distribution"

    def dump(self, *, now: float, member: str | None) -> Any:
        """Return the relay of the own zone and how long ago the configuration was confirmed."""
        relay = relays(self._directory.instances).get(zone_of(self._directory.own))
        confirmed_at = self._state.confirmed_at
        return {
            "relay": None if relay is None else relay.name,
            "confirmed_s": None if confirmed_at is None else round(now - confirmed_at, 3),
            "may_cross": self._state.may_cross(now),
        }

    def offer(self, versioned: VersionedConfiguration) -> None:
        """Take a revision that is committed."""
        if versioned.revision > self._newest.revision:
            self._newest = versioned
            self._offered.set()

    async def run(self) -> None:
        """Install, pass on and ask until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._install_forever)
            tasks.start_soon(self._ask_forever)

    async def _install_forever(self) -> None:
        while True:
            await self._offered.wait()
            self._offered = anyio.Event()
            newest, before = self._newest, self._state.versioned.revision
            try:
                if self._kept is not None:
                    await anyio.to_thread.run_sync(self._kept.save, newest)
            except StorageError as error:
                self._log.error("configuration_not_kept", what=str(error))
                await anyio.sleep(ANTI_ENTROPY_S)
                self._offered.set()
                continue
            if self._state.install_versioned(newest):
                self._log.info("configuration_in_force", revision=newest.revision)
                self._pass_on(before)

    def _pass_on(self, since: int) -> None:
        instances = self._directory.instances
        own = self._directory.own
        chosen = relays(instances)
        receivers: set[str] = set()
        if self._voter is not None and self._voter.leads:
            receivers.update(relay.name for relay in chosen.values())
        relay = chosen.get(zone_of(own))
        if relay is not None and relay.name == own.name:
            receivers.update(info.name for info in instances if zone_of(info) == zone_of(own))
        news = self._news(since)
        for receiver in sorted(receivers - {own.name}):
            self._network.post(receiver, news)

    def _news(self, since: int, *, confirmed_s: float | None = None) -> ConfigurationNews:
        newest = self._newest
        return ConfigurationNews(
            revision=newest.revision,
            since=since,
            parts=newest.parts_since(since),
            digest=newest.digest,
            confirmed_s=confirmed_s,
        )

    async def _on_question(self, peer: str, item: ConfigurationQuestion) -> Message | None:
        self._confirm_own()
        if item.revision > self._newest.revision:
            self._ask_now.set()
        confirmed_at = self._state.confirmed_at
        age = None if confirmed_at is None else self._clock() - confirmed_at
        return self._news(item.revision, confirmed_s=age)

    async def _on_news(self, peer: str, item: ConfigurationNews) -> Message | None:
        self._take(item)
        return None

    async def _on_in_force_question(self, peer: str, item: InForceQuestion) -> Message | None:
        return self.in_force()

    def in_force(self) -> InForce:
        """Return what this instance has in force."""
        versioned = self._state.versioned
        return InForce(
            revision=versioned.revision,
            digest=versioned.digest,
            parts=tuple(
                PartInForce(member=part.member.name, revision=part.revision, digest=part.digest())
                for part in versioned.parts
            ),
        )

    def _take(self, news: ConfigurationNews) -> None:
        if news.revision <= self._newest.revision:
            return
        base = VersionedConfiguration() if news.since == 0 else self._newest
        if news.since > base.revision:
            self._ask_now.set()
            return
        merged = base.merged(news.revision, news.parts)
        if merged.digest != news.digest:
            self._log.warning("configuration_digest_differs", revision=news.revision)
            self._ask_for_all = True
            self._ask_now.set()
            return
        self._ask_for_all = False
        self.offer(merged)

    def _confirm_own(self) -> None:
        """Confirm by the own log where this instance leads it."""
        if self._voter is None or not self._voter.leads:
            return
        contact = self._voter.quorum_contact
        if contact is not None and self._newest.revision == self._state.versioned.revision:
            self._state.confirm(contact)

    async def _ask_forever(self) -> None:
        while True:
            with anyio.move_on_after(ANTI_ENTROPY_S * self._rng.uniform(0.75, 1.25)):
                await self._ask_now.wait()
            self._ask_now = anyio.Event()
            self._confirm_own()
            if self._voter is None or not self._voter.leads:
                await self._ask_round()
            await anyio.sleep(MIN_PAUSE_S)

    async def _ask_round(self) -> None:
        wanted = sources(
            self._directory.instances,
            own=self._directory.own,
            voters=self._voters,
            leader=None if self._voter is None else self._voter.leader,
            rng=self._rng,
        )
        for name in wanted:
            with contextlib.suppress(PeerUnreachableError):
                if await self._ask(name):
                    return

    async def _ask(self, name: str) -> bool:
        asked_at = self._clock()
        since = 0 if self._ask_for_all else self._newest.revision
        question = ConfigurationQuestion(revision=since)
        reply = await self._network.request(name, question, timeout_s=QUESTION_TIMEOUT_S)
        if not isinstance(reply, ConfigurationNews):
            return False
        self._take(reply)
        if reply.confirmed_s is None:
            return False
        if reply.revision <= self._state.versioned.revision:
            self._state.confirm(asked_at - reply.confirmed_s)
        return reply.confirmed_s < FRESH_S
