"""The configuration of a deployment: immutable, one part a member, with a digest."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import json
from typing import Any

import pydantic

from figpaddle.errors import DocumentError, DocumentFault


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    #: Engines that generate tokens.
    MODEL = "model"
    #: Plain application servers.
    APPLICATION = "application"


@dataclasses.dataclass(frozen=True, kw_only=True)
class PolicyWeights:
    """What a member weighs when its requests are placed; only their ratios count."""

    #: Weight of the cost of serving.
    cost: float = 1.0
    #: Weight of tail latency.
    tail: float = 1.0
    #: Weight of the share of requests sent to another region.
    sent_away: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceConfiguration:
    """One service of a member."""

    #: Name that callers use.
    name: str
    #: What stands behind it.
    kind: ServiceKind
    #: Whether calls other than GET and HEAD may be repeated.
    repeatable: bool
    #: Time allowed to the first byte of the answer, seconds.
    deadline_s: float
    #: Regions that may hold its requests, answers, caches and records.
    regions: tuple[str, ...]
    #: Priority within the member, 0 is served first.
    priority: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberConfiguration:
    """All that one member decides."""

    #: Name of the member.
    name: str
    #: Services of the member.
    services: tuple[ServiceConfiguration, ...]
    #: What the member weighs.
    weights: PolicyWeights = PolicyWeights()
    #: Agreed part of the shared capacity, from 0 to 1.
    share: float = 0.5

    def service(self, name: str) -> ServiceConfiguration | None:
        """Return the service called ``name``, or None."""
        return next((service for service in self.services if service.name == name), None)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """The configuration in force for all members at one revision.

    >>> Configuration(revision=0, members=()).member("hanbit") is None
    True
    """

    #: Number of the change that led here; only rises.
    revision: int
    #: Members in the order of their names.
    members: tuple[MemberConfiguration, ...]

    def member(self, name: str) -> MemberConfiguration | None:
        """Return the member called ``name``, or None."""
        return next((member for member in self.members if member.name == name), None)

    def with_member(self, member: MemberConfiguration, *, revision: int) -> Configuration:
        """Return a copy at ``revision`` in which ``member`` replaces its earlier part."""
        others = [kept for kept in self.members if kept.name != member.name]
        ordered = sorted([*others, member], key=lambda kept: kept.name)
        return Configuration(revision=revision, members=tuple(ordered))

    def digest(self) -> str:
        """Return a short digest of the content, equal for equal configurations."""
        text = json.dumps(configuration_to_plain(self), sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()[:16]


_CONFIGURATION = pydantic.TypeAdapter(Configuration)
_MEMBER = pydantic.TypeAdapter(MemberConfiguration)


def configuration_to_plain(configuration: Configuration) -> Any:
    """Return ``configuration`` as maps, lists and scalars for YAML or JSON."""
    return _CONFIGURATION.dump_python(configuration, mode="json")


def member_to_plain(member: MemberConfiguration) -> Any:
    """Return ``member`` as maps, lists and scalars for YAML or JSON."""
    return _MEMBER.dump_python(member, mode="json")


def configuration_from_plain(plain: Any, *, document: str) -> Configuration:
    """Return the configuration in ``plain``; raises DocumentError naming ``document``."""
    try:
        return _CONFIGURATION.validate_python(plain)
    except pydantic.ValidationError as error:
        raise DocumentError(document=document, faults=faults_of(error)) from error


def member_from_plain(plain: Any, *, document: str) -> MemberConfiguration:
    """Return the member's part in ``plain``; raises DocumentError naming ``document``."""
    try:
        return _MEMBER.validate_python(plain)
    except pydantic.ValidationError as error:
        raise DocumentError(document=document, faults=faults_of(error)) from error


#: Entries whose values are never shown.
SECRET_FIELDS = frozenset({"deployment_key", "key_digest", "token_digest"})


def faults_of(error: pydantic.ValidationError) -> tuple[DocumentFault, ...]:
    """Return every fault of a validation, each with its dotted path.

    The value at fault is shown if it is a scalar and not a secret.
    """
    return tuple(_fault(item) for item in error.errors(include_url=False, include_context=False))


def _fault(item: Any) -> DocumentFault:
    path = ".".join(str(part) for part in item["loc"])
    value = item["input"]
    shown = isinstance(value, str | int | float) and not SECRET_FIELDS & set(item["loc"])
    return DocumentFault(
        path=path or "(whole document)",
        what=f"{item['msg']}, got {value!r}" if shown else item["msg"],
        mend=_mend(item["type"]),
    )


def _mend(kind: str) -> str:
    if kind == "missing":
        return "add this entry"
    if kind == "extra_forbidden":
        return "remove this entry or correct its name"
    return "give a value of the named kind"
