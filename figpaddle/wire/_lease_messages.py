"""Messages about leases of engines, between the entries of a region."""

from __future__ import annotations

import dataclasses

from figpaddle.wire._codec import Message, message


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineLeaseItem:
    """What an entry states of its use of one engine, by class from 0, the most urgent."""

    #: Name of the engine, and its service.
    engine: str
    service: str
    #: Requests that the engine runs at once, and prompt tokens that it reads a second.
    slots: int
    speed: float
    #: Prompt tokens and streams a second that the entry would begin there, and the former as it has begun.
    prompt_per_s: tuple[float, ...]
    starts_per_s: tuple[float, ...]
    begun_per_s: tuple[float, ...]
    #: Streams that it has there, the mean time between their events and their mean duration, seconds.
    streams: int
    gap_s: float
    stream_s: float
    #: Time between events that its streams are owed, seconds; infinity where nothing is.
    owed_s: tuple[float, ...]
    #: Class of one request that waits for a loan beyond the leases, and its prompt tokens; None for none.
    borrower: int | None = None
    borrowed_tokens: float = 0.0


@message("regional.lease_ask")
@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineLeaseAsk(Message):
    """Asks the keeper of the accounts of engines for leases."""

    #: Name of the entry, the start of its process in milliseconds of Unix time, and its number of the question.
    sender: str
    incarnation: int
    number: int
    items: tuple[EngineLeaseItem, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class GrantedLease:
    """A lease of one engine; rates by class from 0, the most urgent."""

    engine: str
    service: str
    #: Prompt tokens and streams a second that may begin.
    prompt_per_s: tuple[float, ...]
    starts_per_s: tuple[float, ...]
    #: Time from the question until the lease ends, seconds.
    life_s: float
    #: Whether the request that waits for a loan may begin.
    lent: bool = False


@message("regional.lease_grant")
@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineLeaseGrant(Message):
    """Answers an EngineLeaseAsk; engines whose account the sender doesn't keep are absent."""

    sender: str
    #: Start of the process that asked, and the number of its question.
    incarnation: int
    number: int
    items: tuple[GrantedLease, ...]
