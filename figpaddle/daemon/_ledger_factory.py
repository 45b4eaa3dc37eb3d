"""Creates the ledger objects from the settings of the process."""

from __future__ import annotations

import time
from collections.abc import Callable

from figpaddle.daemon._at_most_once import AtMostOnce
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._ledger_client import LedgerClient
from figpaddle.daemon._ledger_host import LedgerHost
from figpaddle.daemon._ledger_storage import FileLedgerStorage
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.daemon._settings import Settings
from figpaddle.ledger import HolderSettings, LedgerStorage, NoStorage
from figpaddle.telemetry import Log


def make_ledger_host(
    settings: Settings, *, configuration: ConfigurationState, network: PeerNetwork, log: Log
) -> LedgerHost | None:
    """Return the host of this instance's ledger slot, or None if it has no slot."""
    slots = settings.ledger.holders.get(settings.region, ())
    if settings.instance not in slots:
        return None
    voting_from = settings.ledger.voting_from
    holder = HolderSettings(
        slot=settings.instance,
        slots=slots,
        retention_s=settings.ledger.retention_s,
        voting_from=voting_from.timestamp() if voting_from is not None else None,
    )
    return LedgerHost(
        settings=holder,
        storage=_storage(settings, slots),
        configuration=configuration,
        region=settings.region,
        network=network,
        wall_clock=time.time,
        log=log,
    )


def _storage(settings: Settings, slots: tuple[str, ...]) -> LedgerStorage:
    if settings.data_folder is None:
        return NoStorage()
    return FileLedgerStorage(folder=settings.data_folder, slot=settings.instance, slots=slots)


def make_at_most_once(
    settings: Settings,
    *,
    configuration: ConfigurationState,
    network: PeerNetwork,
    host: LedgerHost | None,
    clock: Callable[[], float],
    log: Log,
) -> AtMostOnce:
    """Return the handler of non-idempotent requests."""
    client = LedgerClient(
        own_name=settings.instance,
        holders=settings.ledger.holders,
        host=host,
        network=network,
    )
    return AtMostOnce(
        client=client,
        configuration=configuration,
        own_region=settings.region,
        answer_bytes=settings.ledger.answer_bytes,
        clock=clock,
        wall_clock=time.time,
        log=log,
    )
