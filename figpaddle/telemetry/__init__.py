"""Structured logging and metrics."""

from figpaddle.telemetry._logs import Log, make_log
from figpaddle.telemetry._metrics import MetricsRegistry
from figpaddle.telemetry._writer import BoundedWriter

__all__ = ["BoundedWriter", "Log", "MetricsRegistry", "make_log"]
