"""Runs ``figpaddled`` as ``python -m figpaddle.daemon``."""

from figpaddle.daemon import main

main()
