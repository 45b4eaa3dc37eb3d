"""The configuration in force in this process."""

from __future__ import annotations

from figpaddle.deployment import Configuration, VersionedConfiguration
from figpaddle.errors import ConfigurationMissingError

#: Time for which a confirmation by a quorum allows forwarding between regions, seconds.
CONFIRMATION_TTL_S = 10.0


class ConfigurationState:
    """Holds the newest configuration received so far; its revision never decreases.

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
        """The configuration in force, with the revision and author of each member's part."""
        return self._versioned

    @property
    def confirmed_at(self) -> float | None:
        """Time at which a quorum last confirmed that no newer revision was committed, seconds."""
        return self._confirmed_at

    @property
    def digest(self) -> str:
        """Digest of the configuration in force, computed once for each revision."""
        if self._digested_configuration is not self._current:
            self._digested_configuration = self._current
            self._digest = self._current.digest()
        return self._digest

    def install(self, configuration: Configuration) -> bool:
        """Put ``configuration`` in force if it is newer; return whether it is."""
        return self.install_versioned(VersionedConfiguration.bootstrap(configuration))

    def install_versioned(self, versioned: VersionedConfiguration) -> bool:
        """Put ``versioned`` in force if it is newer; return whether it is."""
        if versioned.revision <= self._versioned.revision:
            return False
        self._versioned = versioned
        self._current = versioned.configuration
        return True

    def confirm(self, confirmed_at: float) -> None:
        """Record that no newer revision was committed at the time ``confirmed_at``."""
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def require_installed(self, *, instance: str) -> None:
        """Raise ConfigurationMissingError if no configuration was received yet."""
        if self._versioned.revision == 0:
            raise ConfigurationMissingError(instance=instance)

    def allows_cross_region(self, now: float) -> bool:
        """Return whether requests may be forwarded between regions now.

        A configuration that no quorum has confirmed for CONFIRMATION_TTL_S may be outdated.
        Without voters the configuration is fixed and needs no confirmation.
        """
        if not self._confirmed_by_quorum:
            return True
        return self._confirmed_at is not None and now - self._confirmed_at <= CONFIRMATION_TTL_S
