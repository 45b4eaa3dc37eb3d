"""Commands that generate and check a configuration."""

from __future__ import annotations

import pathlib
from typing import Annotated, Any

import typer
import yaml

from figpaddle.daemon import load_yaml
from figpaddle.deployment import (
    Configuration,
    Generated,
    configuration_from_plain,
    configuration_to_plain,
    generate,
    read_answers,
)
from figpaddle.errors import DocumentError
from figpaddle.tool._output import fail_document

app = typer.Typer()

AnswersOption = Annotated[
    list[pathlib.Path], typer.Option(help="File with one team's answers; repeat for more.")
]
FileOption = Annotated[pathlib.Path | None, typer.Option(help="File to write.")]


@app.command("generate")
def generate_command(
    answers: AnswersOption,
    output: FileOption = None,
    explain: Annotated[bool, typer.Option(help="Show which answer gave each line.")] = False,
) -> None:
    """Generate the configuration from answers to the questionnaire."""
    configuration = Configuration(revision=0, members=())
    for path in answers:
        generated = _generate(path)
        revision = configuration.revision + 1
        configuration = configuration.with_member(generated.member, revision=revision)
        if explain:
            _explain(generated)
    text = yaml.safe_dump(configuration_to_plain(configuration), sort_keys=False)
    if output is not None:
        output.write_text(text, encoding="utf-8")
    elif not explain:
        print(text, end="")


@app.command()
def check(
    configuration: Annotated[pathlib.Path, typer.Argument(help="File with a configuration.")],
) -> None:
    """Check a configuration; every fault is printed with its path."""
    try:
        read = configuration_from_plain(load_yaml(configuration), document=str(configuration))
    except DocumentError as error:
        fail_document(error)
    print(f"revision={read.revision} digest={read.digest()} members={len(read.members)}")


@app.command()
def questionnaire(
    output: Annotated[pathlib.Path, typer.Option(help="File for the answers.")],
    answers: Annotated[
        pathlib.Path | None, typer.Option(help="Answers to check instead of asking.")
    ] = None,
) -> None:
    """Ask a new team the questions and write its answers, once they are consistent."""
    plain = load_yaml(answers) if answers is not None else _ask()
    try:
        read = read_answers(plain, document=str(answers or "answers"))
    except DocumentError as error:
        fail_document(error)
    text = yaml.safe_dump(read.model_dump(mode="json"), sort_keys=False)
    output.write_text(text, encoding="utf-8")
    print(f"wrote {output}; next: figpaddle generate --answers {output} --explain")


def _generate(path: pathlib.Path) -> Generated:
    try:
        return generate(read_answers(load_yaml(path), document=str(path)))
    except DocumentError as error:
        fail_document(error)


def _explain(generated: Generated) -> None:
    for line in generated.explanations:
        print(f"{line.path} = {line.value}  # {line.question}")


def _ask() -> dict[str, Any]:
    member = typer.prompt("What is the member called?")
    regions = _split(typer.prompt("Which regions may hold the member's data (by commas)?"))
    services = []
    while True:
        services.append(_ask_service())
        if not typer.confirm("Is there another service?", default=False):
            break
    importance = {
        name: typer.prompt(f"How much does {text} matter (little, some, much)?", default="some")
        for name, text in (
            ("cost", "the cost of serving"),
            ("tail", "the slowest answer in a hundred"),
            ("sent_away", "it that requests stay in their region"),
        )
    }
    share = typer.prompt("Which part of the shared capacity was agreed (0 to 1)?", type=float)
    return {
        "member": member,
        "regions": regions,
        "services": services,
        "importance": importance,
        "share": share,
    }


def _ask_service() -> dict[str, Any]:
    return {
        "name": typer.prompt("What do callers call the service?"),
        "kind": typer.prompt("Is it a model or an application?"),
        "repeatable": typer.confirm("May a call that changes something be sent twice?"),
        "deadline_s": typer.prompt("How long may the first byte take, seconds?", type=float),
        "priority": typer.prompt("Which goes first, 0 before 1?", type=int, default=0),
    }


def _split(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]
