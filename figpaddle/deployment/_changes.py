"""Configuration changes: the state machine that the replicated log drives."""

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

#: Number of answers retained per member. A change that is resent after its answer was evicted gets
#: a conflict and doesn't take effect again.
MAX_ANSWERS_PER_MEMBER = 1024
#: Number of answers retained for all members; beyond it, the member with the most loses its oldest
#: one.
MAX_ANSWERS_TOTAL = 16384


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """An operator's change of one member's part of the configuration."""

    #: Identifier chosen by the operator; the same for each resend.
    command_id: str
    #: Name of the operator.
    operator: str
    #: Revision of the member's part that the change is based on; 0 for a new member.
    base_revision: int
    #: The member's new configuration.
    member: MemberConfiguration

    @property
    def key(self) -> tuple[str, str, str]:
        """Key of the command; operators have separate id spaces."""
        return (self.member.name, self.operator, self.command_id)

    def digest(self) -> str:
        """Return a digest of the content, without the command id."""
        text = json.dumps([self.base_revision, member_to_plain(self.member)], sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()[:16]


class Verdict(enum.Enum):
    """The result of a change."""

    #: The change is in the configuration.
    ACCEPTED = "accepted"
    #: Another change was applied first.
    CONFLICT = "conflict"
    #: The command id was used before with other content.
    REUSED = "reused"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeAnswer:
    """The answer to a change, the same for each resend."""

    #: Result of the change.
    verdict: Verdict
    #: Revision of the member's part after the change.
    revision: int
    #: Revision of the whole configuration at which the part last changed.
    changed_at: int
    #: Command id of the change that produced the part.
    winner: str
    #: Operator that made that change.
    operator: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _RetainedAnswer:
    """An answer retained for resends."""

    #: Operator and command id of the change.
    operator: str
    command_id: str
    #: Digest of the content of the change.
    digest: str
    #: The answer.
    answer: ChangeAnswer


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Snapshot:
    """State of the machine as it is stored."""

    #: The versioned configuration.
    versioned: VersionedConfiguration
    #: Retained answers by member, oldest first.
    answers: dict[str, tuple[_RetainedAnswer, ...]]


_CHANGE = pydantic.TypeAdapter(Change)
_SNAPSHOT = pydantic.TypeAdapter(_Snapshot)


def _to_cbor(plain: Any) -> bytes:
    return cbor2.dumps(plain, default=lambda encoder, value: encoder.encode(value.value))


def encode_change(change: Change) -> bytes:
    """Return the log command for ``change``."""
    return _to_cbor(_CHANGE.dump_python(change))


class ChangeMachine:
    """Applies changes in log order; every replica reaches the same state.

    Answers are retained per member. If there are too many in total, the oldest one of the member
    with the most is evicted, so that many changes of one member don't evict the answers to others.
    A change that is resent after its answer was evicted changes nothing: its base revision is lower
    than the member's revision, which is a conflict.
    """

    def __init__(self, *, versioned: VersionedConfiguration) -> None:
        self._versioned = versioned
        self._answers: dict[str, dict[tuple[str, str], _RetainedAnswer]] = {}
        self._retained_total = 0

    @property
    def versioned(self) -> VersionedConfiguration:
        """Configuration after the last applied change."""
        return self._versioned

    def answer_to(self, change: Change) -> ChangeAnswer | None:
        """Return the retained answer to ``change``, or None.

        A command id that was used with other content gets the verdict REUSED.
        """
        retained = self._answers.get(change.member.name, {}).get(
            (change.operator, change.command_id)
        )
        if retained is None:
            return None
        if retained.digest != change.digest():
            return self._answer(Verdict.REUSED, change)
        return retained.answer

    def apply(self, data: bytes) -> tuple[Change, ChangeAnswer]:
        """Apply one command; return the change and its answer."""
        change = _CHANGE.validate_python(cbor2.loads(data))
        answer = self.answer_to(change)
        if answer is None:
            answer = self._decide(change)
            self._retain(change, answer)
        return change, answer

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        answers = {name: tuple(retained.values()) for name, retained in self._answers.items()}
        state = _Snapshot(versioned=self._versioned, answers=answers)
        return _to_cbor(_SNAPSHOT.dump_python(state))

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot; empty bytes reset it to an empty configuration."""
        if not data:
            self._versioned, self._answers = VersionedConfiguration(), {}
            self._retained_total = 0
            return
        state = _SNAPSHOT.validate_python(cbor2.loads(data))
        self._versioned = state.versioned
        self._answers = {
            name: {(answer.operator, answer.command_id): answer for answer in retained}
            for name, retained in state.answers.items()
        }
        self._retained_total = sum(len(retained) for retained in self._answers.values())

    def _decide(self, change: Change) -> ChangeAnswer:
        part = self._versioned.part(change.member.name)
        current_revision = 0 if part is None else part.revision
        if change.base_revision != current_revision:
            return self._answer(Verdict.CONFLICT, change)
        revision = self._versioned.revision + 1
        accepted = MemberPart(
            member=change.member,
            revision=current_revision + 1,
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

    def _retain(self, change: Change, answer: ChangeAnswer) -> None:
        retained = self._answers.setdefault(change.member.name, {})
        retained[change.operator, change.command_id] = _RetainedAnswer(
            operator=change.operator,
            command_id=change.command_id,
            digest=change.digest(),
            answer=answer,
        )
        self._retained_total += 1
        while len(retained) > MAX_ANSWERS_PER_MEMBER:
            self._drop_oldest(retained)
        while self._retained_total > MAX_ANSWERS_TOTAL:
            largest_member = max(sorted(self._answers), key=lambda name: len(self._answers[name]))
            self._drop_oldest(self._answers[largest_member])

    def _drop_oldest(self, retained: dict[tuple[str, str], _RetainedAnswer]) -> None:
        del retained[next(iter(retained))]
        self._retained_total -= 1
