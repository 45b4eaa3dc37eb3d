"""The questionnaire that each new team fills in, and the configuration generated from it."""

from __future__ import annotations

import dataclasses
from typing import Annotated, Any, Literal

import pydantic

from figpaddle.deployment._configuration import (
    MemberConfiguration,
    PolicyWeights,
    ServiceConfiguration,
    ServiceKind,
    faults_of,
)
from figpaddle.errors import DocumentFault, QuestionnaireError

#: Longest deadline that a team may ask for, seconds.
MAX_DEADLINE_S = 600.0
#: Weights of an answer about what matters, by its word.
IMPORTANCE = {"little": 0.5, "some": 1.0, "much": 2.0}

Name = Annotated[str, pydantic.StringConstraints(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Importance = Literal["little", "some", "much"]


class _Answers(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ServiceAnswers(_Answers):
    """Answers about one service."""

    #: What do callers call the service?
    name: Name
    #: Is it a model or an application?
    kind: Literal["model", "application"]
    #: May a call that changes something be sent twice?
    repeatable: bool
    #: How long may the first byte of the answer take, seconds?
    deadline_s: Annotated[float, pydantic.Field(gt=0, le=MAX_DEADLINE_S)]
    #: Which of the member's services goes first, 0 before 1?
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 0
    #: Regions that may hold its data, if fewer than the member's.
    regions: tuple[Name, ...] | None = None


class ImportanceAnswers(_Answers):
    """Answers about what the member weighs."""

    #: How much does the cost of serving matter?
    cost: Importance = "some"
    #: How much does the slowest answer in a hundred matter?
    tail: Importance = "some"
    #: How much does it matter that requests stay in their region?
    sent_away: Importance = "some"


class Answers(_Answers):
    """All answers of one team."""

    #: What is the member called?
    member: Name
    #: Which regions may hold the member's data?
    regions: Annotated[tuple[Name, ...], pydantic.Field(min_length=1)]
    #: Which services does the member run?
    services: Annotated[tuple[ServiceAnswers, ...], pydantic.Field(min_length=1)]
    #: What matters to the member?
    importance: ImportanceAnswers = ImportanceAnswers()
    #: Which part of the shared capacity was agreed, from 0 to 1?
    share: Annotated[float, pydantic.Field(gt=0, le=1)] = 0.5


def read_answers(plain: Any, *, document: str) -> Answers:
    """Return the checked answers; raises QuestionnaireError with every faulty question."""
    try:
        answers = Answers.model_validate(plain)
    except pydantic.ValidationError as error:
        raise QuestionnaireError(document=document, faults=faults_of(error)) from error
    faults = _contradictions(answers)
    if faults:
        raise QuestionnaireError(document=document, faults=faults)
    return answers


def _contradictions(answers: Answers) -> tuple[DocumentFault, ...]:
    faults = []
    seen: set[str] = set()
    for index, service in enumerate(answers.services):
        path = f"services.{index}"
        if service.name in seen:
            faults.append(
                DocumentFault(
                    path=f"{path}.name", what=f"{service.name} is named twice", mend="rename one"
                )
            )
        seen.add(service.name)
        outside = sorted(set(service.regions or ()) - set(answers.regions))
        if outside:
            faults.append(
                DocumentFault(
                    path=f"{path}.regions",
                    what=f"{', '.join(outside)} is not among the member's regions",
                    mend="add it to regions or leave it out here",
                )
            )
    return tuple(faults)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Explanation:
    """Which answer gave which line of the configuration."""

    #: Dotted path in the configuration.
    path: str
    #: Value there.
    value: str
    #: Question whose answer gave it.
    question: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Generated:
    """A generated configuration and the reason for each of its lines."""

    #: The member's configuration.
    member: MemberConfiguration
    #: One entry a line.
    explanations: tuple[Explanation, ...]


def generate(answers: Answers) -> Generated:
    """Return the member's configuration; the same answers always give the same result."""
    services = tuple(_service(answers, service) for service in answers.services)
    member = MemberConfiguration(
        name=answers.member,
        services=services,
        weights=PolicyWeights(
            cost=IMPORTANCE[answers.importance.cost],
            tail=IMPORTANCE[answers.importance.tail],
            sent_away=IMPORTANCE[answers.importance.sent_away],
        ),
        share=answers.share,
    )
    return Generated(member=member, explanations=tuple(_explain(answers, member)))


def _service(answers: Answers, service: ServiceAnswers) -> ServiceConfiguration:
    return ServiceConfiguration(
        name=service.name,
        kind=ServiceKind(service.kind),
        repeatable=service.repeatable,
        deadline_s=service.deadline_s,
        regions=tuple(sorted(service.regions or answers.regions)),
        priority=service.priority,
    )


def _explain(answers: Answers, member: MemberConfiguration) -> list[Explanation]:
    lines = [
        Explanation(path="name", value=member.name, question="member"),
        Explanation(path="share", value=f"{member.share:g}", question="share"),
    ]
    for name in ("cost", "tail", "sent_away"):
        value = f"{getattr(member.weights, name):g}"
        lines.append(
            Explanation(path=f"weights.{name}", value=value, question=f"importance.{name}")
        )
    for index, service in enumerate(member.services):
        asked = answers.services[index]
        for field in dataclasses.fields(service):
            own = field.name != "regions" or asked.regions is not None
            question = f"services.{index}.{field.name}" if own else "regions"
            value = getattr(service, field.name)
            shown = value.value if isinstance(value, ServiceKind) else str(value)
            path = f"services.{service.name}.{field.name}"
            lines.append(Explanation(path=path, value=shown, question=question))
    return lines
