"""The instance process: its ports, its links to other instances and its durable state."""

from figpaddle.daemon._main import main
from figpaddle.daemon._settings import Settings, load_settings, load_yaml

__all__ = ["Settings", "load_settings", "load_yaml", "main"]
