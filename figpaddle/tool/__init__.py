"""The operators' command-line tool."""

from figpaddle.tool._main import main

__all__ = ["main"]
