"""Creates and connects the objects that store, change and distribute the configuration."""

from __future__ import annotations

import random
from collections.abc import Callable

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._change_submitter import ChangeSubmitter
from figpaddle.daemon._component import Component
from figpaddle.daemon._configuration_distribution import ConfigurationDistribution
from figpaddle.daemon._configuration_port import ConfigurationPort
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.daemon._persisted_configuration import PersistedConfiguration
from figpaddle.daemon._settings import Settings, load_yaml
from figpaddle.daemon._voter import Voter
from figpaddle.deployment import Configuration, VersionedConfiguration, configuration_from_plain
from figpaddle.telemetry import Log


def bootstrap_configuration(settings: Settings) -> Configuration:
    """Return the configuration file named in the settings, or an empty configuration."""
    if settings.configuration is None:
        return Configuration(revision=0, members=())
    plain = load_yaml(settings.configuration)
    return configuration_from_plain(plain, document=str(settings.configuration))


def initial_configuration(settings: Settings) -> ConfigurationState:
    """Return the configuration state at the start of the process.

    Without voters the file named in the settings is in force. With voters that file may be
    outdated, so only a configuration stored in the data folder is used; an instance without one
    requests it from its peers.
    """
    bootstrap = bootstrap_configuration(settings)
    if not settings.control.voters:
        state = ConfigurationState()
        state.install(bootstrap)
        return state
    state = ConfigurationState(confirmed_by_quorum=True)
    if settings.data_folder is not None:
        persisted = PersistedConfiguration(folder=settings.data_folder).load()
        if persisted is not None:
            state.install_versioned(persisted)
    return state


class Control:
    """The control plane of one process: voter, distribution and operator endpoints."""

    def __init__(
        self,
        *,
        settings: Settings,
        state: ConfigurationState,
        directory: InstanceDirectory,
        network: PeerNetwork,
        rng: random.Random,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        voters = settings.control.voters
        folder = settings.data_folder
        self._enabled = bool(voters)
        self._voter: Voter | None = None
        if folder is not None and settings.instance in voters:
            self._voter = Voter(
                name=settings.instance,
                voters=voters,
                folder=folder,
                bootstrap=VersionedConfiguration.bootstrap(bootstrap_configuration(settings)),
                network=network,
                rng=rng,
                clock=clock,
                log=log,
            )
        self._distribution = ConfigurationDistribution(
            state=state,
            persisted=None if folder is None else PersistedConfiguration(folder=folder),
            voter=self._voter,
            voters=voters,
            directory=directory,
            network=network,
            rng=rng,
            clock=clock,
            log=log,
        )
        submitter = ChangeSubmitter(
            voter=self._voter,
            own_name=settings.instance,
            voters=voters,
            network=network,
            rng=rng,
            clock=clock,
        )
        #: The operators' endpoints for the configuration.
        self.configuration_port = ConfigurationPort(
            state=state,
            distribution=self._distribution,
            submitter=submitter,
            directory=directory,
            network=network,
        )

    @property
    def components(self) -> tuple[Component, ...]:
        """Components to run; none if no voters are configured."""
        if not self._enabled:
            return ()
        voter = () if self._voter is None else (self._voter,)
        return (*voter, self._distribution)
