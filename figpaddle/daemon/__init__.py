"""The daemon: tasks for callers, backend servers, peers, operators and storage."""

from figpaddle.daemon._main import main
from figpaddle.daemon._settings import Settings, load_settings, load_yaml

__all__ = ["Settings", "load_settings", "load_yaml", "main"]
