"""Runs a stand-in backend server as ``python -m figpaddle.standins``."""

from figpaddle.standins import main

main()
