"""Values in the messages of all instances by which requests are placed."""

from __future__ import annotations

import dataclasses
import enum


class BackendState(enum.Enum):
    """Whether a backend server accepts new requests."""

    #: Accepts new requests.
    SERVING = "serving"
    #: Drains: accepts no new requests and is about to stop.
    LEAVING = "leaving"
    #: Has stopped; nothing may be sent to it.
    GONE = "gone"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prefix:
    """A prefix of a prompt."""

    #: Digest of the prefix.
    digest: int
    #: Its length, tokens.
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptShape:
    """Properties of a prompt that placement uses, without its text."""

    #: Prefixes of the prompt, shortest first.
    prefixes: tuple[Prefix, ...] = ()
    #: Length of the prompt, tokens.
    tokens: int = 0
    #: Expected length of the answer, tokens.
    output_tokens: int = 0
    #: Size of the request body, bytes.
    body_bytes: int = 0
    #: Whether the answer is streamed token by token.
    streamed: bool = False
    #: Hashes of the parts that other prompts may have too.
    shared_parts: tuple[bytes, ...] = ()
