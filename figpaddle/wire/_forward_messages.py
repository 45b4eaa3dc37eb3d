"""Messages that keep a forwarded exchange apart from others and alive."""

from __future__ import annotations

import dataclasses

from figpaddle.wire._codec import Message, message


@message("forward.alive")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardAlive(Message):
    """The receiver accepts the request; sent at once, then at an interval until the answer ends."""

    #: Identifier of the request.
    request_id: str
    #: Digest of the configuration that the receiver decides by.
    configuration: str


@message("forward.ask")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardAsk(Message):
    """Asks whether a request would be accepted; holds nothing that the client sent.

    The reply is ForwardAlive or ForwardFailed.
    """

    #: Identifier of the request.
    request_id: str
    #: Member whose request it is.
    member: str
    #: Service that it asks for.
    service: str
    #: Instances that the request has passed, in order.
    visited: tuple[str, ...]
    #: How often it will have crossed regions.
    crossings: int
