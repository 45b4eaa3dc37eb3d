"""The configuration with the revisions needed to distribute and change it."""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import json

from figpaddle.deployment._configuration import (
    Configuration,
    MemberConfiguration,
    member_to_plain,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberPart:
    """The configuration of one member and the change that produced it.

    The member's own revision counts only its own changes, so that it reveals nothing about others.
    """

    #: The member's configuration.
    member: MemberConfiguration
    #: Revision of this part; changes refer to it as their base.
    revision: int
    #: Revision of the whole configuration at which it changed.
    changed_at: int
    #: Command id of the change that produced it.
    command_id: str
    #: Operator that made the change.
    operator: str

    def digest(self) -> str:
        """Return a short digest of the member's configuration."""
        text = json.dumps(member_to_plain(self.member), sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()[:16]


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionedConfiguration:
    """All members' parts at one revision.

    >>> first = VersionedConfiguration.bootstrap(Configuration(revision=1, members=()))
    >>> first.revision, first.parts_since(0)
    (1, ())
    """

    #: Revision of the whole configuration; only increases.
    revision: int = 0
    #: Parts, ordered by member name.
    parts: tuple[MemberPart, ...] = ()

    @classmethod
    def bootstrap(cls, configuration: Configuration) -> VersionedConfiguration:
        """Return the versioned form of ``configuration``, the initial state of a change log."""
        revision = configuration.revision
        parts = [
            MemberPart(
                member=member,
                revision=revision,
                changed_at=revision,
                command_id="bootstrap",
                operator="bootstrap",
            )
            for member in configuration.members
        ]
        return cls(revision=revision, parts=_ordered(parts))

    @functools.cached_property
    def digest(self) -> str:
        """A short digest of the content, equal for equal configurations."""
        return self.configuration.digest()

    @functools.cached_property
    def configuration(self) -> Configuration:
        """The configuration of all members at this revision."""
        return Configuration(
            revision=self.revision, members=tuple(part.member for part in self.parts)
        )

    def part(self, member: str) -> MemberPart | None:
        """Return the part of ``member``, or None."""
        return next((part for part in self.parts if part.member.name == member), None)

    def parts_since(self, revision: int) -> tuple[MemberPart, ...]:
        """Return the parts that changed after ``revision``."""
        return tuple(part for part in self.parts if part.changed_at > revision)

    def merged(self, revision: int, parts: tuple[MemberPart, ...]) -> VersionedConfiguration:
        """Return the state at ``revision``, given all parts changed since this state."""
        changed = {part.member.name for part in parts}
        unchanged = [part for part in self.parts if part.member.name not in changed]
        return VersionedConfiguration(revision=revision, parts=_ordered([*unchanged, *parts]))


def _ordered(parts: list[MemberPart]) -> tuple[MemberPart, ...]:
    return tuple(sorted(parts, key=lambda part: part.member.name))
