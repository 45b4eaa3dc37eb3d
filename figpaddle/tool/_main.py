"""The ``figpaddle`` command-line tool for operators."""

from __future__ import annotations

import typer

from figpaddle.tool import (
    _configuration,
    _explain,
    _generate,
    _inspect,
    _outcomes,
    _preview,
    _send,
    _stop,
)

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Operate figpaddle: generate a configuration, inspect and stop instances, send requests.",
)

for command_group in (
    _configuration,
    _explain,
    _generate,
    _inspect,
    _outcomes,
    _preview,
    _send,
    _stop,
):
    app.add_typer(command_group.app)


def main() -> None:
    """Entry point of ``figpaddle``."""
    app()
