"""Runs a stand-in as ``python -m figpaddle.standins``."""

from figpaddle.standins import main

main()
