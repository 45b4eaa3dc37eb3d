"""The commands that change the configuration and show its revision at each instance."""

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
    EXIT_REQUEST_FAILED,
    EXIT_TIMEOUT,
    Output,
    OutputOption,
    exit_with_faults,
    print_rows,
)

#: Interval at which the instances are polled for the new revision.
POLL_INTERVAL_S = 0.3
#: Delay before a change is sent again after a 503 response or none.
RETRY_DELAY_S = 0.5
#: Exit code when another change was accepted since the base revision.
EXIT_CONFLICT = 5

app = typer.Typer()


@app.command()
def apply(
    instance: InstanceOption,
    token: TokenOption,
    answers: Annotated[
        pathlib.Path | None, typer.Option(help="File with one team's answers.")
    ] = None,
    configuration: Annotated[
        pathlib.Path | None, typer.Option(help="File with a generated configuration.")
    ] = None,
    member: Annotated[
        str | None, typer.Option(help="Member of the file to apply; default: all.")
    ] = None,
    base: Annotated[int | None, typer.Option(help="Revision that the change is based on.")] = None,
    command_id: Annotated[
        str | None, typer.Option(help="Command id, for a retry of the same change.")
    ] = None,
    timeout_s: Annotated[float, typer.Option(help="Longest time to wait, seconds.")] = 30.0,
    output: OutputOption = Output.TABLE,
) -> None:
    """Apply a member's configuration and wait until every reachable instance uses it."""
    deadline = time.monotonic() + timeout_s
    for member_configuration in _read_members(answers, configuration, member):
        revision = _submit(instance, token, member_configuration, base, command_id, deadline)
        rows, lagging = _wait_until_applied(
            instance, token, member_configuration.name, revision, deadline
        )
        print_rows(rows, output=output)
        if lagging:
            print(f"not in force at: {', '.join(lagging)}", file=sys.stderr)
            raise typer.Exit(EXIT_TIMEOUT)


@app.command("configuration")
def configuration_command(
    instance: InstanceOption, token: TokenOption, output: OutputOption = Output.TABLE
) -> None:
    """Show the revision that each instance uses."""
    instances = call("GET", instance, "/v1/configuration/instances", token=token).json()
    rows = [
        {
            "instance": row["instance"],
            "zone": row["zone"],
            "reachable": row["reachable"],
            "revision": row["revision"],
            "digest": row["digest"],
            **({"members": row["members"]} if output is Output.JSON else _member_columns(row)),
        }
        for row in instances
    ]
    print_rows(rows, output=output)


def _member_columns(row: dict[str, Any]) -> dict[str, str]:
    revisions = [f"{name}={revision}" for name, revision in row["members"].items()]
    return {"members": " ".join(revisions)}


def _read_members(
    answers: pathlib.Path | None, configuration: pathlib.Path | None, member: str | None
) -> tuple[MemberConfiguration, ...]:
    try:
        if answers is not None:
            return (generate(read_answers(load_yaml(answers), document=str(answers))).member,)
        if configuration is not None:
            loaded = configuration_from_plain(load_yaml(configuration), document=str(configuration))
            selected = tuple(item for item in loaded.members if member in (None, item.name))
            if selected:
                return selected
    except DocumentError as error:
        exit_with_faults(error)
    print("specify --answers, or a --configuration that contains the member", file=sys.stderr)
    raise typer.Exit(EXIT_INVALID)


def _submit(
    instance: str,
    token: str,
    member_configuration: MemberConfiguration,
    base: int | None,
    command_id: str | None,
    deadline: float,
) -> int:
    body = {
        "command_id": command_id or uuid.uuid4().hex,
        "base_revision": (
            _current_revision(instance, token, member_configuration.name) if base is None else base
        ),
        "configuration": member_to_plain(member_configuration),
    }
    print(f"command id {body['command_id']}", file=sys.stderr)
    while True:
        response = _put(instance, token, member_configuration.name, body)
        if response is not None and response.is_success:
            revision: int = response.json()["revision"]
            return revision
        is_retryable = response is None or response.status_code == httpx.codes.SERVICE_UNAVAILABLE
        if is_retryable and time.monotonic() < deadline:
            time.sleep(RETRY_DELAY_S)
            continue
        _exit_with_error(response)


def _put(instance: str, token: str, member: str, body: dict[str, Any]) -> httpx.Response | None:
    try:
        return httpx.put(
            f"http://{instance}/v1/configuration/{member}",
            headers={"authorization": f"Bearer {token}"},
            json=body,
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
        )
    except httpx.HTTPError:
        return None


def _exit_with_error(response: httpx.Response | None) -> NoReturn:
    print("no response" if response is None else response.text, file=sys.stderr)
    conflict = response is not None and response.status_code == httpx.codes.CONFLICT
    raise typer.Exit(EXIT_CONFLICT if conflict else EXIT_REQUEST_FAILED)


def _current_revision(instance: str, token: str, member: str) -> int:
    document = call("GET", instance, "/v1/configuration", token=token).json()
    revision: int = document["members"].get(member, {"revision": 0})["revision"]
    return revision


def _wait_until_applied(
    instance: str, token: str, member: str, revision: int, deadline: float
) -> tuple[list[dict[str, Any]], list[str]]:
    """Wait until all reachable instances have applied the revision, or until the deadline.

    Returns a table row for each instance and the names of the reachable ones that have not.
    """
    while True:
        instances = call("GET", instance, "/v1/configuration/instances", token=token).json()
        rows = [_revision_row(row, member, revision) for row in instances]
        lagging = [str(row["instance"]) for row in rows if row["state"] == "waiting"]
        if not lagging or time.monotonic() >= deadline:
            return rows, lagging
        time.sleep(POLL_INTERVAL_S)


def _revision_row(row: dict[str, Any], member: str, revision: int) -> dict[str, Any]:
    is_applied = row["members"].get(member, 0) >= revision
    state = "in force" if is_applied else "waiting"
    return {
        "instance": row["instance"],
        "zone": row["zone"],
        "member": member,
        "revision": row["members"].get(member),
        "state": state if row["reachable"] else "unreachable",
    }
