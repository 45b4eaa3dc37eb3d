"""Messages about requests that may crash backend servers."""

from __future__ import annotations

import dataclasses

from figpaddle.wire._codec import Message, message


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendLoss:
    """A crash of a backend server process while it ran a request."""

    #: Name of the backend server.
    backend: str
    #: Incarnation of the process.
    incarnation: int
    #: Time since the crash was detected, seconds.
    age_s: float
    #: Whether the crash no longer counts against the request.
    pardoned: bool
    #: Time since the request was sent, seconds; long ago from instances that don't report it.
    sent_age_s: float = 3600.0
    #: Region of the backend server; empty from instances that don't report it.
    region: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceAnswers:
    """Settled answers that one instance has counted itself, to requests with one digest."""

    #: Identity of the instance's process, drawn at its start.
    instance: int
    #: Answers since its start; only grows.
    total: int
    #: Those before the last loss that count, see ``CrashQuarantine``.
    before: float
    #: Those since the last loss that the sender of the record knows.
    since: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectRecord:
    """Crashes that one request, or requests with one prompt part, may have caused."""

    #: Member whose request it is.
    member: str
    #: Digest of the request's content or of the part.
    digest: bytes
    #: Backend server processes that crashed while they ran it.
    losses: tuple[BackendLoss, ...]
    #: Settled answers of the deployment to requests with the digest, as far as the sender knows.
    answers: int = 0
    #: Those of single instances, the sender first; none from instances that estimate the sum.
    stated: tuple[InstanceAnswers, ...] = ()


@message("quarantine.news")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectNews(Message):
    """Records that changed at the sender, or all of its records."""

    #: Records of whole requests.
    records: tuple[SuspectRecord, ...]
    #: Records of prompt parts; none from instances that don't keep them.
    parts: tuple[SuspectRecord, ...] = ()


@message("quarantine.slot")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectSlot(Message):
    """Acquires or releases the one slot that a backend server has for suspect requests.

    An acquisition is answered with a SuspectSlotReply.
    """

    #: Name of the backend server.
    backend: str
    #: Digest of the suspect request.
    digest: bytes
    #: True to release the slot, False to acquire it.
    release: bool = False


@message("quarantine.slot_reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectSlotReply(Message):
    """Reply to SuspectSlot."""

    #: Whether the slot was granted; False while another suspect request has it.
    granted: bool
