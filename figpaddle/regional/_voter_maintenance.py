"""Decides the first voters of a deployment, and later replaces those that are gone."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection, Mapping

from figpaddle.coordination import VoterBootstrap, VoterChanges, VoterSet
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._register_store import RegisterStore
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._voter_client import VoterClient
from figpaddle.telemetry import Log
from figpaddle.wire import PrepareReply


class VoterMaintenance:
    """Finds out when the voters have to change, and to which ones.

    ``change_voters`` makes the change by a round of the register, from the voters in its second argument
    to those in its first. Nothing here is needed for consistency: a wrong decision is another change.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        mesh: Mesh,
        follower: ClusterFollower,
        store: RegisterStore,
        voter_client: VoterClient,
        change_voters: Callable[[tuple[str, ...], tuple[str, ...]], Awaitable[None]],
        now: float,
        log: Log,
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._follower = follower
        self._store = store
        self._voter_client = voter_client
        self._change_voters = change_voters
        self._log = log
        self._bootstrap = VoterBootstrap(name=settings.ip, seeds=settings.seeds, now=now)
        self._changes = VoterChanges(started_at=now)

    async def decide_first_voters(self, *, now: float) -> None:
        """Propose the first voters if this is the first start and this instance's turn."""
        if not self._settings.first_start:
            return
        # Whoever restarts before there is a first value has to know who may write it.
        await self._store.record_voters(self._settings.seeds)
        controls = self._mesh.live_controls()
        founders = [item.name for item in controls if item.founding]
        for name in founders:
            self._bootstrap.add_candidate(name, now=now)
        names = self._bootstrap.decide(live=founders, now=now)
        # Without a majority of the seeds the round is won only once others are there, which it would leave out.
        heard = {self._settings.ip, *(item.name for item in controls)}
        if names is None or not VoterSet(names=self._settings.seeds).is_quorum(heard):
            return
        if not _all_change_voters(await self._voter_client.peek(names), names):
            return
        self._log.info("voters_proposed", voters=",".join(names))
        self._follower.learn_voters(self._settings.seeds)
        await self._change_voters(names, self._settings.seeds)

    async def replace_silent_voters(self, *, now: float) -> None:
        """Replace voters that are gone by instances that could vote, and add such instances.

        Nothing changes while an earlier build runs anywhere: it would count with the voters that it
        knew first.
        """
        state = self._follower.state
        if state.previous_voters:
            return
        voters = state.voters or self._follower.voters
        live = {self._settings.ip, *(item.name for item in self._mesh.live_controls())}
        heard = {name: self._mesh.last_heard(name) for name in {*voters, *live}}
        heard_at = {name: item.received_at for name, item in heard.items() if item is not None}
        heard_at[self._settings.ip] = now
        waiting = live.difference(voters)
        if not self._changes.next_voters(voters, candidates=waiting, heard_at=heard_at, now=now):
            return
        silent = self._changes.silent_voters(voters, heard_at=heard_at, now=now)
        present = live.difference(silent)
        replies = await self._voter_client.peek(present)
        candidates = [name for name in waiting if name in replies and replies[name].granted]
        names = self._changes.next_voters(voters, candidates=candidates, heard_at=heard_at, now=now)
        if names is None or not _all_change_voters(replies, present):
            return
        self._log.info("voters_proposed", voters=",".join(names), silent=",".join(silent))
        await self._change_voters(names, voters)


def _all_change_voters(replies: Mapping[str, PrepareReply], names: Collection[str]) -> bool:
    """Return whether all these instances replied and read the voters from the register."""
    return all(name in replies and replies[name].changes_voters for name in names)
