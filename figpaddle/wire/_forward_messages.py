"""Messages that offer a forwarded request to an instance and keep the exchange alive."""

from __future__ import annotations

import dataclasses

from figpaddle.wire._codec import Message, message


@message("forward.alive")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardAlive(Message):
    """The receiver accepts the request; sent at once, then periodically until the answer ends."""

    #: Identifier of the request.
    request_id: str
    #: Digest of the configuration that the receiver applies.
    configuration: str


@message("forward.ask")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardAsk(Message):
    """Asks whether a request would be accepted, without its headers and body.

    The reply is ForwardAlive or ForwardFailed.
    """

    #: Identifier of the request.
    request_id: str
    #: Member whose request it is.
    member: str
    #: Service that it is for.
    service: str
    #: Instances that the request has passed through, in order.
    visited: tuple[str, ...]
    #: Number of region boundaries that it will have crossed.
    crossings: int
