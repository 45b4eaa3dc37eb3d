"""The durable state of this instance's voter."""

from __future__ import annotations

import pathlib
import secrets
from typing import Any

import anyio
import anyio.to_thread
import cbor2

from figpaddle.coordination import Acceptance, Ballot, Promise, Voter, VoterState
from figpaddle.deployment import decode_voters
from figpaddle.errors import StorageCorruptError
from figpaddle.storage import RecordFile

#: File of the voter's state within the data folder.
FILE_NAME = "register.records"
#: Size above which the file is compacted to the newest state, bytes.
COMPACT_BYTES = 4 * 1024 * 1024


class RegisterStore:
    """Makes each new state of a voter durable before the voter replies.

    Writes run one after the other in a worker thread, so that a stalled disk blocks only the voter
    and not the process.
    """

    def __init__(self, *, folder: pathlib.Path, name: str) -> None:
        self._file = RecordFile(path=folder / FILE_NAME)
        self._name = name
        self._lock = anyio.Lock()
        self._voters: tuple[str, ...] = ()
        self._voter: Voter | None = None

    @property
    def voters(self) -> tuple[str, ...]:
        """The names of the deployment's voters as recorded last; empty before they are known.

        Earlier builds take them from here. The accepted value names them too once they were changed.
        """
        return self._voters

    @property
    def voter(self) -> Voter:
        """The voter with its durable state."""
        assert self._voter is not None
        return self._voter

    def open(self, *, first_start: bool) -> None:
        """Read the file; raises StorageError.

        A voter with an empty disk may vote immediately only if the whole deployment starts for the
        first time. Otherwise it has to recover first.
        """
        state = VoterState(incarnation=secrets.token_hex(8), complete=first_start)
        for record in self._file.open():
            voters, state = _decode(record)
            self._voters = voters or self._voters
        self._voter = Voter(name=self._name, state=state)

    async def record_voters(self, voters: tuple[str, ...]) -> tuple[str, ...]:
        """Make the voters durable unless some are already recorded; return the recorded ones."""
        async with self._lock:
            if not self._voters:
                await self._write(self.voter.state, voters)
                self._voters = voters
        return self._voters

    async def prepare(self, ballot: Ballot) -> Promise:
        """Handle a prepare request; return once the promise is durable."""
        async with self._lock:
            state, promise = self.voter.prepare(ballot)
            await self._persist(state)
        return promise

    async def accept(
        self, ballot: Ballot, value: bytes, *, incarnation: str, reserved: Ballot
    ) -> Acceptance:
        """Handle an accept request; return once the value is durable."""
        async with self._lock:
            state, acceptance = self.voter.accept(
                ballot, value, incarnation=incarnation, reserved=reserved
            )
            await self._persist(state)
        return acceptance

    async def recover(self, promises: tuple[Promise, ...], ballot: Ballot) -> None:
        """Let the voter vote again after its disk was lost, from the promises of the others."""
        async with self._lock:
            await self._persist(self.voter.recovered_state(promises, ballot))

    async def _persist(self, state: VoterState) -> None:
        if state is not self.voter.state:
            # A cancelled request must not leave memory and disk with different states.
            with anyio.CancelScope(shield=True):
                voters = self._voters
                if state.value != self.voter.state.value:
                    names, previous = decode_voters(state.value)
                    voters = previous or names or voters
                await self._write(state, voters)
                self._voters = voters
                self.voter.set_state(state)

    async def _write(self, state: VoterState, voters: tuple[str, ...]) -> None:
        record = _encode(state, voters)
        if self._file.size_bytes > COMPACT_BYTES:
            await anyio.to_thread.run_sync(self._file.replace, (record,))
        else:
            await anyio.to_thread.run_sync(self._file.append, (record,))


def _encode(state: VoterState, voters: tuple[str, ...]) -> bytes:
    return cbor2.dumps(
        [
            list(voters),
            state.incarnation,
            state.complete,
            list(state.promised),
            list(state.accepted),
            state.value,
        ]
    )


def _decode(record: bytes) -> tuple[tuple[str, ...], VoterState]:
    try:
        fields: Any = cbor2.loads(record)
        voters, incarnation, complete, promised, accepted, value = fields
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise StorageCorruptError(
            what="a record of the register is malformed",
            where=FILE_NAME,
            hint="empty the data folder; the voter then recovers from the others",
        ) from error
    return tuple(voters), VoterState(
        incarnation=incarnation,
        complete=complete,
        promised=Ballot(*promised),
        accepted=Ballot(*accepted),
        value=value,
    )
