"""Messages about the software versions that began streams."""

from __future__ import annotations

import dataclasses

from figpaddle.wire._codec import Message, message


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamRecord:
    """The service and software version that began a stream."""

    #: Digest of the host, the route and the request that brought the first event.
    key: bytes
    #: Member whose stream it is.
    member: str
    service: str
    #: Version of the software; empty if it isn't known.
    version: str
    #: Time since the first event, seconds.
    age_s: float


@message("streams.news")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamNews(Message):
    """Streams that have just begun at the sender."""

    streams: tuple[StreamRecord, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RegionVersions:
    """Software versions of the servers of a service in one region."""

    region: str
    #: Versions of all that run or have ended a short time ago; "" for servers whose version isn't known.
    versions: tuple[str, ...]


@message("streams.query")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamQuery(Message):
    """Asks an instance which version began a stream; the reply is a StreamReply."""

    #: Key of the stream; empty if only the versions of ``service`` are asked for.
    key: bytes
    #: Service whose versions a control instance is to state; empty for none, and from earlier builds.
    service: str = ""


@message("streams.reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamReply(Message):
    """Reply to StreamQuery."""

    #: Whether the sender knows the stream.
    known: bool
    service: str = ""
    version: str = ""
    #: Versions of the service in the query, by region; none from entries, from earlier builds and from a
    #: control instance that has just started.
    versions: tuple[RegionVersions, ...] = ()
