"""A replicated register that any node can change without a leader.

The protocol is CASPaxos, which runs single-value Paxos repeatedly on one register: a change reads
the newest accepted value from a majority under its own ballot, applies a function to it and has a
majority accept the result. Since any node can propose, no change waits for one slow or stalled
node.

A voter whose disk was lost must not vote while it could contradict its earlier promises. It takes
a new incarnation and reads, under a ballot far above all that it sees, from enough other voters
that every majority in which it took part includes one of them. Promises and acceptances carry the
incarnation of the voter, so that promises of an earlier incarnation no longer count.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple


class Ballot(NamedTuple):
    """Orders the attempts to change the register; no two proposers use the same ballot."""

    #: Increases with each attempt.
    number: int
    #: Name of the proposer, which breaks ties.
    proposer: str


#: Distance of the recovery ballot from the highest ballot that the voter sees. The lost disk may
#: have promised a ballot that no other voter has seen, but not one this much higher: a proposer
#: adds at most two for each attempt.
RECOVERY_BALLOT_DISTANCE = 2**32

#: Lower than every ballot that a proposer uses.
NO_BALLOT = Ballot(0, "")


@dataclasses.dataclass(frozen=True, kw_only=True)
class VoterState:
    """The durable state of a voter."""

    #: Identity of the disk; changes each time the voter starts from an empty one.
    incarnation: str
    #: Whether the voter may vote: it never lost its disk, or it has recovered since.
    complete: bool
    #: Highest ballot promised; lower ones are rejected.
    promised: Ballot = NO_BALLOT
    #: Ballot under which ``value`` was accepted.
    accepted: Ballot = NO_BALLOT
    #: Last accepted value; empty before the first one.
    value: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Promise:
    """A voter's answer to a prepare request."""

    #: Name of the voter.
    voter: str
    #: Incarnation of the voter.
    incarnation: str
    #: Whether the voter promised the ballot; the other fields are valid in both cases.
    granted: bool
    #: Highest ballot promised.
    promised: Ballot
    #: Ballot under which ``value`` was accepted.
    accepted: Ballot
    #: Last accepted value.
    value: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Acceptance:
    """A voter's answer to an accept request."""

    #: Name of the voter.
    voter: str
    #: Whether the voter accepted the value.
    granted: bool
    #: Highest ballot promised.
    promised: Ballot


class Voter:
    """Answers the prepare and accept requests to one voter.

    ``prepare`` and ``accept`` return a new state and the answer. The caller makes the state
    durable, passes it to ``set_state`` and only then sends the answer.

    >>> voter = Voter(name="a", state=VoterState(incarnation="1", complete=True))
    >>> state, promise = voter.prepare(Ballot(1, "b"))
    >>> voter.set_state(state)
    >>> promise.granted, voter.prepare(Ballot(1, "a"))[1].granted
    (True, False)
    """

    def __init__(self, *, name: str, state: VoterState) -> None:
        self._name = name
        self._state = state

    @property
    def state(self) -> VoterState:
        """The current state, which is durable."""
        return self._state

    def set_state(self, state: VoterState) -> None:
        """Make ``state``, which has become durable, the current state."""
        self._state = state

    def prepare(self, ballot: Ballot) -> tuple[VoterState, Promise]:
        """Answer a prepare request; return the state to make durable and the answer."""
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
        """Answer an accept request; return the state to make durable and the answer.

        ``incarnation`` is the one that promised ``ballot``. A voter that accepts also promises
        ``reserved``, a later ballot of the same proposer. Once a majority has accepted, the
        proposer may continue with that ballot without a prepare phase, since it knows the value
        that the prepare phase would return.
        """
        state = self._state
        granted = state.complete and incarnation == state.incarnation and ballot >= state.promised
        if granted:
            state = dataclasses.replace(
                state, promised=max(ballot, reserved), accepted=ballot, value=value
            )
        answer = Acceptance(voter=self._name, granted=granted, promised=state.promised)
        return state, answer

    def recovered_state(self, promises: tuple[Promise, ...], ballot: Ballot) -> VoterState:
        """Return the state with which a voter that lost its disk may vote again.

        ``promises`` come from a recovery quorum under ``ballot``.
        """
        newest = newest_value(promises)
        return dataclasses.replace(
            self._state,
            complete=True,
            promised=max(ballot, self._state.promised),
            accepted=newest.accepted,
            value=newest.value,
        )


def majority(voters: int) -> int:
    """Return the size of a majority of ``voters`` voters.

    >>> majority(5), majority(4)
    (3, 3)
    """
    return voters // 2 + 1


def recovery_quorum(voters: int) -> int:
    """Return the number of other voters from which a voter that lost its disk must read.

    Every majority that included the lost voter also includes at least one of them.

    >>> recovery_quorum(5), recovery_quorum(9), recovery_quorum(1)
    (3, 5, 1)
    """
    return voters - majority(voters) + 1


def newest_value(promises: tuple[Promise, ...]) -> Promise:
    """Return the promise with the value that was accepted under the highest ballot."""
    return max(promises, key=lambda promise: promise.accepted)
