"""Messages about requests that may crash backend servers."""

from __future__ import annotations

import dataclasses

from figpaddle.wire._codec import Message, message


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendLoss:
    """One process of a backend server that died while it ran a request."""

    #: Name of the backend server.
    backend: str
    #: Its incarnation.
    incarnation: int
    #: Time since the loss was noticed, seconds.
    age_s: float
    #: Whether the loss no longer counts against the request.
    pardoned: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectRecord:
    """What is held against one request."""

    #: Member whose request it is.
    member: str
    #: Keyed digest of the request's content.
    digest: bytes
    #: Backend servers lost while they ran it.
    losses: tuple[BackendLoss, ...]


@message("quarantine.news")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectNews(Message):
    """Records that changed at the sender, or all that it has."""

    #: The records.
    records: tuple[SuspectRecord, ...]


@message("quarantine.slot")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectSlot(Message):
    """Asks for, or gives back, the right to run one suspect on a backend server."""

    #: Name of the backend server.
    backend: str
    #: Digest of the suspect.
    digest: bytes
    #: Whether the slot is given back.
    release: bool = False


@message("quarantine.slot_reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectSlotReply(Message):
    """Whether the slot was granted."""

    #: False while another suspect has it.
    granted: bool
