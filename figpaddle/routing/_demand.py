"""What a placement decision may know of a request and of its progress."""

from __future__ import annotations

import dataclasses
import zlib

from figpaddle.wire import BackendInfo, Prefix, PromptShape

#: Characters of a prompt that count as one token where no tokenizer is at hand.
CHARACTERS_PER_TOKEN = 4
#: Tokens between two digests of a prompt's prefix.
PREFIX_BLOCK_TOKENS = 64
#: Most prefixes kept of one prompt, the longest ones.
MAX_PREFIXES = 128
#: Tokens generated where the request names no limit.
DEFAULT_OUTPUT_TOKENS = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """One request as far as its placement is concerned."""

    #: Identifier through all hops.
    request_id: str
    #: Member whose request it is.
    member: str
    #: Service that it asks for.
    service: str
    #: Priority class within the member, 0 first.
    priority: int
    #: Time allowed to the first byte of the answer, seconds from now.
    deadline_s: float
    #: Prefixes of the prompt, shortest first.
    prefixes: tuple[Prefix, ...] = ()
    #: Length of the prompt, tokens.
    prompt_tokens: int = 0
    #: Tokens that the answer is expected to have.
    output_tokens: int = DEFAULT_OUTPUT_TOKENS
    #: Size of the request, bytes.
    body_bytes: int = 0
    #: Whether the answer comes token by token, so that its first token can be timed.
    streamed: bool = True
    #: Whether it came from another region.
    forwarded: bool = False


class TargetEvent:
    """Something that happened to a request at a backend server or region."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent(TargetEvent):
    """A request was sent."""

    #: The request.
    demand: Demand
    #: Backend server or region.
    target: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class FirstToken(TargetEvent):
    """The first token of an answer arrived."""

    #: The request.
    demand: Demand
    #: Backend server or region.
    target: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finished(TargetEvent):
    """A request ended, with or without an answer."""

    #: The request.
    demand: Demand
    #: Backend server or region.
    target: str
    #: Tokens that were answered.
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reported(TargetEvent):
    """A backend server announced its load and cache events."""

    #: The announcement.
    info: BackendInfo


def prompt_shape(text: str, *, output_tokens: int, body_bytes: int, streamed: bool) -> PromptShape:
    """Return what placement may know of a prompt.

    >>> shape = prompt_shape("x" * 600, output_tokens=9, body_bytes=700, streamed=True)
    >>> [prefix.tokens for prefix in shape.prefixes], shape.tokens
    ([64, 128], 150)
    """
    step = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    digest = 0
    prefixes = []
    for end in range(step, len(text) + 1, step):
        digest = zlib.crc32(text[end - step : end].encode(), digest)
        prefixes.append(Prefix(digest=digest, tokens=end // CHARACTERS_PER_TOKEN))
    return PromptShape(
        prefixes=tuple(prefixes[-MAX_PREFIXES:]),
        tokens=len(text) // CHARACTERS_PER_TOKEN,
        output_tokens=output_tokens,
        body_bytes=body_bytes,
        streamed=streamed,
    )
