"""The configuration in force in this process; its revision only rises."""

from __future__ import annotations

from figpaddle.deployment import Configuration, VersionedConfiguration
from figpaddle.errors import ConfigurationMissingError

#: A configuration that no quorum has confirmed for this long moves nothing between regions, seconds.
CONFIRMATION_TTL_S = 10.0


class ConfigurationState:
    """Holds the newest configuration that the process has seen.

    >>> state = ConfigurationState()
    >>> state.install(Configuration(revision=2, members=()))
    True
    >>> state.install(Configuration(revision=1, members=()))
    False
    """

    def __init__(self, *, confirmed_by_quorum: bool = False) -> None:
        self._versioned = VersionedConfiguration()
        self._current = self._versioned.configuration
        self._confirmed_by_quorum = confirmed_by_quorum
        self._confirmed_at: float | None = None
        self._digested_configuration: Configuration | None = None
        self._digest = ""

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._current

    @property
    def versioned(self) -> VersionedConfiguration:
        """The configuration in force with the origin of its parts."""
        return self._versioned

    @property
    def confirmed_at(self) -> float | None:
        """When a quorum last confirmed that nothing newer was committed, seconds."""
        return self._confirmed_at

    @property
    def digest(self) -> str:
        """Digest of the configuration in force."""
        if self._digested_configuration is not self._current:
            self._digested_configuration = self._current
            self._digest = self._current.digest()
        return self._digest

    def install(self, configuration: Configuration) -> bool:
        """Put ``configuration`` in force if it is newer; return whether it was."""
        return self.install_versioned(VersionedConfiguration.bootstrap(configuration))

    def install_versioned(self, versioned: VersionedConfiguration) -> bool:
        """Put ``versioned`` in force if it is newer; return whether it was."""
        if versioned.revision <= self._versioned.revision:
            return False
        self._versioned = versioned
        self._current = versioned.configuration
        return True

    def confirm(self, at: float) -> None:
        """Note that nothing newer had been committed at ``at``."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def require_installed(self, *, instance: str) -> None:
        """Raise ConfigurationMissingError while there is no configuration."""
        if self._versioned.revision == 0:
            raise ConfigurationMissingError(instance=instance)

    def allows_cross_region(self, now: float) -> bool:
        """Return whether requests may pass between regions under this configuration.

        Without voters the configuration is fixed and needs no confirmation.
        """
        if not self._confirmed_by_quorum:
            return True
        return self._confirmed_at is not None and now - self._confirmed_at <= CONFIRMATION_TTL_S
