"""Commands that show the state of an instance."""

from __future__ import annotations

import json

import typer

from figpaddle.tool._client import EntryOption, InstanceOption, KeyOption, TokenOption, call
from figpaddle.tool._output import Output, OutputOption, print_rows

app = typer.Typer()


@app.command()
def state(instance: InstanceOption, token: TokenOption) -> None:
    """Print the state of one process as JSON."""
    document = call("GET", instance, "/v1/state", token=token).json()
    print(json.dumps(document, indent=2, ensure_ascii=False))


@app.command()
def metrics(instance: InstanceOption, token: TokenOption) -> None:
    """Print the metrics of one process."""
    print(call("GET", instance, "/metrics", token=token).text, end="")


@app.command()
def instances(
    instance: InstanceOption, token: TokenOption, output: OutputOption = Output.TABLE
) -> None:
    """List the instances in the membership view of one process."""
    document = call("GET", instance, "/v1/state", token=token).json()
    print_rows(document["membership"]["instances"], output=output)


@app.command()
def backends(
    instance: InstanceOption, token: TokenOption, output: OutputOption = Output.TABLE
) -> None:
    """List the backend servers that one process knows in its region."""
    document = call("GET", instance, "/v1/state", token=token).json()
    columns = ("name", "services", "state", "age_s")
    rows = [{name: backend[name] for name in columns} for backend in document["backends"]]
    print_rows(rows, output=output)


@app.command()
def entries(entry: EntryOption, key: KeyOption, output: OutputOption = Output.TABLE) -> None:
    """List the entry instances that a client should use, in order of preference."""
    document = call("GET", entry, "/v1/entries", token=key).json()
    print_rows(document["entries"], output=output)
