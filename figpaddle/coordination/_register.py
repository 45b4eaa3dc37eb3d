"""A replicated register that is changed without a leader.

Single-value Paxos applied to one register again and again (CASPaxos): a change reads the newest
accepted value from a majority under a ballot of its own, applies a function to it and has a
majority accept the result. Any node may change it, so no change waits for one slow or frozen node.

A voter whose disk was lost must not count until it can't contradict what it said before. It takes
a new incarnation and reads, under a ballot far above all it sees, from so many other voters that
every majority in which it took part shares one of them. Promises and acceptances carry the
voter's incarnation, so what an earlier one promised counts no more.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple


class Ballot(NamedTuple):
    """Order of the attempts to change the register; proposers never share one."""

    #: Grows with each attempt.
    number: int
    #: Name of the proposer, which breaks ties.
    proposer: str


#: How far above all ballots that it sees a voter recovers. Its lost disk may have promised more
#: than any other voter saw, but never so much more: a proposer adds two at most for each attempt.
RECOVERY_JUMP = 2**32

#: Below every ballot that a proposer uses.
NO_BALLOT = Ballot(0, "")


@dataclasses.dataclass(frozen=True, kw_only=True)
class VoterState:
    """What a voter keeps on disk."""

    #: Changes each time the voter starts from an empty disk.
    incarnation: str
    #: Whether it may vote: it never lost its disk, or has read enough from the others since.
    complete: bool
    #: No ballot below this one is answered.
    promised: Ballot = NO_BALLOT
    #: Ballot under which ``value`` was accepted.
    accepted: Ballot = NO_BALLOT
    #: Newest value accepted; empty before the first.
    value: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Promise:
    """A voter's answer to a prepare."""

    #: Name of the voter.
    voter: str
    #: Incarnation that promised.
    incarnation: str
    #: Whether it promised; the other fields hold either way.
    granted: bool
    #: Highest ballot promised.
    promised: Ballot
    #: Ballot of ``value``.
    accepted: Ballot
    #: Newest value accepted.
    value: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Acceptance:
    """A voter's answer to an accept."""

    #: Name of the voter.
    voter: str
    #: Whether it accepted.
    granted: bool
    #: Highest ballot promised.
    promised: Ballot


class Voter:
    """One voter's rules.

    ``prepare`` and ``accept`` return the state to be made durable before the answer is sent, and
    the answer; ``replace`` takes over a state that is durable.

    >>> voter = Voter(name="a", state=VoterState(incarnation="1", complete=True))
    >>> state, promise = voter.prepare(Ballot(1, "b"))
    >>> voter.replace(state)
    >>> promise.granted, voter.prepare(Ballot(1, "a"))[1].granted
    (True, False)
    """

    def __init__(self, *, name: str, state: VoterState) -> None:
        self._name = name
        self._state = state

    @property
    def state(self) -> VoterState:
        """The durable state."""
        return self._state

    def replace(self, state: VoterState) -> None:
        """Take over ``state``, which is durable now."""
        self._state = state

    def prepare(self, ballot: Ballot) -> tuple[VoterState, Promise]:
        """Answer a prepare."""
        state = self._state
        granted = state.complete and ballot > state.promised
        if granted:
            state = dataclasses.replace(state, promised=ballot)
        return state, Promise(
            voter=self._name,
            incarnation=state.incarnation,
            granted=granted,
            promised=state.promised,
            accepted=state.accepted,
            value=state.value,
        )

    def accept(
        self, ballot: Ballot, value: bytes, *, incarnation: str, reserved: Ballot
    ) -> tuple[VoterState, Acceptance]:
        """Answer an accept; ``incarnation`` is the one that promised ``ballot``.

        A voter that accepts also promises ``reserved``, a later ballot of the same proposer. Once
        a majority has accepted, the proposer may go on with that ballot without a prepare: it
        knows what the prepare would show.
        """
        state = self._state
        granted = state.complete and incarnation == state.incarnation and ballot >= state.promised
        if granted:
            state = dataclasses.replace(
                state, promised=max(ballot, reserved), accepted=ballot, value=value
            )
        answer = Acceptance(voter=self._name, granted=granted, promised=state.promised)
        return state, answer

    def recovered(self, promises: tuple[Promise, ...], ballot: Ballot) -> VoterState:
        """Return the state with which a voter that lost its disk may vote again."""
        newest = newest_value(promises)
        return dataclasses.replace(
            self._state,
            complete=True,
            promised=max(ballot, self._state.promised),
            accepted=newest.accepted,
            value=newest.value,
        )


def majority(voters: int) -> int:
    """Return how many of ``voters`` make a majority.

    >>> majority(5), majority(4)
    (3, 3)
    """
    return voters // 2 + 1


def recovery_quorum(voters: int) -> int:
    """Return from how many others a voter that lost its disk must read.

    Every majority that counted the lost voter keeps at least one member among them.

    >>> recovery_quorum(5), recovery_quorum(9), recovery_quorum(1)
    (3, 5, 1)
    """
    return voters - majority(voters) + 1


def newest_value(promises: tuple[Promise, ...]) -> Promise:
    """Return the promise that carries the value accepted last."""
    return max(promises, key=lambda promise: promise.accepted)


def is_settled(promises: tuple[Promise, ...], *, voters: int) -> bool:
    """Return whether a majority holds the newest value among ``promises``.

    Such a value is chosen: it can be read without having it accepted once more.
    """
    newest = newest_value(promises).accepted
    return sum(promise.accepted == newest for promise in promises) >= majority(voters)
