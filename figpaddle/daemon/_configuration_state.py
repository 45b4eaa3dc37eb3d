"""The configuration in force in this process; its revision only rises."""

from __future__ import annotations

from figpaddle.deployment import Configuration


class ConfigurationState:
    """Holds the newest configuration that the process has seen."""

    def __init__(self) -> None:
        self._current = Configuration(revision=0, members=())
        self._digest_of: Configuration | None = None
        self._digest = ""

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._current

    @property
    def digest(self) -> str:
        """Digest of the configuration in force."""
        if self._digest_of is not self._current:
            self._digest_of = self._current
            self._digest = self._current.digest()
        return self._digest

    def install(self, configuration: Configuration) -> bool:
        """Put ``configuration`` in force if it is newer; return whether it was."""
        if configuration.revision <= self._current.revision:
            return False
        self._current = configuration
        return True
