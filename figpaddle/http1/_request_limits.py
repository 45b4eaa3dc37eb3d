"""Limits that a server puts on the requests of its callers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestLimits:
    """Size limits and timeouts of requests."""

    #: Largest size of the request target and header fields, bytes.
    header_bytes: int = 16384
    #: Largest size of a body, bytes.
    body_bytes: int = 4194304
    #: Longest time from the first byte of a request to the end of its header, seconds.
    header_timeout_s: float = 3.0
    #: Longest idle time of a keep-alive connection, seconds.
    idle_timeout_s: float = 15.0

    def highest(self, other: RequestLimits) -> RequestLimits:
        """Return the higher value of each limit.

        >>> RequestLimits(body_bytes=4).highest(RequestLimits(body_bytes=9)).body_bytes
        9
        """
        if other == self:
            return self
        return RequestLimits(
            header_bytes=max(self.header_bytes, other.header_bytes),
            body_bytes=max(self.body_bytes, other.body_bytes),
            header_timeout_s=max(self.header_timeout_s, other.header_timeout_s),
            idle_timeout_s=max(self.idle_timeout_s, other.idle_timeout_s),
        )
