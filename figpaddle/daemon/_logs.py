"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import sys

import structlog

Log = structlog.typing.FilteringBoundLogger


def make_log(*, instance: str) -> Log:
    """Return the logger of the process; every line names the instance."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["time", "level", "event"]),
        ],
        logger_factory=structlog.PrintLoggerFactory(file=sys.stdout),
        cache_logger_on_first_use=True,
    )
    log: Log = structlog.get_logger().bind(instance=instance)
    return log
