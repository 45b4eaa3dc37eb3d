"""Changes of the configuration: the state machine on the replicated log."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import json
from typing import Any

import cbor2
import pydantic

from figpaddle.deployment._configuration import MemberConfiguration, member_to_plain
from figpaddle.deployment._versions import MemberPart, VersionedConfiguration

#: Answers kept for each member; a resend that comes later gets a conflict, never a second run.
RETAINED_ANSWERS = 1024
#: Answers kept for all members; beyond it the member with the most loses its oldest one.
RETAINED_ANSWERS_IN_ALL = 16384


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """An operator's change of one member's part."""

    #: Identifier chosen by the operator; a resend has the same.
    command_id: str
    #: Name of the operator.
    operator: str
    #: Revision of the member's part that it is based on; 0 for a new member.
    base_revision: int
    #: The member's new configuration.
    member: MemberConfiguration

    @property
    def key(self) -> tuple[str, str, str]:
        """What tells commands apart: an operator can't meet another's ids."""
        return (self.member.name, self.operator, self.command_id)

    def digest(self) -> str:
        """Return a digest of the content, without the identifier."""
        text = json.dumps([self.base_revision, member_to_plain(self.member)], sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()[:16]


class Verdict(enum.Enum):
    """What became of a change."""

    #: It is in the configuration.
    ACCEPTED = "accepted"
    #: Another change came first.
    CONFLICT = "conflict"
    #: Its id was used before for other content.
    REUSED = "reused"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeAnswer:
    """The answer to a change, the same for each resend."""

    #: What became of it.
    verdict: Verdict
    #: Revision of the member's part after it.
    revision: int
    #: Revision of the whole configuration that holds the part.
    changed_at: int
    #: Command id of the change that brought the part.
    winner: str
    #: Operator that made that change.
    operator: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Kept:
    """An answer that a resend gets again."""

    #: Operator and command id.
    operator: str
    command_id: str
    #: Digest of the content.
    digest: str
    #: The answer.
    answer: ChangeAnswer


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Snapshot:
    """State of the machine."""

    #: The configuration.
    versioned: VersionedConfiguration
    #: Kept answers of each member, the oldest first.
    answers: dict[str, tuple[_Kept, ...]]


_CHANGE = pydantic.TypeAdapter(Change)
_SNAPSHOT = pydantic.TypeAdapter(_Snapshot)


def _dumps(plain: Any) -> bytes:
    return cbor2.dumps(plain, default=lambda encoder, value: encoder.encode(value.value))


def encode_change(change: Change) -> bytes:
    """Return the command for the log."""
    return _dumps(_CHANGE.dump_python(change))


class ChangeMachine:
    """Applies changes in the order of the log; every replica reaches the same state.

    Answers are kept by member, and where there are too many in all, the member with the most loses
    one, so a flood pushes out its own member's answers only. Once an answer
    is no longer kept, the base revision still guards: it is lower than the member's revision,
    so a resend gets a conflict and changes nothing.
    """

    def __init__(self, *, versioned: VersionedConfiguration) -> None:
        self._versioned = versioned
        self._answers: dict[str, dict[tuple[str, str], _Kept]] = {}
        self._kept_in_all = 0

    @property
    def versioned(self) -> VersionedConfiguration:
        """The configuration after the last applied change."""
        return self._versioned

    def answer_to(self, change: Change) -> ChangeAnswer | None:
        """Return the answer that ``change`` got before, or None."""
        kept = self._answers.get(change.member.name, {}).get((change.operator, change.command_id))
        if kept is None:
            return None
        if kept.digest != change.digest():
            return self._answer(Verdict.REUSED, change)
        return kept.answer

    def apply(self, data: bytes) -> tuple[Change, ChangeAnswer]:
        """Apply one command and return it with its answer."""
        change = _CHANGE.validate_python(cbor2.loads(data))
        answer = self.answer_to(change)
        if answer is None:
            answer = self._decide(change)
            self._keep(change, answer)
        return change, answer

    def snapshot(self) -> bytes:
        """Return the whole state."""
        answers = {name: tuple(kept.values()) for name, kept in self._answers.items()}
        state = _Snapshot(versioned=self._versioned, answers=answers)
        return _dumps(_SNAPSHOT.dump_python(state))

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; an empty one leaves nothing."""
        if not data:
            self._versioned, self._answers = VersionedConfiguration(), {}
            self._kept_in_all = 0
            return
        state = _SNAPSHOT.validate_python(cbor2.loads(data))
        self._versioned = state.versioned
        self._answers = {
            name: {(one.operator, one.command_id): one for one in kept}
            for name, kept in state.answers.items()
        }
        self._kept_in_all = sum(len(kept) for kept in self._answers.values())

    def _decide(self, change: Change) -> ChangeAnswer:
        part = self._versioned.part(change.member.name)
        current = 0 if part is None else part.revision
        if change.base_revision != current:
            return self._answer(Verdict.CONFLICT, change)
        revision = self._versioned.revision + 1
        accepted = MemberPart(
            member=change.member,
            revision=current + 1,
            changed_at=revision,
            command_id=change.command_id,
            operator=change.operator,
        )
        self._versioned = self._versioned.merged(revision, (accepted,))
        return self._answer(Verdict.ACCEPTED, change)

    def _answer(self, verdict: Verdict, change: Change) -> ChangeAnswer:
        part = self._versioned.part(change.member.name)
        return ChangeAnswer(
            verdict=verdict,
            revision=0 if part is None else part.revision,
            changed_at=0 if part is None else part.changed_at,
            winner="" if part is None else part.command_id,
            operator="" if part is None else part.operator,
        )

    def _keep(self, change: Change, answer: ChangeAnswer) -> None:
        kept = self._answers.setdefault(change.member.name, {})
        kept[change.operator, change.command_id] = _Kept(
            operator=change.operator,
            command_id=change.command_id,
            digest=change.digest(),
            answer=answer,
        )
        self._kept_in_all += 1
        while len(kept) > RETAINED_ANSWERS:
            self._drop_oldest(kept)
        while self._kept_in_all > RETAINED_ANSWERS_IN_ALL:
            most = max(sorted(self._answers), key=lambda name: len(self._answers[name]))
            self._drop_oldest(self._answers[most])

    def _drop_oldest(self, kept: dict[tuple[str, str], _Kept]) -> None:
        del kept[next(iter(kept))]
        self._kept_in_all -= 1
