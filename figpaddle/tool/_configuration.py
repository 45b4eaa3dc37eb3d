"""The commands that change the configuration and show where it is in force."""

from __future__ import annotations

import pathlib
import sys
import time
import uuid
from typing import Annotated, Any, NoReturn

import httpx
import typer

from figpaddle.daemon._settings import load_yaml
from figpaddle.deployment import (
    MemberConfiguration,
    configuration_from_plain,
    generate,
    member_to_plain,
    read_answers,
)
from figpaddle.errors import DocumentError
from figpaddle.tool._client import CALL_TIMEOUT_S, InstanceOption, TokenOption, call
from figpaddle.tool._output import (
    EXIT_INVALID,
    EXIT_TIMEOUT,
    EXIT_UNREACHABLE,
    Output,
    OutputOption,
    fail_document,
    print_rows,
)

#: Interval between looks at the instances, seconds.
POLL_S = 0.3
#: Pause before a change whose answer was lost is sent again, seconds.
RESEND_PAUSE_S = 0.5
#: Exit code when another change was accepted first.
EXIT_CONFLICT = 5

app = typer.Typer()


@app.command()
def apply(
    instance: InstanceOption,
    token: TokenOption,
    answers: Annotated[pathlib.Path | None, typer.Option(help="Answers of one team.")] = None,
    configuration: Annotated[
        pathlib.Path | None, typer.Option(help="Generated configuration.")
    ] = None,
    member: Annotated[str | None, typer.Option(help="Member to take from the file.")] = None,
    base: Annotated[int | None, typer.Option(help="Revision that the change is based on.")] = None,
    command_id: Annotated[str | None, typer.Option(help="Id of the change, for a resend.")] = None,
    timeout_s: Annotated[float, typer.Option(help="Longest wait, seconds.")] = 30.0,
    output: OutputOption = Output.TABLE,
) -> None:
    """Put a member's configuration in force and wait until every reachable instance has it."""
    deadline = time.monotonic() + timeout_s
    for wanted in _read(answers, configuration, member):
        revision = _submit(instance, token, wanted, base, command_id, deadline)
        rows, missing = _wait(instance, token, wanted.name, revision, deadline)
        print_rows(rows, output=output)
        if missing:
            print(f"not in force at: {', '.join(missing)}", file=sys.stderr)
            raise typer.Exit(EXIT_TIMEOUT)


@app.command("configuration")
def configuration_command(
    instance: InstanceOption, token: TokenOption, output: OutputOption = Output.TABLE
) -> None:
    """Show which revision is in force at which instance."""
    found = call("GET", instance, "/v1/configuration/instances", token=token).json()
    rows = [
        {
            "instance": row["instance"],
            "zone": row["zone"],
            "reachable": row["reachable"],
            "revision": row["revision"],
            "digest": row["digest"],
            **({"members": row["members"]} if output is Output.JSON else _columns(row)),
        }
        for row in found
    ]
    print_rows(rows, output=output)


def _columns(row: dict[str, Any]) -> dict[str, str]:
    pairs = [f"{name}={revision}" for name, revision in row["members"].items()]
    return {"members": " ".join(pairs)}


def _read(
    answers: pathlib.Path | None, configuration: pathlib.Path | None, member: str | None
) -> tuple[MemberConfiguration, ...]:
    try:
        if answers is not None:
            return (generate(read_answers(load_yaml(answers), document=str(answers))).member,)
        if configuration is not None:
            found = configuration_from_plain(load_yaml(configuration), document=str(configuration))
            wanted = tuple(one for one in found.members if member in (None, one.name))
            if wanted:
                return wanted
    except DocumentError as error:
        fail_document(error)
    print("give --answers or --configuration with the member", file=sys.stderr)
    raise typer.Exit(EXIT_INVALID)


def _submit(
    instance: str,
    token: str,
    wanted: MemberConfiguration,
    base: int | None,
    command_id: str | None,
    deadline: float,
) -> int:
    plain = {
        "command_id": command_id or uuid.uuid4().hex,
        "base_revision": _base(instance, token, wanted.name) if base is None else base,
        "configuration": member_to_plain(wanted),
    }
    print(f"command id {plain['command_id']}", file=sys.stderr)
    while True:
        answer = _put(instance, token, wanted.name, plain)
        if answer is not None and answer.is_success:
            revision: int = answer.json()["revision"]
            return revision
        lost = answer is None or answer.status_code == httpx.codes.SERVICE_UNAVAILABLE
        if lost and time.monotonic() < deadline:
            time.sleep(RESEND_PAUSE_S)
            continue
        _fail(answer)


def _put(instance: str, token: str, member: str, plain: dict[str, Any]) -> httpx.Response | None:
    try:
        return httpx.put(
            f"http://{instance}/v1/configuration/{member}",
            headers={"authorization": f"Bearer {token}"},
            json=plain,
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
        )
    except httpx.HTTPError:
        return None


def _fail(answer: httpx.Response | None) -> NoReturn:
    print("no answer" if answer is None else answer.text, file=sys.stderr)
    conflict = answer is not None and answer.status_code == httpx.codes.CONFLICT
    raise typer.Exit(EXIT_CONFLICT if conflict else EXIT_UNREACHABLE)


def _base(instance: str, token: str, member: str) -> int:
    page = call("GET", instance, "/v1/configuration", token=token).json()
    revision: int = page["members"].get(member, {"revision": 0})["revision"]
    return revision


def _wait(
    instance: str, token: str, member: str, revision: int, deadline: float
) -> tuple[list[dict[str, Any]], list[str]]:
    """Return a row for each instance, and the reachable ones that lack the revision in time."""
    while True:
        found = call("GET", instance, "/v1/configuration/instances", token=token).json()
        rows = [_row(row, member, revision) for row in found]
        missing = [str(row["instance"]) for row in rows if row["state"] == "waiting"]
        if not missing or time.monotonic() >= deadline:
            return rows, missing
        time.sleep(POLL_S)


def _row(row: dict[str, Any], member: str, revision: int) -> dict[str, Any]:
    has = row["members"].get(member, 0) >= revision
    reached = "in force" if has else "waiting"
    return {
        "instance": row["instance"],
        "zone": row["zone"],
        "member": member,
        "revision": row["members"].get(member),
        "state": reached if row["reachable"] else "unreachable",
    }
