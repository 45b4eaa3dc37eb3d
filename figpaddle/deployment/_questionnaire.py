"""The questionnaire for new teams, and the configuration generated from it."""

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

#: Longest deadline that a team may request, seconds.
MAX_DEADLINE_S = 600.0
#: Placement weight for each answer about the importance of a goal.
IMPORTANCE_WEIGHTS = {"little": 0.5, "some": 1.0, "much": 2.0}

Name = Annotated[str, pydantic.StringConstraints(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Importance = Literal["little", "some", "much"]


class _AnswerModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ServiceAnswers(_AnswerModel):
    """Answers about one service."""

    #: What is the name of the service for callers?
    name: Name
    #: Does it run a model or an application?
    kind: Literal["model", "application"]
    #: May a request that changes something be sent twice?
    repeatable: bool
    #: How long may the first byte of the response take, seconds?
    deadline_s: Annotated[float, pydantic.Field(gt=0, le=MAX_DEADLINE_S)]
    #: Which of the member's services is served first, 0 before 1?
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 0
    #: Which regions may hold its data, if fewer than the member's?
    regions: tuple[Name, ...] | None = None


class ImportanceAnswers(_AnswerModel):
    """Answers about the goals of placement."""

    #: How important is the cost of serving?
    cost: Importance = "some"
    #: How important is the slowest response in a hundred?
    tail: Importance = "some"
    #: How important is it that requests stay in their region?
    sent_away: Importance = "some"


class Answers(_AnswerModel):
    """All answers of one team."""

    #: What is the name of the member?
    member: Name
    #: Which regions may hold the member's data?
    regions: Annotated[tuple[Name, ...], pydantic.Field(min_length=1)]
    #: Which services does the member run?
    services: Annotated[tuple[ServiceAnswers, ...], pydantic.Field(min_length=1)]
    #: How important are the goals of placement to the member?
    importance: ImportanceAnswers = ImportanceAnswers()
    #: Which share of the shared capacity was agreed, from 0 to 1?
    share: Annotated[float, pydantic.Field(gt=0, le=1)] = 0.5


def read_answers(plain: Any, *, document: str) -> Answers:
    """Return the validated answers; raises QuestionnaireError with all faults."""
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
                    path=f"{path}.name", what=f"{service.name} is named twice", hint="rename one"
                )
            )
        seen.add(service.name)
        disallowed = sorted(set(service.regions or ()) - set(answers.regions))
        if disallowed:
            faults.append(
                DocumentFault(
                    path=f"{path}.regions",
                    what=f"{', '.join(disallowed)} is not among the member's regions",
                    hint="add it to regions or leave it out here",
                )
            )
    return tuple(faults)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Explanation:
    """Which answer set a line of the configuration."""

    #: Dotted path in the configuration.
    path: str
    #: Value there.
    value: str
    #: Question whose answer set it.
    question: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class GeneratedConfiguration:
    """A generated configuration with an explanation of each line."""

    #: The member's configuration.
    member: MemberConfiguration
    #: One entry per line of the configuration.
    explanations: tuple[Explanation, ...]


def generate(answers: Answers) -> GeneratedConfiguration:
    """Return the member's configuration; equal answers always give the same result."""
    services = tuple(_service(answers, service) for service in answers.services)
    member = MemberConfiguration(
        name=answers.member,
        services=services,
        weights=PolicyWeights(
            cost=IMPORTANCE_WEIGHTS[answers.importance.cost],
            tail=IMPORTANCE_WEIGHTS[answers.importance.tail],
            sent_away=IMPORTANCE_WEIGHTS[answers.importance.sent_away],
        ),
        share=answers.share,
    )
    return GeneratedConfiguration(member=member, explanations=tuple(_explain(answers, member)))


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
    explanations = [
        Explanation(path="name", value=member.name, question="member"),
        Explanation(path="share", value=f"{member.share:g}", question="share"),
    ]
    for name in ("cost", "tail", "sent_away"):
        value = f"{getattr(member.weights, name):g}"
        explanations.append(
            Explanation(path=f"weights.{name}", value=value, question=f"importance.{name}")
        )
    for index, service in enumerate(member.services):
        service_answers = answers.services[index]
        for field in dataclasses.fields(service):
            is_service_answer = field.name != "regions" or service_answers.regions is not None
            question = f"services.{index}.{field.name}" if is_service_answer else "regions"
            value = getattr(service, field.name)
            text = value.value if isinstance(value, ServiceKind) else str(value)
            path = f"services.{service.name}.{field.name}"
            explanations.append(Explanation(path=path, value=text, question=question))
    return explanations
