"""Messages that keep a forwarded exchange apart from others and alive."""

from __future__ import annotations

import dataclasses

from figpaddle.wire._codec import Message, message


@message("forward.alive")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardAlive(Message):
    """The receiver has the request and works on it; sent at once and then at an interval."""

    #: Identifier of the request.
    request_id: str
