"""Messages that submit configuration changes and distribute configuration revisions."""

from __future__ import annotations

import dataclasses

from figpaddle.deployment import Change, ChangeAnswer, MemberPart
from figpaddle.wire._codec import Message, message
from figpaddle.wire._log_messages import Peer


@message("control.formation_question")
@dataclasses.dataclass(frozen=True, kw_only=True)
class FormationQuestion(Message):
    """Asks a configured voter whether a log exists; sent by a voter that has none."""


@message("control.formation_answer")
@dataclasses.dataclass(frozen=True, kw_only=True)
class FormationAnswer(Message):
    """Reply to FormationQuestion: a voter's log and settings."""

    #: Identity of its log.
    peer: Peer
    #: Whether its log has never contained a vote or an entry.
    blank: bool
    #: Voters in its settings, sorted.
    voters: tuple[str, ...]
    #: Digest of the configuration in its settings.
    digest: str


@message("control.submit_change")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SubmitChange(Message):
    """An operator's change, forwarded to the leader."""

    #: The change.
    change: Change


@message("control.change_reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeReply(Message):
    """Reply to SubmitChange: the leader's answer, or the name of the leader."""

    #: The answer; None if the receiver isn't the leader.
    answer: ChangeAnswer | None
    #: Name of the leader; None if unknown.
    leader: str | None


@message("control.configuration_question")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationQuestion(Message):
    """Requests everything that changed since a revision."""

    #: Revision that the sender has.
    revision: int


@message("control.configuration_news")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationNews(Message):
    """Parts of the configuration that changed between two revisions.

    Pushed after each change, and sent as the reply to ConfigurationQuestion.
    """

    #: Revision after the changes.
    revision: int
    #: Revision before the changes; every later change is included.
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
    """Asks an instance which configuration it applies."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PartInForce:
    """Part of the applied configuration that belongs to one member."""

    #: Name of the member.
    member: str
    #: Revision of the part.
    revision: int
    #: Digest of the part.
    digest: str


@message("control.in_force")
@dataclasses.dataclass(frozen=True, kw_only=True)
class InForce(Message):
    """Reply to InForceQuestion: the configuration that an instance applies."""

    #: Revision of the whole configuration.
    revision: int
    #: Digest of the whole configuration.
    digest: str
    #: One entry for each member.
    parts: tuple[PartInForce, ...]
