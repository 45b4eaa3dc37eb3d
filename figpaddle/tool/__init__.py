"""The command-line tool for operators."""

from figpaddle.tool._main import main

__all__ = ["main"]
