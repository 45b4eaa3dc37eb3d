"""Runs the tool as ``python -m figpaddle.tool``."""

from figpaddle.tool import main

main()
