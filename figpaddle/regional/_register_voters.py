"""Which voters a value of the register counts with, as this instance knows them."""

from __future__ import annotations

from figpaddle.coordination import Promise, VoterSet, is_chosen, newest_value
from figpaddle.deployment import decode_voters
from figpaddle.errors import NoMajorityError
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._register_store import RegisterStore


class RegisterVoters:
    """Reads the voters from values of the register, and remembers whom to ask next.

    Replies count by the set that the newest value among them names, whoever was asked. An instance
    that knows only an old set therefore can't win a round with it: one of the old voters holds the
    value that replaced it. A wrong idea of the voters costs a round and nothing else.
    """

    def __init__(
        self, *, seeds: tuple[str, ...], store: RegisterStore, follower: ClusterFollower
    ) -> None:
        self._seeds = seeds
        self._store = store
        self._follower = follower
        self._last_seen = self.of_value(store.voter.state.value) if store.voters else None

    @property
    def known(self) -> bool:
        """Whether the deployment has voters and this instance knows some set of them."""
        return bool(self._follower.voters)

    def targets(self) -> tuple[str, ...]:
        """Return the instances to ask; raises NoMajorityError while the voters aren't known."""
        if not self.known:
            raise NoMajorityError(what="the voters are not known yet")
        seen = self._last_seen.members if self._last_seen is not None else ()
        state = self._follower.state
        return tuple(sorted({*self._follower.voters, *state.voters, *state.previous_voters, *seen}))

    def of_value(self, value: bytes) -> VoterSet:
        """Return the voters that a value names; one without them counts with those recorded.

        The first value of a deployment is written by its seeds.
        """
        names, previous = decode_voters(value)
        if names:
            return VoterSet(names=names, previous=previous)
        return VoterSet(names=self._store.voters or self._follower.voters or self._seeds)

    def is_quorum(self, promises: tuple[Promise, ...]) -> bool:
        """Return whether the promises are enough to change their newest value."""
        return self._of_newest(promises).is_quorum(promise.voter for promise in promises)

    def is_recovery_quorum(self, promises: tuple[Promise, ...], *, lost: str) -> bool:
        """Return whether ``lost``, whose disk is empty, may vote after it has read the promises."""
        granted = (promise.voter for promise in promises)
        return self._of_newest(promises).is_recovery_quorum(granted, lost=lost)

    def is_chosen(self, promises: tuple[Promise, ...]) -> bool:
        """Return whether a quorum holds the newest value among the promises."""
        return is_chosen(promises, voters=self._of_newest(promises))

    def learn(self, promises: tuple[Promise, ...]) -> bool:
        """Remember the newest voters among the promises; return whether there are others to ask."""
        if not promises:
            return False
        before = self.targets()
        self._last_seen = self._of_newest(promises)
        return not set(self._last_seen.members).issubset(before)

    def forget_outdated(self) -> None:
        """Forget voters that are named in no installed state, once others made a quorum."""
        self._last_seen = None

    def _of_newest(self, promises: tuple[Promise, ...]) -> VoterSet:
        return self.of_value(newest_value(promises).value)
