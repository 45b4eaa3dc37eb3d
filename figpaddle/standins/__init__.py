"""Small stand-ins for the served systems: an engine and an application service."""

from figpaddle.standins._engine import Engine
from figpaddle.standins._main import main
from figpaddle.standins._records import RecordsService

__all__ = ["Engine", "RecordsService", "main"]
