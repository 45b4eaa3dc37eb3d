"""Messages of the membership protocol, each exchanged on a connection of its own."""

from __future__ import annotations

import dataclasses

from figpaddle.wire._codec import Message, message
from figpaddle.wire._messages import InstanceInfo


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberNews:
    """What the sender knows of one instance."""

    #: The instance as the sender knows it.
    info: InstanceInfo
    #: Whether the instance is suspected to be dead.
    suspected: bool = False


@message("membership.ping")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Ping(Message):
    """Asks whether ``target`` runs at this address; answered by an Ack."""

    #: Name of the sender.
    sender: str
    #: Name of the instance that is meant.
    target: str
    #: News that spreads along.
    news: tuple[MemberNews, ...]


@message("membership.indirect")
@dataclasses.dataclass(frozen=True, kw_only=True)
class IndirectPing(Message):
    """Asks the receiver to ping ``target`` and to tell whether it answered."""

    #: Name of the sender.
    sender: str
    #: Name of the instance to ping.
    target: str
    #: Its address, ``ip:port``.
    address: str
    #: News that spreads along.
    news: tuple[MemberNews, ...]


@message("membership.ack")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Ack(Message):
    """Answer to a Ping or an IndirectPing."""

    #: Name of the sender.
    sender: str
    #: Whether the instance that was meant has answered.
    reached: bool
    #: News that spreads along.
    news: tuple[MemberNews, ...]


@message("membership.sync")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Sync(Message):
    """One round of anti-entropy; answered by a SyncReply."""

    #: The sender.
    sender: InstanceInfo
    #: Digest of the live members in each bucket, 8 bytes each.
    digests: bytes
    #: Members in buckets that are known to differ.
    news: tuple[MemberNews, ...]


@message("membership.sync_reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SyncReply(Message):
    """What the receiver of a Sync knows otherwise."""

    #: The sender.
    sender: InstanceInfo
    #: Digest of the live members in each bucket, 8 bytes each, after taking in the Sync.
    digests: bytes
    #: Members in buckets that differ.
    news: tuple[MemberNews, ...]
