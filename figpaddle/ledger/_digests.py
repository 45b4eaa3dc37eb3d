"""Whether a record belongs to the request that a key comes with."""

from __future__ import annotations

import dataclasses
from typing import Protocol


class Digested(Protocol):
    """What has the digests of a request."""

    @property
    def digest(self) -> bytes:
        """Digest that all builds compute alike."""

    @property
    def exact_digest(self) -> bytes:
        """Digest that tells more requests apart; empty if it isn't known."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestDigests:
    """The digests of one request."""

    #: Digest that all builds compute alike.
    digest: bytes
    #: Digest that tells more requests apart; empty if it isn't known.
    exact_digest: bytes = b""


def is_same_request(one: Digested, other: Digested) -> bool:
    """Return whether two digests are of one request, as far as both are known.

    Earlier builds keep no exact digest, and drop it from what they store.

    >>> recorded = RequestDigests(digest=b"a")
    >>> is_same_request(recorded, RequestDigests(digest=b"a", exact_digest=b"b"))
    True
    >>> sent = RequestDigests(digest=b"a", exact_digest=b"c")
    >>> is_same_request(sent, RequestDigests(digest=b"a", exact_digest=b"b"))
    False
    """
    if one.digest != other.digest:
        return False
    if not one.exact_digest or not other.exact_digest:
        return True
    return one.exact_digest == other.exact_digest
