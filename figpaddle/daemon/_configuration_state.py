"""The configuration in force in this process; its revision only rises."""

from __future__ import annotations

from figpaddle.deployment import Configuration


class ConfigurationState:
    """Holds the newest configuration that the process has seen."""

    def __init__(self) -> None:
        self._current = Configuration(revision=0, members=())

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._current

    def install(self, configuration: Configuration) -> bool:
        """Put ``configuration`` in force if it is newer; return whether it was."""
        if configuration.revision <= self._current.revision:
            return False
        self._current = configuration
        return True
