"""The ``figpaddled`` program."""

from __future__ import annotations

import pathlib
import signal
import sys
from typing import Annotated

import anyio
import typer

from figpaddle.daemon._instance import Instance
from figpaddle.daemon._settings import load_settings
from figpaddle.errors import DocumentError, StorageError
from figpaddle.telemetry import BoundedWriter, make_log

#: Exit code if the settings or a file that they name can't be used.
EXIT_INVALID = 2
#: Interval at which buffered log lines are written, seconds.
LOG_INTERVAL_S = 0.1


def run(
    settings: Annotated[
        pathlib.Path, typer.Option(help="YAML file with the settings of the process.")
    ],
) -> None:
    """Run one figpaddle instance until a signal or an operator stops it."""
    try:
        loaded = load_settings(settings)
        writer = BoundedWriter(descriptor=sys.stdout.fileno())
        log = make_log(instance=loaded.instance, writer=writer)
        instance = Instance(settings=loaded, log=log)
    except DocumentError as error:
        for fault in error.faults:
            print(f"{error.where}: {fault}", file=sys.stderr)
        raise typer.Exit(EXIT_INVALID) from error
    except StorageError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(EXIT_INVALID) from error
    try:
        anyio.run(_run_with_log, instance, writer)
    finally:
        writer.write_available()


async def _run_with_log(instance: Instance, writer: BoundedWriter) -> None:
    """Run an instance; a reader of its log that is slow or has ended costs only log lines."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_write_log, writer)
        await instance.run()
        tasks.cancel_scope.cancel()


async def _write_log(writer: BoundedWriter) -> None:
    while True:
        writer.write_available()
        await anyio.sleep(LOG_INTERVAL_S)


def main() -> None:
    """Run the command-line program."""
    # By default the signal would end the process; a running instance logs it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(run)
    app()
