"""Commands that generate and check a configuration."""

from __future__ import annotations

import pathlib
from typing import Annotated, Any

import typer
import yaml

from figpaddle.daemon import load_yaml
from figpaddle.deployment import (
    Configuration,
    GeneratedConfiguration,
    configuration_from_plain,
    configuration_to_plain,
    generate,
    read_answers,
)
from figpaddle.errors import DocumentError
from figpaddle.tool._output import exit_with_faults

app = typer.Typer()

AnswersOption = Annotated[
    list[pathlib.Path], typer.Option(help="File with one team's answers; may be repeated.")
]
FileOption = Annotated[pathlib.Path | None, typer.Option(help="File to write.")]


@app.command("generate")
def generate_command(
    answers: AnswersOption,
    output: FileOption = None,
    explain: Annotated[
        bool, typer.Option(help="Show the question that each setting was derived from.")
    ] = False,
) -> None:
    """Generate a configuration from answers to the questionnaire."""
    configuration = Configuration(revision=0, members=())
    for path in answers:
        generated = _generate_member(path)
        revision = configuration.revision + 1
        configuration = configuration.with_member(generated.member, revision=revision)
        if explain:
            _print_explanations(generated)
    text = yaml.safe_dump(configuration_to_plain(configuration), sort_keys=False)
    if output is not None:
        output.write_text(text, encoding="utf-8")
    elif not explain:
        print(text, end="")


@app.command()
def check(
    configuration: Annotated[pathlib.Path, typer.Argument(help="Configuration file.")],
) -> None:
    """Validate a configuration and print every fault with its path."""
    try:
        parsed = configuration_from_plain(load_yaml(configuration), document=str(configuration))
    except DocumentError as error:
        exit_with_faults(error)
    print(f"revision={parsed.revision} digest={parsed.digest()} members={len(parsed.members)}")


@app.command()
def questionnaire(
    output: Annotated[pathlib.Path, typer.Option(help="File to write the answers to.")],
    answers: Annotated[
        pathlib.Path | None, typer.Option(help="File with answers to validate instead of asking.")
    ] = None,
) -> None:
    """Ask the questions of a new team, validate its answers and write them to a file."""
    raw_answers = load_yaml(answers) if answers is not None else _ask_questions()
    try:
        parsed = read_answers(raw_answers, document=str(answers or "answers"))
    except DocumentError as error:
        exit_with_faults(error)
    text = yaml.safe_dump(parsed.model_dump(mode="json"), sort_keys=False)
    output.write_text(text, encoding="utf-8")
    print(f"wrote {output}; next: figpaddle generate --answers {output} --explain")


def _generate_member(path: pathlib.Path) -> GeneratedConfiguration:
    try:
        return generate(read_answers(load_yaml(path), document=str(path)))
    except DocumentError as error:
        exit_with_faults(error)


def _print_explanations(generated: GeneratedConfiguration) -> None:
    for explanation in generated.explanations:
        print(f"{explanation.path} = {explanation.value}  # {explanation.question}")


def _ask_questions() -> dict[str, Any]:
    member = typer.prompt("What is the name of the member?")
    regions = _split_list(
        typer.prompt("Which regions may hold the member's data (separated by commas)?")
    )
    services = []
    while True:
        services.append(_ask_service())
        if not typer.confirm("Add another service?", default=False):
            break
    importance = {
        name: typer.prompt(f"How important is {text} (little, some, much)?", default="some")
        for name, text in (
            ("cost", "the cost of serving"),
            ("tail", "the tail latency (p99)"),
            ("sent_away", "serving requests in their own region"),
        )
    }
    share = typer.prompt("Which fraction of the shared capacity was agreed (0 to 1)?", type=float)
    return {
        "member": member,
        "regions": regions,
        "services": services,
        "importance": importance,
        "share": share,
    }


def _ask_service() -> dict[str, Any]:
    return {
        "name": typer.prompt("What is the name of the service?"),
        "kind": typer.prompt("Is it a model or an application?"),
        "repeatable": typer.confirm("Is it safe to repeat a call that changes data?"),
        "deadline_s": typer.prompt(
            "What is the deadline for the first byte, in seconds?", type=float
        ),
        "priority": typer.prompt("What is its priority (0 is served first)?", type=int, default=0),
    }


def _split_list(text: str) -> list[str]:
    return [item.strip() for item in text.split(",") if item.strip()]
