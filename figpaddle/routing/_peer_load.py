"""Load of another entry instance, as its reports state it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerLoad:
    """Load of another entry instance at one backend server."""

    #: Requests in progress.
    requests: int = 0
    #: Memory that they take, tokens.
    memory: int = 0
    #: Those without a first byte, by priority class from 0; absent classes have none.
    unanswered: tuple[int, ...] = ()
    #: Prompt tokens of these, likewise.
    prefill: tuple[int, ...] = ()
