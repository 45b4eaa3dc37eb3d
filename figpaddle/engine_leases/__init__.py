"""How much of each model engine an entry may use: leases granted by one account for each engine."""

from figpaddle.engine_leases._account import ACTIVE_S, LEASE_S, EngineAccount
from figpaddle.engine_leases._book import (
    ASK_INTERVAL_S,
    EngineState,
    LeaseBook,
    LeasedRequest,
)
from figpaddle.engine_leases._division import divide
from figpaddle.engine_leases._exchange import AskedEngine, LeaseExchange, LeaseSurroundings
from figpaddle.engine_leases._lease import EngineLease, HeldLease
from figpaddle.engine_leases._owners import account_owner
from figpaddle.engine_leases._pace import EngineUse, PaceEstimate, owed_gap_s

__all__ = [
    "ACTIVE_S",
    "ASK_INTERVAL_S",
    "LEASE_S",
    "AskedEngine",
    "EngineAccount",
    "EngineLease",
    "EngineState",
    "EngineUse",
    "HeldLease",
    "LeaseBook",
    "LeaseExchange",
    "LeaseSurroundings",
    "LeasedRequest",
    "PaceEstimate",
    "account_owner",
    "divide",
    "owed_gap_s",
]
