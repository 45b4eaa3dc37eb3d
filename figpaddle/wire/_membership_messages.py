"""Messages of the gossip membership protocol, each exchanged on a connection of its own."""

from __future__ import annotations

import dataclasses

from figpaddle.wire._codec import Message, message
from figpaddle.wire._messages import InstanceInfo


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberNews:
    """The sender's knowledge about one instance."""

    #: Newest announcement of the instance that the sender knows.
    info: InstanceInfo
    #: Whether the instance is suspected to be dead, by the sender or by another instance.
    suspected: bool = False


@message("membership.ping")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Ping(Message):
    """Asks whether ``target`` runs at this address; the reply is an Ack."""

    #: Name of the sender.
    sender: str
    #: Name of the instance to which the ping is addressed.
    target: str
    #: Piggybacked gossip.
    news: tuple[MemberNews, ...]


@message("membership.indirect")
@dataclasses.dataclass(frozen=True, kw_only=True)
class IndirectPing(Message):
    """Asks the receiver to ping ``target`` on the sender's behalf; the reply is an Ack."""

    #: Name of the sender.
    sender: str
    #: Name of the instance to ping.
    target: str
    #: Its address, ``ip:port``.
    address: str
    #: Piggybacked gossip.
    news: tuple[MemberNews, ...]


@message("membership.ack")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Ack(Message):
    """Reply to Ping or IndirectPing."""

    #: Name of the sender.
    sender: str
    #: Whether the pinged instance has answered.
    reached: bool
    #: Piggybacked gossip.
    news: tuple[MemberNews, ...]


@message("membership.sync")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Sync(Message):
    """One round of anti-entropy; the reply is a SyncReply."""

    #: The sender.
    sender: InstanceInfo
    #: Digest of the live instances in each bucket, 8 bytes each.
    digests: bytes
    #: Instances in buckets that are known to differ.
    news: tuple[MemberNews, ...]


@message("membership.sync_reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class SyncReply(Message):
    """Reply to Sync: updates from the buckets whose digests differ."""

    #: The sender.
    sender: InstanceInfo
    #: Digest of the live instances in each bucket after applying the Sync, 8 bytes each.
    digests: bytes
    #: Instances in buckets that differ; first the receiver, if it is suspected or gone.
    news: tuple[MemberNews, ...]
