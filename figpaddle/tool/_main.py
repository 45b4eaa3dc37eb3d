"""The ``figpaddle`` command-line tool for operators."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Annotated, Any

import httpx
import typer
import yaml

from figpaddle.daemon._settings import load_yaml
from figpaddle.deployment import (
    Configuration,
    configuration_to_plain,
    generate,
    read_answers,
)
from figpaddle.errors import DocumentError

#: Exit code for invalid input.
EXIT_INVALID = 2
#: Exit code when an instance refuses or can't be reached.
EXIT_UNREACHABLE = 3
#: Timeout of a call to an instance, seconds.
CALL_TIMEOUT_S = 10.0

app = typer.Typer(add_completion=False, no_args_is_help=True, help="Operate figpaddle.")

InstanceOption = Annotated[str, typer.Option(help="Operators' port of an instance, ip:port.")]
TokenOption = Annotated[str, typer.Option(help="Operator's token.", envvar="FIGPADDLE_TOKEN")]


@app.command("generate")
def generate_command(
    answers: Annotated[list[pathlib.Path], typer.Option(help="Answers; repeat for more teams.")],
    output: Annotated[pathlib.Path | None, typer.Option(help="File to write.")] = None,
    explain: Annotated[bool, typer.Option(help="Show which answer gave each line.")] = False,
) -> None:
    """Generate the configuration from the answers to the questionnaire."""
    configuration = Configuration(revision=0, members=())
    for path in answers:
        try:
            generated = generate(read_answers(load_yaml(path), document=str(path)))
        except DocumentError as error:
            for fault in error.faults:
                print(f"{error.where}: {fault}", file=sys.stderr)
            raise typer.Exit(EXIT_INVALID) from error
        revision = configuration.revision + 1
        configuration = configuration.with_member(generated.member, revision=revision)
        if explain:
            for line in generated.explanations:
                print(f"{line.path} = {line.value}  # {line.question}")
    text = yaml.safe_dump(configuration_to_plain(configuration), sort_keys=False)
    if output is not None:
        output.write_text(text, encoding="utf-8")
    elif not explain:
        print(text, end="")


@app.command()
def state(instance: InstanceOption, token: TokenOption) -> None:
    """Dump the state of one process as JSON."""
    print(json.dumps(_get(f"http://{instance}/v1/state", token), indent=2, ensure_ascii=False))


@app.command()
def entries(
    instance: Annotated[str, typer.Option(help="Callers' port of any instance, ip:port.")],
    key: Annotated[str, typer.Option(help="Client's key.", envvar="FIGPADDLE_KEY")],
) -> None:
    """Ask which entry instances a client should use."""
    answer = _get(f"http://{instance}/v1/entries", key)
    for entry in answer["entries"]:
        print(f"{entry['instance']}\t{entry['region']}\t{entry['address']}")


def _get(url: str, token: str) -> Any:
    try:
        response = httpx.get(
            url,
            headers={"authorization": f"Bearer {token}"},
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
        )
    except httpx.HTTPError as error:
        print(f"{url}: {error or type(error).__name__}", file=sys.stderr)
        raise typer.Exit(EXIT_UNREACHABLE) from error
    if response.status_code != httpx.codes.OK:
        print(f"{url}: {response.status_code} {response.text}", file=sys.stderr)
        raise typer.Exit(EXIT_UNREACHABLE)
    return response.json()


def main() -> None:
    """Entry point of ``figpaddle``."""
    app()
