"""What placement knows of a request, and the events that it learns from."""

from __future__ import annotations

import dataclasses
import zlib
from typing import TYPE_CHECKING

from figpaddle.wire import Prefix, PromptShape

if TYPE_CHECKING:
    from figpaddle.wire import BackendInfo

#: Estimated prompt characters per token, as there is no tokenizer.
CHARACTERS_PER_TOKEN = 4
#: Tokens between two prefix digests of a prompt.
PREFIX_BLOCK_TOKENS = 64
#: Maximum number of prefixes kept for one prompt; the longest ones are kept.
MAX_PROMPT_PREFIXES = 128
#: Expected output tokens if the request sets no limit.
DEFAULT_OUTPUT_TOKENS = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """The properties of a request that affect its placement."""

    #: Identifier of the request at every hop.
    request_id: str
    #: Member that sent the request.
    member: str
    #: Requested service.
    service: str
    #: Priority class within the member; 0 is the most urgent.
    priority: int
    #: Time left until the first byte of the response is due, seconds.
    deadline_s: float
    #: Prefixes of the prompt, shortest first.
    prefixes: tuple[Prefix, ...] = ()
    #: Length of the prompt, tokens.
    prompt_tokens: int = 0
    #: Expected length of the response, tokens.
    output_tokens: int = DEFAULT_OUTPUT_TOKENS
    #: Size of the request body, bytes.
    body_bytes: int = 0
    #: Whether the response is streamed, so that the time to its first token can be measured.
    streamed: bool = True
    #: Longest pause between its events that the caller accepts, seconds; 0 if it is too short to pause.
    longest_pause_s: float = 0.0
    #: Whether the request came from another region.
    forwarded: bool = False


class TargetEvent:
    """An event of a request or report of a backend server that a placement policy learns from."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent(TargetEvent):
    """A request was sent to a target."""

    #: The request.
    demand: Demand
    #: Name of the backend server or region.
    target: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class FirstToken(TargetEvent):
    """The first token of a response arrived."""

    #: The request.
    demand: Demand
    #: Name of the backend server or region.
    target: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finished(TargetEvent):
    """A request ended, with or without a response."""

    #: The request.
    demand: Demand
    #: Name of the backend server or region.
    target: str
    #: Tokens of the response that arrived.
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reported(TargetEvent):
    """A backend server announced its load and cache events."""

    #: The announcement.
    info: BackendInfo


def prompt_shape(text: str, *, output_tokens: int, body_bytes: int, streamed: bool) -> PromptShape:
    """Return the properties of a prompt that placement uses: prefix digests and sizes.

    >>> shape = prompt_shape("x" * 600, output_tokens=9, body_bytes=700, streamed=True)
    >>> [prefix.tokens for prefix in shape.prefixes], shape.tokens
    ([64, 128], 150)
    """
    block_characters = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    digest = 0
    prefixes = []
    for end in range(block_characters, len(text) + 1, block_characters):
        digest = zlib.crc32(text[end - block_characters : end].encode(), digest)
        prefixes.append(Prefix(digest=digest, tokens=end // CHARACTERS_PER_TOKEN))
    return PromptShape(
        prefixes=tuple(prefixes[-MAX_PROMPT_PREFIXES:]),
        tokens=len(text) // CHARACTERS_PER_TOKEN,
        output_tokens=output_tokens,
        body_bytes=body_bytes,
        streamed=streamed,
    )
