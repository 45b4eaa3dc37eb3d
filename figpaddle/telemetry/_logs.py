"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import sys
from typing import TextIO, cast

import structlog

from figpaddle.telemetry._line_renderer import render_line
from figpaddle.telemetry._writer import BoundedWriter

Log = structlog.typing.FilteringBoundLogger


def make_log(*, instance: str, writer: BoundedWriter | None = None) -> Log:
    """Configure logging and return the logger of the process; every line contains ``instance``.

    Lines are written to ``writer`` or, without one, directly to standard output.
    """
    file = sys.stdout if writer is None else cast(TextIO, writer)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.format_exc_info,
            render_line,
        ],
        logger_factory=structlog.WriteLoggerFactory(file=file),
        cache_logger_on_first_use=True,
    )
    log: Log = structlog.get_logger().bind(instance=instance)
    return log
