"""The ``figpaddled`` program."""

from __future__ import annotations

import pathlib
import sys
from typing import Annotated

import anyio
import typer

from figpaddle.daemon._instance import Instance
from figpaddle.daemon._settings import load_settings
from figpaddle.errors import DocumentError, StorageError
from figpaddle.telemetry import make_log

#: Exit code if the settings or a file that they name can't be used.
EXIT_INVALID = 2


def run(
    settings: Annotated[
        pathlib.Path, typer.Option(help="YAML file with the settings of the process.")
    ],
) -> None:
    """Run one figpaddle instance until a signal or an operator stops it."""
    try:
        loaded = load_settings(settings)
        log = make_log(instance=loaded.instance)
        instance = Instance(settings=loaded, log=log)
    except DocumentError as error:
        for fault in error.faults:
            print(f"{error.where}: {fault}", file=sys.stderr)
        raise typer.Exit(EXIT_INVALID) from error
    except StorageError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(EXIT_INVALID) from error
    anyio.run(instance.run)


def main() -> None:
    """Run the command-line program."""
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(run)
    app()
