"""Structured logging and metrics."""

from figpaddle.telemetry._counters import Counters
from figpaddle.telemetry._logs import Log, make_log
from figpaddle.telemetry._writer import BoundedWriter

__all__ = ["BoundedWriter", "Counters", "Log", "make_log"]
