"""At-most-once execution of non-idempotent requests: the decision logic, without any I/O.

A region has a fixed list of slots, and each slot's records are stored by a ``Holder``. An entry
instance runs one ``Coordinator`` for each request that it receives, and sends the request to a
backend server only after ``Granted``.
"""

from figpaddle.ledger._coordinator import (
    Coordinator,
    Decision,
    Granted,
    KeyTaken,
    SlotRequest,
    Unavailable,
)
from figpaddle.ledger._holder import Holder, HolderOutput, HolderSettings, RecoveredSlot
from figpaddle.ledger._quorum import majority, recovery_size
from figpaddle.ledger._storage import LedgerStorage, NoStorage

__all__ = [
    "SlotRequest",
    "Coordinator",
    "Decision",
    "Granted",
    "Holder",
    "HolderSettings",
    "LedgerStorage",
    "NoStorage",
    "RecoveredSlot",
    "KeyTaken",
    "HolderOutput",
    "Unavailable",
    "majority",
    "recovery_size",
]
