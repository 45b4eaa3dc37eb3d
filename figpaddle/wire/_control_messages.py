"""Messages that carry changes of the configuration and spread its revisions."""

from __future__ import annotations

import dataclasses

from figpaddle.deployment import Change, ChangeAnswer, MemberPart
from figpaddle.wire._codec import Message, message
from figpaddle.wire._log_messages import Peer


@message("control.formation_question")
@dataclasses.dataclass(frozen=True, kw_only=True)
class FormationQuestion(Message):
    """Asks a configured voter whether a log was ever begun; sent by a voter without one."""


@message("control.formation_answer")
@dataclasses.dataclass(frozen=True, kw_only=True)
class FormationAnswer(Message):
    """What a configured voter has."""

    #: Identity of its log.
    peer: Peer
    #: Whether its log has never held a vote or an entry.
    blank: bool
    #: Voters in its settings, sorted.
    voters: tuple[str, ...]
    #: Digest of the configuration in its settings.
    digest: str


@message("control.submit_change")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SubmitChange(Message):
    """An operator's change, passed on to the leader."""

    #: The change.
    change: Change


@message("control.change_reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeReply(Message):
    """The leader's answer, or who leads."""

    #: The answer; None where the receiver can't give one.
    answer: ChangeAnswer | None
    #: Name of the leader, as far as known.
    leader: str | None


@message("control.configuration_question")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationQuestion(Message):
    """Asks for all that changed since a revision."""

    #: Revision that the sender has.
    revision: int


@message("control.configuration_news")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationNews(Message):
    """Parts that changed between two revisions; pushed, and the reply to a question."""

    #: Revision after the changes.
    revision: int
    #: Revision that the changes are complete since.
    since: int
    #: The parts that changed.
    parts: tuple[MemberPart, ...]
    #: Digest of the whole configuration at ``revision``.
    digest: str
    #: How long ago a quorum confirmed that nothing newer was committed, seconds; None if never.
    confirmed_s: float | None = None


@message("control.in_force_question")
@dataclasses.dataclass(frozen=True, kw_only=True)
class InForceQuestion(Message):
    """Asks what an instance has in force."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PartInForce:
    """One member's part in force."""

    #: Name of the member.
    member: str
    #: Revision of the part.
    revision: int
    #: Digest of the part.
    digest: str


@message("control.in_force")
@dataclasses.dataclass(frozen=True, kw_only=True)
class InForce(Message):
    """What an instance has in force."""

    #: Revision of the whole configuration.
    revision: int
    #: Digest of the whole configuration.
    digest: str
    #: One entry a member.
    parts: tuple[PartInForce, ...]
