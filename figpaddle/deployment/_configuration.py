"""The immutable configuration of a deployment: one part per member, with a digest."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import json
from typing import Any

import pydantic

from figpaddle.errors import DocumentError, DocumentFault


class ServiceKind(enum.Enum):
    """The kind of backend servers of a service."""

    #: Model engines that generate tokens.
    MODEL = "model"
    #: Application servers.
    APPLICATION = "application"


@dataclasses.dataclass(frozen=True, kw_only=True)
class PolicyWeights:
    """How a member weighs the goals of request placement; only the ratios count."""

    #: Weight of serving cost.
    cost: float = 1.0
    #: Weight of tail latency.
    tail: float = 1.0
    #: Weight of the fraction of requests sent to another region.
    sent_away: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceConfiguration:
    """One service of a member."""

    #: Name of the service for callers.
    name: str
    #: Kind of its backend servers.
    kind: ServiceKind
    #: Whether requests other than GET and HEAD may be retried.
    repeatable: bool
    #: Time limit for the first byte of the response, seconds.
    deadline_s: float
    #: Regions that may hold its requests, responses, caches and records.
    regions: tuple[str, ...]
    #: Priority within the member; 0 is the most urgent.
    priority: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberConfiguration:
    """The settings of one member."""

    #: Name of the member.
    name: str
    #: Services of the member.
    services: tuple[ServiceConfiguration, ...]
    #: Placement weights of the member.
    weights: PolicyWeights = PolicyWeights()
    #: Agreed share of the shared capacity, from 0 to 1.
    share: float = 0.5

    def service(self, name: str) -> ServiceConfiguration | None:
        """Return the service called ``name``, or None."""
        return next((service for service in self.services if service.name == name), None)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """The configuration of all members at one revision.

    >>> Configuration(revision=0, members=()).member("hanbit") is None
    True
    """

    #: Revision number; only increases.
    revision: int
    #: Members, ordered by name.
    members: tuple[MemberConfiguration, ...]

    def member(self, name: str) -> MemberConfiguration | None:
        """Return the member called ``name``, or None."""
        return next((member for member in self.members if member.name == name), None)

    def with_member(self, member: MemberConfiguration, *, revision: int) -> Configuration:
        """Return a copy at ``revision`` in which ``member`` is added or replaced."""
        others = [other for other in self.members if other.name != member.name]
        ordered = sorted([*others, member], key=lambda item: item.name)
        return Configuration(revision=revision, members=tuple(ordered))

    def digest(self) -> str:
        """Return a short digest of the content, equal for equal configurations."""
        text = json.dumps(configuration_to_plain(self), sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()[:16]


_CONFIGURATION = pydantic.TypeAdapter(Configuration)
_MEMBER = pydantic.TypeAdapter(MemberConfiguration)


def configuration_to_plain(configuration: Configuration) -> Any:
    """Return ``configuration`` as dicts, lists and scalars for YAML or JSON."""
    return _CONFIGURATION.dump_python(configuration, mode="json")


def member_to_plain(member: MemberConfiguration) -> Any:
    """Return ``member`` as dicts, lists and scalars for YAML or JSON."""
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


#: Fields whose values are never shown in the description of a fault.
SECRET_FIELDS = frozenset({"deployment_key", "key_digest", "token_digest"})


def faults_of(error: pydantic.ValidationError) -> tuple[DocumentFault, ...]:
    """Return every fault of a validation error, each with its dotted path.

    An invalid value is shown if it is a scalar and not a secret.
    """
    return tuple(_fault(item) for item in error.errors(include_url=False, include_context=False))


def _fault(item: Any) -> DocumentFault:
    path = ".".join(str(part) for part in item["loc"])
    value = item["input"]
    is_shown = isinstance(value, str | int | float) and not SECRET_FIELDS & set(item["loc"])
    return DocumentFault(
        path=path or "(whole document)",
        what=f"{item['msg']}, got {value!r}" if is_shown else item["msg"],
        hint=_hint_for(item["type"]),
    )


def _hint_for(error_type: str) -> str:
    if error_type == "missing":
        return "add this entry"
    if error_type == "extra_forbidden":
        return "remove this entry or correct its name"
    return "give a value of the expected type"
