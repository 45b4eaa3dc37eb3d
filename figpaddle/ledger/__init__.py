"""At-most-once execution of non-idempotent requests: the decision logic, without any I/O.

The ledger of a region is replicated: it has a fixed list of slots, each of which votes and stores
records through a ``Holder``. An entry instance runs one ``Coordinator`` for each attempt of a
non-idempotent request, and sends the request to a backend server only after ``Granted``.
"""

from figpaddle.ledger._coordinator import (
    Coordinator,
    Decision,
    Granted,
    KeyTaken,
    SlotRequest,
    Unavailable,
)
from figpaddle.ledger._digests import RequestDigests, is_same_request
from figpaddle.ledger._holder import Holder, HolderOutput, HolderSettings, RecoverySource
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
    "RecoverySource",
    "RequestDigests",
    "KeyTaken",
    "HolderOutput",
    "Unavailable",
    "is_same_request",
    "majority",
    "recovery_size",
]
